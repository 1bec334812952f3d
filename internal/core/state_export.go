package core

import (
	"time"

	dw "dewhitch"
)

// exportMessage requests a copy of the module's state. Any goroutine may post it; that goroutine waits on done before it uses
// the State.
type exportMessage struct {
	into         *dw.State
	maxCustomers int
	done         chan error
}

func (exportMessage) queue() Queue { return QueueControl }

// ExportState copies the module's state, with at most maxCustomers customers, to a State. The copy is made between two events.
// ExportState fails only with ErrStopped; the contents of into are then undefined. It is safe for concurrent use.
func (p *Planner) ExportState(into *dw.State, maxCustomers int) error {
	m := exportMessage{into, maxCustomers, make(chan error, 1)}
	return p.postAndWait(m, m.done)
}

func (m exportMessage) handle(p *Planner) {
	p.module.Export(m.into, m.maxCustomers)
	m.done <- nil
}

// ImportState initializes the module with the state of an earlier process. It must be called before Run. It returns the numbers
// of imported servers and customers.
func (p *Planner) ImportState(state *dw.State) (servers, customers int) {
	return p.module.Import(p.Instant(time.Now()), state)
}
