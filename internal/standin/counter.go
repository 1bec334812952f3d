package standin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Counter stands in for the quota counter.
type Counter struct {
	*Listener
	mu     sync.Mutex
	how    string
	totals map[string]float64
	lowest float64
	calls  int
	added  float64
	by     map[string]float64 // added, ever, by the part of the name before the dot
}

// NewCounter makes a counter that answers well.
func NewCounter() (*Counter, error) {
	c := &Counter{how: "add", totals: map[string]float64{}, by: map[string]float64{}}
	l, err := Listen("", c.serve)
	c.Listener = l
	return c, err
}

// Mode is how it answers from now on: add, silent, full, late, reset, spoilt, interim, doubled.
func (c *Counter) Mode(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.how = how
}

// Forget empties it, as a replacement that starts from nothing.
func (c *Counter) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.totals)
}

// Sum adds up the totals whose names begin with a prefix.
func (c *Counter) Sum(prefix string) (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, v := range c.totals {
		if strings.HasPrefix(name, prefix) {
			sum += v
		}
	}
	return sum
}

// Lowest is the least total there ever was.
func (c *Counter) Lowest() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowest
}

// Added is how many calls added, and by account (what stands before the dot in a name) how much, ever.
func (c *Counter) Added() (calls int, by map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	by = make(map[string]float64, len(c.by))
	for name, v := range c.by {
		by[name] = v
	}
	return c.calls, by
}

const lateBy = 150 * time.Millisecond

func (c *Counter) serve(conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		u, err := readRequest(r)
		if err != nil {
			return
		}
		by, _ := strconv.ParseFloat(u.Query().Get("by"), 64)
		c.mu.Lock()
		how, name := c.how, strings.TrimPrefix(u.Path, "/counters/")
		if how != "full" && how != "reset" {
			c.totals[name] += by
			c.lowest = min(c.lowest, c.totals[name])
			c.calls++
			account, _, _ := strings.Cut(name, ".")
			c.by[account] += by
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
			time.Sleep(lateBy)
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
