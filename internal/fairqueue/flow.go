package fairqueue

import (
	"sync/atomic"
	"time"
)

// Kind is what a flow does.
type Kind int

// The kinds of flows.
const (
	Reading   Kind = iota // reads and starts a client's commands
	Writing               // writes a client's answers
	Accepting             // accepts connections
	Operating             // serves an operator's connection
	Following             // follows the endpoint list
	KindCount             // number of kinds
)

var kindNames = [KindCount]string{"reader", "writer", "accepter", "operator", "discovery"}

// String returns the name of the kind in metrics and logs.
func (k Kind) String() string { return kindNames[k] }

// Quantum is the time that a flow may use in one turn. A unit of work that has begun is finished.
const Quantum = 100 * time.Microsecond

// maxUse is the most time for which a flow pays at once, however much others have used for it.
const maxUse = 8 * Quantum

// Flow is the work of one goroutine for one connection. One goroutine at a time may call its methods, except Charge. A nil Flow counts
// nothing and never waits.
type Flow struct {
	scheduler *Scheduler
	kind      Kind
	label     string        // names the connection in the log
	unpaid    time.Duration // time used and not yet covered by a turn
	charged   atomic.Int64  // time that others have used for the flow since its last Use, in nanoseconds
	paidUntil time.Duration // virtual time up to which the flow has used what its turns allowed; guarded by Scheduler.mu
	total     atomic.Int64  // time used in turns that are over, since the flow was opened, in nanoseconds
	turn      chan struct{} // signals that the flow has its turn; buffer of one
	reported  time.Duration // total at the last Busiest; guarded by Scheduler.mu
}

// Use counts time that the flow has used. If that is more than its turn allows, it waits for its next turn and returns true. More than a
// quantum at once counts as one: it contains waits, as a unit of work is shorter than that.
func (f *Flow) Use(d time.Duration) (waited bool) {
	if f == nil {
		return false
	}
	f.unpaid += min(d, Quantum)
	if f.charged.Load() > 0 {
		f.unpaid += time.Duration(f.charged.Swap(0))
	}
	if f.unpaid < Quantum {
		return false
	}
	f.total.Add(int64(f.unpaid))
	f.scheduler.awaitTurn(f, min(f.unpaid, maxUse))
	f.unpaid = 0
	return true
}

// Charge counts time that another goroutine has used for the flow, without waits. It does not wait, and is safe for concurrent use.
func (f *Flow) Charge(d time.Duration) {
	if f != nil {
		f.charged.Add(int64(d))
	}
}

// AwaitFirst waits for the first turn of the flow, so that flows that are opened without end do not work without one.
func (f *Flow) AwaitFirst() { f.Use(Quantum) }

// Late reports to the monitor how long the flow's goroutine has waited although it had something to do.
func (f *Flow) Late(d time.Duration) {
	if f != nil && f.scheduler.monitor != nil {
		f.scheduler.monitor.Late(f.kind.String(), d)
	}
}

// Close ends the flow.
func (f *Flow) Close() {
	if f == nil {
		return
	}
	f.scheduler.mu.Lock()
	defer f.scheduler.mu.Unlock()
	delete(f.scheduler.flows, f)
}
