package backend

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/ledger"
)

// Errors for which the command of an attempt is not written.
var (
	errNoDescriptor   = errors.New("backend: no free descriptor in the budget")
	errTooLate        = errors.New("backend: connection established too late")
	errClientDeparted = errors.New("backend: client disconnected")
	// errNotAllowed reports that a backend is draining or removed according to an update that the planner had not applied
	// when it started the attempt.
	errNotAllowed = errors.New("backend: backend is draining or removed")
)

// The states of an attempt, guarded by Pools.mu. The state changes at most once:
//
//	waiting -> begun:     by begin, on the attempt's goroutine
//	waiting -> withdrawn: by Cancel, Retract, RetractAll and Forget, and by begin if the client has disconnected or the
//	                      backend may get no new work
//
// A connection belongs to the pool until acquire returns it to the attempt's goroutine, which returns it with release or
// discard after the exchange. While a value is streamed, its consumer reads from the connection.
const (
	attemptWaiting   attemptState = iota // waits for a connection; nothing is written
	attemptBegun                         // the command is being written or was written
	attemptWithdrawn                     // nothing was or will be written
)

// attemptState states whether the command of an attempt may have been written.
type attemptState int

// attemptKey identifies an attempt by its request and its number within the request.
type attemptKey struct {
	request dw.RequestID
	number  int
}

// attempt is the state of one attempt, from Start to its result.
type attempt struct {
	core.Attempt
	pool     *pool
	state    attemptState
	onStream func(core.Stream) // called if the value is streamed
	posting  ledger.Posting    // posting of the start, reused for the end; its Event is ledger.None once the end is posted
	ctx      context.Context   // ends at the deadline and when the attempt is withdrawn or cancelled
	cancel   context.CancelFunc
}

func (a *attempt) key() attemptKey { return attemptKey{a.RequestID, a.Number} }

// abort ends an attempt. An attempt that has not begun is withdrawn and never begins. Pools.mu must be held.
func (a *attempt) abort() {
	if a.state == attemptWaiting {
		a.state = attemptWithdrawn
	}
	a.cancel()
}

// begin decides whether the command of an attempt may be written, now that its connection is established. This may be long
// after the planner started the attempt, and a message that forbids it may still be queued for the planner. So begin checks the
// state, the deadline, the client and the backend, under the lock that every withdrawal takes.
func (p *Pools) begin(a *attempt) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case a.state != attemptWaiting || a.ctx.Err() != nil:
		return errTooLate
	case !a.StartBy.IsZero() && !p.now().Before(a.StartBy):
		return errTooLate
	case a.Request.ClientDeparted():
		a.state = attemptWithdrawn
		return errClientDeparted
	case p.Allowed != nil && !p.Allowed(a.Backend):
		a.state = attemptWithdrawn
		return errNotAllowed
	}
	a.state = attemptBegun
	p.logBegun(a)
	return nil
}

// logBegun logs an attempt just before the first byte of its command is written.
func (p *Pools) logBegun(a *attempt) {
	if p.Log == nil {
		return
	}
	if e := p.Log.Check(zap.DebugLevel, "an attempt begins"); e != nil {
		e.Write(zap.String("request", a.Request.Message.Name), zap.Int("attempt", a.Number), zap.String("address", a.Backend.Addr))
	}
}

// run executes one attempt and returns its result. It runs on a goroutine of its own.
func (p *Pools) run(a *attempt) core.AttemptResult {
	c, err := p.acquire(a)
	if err == nil {
		err = p.begin(a)
		if err != nil {
			p.endUse(a)
			p.release(c) // nothing was written to it
		}
	}
	if err != nil {
		return core.AttemptResult{Outcome: unsentOutcome(a.ctx, err)}
	}
	// At the deadline, or when the attempt is cancelled, reads and writes on the connection fail and the connection is
	// closed, so that the backend notices.
	detachContext := context.AfterFunc(a.ctx, func() { c.SetDeadline(expired) })
	result, reusable := p.exchange(a, c, detachContext)
	p.endUse(a)
	streamed := !result.FirstByteAt.IsZero() // exchange has already called detachContext
	if (detachContext() || streamed) && reusable {
		p.release(c)
	} else {
		p.discard(c)
	}
	return result
}

// expired is a deadline in the past, which makes reads and writes fail immediately.
var expired = time.Unix(1, 0)
