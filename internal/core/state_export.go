package core

import (
	"time"

	dw "dewhitch"
)

// exportMessage has the module's state copied out. It comes from any goroutine, which waits on done and does not touch into
// meanwhile.
type exportMessage struct {
	into         *dw.State
	maxCustomers int
	done         chan error
}

func (exportMessage) queue() Queue { return QueueControl }

// ExportState copies the module's state, with maxCustomers at most, into a State, as it stands between two events. If it
// fails, with ErrStopped, the contents of into are undefined. It is safe for any goroutine.
func (p *Planner) ExportState(into *dw.State, maxCustomers int) error {
	m := exportMessage{into, maxCustomers, make(chan error, 1)}
	return p.call(m, m.done)
}

func (m exportMessage) handle(p *Planner) {
	p.module.Export(m.into, m.maxCustomers)
	m.done <- nil
}

// ImportState starts the module from the state of an earlier process; before Run. It returns how many servers and customers
// were imported.
func (p *Planner) ImportState(state *dw.State) (servers, customers int) {
	return p.module.Import(p.Instant(time.Now()), state)
}
