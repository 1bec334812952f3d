// Package standin has scripted stand-ins for what a gateway speaks to: backends, the quota counter, discovery, and
// hauliers' clients. Tests, tools and the soak build on them. They listen on loopback alone, do what a script says,
// and tell what they saw. They know nothing of the gateway's inside, and never share code with what they check.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"sync"
)

// Listener hands each connection that comes to a function of its owner's, and closes it after that.
type Listener struct {
	l     net.Listener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	over  bool
}

// Listen listens at addr, which is of loopback; an empty one is a free port.
func Listen(addr string, serve func(net.Conn)) (*Listener, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Listener{l: l, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.over {
				c.Close()
			} else {
				s.conns[c] = struct{}{}
				go func() {
					serve(c)
					c.Close()
					s.mu.Lock()
					delete(s.conns, c)
					s.mu.Unlock()
				}()
			}
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// Addr is where it listens.
func (l *Listener) Addr() string { return l.l.Addr().String() }

// Refuse has new connections refused from now on; those that are open stay.
func (l *Listener) Refuse() { l.l.Close() }

// Reset breaks all connections with a reset, as the death of a process does.
func (l *Listener) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close ends it and closes all connections.
func (l *Listener) Close() { l.end((*net.TCPConn).Close) }

// Die ends it and breaks all connections with a reset.
func (l *Listener) Die() {
	l.end(func(c *net.TCPConn) error {
		c.SetLinger(0)
		return c.Close()
	})
}

func (l *Listener) end(how func(*net.TCPConn) error) {
	l.l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	for c := range l.conns {
		how(c.(*net.TCPConn))
	}
}

// The most that a stand-in reads of one command: a gateway never sends more.
const (
	maxWords = 1024
	maxWord  = 1 << 20
)

// ReadCommand reads an array of bulk strings.
func ReadCommand(r *bufio.Reader) (words []string, err error) {
	n, err := head(r, '*', maxWords)
	if err != nil {
		return nil, err
	}
	for range n {
		size, err := head(r, '$', maxWord)
		if err != nil {
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

func head(r *bufio.Reader, kind byte, most int) (n int, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if _, err := fmt.Sscanf(line[1:], "%d\r\n", &n); err != nil || line[0] != kind || n < 0 || n > most {
		return 0, fmt.Errorf("standin: %q is no head of %c", line, kind)
	}
	return n, nil
}

// AppendCommand appends words as an array of bulk strings.
func AppendCommand(b []byte, words ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

// readRequest reads the target of an HTTP request, and passes over its headers.
func readRequest(r *bufio.Reader) (*url.URL, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	for header := line; header != "\r\n"; {
		if header, err = r.ReadString('\n'); err != nil {
			return nil, err
		}
	}
	words := strings.Fields(line)
	if len(words) < 2 {
		return nil, fmt.Errorf("standin: %q is no request", line)
	}
	return url.ParseRequestURI(words[1])
}

// Pairs reads a list of names and values, such as c=lookup,t=team.
func Pairs(list string) map[string]string {
	m := map[string]string{}
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(pair, "=")
		m[name] = value
	}
	return m
}
