package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// counterAnsweredMessage is the end of one call to the counter. It comes from a goroutine of Counter, once for each call.
type counterAnsweredMessage struct {
	dw.CounterAnswered
	returned ledger.Posting // of units that were certainly not added; its event is ledger.None if there are none
}

// tallyMessage has a function read the module's tallies. It comes from any goroutine.
type tallyMessage struct {
	read func(tally func(customer uint64) (units float64, known bool))
}

func (counterAnsweredMessage) queue() Queue { return QueueOutcome }
func (tallyMessage) queue() Queue           { return QueueControl }

// addToCounter adds a customer's units to the shared counter. The ledger has the units as notified before the call.
func (p *Planner) addToCounter(now time.Time, a dw.CounterAdd) {
	call := CounterCall{
		Name:      a.Name,
		Amount:    a.Add,
		TTL:       time.Duration(a.TTL),
		LedgerRef: p.recorder.Ref(),
		LedgerKey: ledger.Account(uint64(a.Customer)),
	}
	notified := ledger.Posting{
		Event: ledger.UnitsPushed,
		Key:   call.LedgerKey,
		Ref:   call.LedgerRef,
		Units: ledger.MicroUnits(a.Add),
	}
	p.recorder.Post(notified)
	p.counter.Add(call, func(outcome dw.Outcome, total float64) {
		latency := dw.Span(time.Since(now))
		m := counterAnsweredMessage{CounterAnswered: dw.CounterAnswered{Name: a.Name, Outcome: outcome, Latency: latency,
			Total: total}}
		if outcome != dw.OutcomeOK && outcome != dw.OutcomeTimeout { // nothing was added: the module returns it to the tally
			m.returned = notified
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

// ReadTallies has read called on the planner's goroutine, where no tally changes meanwhile; read may not block. It returns
// before read is called, or with ErrStopped. It is safe for any goroutine.
func (p *Planner) ReadTallies(read func(tally func(customer uint64) (units float64, known bool))) error {
	return p.post(tallyMessage{read})
}

func (m tallyMessage) handle(p *Planner) {
	m.read(func(customer uint64) (float64, bool) { return p.module.Tally(dw.CustomerID(customer)) })
}
