package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// admit asks the module for a decision on a req.
func (p *Planner) admit(t *taken) {
	r := t.req
	left := dw.Span(r.Timeout - time.Since(r.ReceivedAt))
	ask := dw.LimitQuery{ID: t.id, Plan: r.Plan, Customer: r.Customer, Remaining: left, Spread: r.Spread,
		First: r.FirstGateway}
	switch r.Kind {
	case KindQueryLimit:
		p.tell(ask)
		return
	case KindAdjustLimit:
		p.tell(dw.LimitAdjust{LimitQuery: ask, Units: r.Units})
		return
	}
	p.tell(dw.Arrival{ID: t.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer,
		Remaining: left, Units: r.Units, Spread: r.Spread, First: r.FirstGateway,
		Repeat: r.Repeat})
}

// What the books call the module's reasons.
var (
	refusals = map[dw.Reason]ledger.Event{dw.ReasonInvalid: ledger.PlanRefusedUnusable, dw.ReasonQuota: ledger.PlanRefusedQuota,
		dw.ReasonCeiling: ledger.PlanRefusedCeiling, dw.ReasonOverload: ledger.PlanRefusedServers,
		dw.ReasonExhausted: ledger.PlanRefusedGaveUp}
	failures = map[dw.Reason]ledger.Event{dw.ReasonExhausted: ledger.PlanFailedGaveUp, dw.ReasonCounterUnread: ledger.PlanFailedUnread}
)

// answer gives a req its one final answer, at once; whatever is decided later on it is passed over.
func (p *Planner) answer(id dw.RequestID, as ledger.Event, a Answer) {
	t := p.reqs[id]
	if t == nil || t.answered {
		return
	}
	p.settle(t)
	t.post(p, as)
	p.monitor.Answered(as)
	t.req.Answer(a)
	p.drop(t)
}
