// Package counter calls the shared quota counter over a few connections, with many calls on each.
package counter

import (
	"bufio"
	"bytes"
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
	"dewhitch/internal/core"
	"dewhitch/internal/dynaddr"
	"dewhitch/internal/http1"
	"dewhitch/internal/ledger"
)

const (
	lines     = 2                      // connections, one a line; a name keeps to its line, so its answers keep their order
	queued    = 512                    // calls that may wait on a line to be written; more are turned away
	redial    = 100 * time.Millisecond // between two tries to connect
	writeTime = time.Second            // for one write
	wholeTime = 100 * time.Millisecond // from the first byte of an answer to its last
	stuck     = 7                      // a line on which nothing comes for so many time-outs, with calls out, is dead
)

// Sockets is how many descriptors a client holds at most: besides each line's connection, one that the line has
// left and that still owes answers.
const Sockets = 2 * lines

// Client is the gateway's side of the counter.
type Client struct {
	limit time.Duration // a call unanswered by then is given up
	dial  time.Duration
	log   *zap.Logger
	books Books
	lines [lines]line
	where *dynaddr.Address
}

// line is one connection at a time and the calls that go over it.
type line struct {
	calls chan *call
	left  chan struct{} // closed when the connection that the line has left is closed; nil: there was none
}

// The states of a call. Whoever moves it to settled reports it.
const (
	waiting int32 = iota // not written: nothing added
	written              // it may have been added
	settled
)

type call struct {
	target string
	size   int       // of the request, once it is in a batch
	at     time.Time // when that was
	state  atomic.Int32
	timer  *time.Timer
	done   func(dw.Outcome, float64)
	books  Books
	entry  ledger.Posting
}

// Books are what the client posts to.
type Books interface{ Post(ledger.Posting) }

var ends = [dw.OutcomeCount]ledger.Event{dw.OutcomeOK: ledger.CallAdded, dw.OutcomeTimeout: ledger.CallUnknown,
	dw.OutcomeRejected: ledger.CallRejected, dw.OutcomeConnectFailed: ledger.CallRejected}

func (c *call) settle(from int32, o dw.Outcome, total float64) bool {
	if !c.state.CompareAndSwap(from, settled) {
		return false
	}
	c.timer.Stop()
	c.entry.Event = ends[o]
	c.books.Post(c.entry)
	c.done(o, total)
	return true
}

// New makes a client; Run makes it work.
func New(addr string, limit, dial time.Duration, b Books, log *zap.Logger) *Client {
	c := &Client{where: dynaddr.New(addr), limit: limit, dial: dial, log: log, books: b}
	for i := range c.lines {
		c.lines[i].calls = make(chan *call, queued)
	}
	return c
}

// Move has the calls that are not written yet, and all later ones, go to another address. Those that are written get
// their answers from the old one.
func (c *Client) Move(addr string) { c.where.Move(addr) }

