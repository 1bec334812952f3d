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

// call is a command that was accepted: it owes its slot one answer, and the ledger one end. One goroutine at a time has it:
// the session's until it is sent, then the link's; postEnd comes after the slot was filled, or needs nothing that changes.
type call struct {
	slot     *front.Slot
	recorder Recorder
	posting  ledger.Posting // what all postings of the call have in common
	end      ledger.Event   // what the front posts once the answer is written
}

// begin posts that a command was accepted, and has its end posted.
func (c *Commands) begin(r *core.Request, s *front.Slot) *call {
	k := &call{slot: s, recorder: c.recorder, posting: ledger.Posting{Key: r.LedgerKey, Ref: c.recorder.Ref()}}
	accepted := k.posting
	accepted.Event = ledger.FrontTaken
	accepted.Units = ledger.MicroUnits(r.Units)
	accepted.Wait = ledger.CeilSeconds(r.Timeout)
	c.recorder.Post(accepted)
	if r.Message.Key != "" && r.LedgerKey.Class >= 0 {
		withKey := k.posting
		withKey.Event = ledger.FrontIdempotencyKey
		withKey.Units = int64(xxhash.Sum64String(r.Message.Key))
		c.recorder.Post(withKey)
	}
	s.OnSettled(k.postEnd)
	accepted.Event = ledger.PlanTaken
	c.recorder.Post(accepted)
	return k
}

// postEnd posts the front's end of a call.
func (k *call) postEnd(f front.Outcome) {
	switch f {
	case front.ClientDeparted:
		k.post(ledger.FrontClientLeft)
	case front.WriteFailed:
		k.post(ledger.FrontWriteFailed)
	default:
		k.post(k.end)
	}
}

func (k *call) post(e ledger.Event) {
	p := k.posting
	p.Event = e
	k.recorder.Post(p)
}

// answer posts what was decided, and gives the slot its answer.
func (k *call) answer(decided ledger.Event, text []byte) {
	k.post(decided)
	switch decided {
	case ledger.PlanServed:
		k.end = ledger.FrontServed
	case ledger.PlanRejectedQuota:
		k.end = ledger.FrontRejected
	default:
		k.end = ledger.FrontFailed
	}
	k.slot.Fill(text)
}

// acceptedFailures are the errors of planners that have accepted a command. With any other they have rejected it: they could not
// use it.
var acceptedFailures = []string{"ERR failed", "ERR no exact answer in time"}

// settle posts the answer of a planner and passes it on as it came.
func (k *call) settle(v resp.Value) {
	attempt, decided := classify(v)
	k.post(attempt)
	k.post(ledger.PlanHeard)
	k.answer(decided, resp.AppendValue(nil, v))
}

// classify gives the ledger's events for a planner's answer: the end of the attempt, and the decision.
func classify(v resp.Value) (attempt, decided ledger.Event) {
	if v.Kind != resp.Error {
		return ledger.AttemptOK, ledger.PlanServed
	}
	word, _, _ := strings.Cut(string(v.Text), " ")
	switch {
	case word == "BUSY":
		return ledger.AttemptOK, ledger.PlanRejectedQuota
	case slices.Contains(acceptedFailures, string(v.Text)):
		return ledger.AttemptOK, ledger.PlanFailedExhausted
	}
	return ledger.AttemptRejected, ledger.PlanFailedExhausted
}

// fail answers a call that was written completely and whose planner was lost.
func (k *call) fail() {
	k.post(ledger.AttemptReset)
	k.post(ledger.PlanHeard)
	k.answer(ledger.PlanFailedExhausted,
		resp.AppendError(nil, "ERR the planner was lost; the command may have been applied"))
}
