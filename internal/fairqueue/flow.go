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
	KindCount             // number of kinds
)

var kindNames = [KindCount]string{"reader", "writer", "accepter"}

// String returns the name of the kind in metrics and logs.
func (k Kind) String() string { return kindNames[k] }

// Flow is the work of one goroutine for one connection. One goroutine at a time may call its methods, except Charge and Total. A nil Flow
// counts nothing and never waits.
type Flow struct {
	scheduler *Scheduler
	kind      Kind
	label     string        // names the connection in the log
	total     atomic.Int64  // time used since the flow was opened, in nanoseconds
	reported  time.Duration // total at the last Busiest; guarded by Scheduler.mu
}

// Use counts time that the flow has used.
func (f *Flow) Use(d time.Duration) {
	if f == nil {
		return
	}
	f.total.Add(int64(d))
}

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
