package main

import (
	"bufio"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// counter stands in for the shared counter: names with a total that is forgotten when the time of their first call is up.
type counter struct {
	l     net.Listener
	mu    sync.Mutex
	names map[string]*total
	conns map[net.Conn]bool
}

type total struct {
	value float64
	until time.Time
}

func newCounter() (*counter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counter{l: l, names: map[string]*total{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[conn] = true
			c.mu.Unlock()
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *counter) addr() string { return c.l.Addr().String() }

func (c *counter) close() {
	c.l.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.Close()
	}
}

func (c *counter) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		target, err := readHTTPRequest(r)
		if err != nil {
			return
		}
		u, err := url.Parse(target)
		if err != nil {
			return
		}
		by, _ := strconv.ParseFloat(u.Query().Get("by"), 64)
		ms, _ := strconv.Atoi(u.Query().Get("expire_ms"))
		body := strconv.FormatFloat(c.add(strings.TrimPrefix(u.Path, "/counters/"), by, min(ms, 60000)), 'g', 7, 64)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

func (c *counter) add(name string, by float64, ms int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t := c.names[name]
	if t == nil || now.After(t.until) {
		t = &total{until: now.Add(time.Duration(ms) * time.Millisecond)}
		c.names[name] = t
	}
	t.value += by
	return t.value
}
