package core

import (
	"time"

	dw "dewhitch"
)

type counted struct{ dw.Counted }

// count books use on the shared counter.
func (p *Planner) count(now time.Time, a dw.Count) {
	p.counter.Add(a.Name, a.Add, time.Duration(a.TTL), func(o dw.Outcome, total float64) {
		_ = p.post(counted{dw.Counted{Name: a.Name, Outcome: o, Latency: dw.Span(time.Since(now)), Total: total}})
	})
}

func (m counted) handle(p *Planner) { p.tell(m.Counted) }
