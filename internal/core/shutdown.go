package core

import (
	"time"

	dw "dewhitch"
)

// shutdownMessage reports that the process is shutting down. The goroutine of the shutdown sequence posts it and waits on done.
type shutdownMessage struct {
	deadline time.Time
	done     chan error
}

func (shutdownMessage) queue() Queue { return QueueControl }

// Shutdown sets a time by which every open request, and every request submitted later, is answered. It returns when the module
// has been notified, or fails with ErrStopped. Run continues until its context ends. Shutdown is safe for concurrent use.
func (p *Planner) Shutdown(deadline time.Time) error {
	m := shutdownMessage{deadline, make(chan error, 1)}
	return p.postAndWait(m, m.done)
}

func (m shutdownMessage) handle(p *Planner) {
	p.step(dw.Shutdown{By: p.Instant(m.deadline)})
	m.done <- nil
}
