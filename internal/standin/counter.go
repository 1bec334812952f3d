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

// The modes of a counter's listener, which say how it treats calls.
const (
	modeAdd       = "add"     // the call's units are added, and the call is answered
	modeSilent    = "silent"  // the call's units are added, but the call is not answered
	modeFull      = "full"    // the call's units are not added; the answer is status 503
	modeLate      = "late"    // the call's units are added, and the call is answered after lateAnswerDelay
	modeReset     = "reset"   // the call's units are not added, and the connection is closed
	modeCorrupt   = "spoilt"  // the call's units are added, and the answer is not a number
	modeInterim   = "interim" // the call's units are added, and a 100 Continue precedes the answer
	modeDuplicate = "doubled" // the call's units are added once, and the call is answered twice
)

const (
	lateAnswerDelay = 150 * time.Millisecond
	maxTotalTTL     = time.Minute // upper bound of a total's time to live, which replaces a longer expire_ms
)

// Counter is a stand-in for the quota counter. Each gateway can have its own listener, so that a script can inject faults for a
// single gateway. The listeners share one store, or two while the store is partitioned. The methods may be called from any
// goroutine.
type Counter struct {
	*Listener // the first listener

	mu        sync.Mutex
	listeners []*counterListener
	counterStore
}

// counterListener is a listener with the faults that are applied to calls through it.
type counterListener struct {
	*Listener
	mode      string
	latency   time.Duration // delay of each answer
	partition int           // partition of the store that calls use, 0 or 1
}

// NewCounter starts a counter with one listener in mode add.
func NewCounter() (*Counter, error) {
	c := &Counter{counterStore: newCounterStore()}
	l, err := c.AddListener()
	c.Listener = l
	return c, err
}

// AddListener adds a listener and returns it. Listeners are numbered from 0 in the order of their addition.
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

// SetMode sets the mode of the listeners with the given numbers, or of all if none is given: add, silent, full, late, reset,
// spoilt, interim or doubled.
func (c *Counter) SetMode(mode string, listeners ...int) {
	c.forListeners(listeners, func(l *counterListener) { l.mode = mode })
}

// SetLatency sets the delay of answers through the listeners with the given numbers, or through all if none is given.
func (c *Counter) SetLatency(latency time.Duration, listeners ...int) {
	c.forListeners(listeners, func(l *counterListener) { l.latency = latency })
}

// forListeners calls f for the listeners with the given numbers, or for all if none is given, while it holds c.mu.
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

// ScheduledFault is one step of a script: a change to the counter at a given time after the script's start.
type ScheduledFault struct {
	At    time.Duration // time since the start of the script
	Apply func(*Counter)
}

// Play runs a script whose steps are sorted by time. It returns after the last step, or early when the context ends.
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
	ttl   time.Duration // time to live of the total if the call creates it
}

// counterAnswer is how a call is answered.
type counterAnswer struct {
	mode    string
	latency time.Duration
	total   float64
}

// call executes one call as the listener's mode requires.
func (c *Counter) call(l *counterListener, call counterCall) counterAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	executed := l.mode != modeFull && l.mode != modeReset
	return counterAnswer{mode: l.mode, latency: l.latency, total: c.add(l.partition, call, executed)}
}

// serve answers the calls of one connection in the order of their arrival.
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

// write sends the answer as its mode requires. It ignores a write error, as the next read from the connection then fails too.
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
