package core

import (
	"time"

	dw "dewhitch"
)

// shutdownMessage says that the process ends. It comes from the goroutine of the shutdown sequence, which waits on done.
type shutdownMessage struct {
	deadline time.Time
	done     chan error
}

func (shutdownMessage) queue() Queue { return QueueControl }

// Shutdown has every request answered by the deadline: those that are open, and those that are still submitted. It returns
// once the module is notified, or with ErrStopped. Run goes on until its context ends. It is safe for any goroutine.
func (p *Planner) Shutdown(deadline time.Time) error {
	m := shutdownMessage{deadline, make(chan error, 1)}
	return p.call(m, m.done)
}

func (m shutdownMessage) handle(p *Planner) {
	p.step(dw.Shutdown{By: p.Instant(m.deadline)})
	m.done <- nil
}
