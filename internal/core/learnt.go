package core

import (
	"time"

	dw "dewhitch"
)

// learnt asks for a copy of what the module has learnt.
type learnt struct {
	into *dw.Learnt
	most int
	done chan struct{}
}

// Learnt copies out what the module has learnt, with most customers at most, between two events; into is the caller's
// again when it returns. Like an operator's call it does not wait behind a full inbox.
func (p *Planner) Learnt(into *dw.Learnt, most int) error {
	m := learnt{into, most, make(chan struct{})}
	select {
	case p.control <- m:
	case <-p.stop:
		return ErrStopped
	}
	select {
	case <-m.done:
		return nil
	case <-p.stop: // what it was doing when it stopped is done
		return ErrStopped
	}
}

func (m learnt) handle(p *Planner) {
	p.gate.Export(m.into, m.most)
	close(m.done)
}

// Resume starts from what the process before had learnt, before Run.
func (p *Planner) Resume(l *dw.Learnt) (servers, customers int) {
	return p.gate.Import(p.Instant(time.Now()), l)
}
