package core

import (
	"time"

	sc "starlingcourse"
)

type counted struct{ sc.Counted }

// count books use on the shared counter.
func (p *Planner) count(now time.Time, a sc.Count) {
	p.counter.Add(a.Name, a.Add, time.Duration(a.TTL), func(o sc.Outcome, total float64) {
		_ = p.post(counted{sc.Counted{Name: a.Name, Outcome: o, Latency: sc.Span(time.Since(now)), Total: total}})
	})
}

func (m counted) handle(p *Planner) { p.tell(m.Counted) }
