package forward

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/ledger"
	"dewhitch/internal/resp"
)

// Recorder is the ledger that a forwarder posts to: as the front, as the one who decides on a planner, and as the links to
// them. Its methods are called from any goroutine and may not block.
type Recorder interface {
	// Ref is a number for a call.
	Ref() uint64
	Post(ledger.Posting)
	// RowByName is the key of a customer's row.
	RowByName(customer uint64, plan, class string) ledger.Key
}

// pendingCommand is a command that was accepted: it owes its slot one answer, and the ledger one end. One goroutine at a time has it:
// the session's until it is sent, then the link's; postEnd comes after the slot was filled, or needs nothing that changes.
type pendingCommand struct {
	slot       *front.Slot
	recorder   Recorder
	posting    ledger.Posting // what all postings of the call have in common
	frontEvent ledger.Event   // what the front posts once the answer is written
}

// accept posts that a command was accepted, and has its end posted.
func (c *Commands) accept(r *core.Request, s *front.Slot) *pendingCommand {
	p := &pendingCommand{slot: s, recorder: c.recorder, posting: ledger.Posting{Key: r.LedgerKey, Ref: c.recorder.Ref()}}
	accepted := p.posting
	accepted.Event = ledger.FrontTaken
	accepted.Units = ledger.MicroUnits(r.Units)
	accepted.Wait = ledger.CeilSeconds(r.Timeout)
	c.recorder.Post(accepted)
	if r.Message.Key != "" && r.LedgerKey.Class >= 0 {
		withKey := p.posting
		withKey.Event = ledger.FrontIdempotencyKey
		withKey.Units = int64(xxhash.Sum64String(r.Message.Key))
		c.recorder.Post(withKey)
	}
	s.OnSettled(p.postFrontEvent)
	accepted.Event = ledger.PlanTaken
	c.recorder.Post(accepted)
	return p
}

// postFrontEvent posts the front's end of a call.
func (p *pendingCommand) postFrontEvent(outcome front.Outcome) {
	switch outcome {
	case front.ClientDeparted:
		p.post(ledger.FrontClientDeparted)
	case front.WriteFailed:
		p.post(ledger.FrontWriteFailed)
	default:
		p.post(p.frontEvent)
	}
}

func (p *pendingCommand) post(event ledger.Event) {
	posting := p.posting
	posting.Event = event
	p.recorder.Post(posting)
}

// answer posts what was decided, and gives the slot its answer.
func (p *pendingCommand) answer(decision ledger.Event, text []byte) {
	p.post(decision)
	switch decision {
	case ledger.PlanServed:
		p.frontEvent = ledger.FrontServed
	case ledger.PlanRejectedQuota:
		p.frontEvent = ledger.FrontRejected
	default:
		p.frontEvent = ledger.FrontFailed
	}
	p.slot.Fill(text)
}

// acceptedFailures are the errors of planners that have accepted a command. With any other they have rejected it: they could not
// use it.
var acceptedFailures = []string{"ERR failed", "ERR no exact answer in time"}

// complete posts the answer of a planner and passes it on as it came.
func (p *pendingCommand) complete(v resp.Value) {
	attempt, decision := classify(v)
	p.post(attempt)
	p.post(ledger.PlanNotified)
	p.answer(decision, resp.AppendValue(nil, v))
}

// classify gives the ledger's events for a planner's answer: the end of the attempt, and the decision.
func classify(v resp.Value) (attempt, decision ledger.Event) {
	if v.Kind != resp.Error {
		return ledger.AttemptOK, ledger.PlanServed
	}
	code, _, _ := strings.Cut(string(v.Text), " ")
	switch {
	case code == "BUSY":
		return ledger.AttemptOK, ledger.PlanRejectedQuota
	case slices.Contains(acceptedFailures, string(v.Text)):
		return ledger.AttemptOK, ledger.PlanFailedExhausted
	}
	return ledger.AttemptRejected, ledger.PlanFailedExhausted
}

// fail answers a call that was written completely and whose planner was lost.
func (p *pendingCommand) fail() {
	p.post(ledger.AttemptReset)
	p.post(ledger.PlanNotified)
	p.answer(ledger.PlanFailedExhausted,
		resp.AppendError(nil, "ERR the planner was lost; the command may have been applied"))
}
