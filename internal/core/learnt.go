package core

import (
	"time"

	dw "dewhitch"
)

// learnt asks for a copy of what the module has learnt.
type learnt struct {
	into *dw.State
	most int
	done chan error
}

func (learnt) queue() Queue { return QueueControl }

// ExportState copies out what the module has learnt, with most customers at most, between two events; into is the caller's
// again when it returns.
func (p *Planner) ExportState(into *dw.State, most int) error {
	m := learnt{into, most, make(chan error, 1)}
	return p.call(m, m.done)
}

func (m learnt) handle(p *Planner) {
	p.gate.Export(m.into, m.most)
	m.done <- nil
}

// ImportState starts from what the process before had learnt, before Run.
func (p *Planner) ImportState(l *dw.State) (servers, customers int) {
	return p.gate.Import(p.Instant(time.Now()), l)
}