// Add makes one call.
func (c *Client) Add(o core.CounterCall, done func(dw.Outcome, float64)) {
	target := "/counters/" + o.Name + "?by=" + strconv.FormatFloat(o.Amount, 'f', -1, 64) +
		"&expire_ms=" + strconv.FormatInt(max(1, o.TTL.Milliseconds()), 10)
	k := &call{target: target, done: done, books: c.books, entry: ledger.Posting{Event: ledger.CallBegan, Key: o.LedgerKey,
		Ref: o.LedgerRef, Units: ledger.MicroUnits(o.Amount)}}
	c.books.Post(k.entry)
	// A call that is overdue is settled here; if it was written, its answer is still to come, and the line reads
	// and passes over it, so that later answers stay with their calls.
	k.timer = time.AfterFunc(c.limit, func() {
		if !k.settle(waiting, dw.OutcomeConnectFailed, 0) {
			k.settle(written, dw.OutcomeTimeout, 0)
		}
	})
	select {
	case c.lines[hash(o.Name)%lines].calls <- k:
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
		addr, moved := c.where.Current()
		conn, err := (&net.Dialer{Timeout: c.dial}).DialContext(ctx, "tcp", addr)
		if err != nil {
			select {
			case <-moved: // what waits can still go to the new place
				continue
			default:
			}
			c.log.Debug("counter: no connection", zap.Error(err))
			first.settle(waiting, dw.OutcomeConnectFailed, 0)
			l.failQueued()
			first = nil
			select {
			case <-ctx.Done():
				return
			case <-moved:
			case <-time.After(redial):
			}
			continue
		}
		first = l.serve(ctx, c, conn, first, addr, moved)
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

// serve writes calls to conn until it is lost or the counter has moved; a call taken but not written is handed back.
func (l *line) serve(ctx context.Context, c *Client, conn net.Conn, next *call, addr string,
	moved <-chan struct{}) *call {
	ctx, cancel := context.WithCancel(ctx)
	out := make(chan *call, queued) // being written or written, in order
	closed := make(chan struct{})
	go func() {
		last := read(conn, out, stuck*c.limit)
		cancel()
		// What was written whole may have been added, or may yet be. The writer says first what was not.
		for k := range out {
			k.settle(written, dw.OutcomeTimeout, 0)
		}
		if last != nil {
			last.settle(written, dw.OutcomeTimeout, 0)
		}
		close(closed)
	}()
	context.AfterFunc(ctx, func() { conn.Close() }) // the one place where it is given back
	gone := false
	var buf []byte
	var batch []*call
writing:
	for {
		if next == nil {
			select {
			case <-ctx.Done():
			case <-moved:
			case next = <-l.calls:
			}
		}
		select { // before anything of next is written
		case <-ctx.Done():
			break writing
		case <-moved:
			gone = true
			break writing
		default:
		}
		buf, batch = buf[:0], batch[:0]
		now := time.Now()
		for next != nil && len(batch) < queued/2 {
			if next.state.CompareAndSwap(waiting, written) {
				n := len(buf)
				buf = http1.AppendRequest(buf, "POST", next.target, addr)
				next.size, next.at, batch = len(buf)-n, now, append(batch, next)
				select { // before its bytes are written: an answer with no call before it is noise
				case out <- next:
				case <-ctx.Done():
					next.settle(written, dw.OutcomeConnectFailed, 0)
				}
			}
			select {
			case next = <-l.calls:
			default:
				next = nil
			}
		}
		conn.SetWriteDeadline(now.Add(writeTime))
		n, err := conn.Write(buf)
		for _, k := range batch {
			if n -= k.size; n < 0 { // its last byte was not written: nothing added
				k.settle(written, dw.OutcomeConnectFailed, 0)
			}
		}
		if err != nil {
			break
		}
	}
	close(out)
	if !gone {
		cancel()
		<-closed
		return next
	}
	// What is written still gets its answers, for as long as anyone waits for them. Danger: many moves in a row must
	// not hold ever more connections, so an earlier one that was left is waited for, which takes that long at most.
	time.AfterFunc(c.limit, cancel)
	if l.left != nil {
		<-l.left
	}
	l.left = closed
	return next
}

// read takes the answers in the order of the calls, until the connection is of no more use. It returns the call that
// it then waited for, if any.
func read(conn net.Conn, out <-chan *call, patience time.Duration) (k *call) {
	r := bufio.NewReaderSize(conn, http1.MaxLine+2)
	until := time.Now()
	for {
		// The end of an idle connection can come before a call does: wait for either. The deadline also ends a line
		// whose far side has vanished without a word. It goes by the call that waits longest: one that was written
		// a moment before some deadline says nothing yet.
		conn.SetReadDeadline(until)
		_, err := r.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return k
		}
		if k == nil {
			select {
			case k = <-out:
			default:
			}
		}
		switch {
		case err == nil && k == nil: // nobody asked: it would be taken for the answer to the next call
			return nil
		case err == nil:
			conn.SetReadDeadline(time.Now().Add(wholeTime)) // a spoilt answer need have no end
			outcome, total, again := one(r)
			if k.settle(written, outcome, total); !again {
				return nil
			}
			k = nil
		case k != nil && time.Since(k.at) >= patience:
			return k
		}
		if until = time.Now().Add(patience); k != nil {
			until = k.at.Add(patience)
		}
	}
}

// one reads one answer; unless again is set, the connection is of no more use. What can't be read as an answer tells
// nothing of the amount, which may have been added: it ends as a call that was never answered.
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
		total, err = strconv.ParseFloat(string(bytes.TrimSpace(body)), 64)
		if err != nil || total-total != 0 { // NaN and infinity are numbers to the parser alone
			return dw.OutcomeTimeout, 0, false
		}
		return dw.OutcomeOK, total, !head.Close
	case 503, 400, 404: // nothing was added
		return dw.OutcomeRejected, 0, !head.Close
	}
	return dw.OutcomeTimeout, 0, false
}
