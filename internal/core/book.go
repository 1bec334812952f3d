package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

type counted struct {
	dw.CounterAnswered
	returned ledger.Posting // if nothing was added
}

// count books use on the shared counter.
func (p *Planner) count(now time.Time, a dw.CounterAdd) {
	c := CounterCall{Name: a.Name, Amount: a.Add, TTL: time.Duration(a.TTL), LedgerRef: p.books.Ref(),
		LedgerKey: ledger.Account(uint64(a.Customer))}
	told := ledger.Posting{Event: ledger.UnitsTold, Key: c.LedgerKey, Ref: c.LedgerRef, Units: ledger.MicroUnits(a.Add)}
	p.books.Post(told)
	p.counter.Add(c, func(o dw.Outcome, total float64) {
		m := counted{CounterAnswered: dw.CounterAnswered{Name: a.Name, Outcome: o, Latency: dw.Span(time.Since(now)), Total: total}}
		if o != dw.OutcomeOK && o != dw.OutcomeTimeout { // nothing was added: the module puts it on the tally again
			m.returned = told
			m.returned.Event = ledger.UnitsReturned
		}
		_ = p.post(m)
	})
}

func (m counted) handle(p *Planner) {
	if m.returned.Event != ledger.None {
		p.books.Post(m.returned)
	}
	p.tell(m.CounterAnswered)
}

func (counted) queue() Queue { return QueueOutcome }
func (tallies) queue() Queue { return QueueControl }

type tallies struct {
	f func(tally func(customer uint64) (float64, bool))
}

// ReadTallies has f read the module's tallies on the planner, where nothing is drawn meanwhile; f may not block. It
// returns before f is called, or with ErrStopped.
func (p *Planner) ReadTallies(f func(tally func(customer uint64) (units float64, known bool))) error {
	return p.post(tallies{f})
}

func (m tallies) handle(p *Planner) {
	m.f(func(customer uint64) (float64, bool) { return p.gate.Tally(dw.CustomerID(customer)) })
}
