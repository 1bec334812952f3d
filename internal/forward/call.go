package forward

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/ledger"
	"dewhitch/internal/memory"
	"dewhitch/internal/resp"
)

// Recorder is the ledger that a forwarder posts to. The forwarder posts the events of three journals: that of the front, that of
// the planner for the choice of a planner, and that of attempts for the links to planners. Its methods are called from any
// goroutine and must not block.
type Recorder interface {
	// Ref returns a new reference number, which all postings of one command have.
	Ref() uint64
	// Post adds a posting to the ledger.
	Post(ledger.Posting)
	// RowByName returns the key of the row of a customer, plan and class.
	RowByName(customer uint64, plan, class string) ledger.Key
}

// pendingCommand is an accepted command that needs one answer in its slot and one final event in the ledger. Only one
// goroutine uses it at a time: the session's until the command is sent, then the link's. postFrontEvent runs after the slot
// has been filled, or else reads only fields that do not change.
type pendingCommand struct {
	slot       *front.Slot
	recorder   Recorder
	posting    ledger.Posting // key and reference of all postings of the command
	frontEvent ledger.Event   // event that the front posts once the answer is written
}

// accept posts that a command was accepted, and registers postFrontEvent to run when its slot is settled.
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

// postFrontEvent posts the front's final event of a command.
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

// answer posts the decision and fills the slot with the answer.
func (p *pendingCommand) answer(decision ledger.Event, text []byte) {
	p.decide(decision)
	p.slot.Fill(text)
}

// decide posts the decision, and sets the front's final event accordingly.
func (p *pendingCommand) decide(decision ledger.Event) {
	p.post(decision)
	switch decision {
	case ledger.PlanServed:
		p.frontEvent = ledger.FrontServed
	case ledger.PlanRejectedQuota:
		p.frontEvent = ledger.FrontRejected
	default:
		p.frontEvent = ledger.FrontFailed
	}
}

// acceptedFailures are the error answers of a planner that accepted the command. Any other error means that the planner
// rejected the command as invalid.
var acceptedFailures = []string{"ERR failed", "ERR no exact answer in time"}

// complete posts a planner's answer and forwards it to the client unchanged. hold is the memory of a long answer.
func (p *pendingCommand) complete(v resp.Value, hold *memory.Hold) {
	attempt, decision := classify(v)
	p.post(attempt)
	p.post(ledger.PlanNotified)
	p.decide(decision)
	if v.Kind == resp.Bulk && hold != nil {
		p.slot.FillHeld(resp.AppendBulkHeader(nil, len(v.Text)), v.Text, hold)
		return
	}
	p.slot.Fill(resp.AppendValue(nil, v))
	hold.Release()
}

// classify returns the ledger's events for a planner's answer: the outcome of the attempt, and the decision.
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

// fail answers a command that was written completely to a planner whose connection was then lost.
func (p *pendingCommand) fail() {
	p.post(ledger.AttemptReset)
	p.post(ledger.PlanNotified)
	p.answer(ledger.PlanFailedExhausted,
		resp.AppendError(nil, "ERR the planner was lost; the command may have been applied"))
}
