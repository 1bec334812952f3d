package core

import (
	"time"

	dw "dewhitch"
)

// hurry tells that a req must have its answer now.
type hurry struct{ ticket *PendingRequest }

func (hurry) queue() Queue { return QueueOutcome }

// Expedite has a req answered now, in the best way that is still allowed: its client's connection must end.
func (p *Planner) Expedite(t *PendingRequest) {
	t.hurried.Store(true)
	_ = p.post(hurry{t}) // a planner that has stopped owes nothing
}

func (m hurry) handle(p *Planner) {
	if t := p.reqs[m.ticket.id]; t != nil && !t.answered {
		p.tell(dw.Expedite{Request: t.id})
	}
}

// ending tells that the process ends.
type ending struct {
	by   time.Time
	done chan error
}

func (ending) queue() Queue { return QueueControl }

// Shutdown has every request answered by a time, those that are open and those that are still taken.
func (p *Planner) Shutdown(by time.Time) error {
	m := ending{by, make(chan error, 1)}
	return p.call(m, m.done)
}

func (m ending) handle(p *Planner) {
	p.tell(dw.Shutdown{By: p.Instant(m.by)})
	m.done <- nil
}
