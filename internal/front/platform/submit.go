package platform

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ops"
	"dewhitch/internal/resp"
)

// Results of requests as the operators' figures count them (figureResults), and as the ledger does (endEvents).
var (
	figureResults = [...]ops.Result{core.ResultServed: ops.Success, core.ResultRejected: ops.Overload, core.ResultFailed: ops.Error}
	endEvents     = [...]ledger.Event{core.ResultServed: ledger.FrontServed, core.ResultRejected: ledger.FrontRejected,
		core.ResultFailed: ledger.FrontFailed}
)

// FormatAnswer appends an encoded answer to b.
type FormatAnswer func(b []byte, a core.Answer) []byte

// submission connects a request in the planner with its slot. The answer is given on the planner's goroutine, or on the session's
// if the request is not submitted to the planner. The outcome of the slot is reported after the answer, or after the client has
// disconnected. It does not refer to the request: its slot may wait for long behind others after the request has ended.
type submission struct {
	commands        *Commands
	kind            core.RequestKind
	className       string
	slot            *front.Slot
	format          FormatAnswer
	receivedPosting ledger.Posting // posting for the received request
	result          core.Result    // result of the answer; ResultFailed until there is one
	notSubmitted    bool           // the request was not submitted to the planner
	closed          atomic.Bool    // the request no longer counts as open
}

// Submit submits a request to the planner, and fills the slot with the answer. It sets the request's LedgerRef, LedgerKey and
// Answer. The request is posted to the ledger before it is submitted to the planner.
func (c *Commands) Submit(r *core.Request, s *front.Slot, format FormatAnswer) {
	r.LedgerRef = c.Recorder.Ref()
	r.LedgerKey = c.Recorder.Row(uint64(r.Customer), r.Plan, ledgerClass(r))
	sub := &submission{commands: c, kind: r.Kind, className: r.ClassName, slot: s, format: format, result: core.ResultFailed}
	if c.Figures != nil {
		c.Figures.AddOpen(1)
	}
	r.Answer = sub.answer
	r.Client = s.Client()
	r.Charge = s.Charge
	r.Memory = s.CommandMemory()
	sub.postReceived(r)
	s.OnSettled(sub.settled)

	if s.MustReject() {
		sub.answerUnsubmitted(r, core.Answer{Result: core.ResultRejected})
		return
	}
	pending, err := c.Planner.Submit(r)
	if errors.Is(err, core.ErrBusy) {
		sub.answerUnsubmitted(r, core.Answer{Result: core.ResultRejected, RetryAfter: c.busyRetryAfter()})
		return
	}
	if err != nil {
		sub.answerUnsubmitted(r, core.Answer{Result: core.ResultFailed})
		return
	}
	s.OnClientDeparted(func() {
		sub.closeOnce()
		c.Planner.Cancel(pending)
	})
	s.OnExpedite(func() { c.Planner.Expedite(pending) })
}

// ledgerClass returns the class of a request's row in the ledger.
func ledgerClass(r *core.Request) int {
	switch r.Kind {
	case core.KindQueryLimit:
		return int(ledger.ClassQuery)
	case core.KindAdjustLimit:
		return int(ledger.ClassAdjust)
	}
	return r.Class
}

// postReceived posts the request to the ledger, and the hash of its idempotency key if it has one.
func (s *submission) postReceived(r *core.Request) {
	s.receivedPosting = ledger.Posting{Event: ledger.FrontTaken, Key: r.LedgerKey, Ref: r.LedgerRef,
		Units: ledger.MicroUnits(r.Units), Wait: ledger.CeilSeconds(r.Timeout)}
	s.commands.Recorder.Post(s.receivedPosting)
	if r.Message.Key != "" && r.Kind == core.KindForward {
		s.commands.Recorder.Post(ledger.Posting{Event: ledger.FrontIdempotencyKey, Key: r.LedgerKey, Ref: r.LedgerRef,
			Units: int64(xxhash.Sum64String(r.Message.Key))})
	}
}

// answer fills the slot with an answer.
func (s *submission) answer(a core.Answer) {
	s.result = a.Result
	s.countAnswered(a.Result)
	switch {
	case a.Stream != nil:
		s.slot.FillFrom(resp.AppendBulkHeader(nil, a.Stream.Size()), a.Stream)
		return
	case a.Memory != nil:
		s.slot.FillHeld(resp.AppendBulkHeader(nil, len(a.Value)), a.Value, a.Memory)
		return
	}
	s.slot.Fill(s.format(nil, a))
}

// answerUnsubmitted answers a request that was not submitted to the planner.
func (s *submission) answerUnsubmitted(r *core.Request, a core.Answer) {
	s.notSubmitted = true
	r.Memory.Release()
	s.answer(a)
}

// settled posts the outcome of the request's answer to the ledger.
func (s *submission) settled(outcome front.Outcome) {
	posting := ledger.Posting{Key: s.receivedPosting.Key, Ref: s.receivedPosting.Ref}
	switch {
	case s.notSubmitted:
		posting = s.receivedPosting
		posting.Event = ledger.FrontNotSubmitted
	case outcome == front.ClientDeparted:
		posting.Event = ledger.FrontClientDeparted
	case outcome == front.WriteFailed:
		posting.Event = ledger.FrontWriteFailed
	default:
		posting.Event = endEvents[s.result]
	}
	s.commands.Recorder.Post(posting)
}

// countAnswered counts a request as answered, unless its client has already disconnected.
func (s *submission) countAnswered(result core.Result) {
	if s.closeOnce() && s.kind == core.KindForward {
		s.commands.Figures.RequestEnded(s.className, figureResults[result])
	}
}

// closeOnce counts the request as no longer open. It returns true if there are figures and this is the first call. The answer and the
// disconnection of the client may call it at the same time.
func (s *submission) closeOnce() bool {
	figures := s.commands.Figures
	if figures == nil || !s.closed.CompareAndSwap(false, true) {
		return false
	}
	figures.AddOpen(-1)
	return true
}

// busyRetryAfter returns the Retry-After of a request that is rejected because the planner is busy. It is random, between half of the
// maximum and the maximum, so that the clients do not return at the same time.
func (c *Commands) busyRetryAfter() time.Duration {
	maximum := time.Duration(c.Settings.MaxRetryAfter)
	return maximum/2 + rand.N(maximum/2+1)
}
