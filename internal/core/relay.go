package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// handle passes the value of a good fetch on to the client, and the outcome to the module, which may send again.
func (m fetchEnded) handle(p *Planner) {
	t := p.reqs[m.fetch.RequestID]
	if t == nil {
		return
	}
	t.out--
	t.last = m.end.Outcome
	if !m.unsent {
		t.post(p, ledger.PlanHeard)
		if p.watcher != nil {
			p.watcher.AttemptEnded(AttemptID{t.id, m.fetch.Number}, m.end)
		}
	}
	if m.end.Outcome == dw.OutcomeOK {
		p.answer(t.id, ledger.PlanServed, Answer{Result: ResultServed, Value: m.end.Value})
	}
	first := time.Now()
	if !m.end.FirstByteAt.IsZero() {
		first = m.end.FirstByteAt
	}
	p.tell(dw.AttemptEnded{Request: t.id, Attempt: m.fetch.Number, Server: m.fetch.Backend.ID, Outcome: m.end.Outcome,
		Final: t.answered, Latency: dw.Span(first.Sub(m.began)), Load: m.end.Load})
	p.drop(t)
}

// handle passes a value on that is still coming. The client owns the attempt from now on: nobody else's answer would be
// true, and the module takes it as begun.
func (m fetchBegan) handle(p *Planner) {
	t := p.reqs[m.fetch.RequestID]
	if t == nil || t.answered {
		m.value.Close()
		return
	}
	p.tell(dw.AnswerStarted{Request: t.id, Attempt: m.fetch.Number, Server: m.fetch.Backend.ID, Latency: dw.Span(time.Since(m.began))})
	p.answer(t.id, ledger.PlanServed, Answer{Result: ResultServed, Stream: m.value})
}
