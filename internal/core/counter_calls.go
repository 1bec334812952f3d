package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// counterAnsweredMessage reports the end of one call to the counter. A goroutine of Counter posts it once per call.
type counterAnsweredMessage struct {
	dw.CounterAnswered
	returned ledger.Posting // posting of units that were certainly not added; its Event is ledger.None if there are none
}

// tallyMessage passes the module's tallies to a function. Any goroutine may post it.
type tallyMessage struct {
	read func(tally func(customer uint64) (units float64, known bool))
}

func (counterAnsweredMessage) queue() Queue { return QueueOutcome }
func (tallyMessage) queue() Queue           { return QueueControl }

// addToCounter adds a customer's units to the shared counter. The ledger records them as pushed before the call.
func (p *Planner) addToCounter(now time.Time, a dw.CounterAdd) {
	call := CounterCall{
		Name:      a.Name,
		Amount:    a.Add,
		TTL:       time.Duration(a.TTL),
		LedgerRef: p.recorder.Ref(),
		LedgerKey: ledger.Account(uint64(a.Customer)),
	}
	pushed := ledger.Posting{
		Event: ledger.UnitsPushed,
		Key:   call.LedgerKey,
		Ref:   call.LedgerRef,
		Units: ledger.MicroUnits(a.Add),
	}
	p.recorder.Post(pushed)
	p.counter.Add(call, func(outcome dw.Outcome, total float64) {
		latency := dw.Span(time.Since(now))
		m := counterAnsweredMessage{CounterAnswered: dw.CounterAnswered{Name: a.Name, Outcome: outcome, Latency: latency,
			Total: total}}
		if outcome != dw.OutcomeOK && outcome != dw.OutcomeTimeout { // nothing was added: the module returns the units to the tally
			m.returned = pushed
			m.returned.Event = ledger.UnitsReturned
		}
		_ = p.post(m)
	})
}

func (m counterAnsweredMessage) handle(p *Planner) {
	if m.returned.Event != ledger.None {
		p.recorder.Post(m.returned)
	}
	p.step(m.CounterAnswered)
}

// ReadTallies causes a call of read on the planner's goroutine, so that no tally changes during the call; read must not
// block. ReadTallies does not wait for it. It fails only with ErrStopped, and is safe for concurrent use.
func (p *Planner) ReadTallies(read func(tally func(customer uint64) (units float64, known bool))) error {
	return p.post(tallyMessage{read})
}

func (m tallyMessage) handle(p *Planner) {
	m.read(func(customer uint64) (float64, bool) { return p.module.Tally(dw.CustomerID(customer)) })
}
