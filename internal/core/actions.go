package core

import (
	"container/heap"
	"fmt"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// These tables map the module's reasons to the ledger events of rejected and failed requests.
var (
	rejectionEvents = map[dw.Reason]ledger.Event{
		dw.ReasonInvalid:   ledger.PlanRejectedInvalid,
		dw.ReasonQuota:     ledger.PlanRejectedQuota,
		dw.ReasonCeiling:   ledger.PlanRejectedCeiling,
		dw.ReasonOverload:  ledger.PlanRejectedOverload,
		dw.ReasonExhausted: ledger.PlanRejectedExhausted,
	}
	failureEvents = map[dw.Reason]ledger.Event{
		dw.ReasonExhausted:          ledger.PlanFailedExhausted,
		dw.ReasonCounterUnavailable: ledger.PlanFailedCounterUnread,
	}
)

// executeAction executes one action of the module. now is the time of the event to which the module responded.
func (p *Planner) executeAction(now time.Time, action dw.Action) {
	switch a := action.(type) {
	case dw.StartAttempt:
		p.startAttempt(now, a)
	case dw.CancelAttempt:
		p.backends.Cancel(a.Request, a.Attempt)
	case dw.Reject:
		p.reject(a)
	case dw.Fail:
		p.fail(a)
	case dw.LimitAnswer:
		p.answer(a.Request, ledger.PlanServed, Answer{Result: ResultServed, Limit: &a})
	case dw.AdjustAnswer:
		p.answer(a.Request, ledger.PlanServed, Answer{Result: ResultServed, Units: a.Units})
	case dw.TallyChanged:
		p.recordTally(a)
	case dw.SetTimer:
		heap.Push(&p.timers, a)
	case dw.CounterAdd:
		p.addToCounter(now, a)
	case dw.SubscribeEndpoints: // nothing to do: the discovery client is always subscribed
	default:
		p.log.Error("unsupported action of the decision module", zap.String("action", fmt.Sprintf("%T", a)))
	}
}

func (p *Planner) reject(a dw.Reject) {
	p.answer(a.Request, rejectionEvents[a.Reason], Answer{Result: ResultRejected, RetryAfter: time.Duration(a.RetryAfter)})
}

func (p *Planner) fail(a dw.Fail) {
	p.answer(a.Request, failureEvents[a.Reason], Answer{Result: ResultFailed})
}

// recordTally posts the units that the module has added to a customer's tally, or removed from it, to the ledger.
func (p *Planner) recordTally(a dw.TallyChanged) {
	p.recorder.Post(ledger.Posting{Event: ledger.UnitsDrawn, Key: ledger.Account(uint64(a.Customer)),
		Units: ledger.MicroUnits(a.Units)})
}
