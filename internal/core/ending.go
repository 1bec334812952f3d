package core

import (
	"time"

	dw "dewhitch"
)

// ending tells that the process ends.
type ending struct {
	by   time.Time
	done chan error
}

func (ending) queue() Queue { return QueueControl }

// End has every request answered by a time, those that are open and those that are still taken.
func (p *Planner) End(by time.Time) error {
	m := ending{by, make(chan error, 1)}
	return p.call(m, m.done)
}

func (m ending) handle(p *Planner) {
	p.tell(dw.Ending{By: p.Instant(m.by)})
	m.done <- nil
}
