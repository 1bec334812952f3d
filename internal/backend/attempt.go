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

// The errors for which an attempt is not begun.
var (
	errNoDescriptor = errors.New("backend: no descriptor is free")
	errTooLate      = errors.New("backend: the connection came up too late")
	errClientLeft   = errors.New("backend: the client has left")
	// errNotAllowed says that a backend is draining or removed, by an update that the planner had not applied when it
	// started the attempt.
	errNotAllowed = errors.New("backend: no new work may go to this backend")
)

// The states of an attempt, guarded by Pools.mu. It moves once at most:
//
//	waiting -> begun:     begin, by the attempt's goroutine
//	waiting -> withdrawn: Cancel, Retract, Withdraw and Forget, and begin if it refuses
//
// A connection belongs to the pool until acquire, then to the attempt's goroutine, which gives it back by release or
// discard once the exchange is over; a value that is streamed is read by its consumer meanwhile.
const (
	attemptWaiting   attemptState = iota // for a connection: nothing is written
	attemptBegun                         // its command is being written, or was
	attemptWithdrawn                     // nothing was written, nor will be
)

type attemptState int

// attemptKey identifies an attempt: the one of that number at a request.
type attemptKey struct {
	request dw.RequestID
	number  int
}

// attempt is one attempt at a request, from Start to its result.
type attempt struct {
	core.Attempt
	pool    *pool
	state   attemptState
	began   func(core.Stream)
	posting ledger.Posting  // of its end; its event is None once that is posted
	ctx     context.Context // ends at the deadline, and when the planner gives the attempt up
	cancel  context.CancelFunc
}

func (a *attempt) key() attemptKey { return attemptKey{a.RequestID, a.Number} }

// giveUp ends an attempt: if it has not begun, it never will. The lock is held.
func (a *attempt) giveUp() {
	if a.state == attemptWaiting {
		a.state = attemptWithdrawn
	}
	a.cancel()
}

// begin decides whether an attempt may be written, now that its connection is up. That may be long after the planner started
// it, and what forbids it may still be queued for the planner: so the state, the deadline, the client and the backend are
// checked here, under the lock that every withdrawal takes.
func (p *Pools) begin(a *attempt) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case a.state != attemptWaiting || a.ctx.Err() != nil:
		return errTooLate
	case !a.StartBy.IsZero() && !p.now().Before(a.StartBy):
		return errTooLate
	case a.Request.ClientLeft():
		a.state = attemptWithdrawn
		return errClientLeft
	case p.Allowed != nil && !p.Allowed(a.Backend):
		a.state = attemptWithdrawn
		return errNotAllowed
	}
	a.state = attemptBegun
	p.logBegun(a)
	return nil
}

// logBegun logs the moment before the first byte of a command is written.
func (p *Pools) logBegun(a *attempt) {
	if p.Log == nil {
		return
	}
	if e := p.Log.Check(zap.DebugLevel, "an attempt begins"); e != nil {
		e.Write(zap.String("request", a.Request.Message.Name), zap.Int("attempt", a.Number), zap.String("address", a.Backend.Addr))
	}
}

// run carries out one attempt, on a goroutine of its own.
func (p *Pools) run(a *attempt) core.AttemptResult {
	c, err := p.acquire(a)
	if err == nil {
		err = p.begin(a)
		if err != nil {
			p.release(c) // nothing was written on it
		}
	}
	if err != nil {
		return core.AttemptResult{Outcome: unsentOutcome(a.ctx, err)}
	}
	// When time is up or the attempt is given up, the reads and writes of the connection fail, and it is closed, which
	// tells the backend.
	unhook := context.AfterFunc(a.ctx, func() { c.SetDeadline(expired) })
	result, reusable := p.exchange(a, c, unhook)
	streamed := !result.FirstByteAt.IsZero() // then the stream has taken the hook off
	if (unhook() || streamed) && reusable {
		p.release(c)
	} else {
		p.discard(c)
	}
	return result
}

// expired is a deadline that makes reads and writes fail at once.
var expired = time.Unix(1, 0)
