package core

import (
	"time"

	dw "dewhitch"
)

// admit asks the module for a decision on a req.
func (p *Planner) admit(t *taken) {
	r := t.req
	p.tell(dw.Arrival{ID: t.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer,
		Remaining: dw.Span(r.Wait - time.Since(r.Came)), Units: r.Units, Spread: r.Spread, First: r.First,
		Repeat: r.Repeat})
}

// answer gives a req its one final answer, at once; whatever is decided later on it is passed over.
func (p *Planner) answer(id dw.RequestID, a Answer) {
	t := p.reqs[id]
	if t == nil || t.answered {
		return
	}
	t.answered = true
	t.req.Answer(a)
	p.drop(t)
}
