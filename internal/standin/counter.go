package standin

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Counter stands in for the quota counter. It has one or more doors, an address each, so that a script can treat
// gateways differently: each gateway is told of a door of its own. Behind the doors is one store, or, while it is split,
// two that know nothing of each other.
type Counter struct {
	*Listener // the first door
	doors     []*Listener

	mu     sync.Mutex
	hows   []string // by door
	waits  []time.Duration
	half   []int // by door
	halves [2]half
	fork   half // what both halves held when they were split
	kept   half
	lowest float64
	calls  int
	by     map[string]float64 // added, ever, by the part of the name before the dot
}

// half is what a store holds.
type half map[string]total

type total struct {
	value float64
	until time.Time // then the name is forgotten
}

// NewCounter makes a counter with one door that answers well.
func NewCounter() (*Counter, error) {
	c := &Counter{by: map[string]float64{}, halves: [2]half{{}, {}}}
	l, err := c.Door()
	c.Listener = l
	return c, err
}

// Door opens a further door, and returns it; they count from 0.
func (c *Counter) Door() (*Listener, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := len(c.hows)
	l, err := Listen("", func(conn net.Conn) { c.serve(at, conn) })
	if err != nil {
		return nil, err
	}
	c.doors = append(c.doors, l)
	c.hows, c.waits, c.half = append(c.hows, "add"), append(c.waits, 0), append(c.half, 0)
	return l, nil
}

// Close ends it, with all doors.
func (c *Counter) Close() {
	c.mu.Lock()
	doors := c.doors
	c.mu.Unlock()
	for _, l := range doors {
		l.Close()
	}
}

// Mode is how it answers from now on, at the doors named, or at all: add, silent, full, late, reset, spoilt, interim,
// doubled.
func (c *Counter) Mode(how string, doors ...int) {
	c.each(doors, func(door int) { c.hows[door] = how })
}

// Slow has answers take so much longer at the doors named, or at all.
func (c *Counter) Slow(by time.Duration, doors ...int) {
	c.each(doors, func(door int) { c.waits[door] = by })
}

func (c *Counter) each(doors []int, f func(door int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(doors) == 0 {
		for i := range c.hows {
			f(i)
		}
	}
	for _, i := range doors {
		f(i)
	}
}

// Split cuts the store in two: the doors named go to a second one from now on, which holds what the first does.
func (c *Counter) Split(far ...int) {
	c.each(far, func(door int) { c.half[door] = 1 })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halves[1], c.fork = maps.Clone(c.halves[0]), maps.Clone(c.halves[0])
}

// How two halves become one.
type How int

// The ways.
const (
	Sum    How = iota // what either was told since the split
	First             // the second's is lost
	Second            // and the other way round
)

// Join makes one store of two.
func (c *Counter) Join(how How) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch how {
	case Sum:
		for name, t := range c.halves[1] {
			mine := c.halves[0][name]
			mine.value += t.value - c.fork[name].value
			if mine.until.Before(t.until) {
				mine.until = t.until
			}
			c.halves[0][name] = mine
		}
	case Second:
		c.halves[0] = c.halves[1]
	}
	c.halves[1], c.fork = half{}, nil
	clear(c.half)
}

// Forget empties it, as a replacement that starts from nothing.
func (c *Counter) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.halves[0])
	clear(c.halves[1])
}

// Keep takes a copy, to which RollBack goes back: totals that were answered since are then gone.
func (c *Counter) Keep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = maps.Clone(c.halves[0])
}

// RollBack goes back to what Keep copied.
func (c *Counter) RollBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halves[0] = maps.Clone(c.kept)
	if c.halves[0] == nil {
		c.halves[0] = half{}
	}
}

// Trouble is one step of a script: what happens so long after its beginning.
type Trouble struct {
	At time.Duration
	Do func(*Counter)
}

// Play carries a script out, whose steps are in their order; it ends early with the context.
func (c *Counter) Play(ctx context.Context, script ...Trouble) {
	began := time.Now()
	for _, step := range script {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(step.At))):
			step.Do(c)
		}
	}
}

// Sum adds up the totals whose names begin with a prefix; while it is split, those of the first half.
func (c *Counter) Sum(prefix string) (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.halves[0] {
		if strings.HasPrefix(name, prefix) {
			sum += t.value
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
	return c.calls, maps.Clone(c.by)
}

const lateBy = 150 * time.Millisecond

// add adds to a name through a door, unless it turns the call away, and says how to answer.
func (c *Counter) add(door int, name string, by float64, life time.Duration) (how string, wait time.Duration, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	store, now := c.halves[c.half[door]], time.Now()
	t := store[name]
	if t.until.Before(now) {
		t = total{until: now.Add(min(life, time.Minute))}
	}
	if how = c.hows[door]; how != "full" && how != "reset" {
		t.value += by
		store[name] = t
		c.lowest = min(c.lowest, t.value)
		c.calls++
		account, _, _ := strings.Cut(name, ".")
		c.by[account] += by
	}
	return how, c.waits[door], t.value
}

func (c *Counter) serve(door int, conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		u, err := readRequest(r)
		if err != nil {
			return
		}
		by, _ := strconv.ParseFloat(u.Query().Get("by"), 64)
		life, _ := strconv.Atoi(u.Query().Get("expire_ms"))
		how, wait, value := c.add(door, strings.TrimPrefix(u.Path, "/counters/"), by, time.Duration(life)*time.Millisecond)
		body := strconv.FormatFloat(value, 'g', 7, 64)
		time.Sleep(wait)
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
