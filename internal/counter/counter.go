// Package counter calls the shared quota counter over a few connections, with many calls on each.
package counter

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/http1"
)

const (
	lines     = 2                      // connections, one a line; a name keeps to its line, so its answers keep their order
	queued    = 512                    // calls that may wait on a line to be written; more are turned away
	redial    = 100 * time.Millisecond // between two tries to connect
	stuckTime = 2 * time.Second        // a written call that is unanswered for so long shows that the line is dead
)

// Sockets is how many descriptors a client holds at most.
const Sockets = lines

// Client is the gateway's side of the counter.
type Client struct {
	addr  string
	limit time.Duration // a call unanswered by then is given up
	dial  time.Duration
	log   *zap.Logger
	lines [lines]line
}

// line is one connection at a time and the calls that go over it.
type line struct {
	calls chan *call
}

// The states of a call. Whoever moves it to settled reports it.
const (
	waiting int32 = iota // not written: nothing added
	written              // it may have been added
	settled
)

type call struct {
	request []byte
	state   atomic.Int32
	timer   *time.Timer
	done    func(dw.Outcome, float64)
}

func (c *call) settle(from int32, o dw.Outcome, total float64) bool {
	if !c.state.CompareAndSwap(from, settled) {
		return false
	}
	c.timer.Stop()
	c.done(o, total)
	return true
}

// New makes a client; Run makes it work.
func New(addr string, limit, dial time.Duration, log *zap.Logger) *Client {
	c := &Client{addr: addr, limit: limit, dial: dial, log: log}
	for i := range c.lines {
		c.lines[i].calls = make(chan *call, queued)
	}
	return c
}

// Add makes one call.
func (c *Client) Add(name string, amount float64, life time.Duration, done func(dw.Outcome, float64)) {
	target := "/counters/" + name + "?by=" + strconv.FormatFloat(amount, 'f', -1, 64) +
		"&expire_ms=" + strconv.FormatInt(max(1, life.Milliseconds()), 10)
	k := &call{request: http1.AppendRequest(nil, "POST", target, c.addr), done: done}
	// A call that is overdue is settled here; if it was written, its answer is still to come, and the line reads
	// and passes over it, so that later answers stay with their calls.
	k.timer = time.AfterFunc(c.limit, func() {
		if !k.settle(waiting, dw.OutcomeConnectFailed, 0) {
			k.settle(written, dw.OutcomeTimeout, 0)
		}
	})
	select {
	case c.lines[hash(name)%lines].calls <- k:
	default:
		go k.settle(waiting, dw.OutcomeRejected, 0)
	}
}

func hash(s string) (h uint32) {
	for i := range len(s) {
		h = h*31 + uint32(s[i])
	}
	return h
}

// Run keeps the lines up until the context ends.
func (c *Client) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range c.lines {
		wg.Go(func() { c.lines[i].run(ctx, c) })
	}
	wg.Wait()
	return nil
}

// run connects when there is something to write, and anew when the connection is lost.
func (l *line) run(ctx context.Context, c *Client) {
	var first *call
	for {
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-l.calls:
			}
		}
		conn, err := (&net.Dialer{Timeout: c.dial}).DialContext(ctx, "tcp", c.addr)
		if err != nil {
			c.log.Debug("counter: no connection", zap.Error(err))
			first.settle(waiting, dw.OutcomeConnectFailed, 0)
			l.failQueued()
			first = nil
			select {
			case <-ctx.Done():
				return
			case <-time.After(redial):
			}
			continue
		}
		first = l.serve(ctx, conn, first)
	}
}

func (l *line) failQueued() {
	for {
		select {
		case k := <-l.calls:
			k.settle(waiting, dw.OutcomeConnectFailed, 0)
		default:
			return
		}
	}
}

// serve writes calls to conn until it is lost; a call taken but not written is handed back.
func (l *line) serve(ctx context.Context, conn net.Conn, next *call) *call {
	ctx, cancel := context.WithCancel(ctx)
	out := make(chan *call, queued) // written, in order
	var reader sync.WaitGroup
	reader.Go(func() {
		defer cancel()
		read(conn, out)
	})
	context.AfterFunc(ctx, func() { conn.Close() }) // the one place where it is given back
	var buf []byte
	var batch []*call
	for next != nil || ctx.Err() == nil {
		if next == nil {
			select {
			case <-ctx.Done():
			case next = <-l.calls:
			}
			if next == nil {
				break
			}
		}
		if ctx.Err() != nil { // lost before anything of next was written
			break
		}
		buf, batch = buf[:0], batch[:0]
		for next != nil && len(batch) < queued/2 {
			if next.state.CompareAndSwap(waiting, written) {
				buf, batch = append(buf, next.request...), append(batch, next)
			}
			select {
			case next = <-l.calls:
			default:
				next = nil
			}
		}
		conn.SetWriteDeadline(time.Now().Add(stuckTime))
		n, err := conn.Write(buf)
		for _, k := range batch {
			if n -= len(k.request); n < 0 { // its last byte was not written: nothing added
				k.settle(written, dw.OutcomeConnectFailed, 0)
				continue
			}
			select {
			case out <- k:
			case <-ctx.Done():
				k.settle(written, dw.OutcomeTimeout, 0)
			}
		}
		if err != nil {
			break
		}
	}
	cancel()
	close(out)
	reader.Wait()
	for k := range out { // it may have been added, or may yet be
		k.settle(written, dw.OutcomeTimeout, 0)
	}
	return next
}

// read takes the answers in the order of the calls.
func read(conn net.Conn, out <-chan *call) {
	r := bufio.NewReaderSize(conn, http1.MaxLine+2)
	for {
		// An answer cannot come before its call, but the end of an idle connection can: wait for either. The
		// deadline also ends a line whose far side has vanished without a word, once a call waits on it.
		conn.SetReadDeadline(time.Now().Add(stuckTime))
		if _, err := r.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) && len(out) == 0 {
			continue
		} else if err != nil {
			return
		}
		k, ok := <-out
		if !ok {
			return
		}
		outcome, total, again := one(r)
		k.settle(written, outcome, total)
		if !again {
			return
		}
	}
}

// one reads one answer; unless again is set, the connection is of no more use.
func one(r *bufio.Reader) (o dw.Outcome, total float64, again bool) {
	head, err := http1.ReadAnswer(r)
	if err != nil {
		return dw.OutcomeTimeout, 0, false
	}
	body, err := http1.ReadBody(r, head)
	if err != nil {
		return dw.OutcomeTimeout, 0, false
	}
	switch head.Status {
	case 200:
		if total, err = strconv.ParseFloat(string(body), 64); err != nil {
			return dw.OutcomeTimeout, 0, false
		}
		return dw.OutcomeOK, total, !head.Close
	default: // 503, 400 and 404: nothing was added
		return dw.OutcomeRejected, 0, !head.Close
	}
}
