package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// accept hands every connection to a listener of the test's own to f.
func accept(t *testing.T, f func(net.Conn)) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return l
}

// backends stands in for all backends: the tests speak for them, one connection at a time.
type backends struct {
	l     net.Listener
	conns chan net.Conn
}

func newBackends(t *testing.T) *backends {
	b := &backends{conns: make(chan net.Conn, 1024)}
	b.l = accept(t, func(c net.Conn) { b.conns <- c })
	return b
}

// serveAll has them answer every command from now on, each with its body, or its own id if it has none.
func (b *backends) serveAll() {
	for c := range b.conns {
		go func() {
			for r := bufio.NewReader(c); ; {
				words, err := readCommand(r)
				if err != nil {
					return
				}
				value := words[2]
				if len(words) > 4 {
					value = words[4]
				}
				fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
			}
		}()
	}
}

func readCommand(r *bufio.Reader) (words []string, err error) {
	var n, size int
	if _, err = fmt.Fscanf(r, "*%d\r\n", &n); err != nil {
		return nil, err
	}
	for range n {
		if _, err = fmt.Fscanf(r, "$%d\r\n", &size); err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err = io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}

// request reads the target of an HTTP request, and its end.
func request(r *bufio.Reader) (*url.URL, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	for header := line; header != "\r\n"; {
		if header, err = r.ReadString('\n'); err != nil {
			return nil, err
		}
	}
	return url.ParseRequestURI(strings.Fields(line)[1])
}

// counter stands in for the quota counter.
type counter struct {
	l      net.Listener
	mu     sync.Mutex
	how    string
	totals map[string]float64
	lowest float64
}

func newCounter(t *testing.T) *counter {
	c := &counter{how: "add", totals: map[string]float64{}}
	c.l = accept(t, c.serve)
	return c
}

func (c *counter) mode(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.how = how
}

// sum adds up the totals whose names begin with a customer's prefix.
func (c *counter) sum(prefix string) (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, v := range c.totals {
		if strings.HasPrefix(name, prefix) {
			sum += v
		}
	}
	return sum
}

func (c *counter) serve(conn net.Conn) {
	defer conn.Close()
	for r := bufio.NewReader(conn); ; {
		u, err := request(r)
		if err != nil {
			return
		}
		by, _ := strconv.ParseFloat(u.Query().Get("by"), 64)
		c.mu.Lock()
		how, name := c.how, strings.TrimPrefix(u.Path, "/counters/")
		if how != "full" && how != "reset" {
			c.totals[name] += by
			c.lowest = min(c.lowest, c.totals[name])
		}
		body := strconv.FormatFloat(c.totals[name], 'g', 7, 64)
		c.mu.Unlock()
		switch how {
		case "silent":
			continue
		case "reset":
			return
		case "full":
			fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		case "late":
			time.Sleep(150 * time.Millisecond)
		case "spoilt": // it was added, but nobody can tell
			body = "NaN"
		}
		if how == "interim" {
			fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if how == "doubled" {
			answer += answer
		}
		fmt.Fprint(conn, answer)
	}
}

// discovery stands in for the agent that has the list.
type discovery struct {
	l        net.Listener
	mu       sync.Mutex
	changed  *sync.Cond
	revision int
	members  string
}

func newDiscovery(t *testing.T, members string) *discovery {
	d := &discovery{revision: 41, members: members}
	d.changed = sync.NewCond(&d.mu)
	d.l = accept(t, d.serve)
	return d
}

func (d *discovery) set(members string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision, d.members = d.revision+1, members
	d.changed.Broadcast()
}

func (d *discovery) text(complete bool) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":%s}`, d.revision, complete, d.members)
}

func (d *discovery) serve(conn net.Conn) {
	defer conn.Close()
	for r := bufio.NewReader(conn); ; {
		u, err := request(r)
		if err != nil {
			return
		}
		d.mu.Lock()
		if u.Query().Get("follow") == "" {
			text := d.text(true)
			d.mu.Unlock()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for since, _ := strconv.Atoi(u.Query().Get("since")); ; since = d.revision {
			beat := time.AfterFunc(time.Second, d.changed.Broadcast)
			if since == d.revision {
				d.changed.Wait()
			}
			beat.Stop()
			text := "\n" // nothing has changed
			if since != d.revision {
				text = d.text(false) + "\n"
			}
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				d.mu.Unlock()
				return
			}
		}
	}
}
