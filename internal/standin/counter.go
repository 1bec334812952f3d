package standin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Modes of a counter's listener.
const (
	modeAdd       = "add"     // the call is added and answered
	modeSilent    = "silent"  // added, never answered
	modeFull      = "full"    // not added; 503
	modeLate      = "late"    // added, answered after lateAnswerDelay
	modeReset     = "reset"   // not added; the connection is closed
	modeCorrupt   = "spoilt"  // added, the answer is not a number
	modeInterim   = "interim" // added, a 100 Continue comes before the answer
	modeDuplicate = "doubled" // added once, answered twice
)

const (
	lateAnswerDelay = 150 * time.Millisecond
	maxTotalTTL     = time.Minute // beyond, the expire_ms of a call is ignored
)

// Counter is a fake of the quota counter. Each gateway can be given a listener of its own, so that a script can inject faults for
// one gateway alone. The listeners share one store, or two while it is partitioned. Its methods may be called from any goroutine.
type Counter struct {
	*Listener // the first

	mu        sync.Mutex
	listeners []*counterListener
	counterStore
}

// counterListener is a listener and how calls that come through it are treated.
type counterListener struct {
	*Listener
	mode      string
	latency   time.Duration // added to each answer
	partition int           // 0 or 1: of the store
}

// NewCounter starts a counter with one listener, in mode add.
func NewCounter() (*Counter, error) {
	c := &Counter{counterStore: newCounterStore()}
	l, err := c.AddListener()
	c.Listener = l
	return c, err
}

// AddListener adds a listener and returns it; listeners are numbered from 0.
func (c *Counter) AddListener() (*Listener, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := &counterListener{mode: modeAdd}
	l, err := Listen("", func(conn net.Conn) { c.serve(added, conn) })
	if err != nil {
		return nil, err
	}
	added.Listener = l
	c.listeners = append(c.listeners, added)
	return l, nil
}

// Close closes all listeners.
func (c *Counter) Close() {
	c.mu.Lock()
	listeners := c.listeners
	c.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
}

// SetMode sets how calls are answered from now on through the listeners named, or through all: add, silent, full, late, reset, spoilt,
// interim, doubled.
func (c *Counter) SetMode(mode string, listeners ...int) {
	c.forListeners(listeners, func(l *counterListener) { l.mode = mode })
}

// SetLatency delays each answer through the listeners named, or through all.
func (c *Counter) SetLatency(latency time.Duration, listeners ...int) {
	c.forListeners(listeners, func(l *counterListener) { l.latency = latency })
}

// forListeners calls f for the listeners named, or for all if none is, with c.mu held.
func (c *Counter) forListeners(numbers []int, f func(*counterListener)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(numbers) == 0 {
		for _, l := range c.listeners {
			f(l)
		}
	}
	for _, i := range numbers {
		f(c.listeners[i])
	}
}

// ScheduledFault is one step of a script: a change to the counter, so long after the script starts.
type ScheduledFault struct {
	At    time.Duration
	Apply func(*Counter)
}

// Play runs a script, whose steps are in the order of their times; it returns early when the context ends.
func (c *Counter) Play(ctx context.Context, script ...ScheduledFault) {
	start := time.Now()
	for _, step := range script {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(step.At))):
			step.Apply(c)
		}
	}
}

// counterCall is a request to add to a total.
type counterCall struct {
	name  string
	units float64
	ttl   time.Duration // of a total that the call creates
}

// counterAnswer is how a call is answered.
type counterAnswer struct {
	mode    string
	latency time.Duration
	total   float64
}

// call executes one call as the listener's mode demands.
func (c *Counter) call(l *counterListener, call counterCall) counterAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	executed := l.mode != modeFull && l.mode != modeReset
	return counterAnswer{mode: l.mode, latency: l.latency, total: c.add(l.partition, call, executed)}
}

func (c *Counter) serve(l *counterListener, conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		target, err := readRequest(r)
		if err != nil {
			return
		}
		query := target.Query()
		units, _ := strconv.ParseFloat(query.Get("by"), 64)
		ttl, _ := strconv.Atoi(query.Get("expire_ms"))
		answer := c.call(l, counterCall{
			name:  strings.TrimPrefix(target.Path, "/counters/"),
			units: units,
			ttl:   time.Duration(ttl) * time.Millisecond,
		})
		time.Sleep(answer.latency)
		if answer.mode == modeReset {
			return
		}
		answer.write(conn)
	}
}

// write sends the answer as its mode demands; a write error is seen by the next read.
func (a counterAnswer) write(conn net.Conn) {
	body := strconv.FormatFloat(a.total, 'g', 7, 64)
	switch a.mode {
	case modeSilent:
		return
	case modeFull:
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case modeLate:
		time.Sleep(lateAnswerDelay)
	case modeCorrupt:
		body = "NaN"
	case modeInterim:
		fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if a.mode == modeDuplicate {
		response += response
	}
	fmt.Fprint(conn, response)
}
