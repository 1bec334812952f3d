package backend

// One attempt: from waiting for a connection to its one outcome, which tells truly whether it may have run.

import (
	"context"
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/ledger"
	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

// wholeTime is the time from the first byte of an answer to its last: a backend writes it at once.
const wholeTime = 250 * time.Millisecond

type key struct {
	req     dw.RequestID
	attempt int
}

// fetch is one attempt, on its way from waiting to begun or to withdrawn: all that would have it not sent, and what sends
// it, meet in Pools.mu.
type fetch struct {
	core.Attempt
	pool   *pool
	state  state
	began  func(core.Stream)
	done   func(core.AttemptResult)
	entry  ledger.Posting  // of its end; its event is None once that is posted
	ctx    context.Context // ends when the module gives the fetch up
	cancel context.CancelFunc
}

// state is how far a fetch has come; only waiting is ever left.
type state int

const (
	waiting   state = iota // for a connection: nothing is written
	begun                  // its command is being written, or was
	withdrawn              // nothing was written, nor will be
)

// book posts how a fetch ended, once.
func (p *Pools) book(f *fetch, o dw.Outcome) {
	if f.entry.Event != ledger.None {
		f.entry.Event = ends[o]
		p.books.Post(f.entry)
		f.entry.Event = ledger.None
	}
}

var ends = [dw.OutcomeCount]ledger.Event{dw.OutcomeOK: ledger.FetchOK, dw.OutcomeError: ledger.FetchError,
	dw.OutcomeRejected: ledger.FetchRejected, dw.OutcomeTimeout: ledger.FetchTimeout,
	dw.OutcomeConnectFailed: ledger.FetchConnectFailed, dw.OutcomeReset: ledger.FetchReset,
	dw.OutcomeCancelled: ledger.FetchCancelled, dw.OutcomeNotSent: ledger.FetchNotSent}

// tidy forgets a pool that nothing needs; the lock is held.
func (p *Pools) tidy(l *pool) {
	if len(l.out) == 0 && len(l.idle) == 0 && p.pools[l.Backend] == l {
		delete(p.pools, l.Backend)
	}
}

// end gives a fetch up: one that waits is never sent. The lock is held.
func (f *fetch) end() {
	if f.state == waiting {
		f.state = withdrawn
	}
	f.cancel()
}

// begin tells whether a fetch may be written, from now on. Danger: a connection may come up long after the fetch was
// asked for: when its client has left, when its backend drains, or when a repeat is one no longer. And the news of the first two
// may still wait for who asked for the fetch.
func (p *Pools) begin(f *fetch) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case f.state != waiting || f.ctx.Err() != nil, !f.StartBy.IsZero() && !p.now().Before(f.StartBy):
		return errLate
	case f.Request.ClientLeft():
		f.state = withdrawn
		return errLeft
	case p.Allowed != nil && !p.Allowed(f.Backend):
		f.state = withdrawn
		return errForbidden
	}
	f.state = begun
	p.logBegun(f)
	return nil
}

// logBegun logs the moment before the first byte of a command is written.
func (p *Pools) logBegun(f *fetch) {
	if p.Log == nil {
		return
	}
	if e := p.Log.Check(zap.DebugLevel, "an attempt begins"); e != nil {
		e.Write(zap.String("request", f.Request.Message.Name), zap.Int("attempt", f.Number), zap.String("address", f.Backend.Addr))
	}
}

// run carries out one fetch and tells how it ended.
func (p *Pools) run(f *fetch) core.AttemptResult {
	c, err := p.take(f)
	if err == nil {
		if err = p.begin(f); err != nil {
			p.put(c) // it is good, and new
		}
	}
	if err != nil {
		// No fault of the backend's; blamed, every backend would be avoided for what this machine lacks.
		ours := errors.Is(err, errFull) || errors.Is(err, errLeft) || errors.Is(err, errForbidden) || sockets.DialClass(err) == sockets.Shortage
		if ours || errors.Is(f.ctx.Err(), context.Canceled) {
			return core.AttemptResult{Outcome: dw.OutcomeNotSent}
		}
		return core.AttemptResult{Outcome: dw.OutcomeConnectFailed}
	}
	// From here on the connection is the fetch's own: when time is up or the fetch is given up, its reads and
	// writes fail, and it is closed, which tells the backend.
	unhook := context.AfterFunc(f.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	end, clean := p.exchange(f, c, unhook)
	if (unhook() || !end.FirstByteAt.IsZero()) && clean {
		p.put(c)
	} else {
		p.drop(c)
	}
	return end
}

// exchange writes the command and reads the answer; clean means that the connection may be used again. A value that is
// streamed is no longer the fetch's to end: unhook takes its time and its cancelling off the connection.
func (p *Pools) exchange(f *fetch, c *conn, unhook func() bool) (end core.AttemptResult, clean bool) {
	command := p.command(f)
	if n, _ := c.Write(command); n < len(command) {
		// Not written whole, whatever the reason: the backend never begins it.
		if errors.Is(f.ctx.Err(), context.Canceled) {
			return core.AttemptResult{Outcome: dw.OutcomeNotSent}, false
		}
		return core.AttemptResult{Outcome: dw.OutcomeConnectFailed}, false
	}
	if p.Dispatched != nil {
		p.Dispatched(f.Request.ClassName)
	}
	// An answer that begins and is not whole soon is spoilt, though the connection may stay open for good.
	_, err := c.r.Peek()
	if err == nil {
		c.SetReadDeadline(time.Now().Add(wholeTime))
		if f.ctx.Err() != nil { // the hook may have run before
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	var v resp.Value
	large := 0
	if err == nil {
		if v, large, err = c.r.ReadAnswer(); err == nil && large > 0 && v.Len == parts {
			if unhook() {
				return p.stream(f, c, v, large)
			}
			err = os.ErrDeadlineExceeded // its time ran out before its value began
		}
	}
	end, whole := outcome(v, err == nil)
	switch {
	case err == nil || end.Outcome == dw.OutcomeOK:
		return end, whole && c.r.Buffered() == 0
	case errors.Is(f.ctx.Err(), context.Canceled):
		end.Outcome = dw.OutcomeCancelled
	case f.ctx.Err() != nil:
		end.Outcome = dw.OutcomeTimeout
	case errors.Is(err, resp.ErrProtocol) || errors.Is(err, os.ErrDeadlineExceeded):
		end.Outcome = dw.OutcomeError
	default:
		end.Outcome = dw.OutcomeReset
	}
	return end, false
}

var (
	errFull = errors.New("backend: no descriptor is free")
	errLate = errors.New("backend: the connection came up too late")
	errLeft = errors.New("backend: the client has gone")
	// errForbidden says that a backend drains or has gone by news that whoever asked for the fetch had not heard.
	errForbidden = errors.New("backend: nothing new may go there")
)
