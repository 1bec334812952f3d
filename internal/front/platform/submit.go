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

// Forms of a result for the figures and for the ledger.
var (
	opsVerdicts = [...]ops.Verdict{core.ResultServed: ops.Success, core.ResultRejected: ops.Overload, core.ResultFailed: ops.Error}
	endEvents   = [...]ledger.Event{core.ResultServed: ledger.FrontServed, core.ResultRejected: ledger.FrontRejected,
		core.ResultFailed: ledger.FrontFailed}
)

// FormatAnswer appends an answer in the form of the wire.
type FormatAnswer func(b []byte, a core.Answer) []byte

// submission is a request between its slot and the planner. Its answer is given on the planner's goroutine, or on the session's
// if the request is not handed to the planner; the slot's fate comes after that.
type submission struct {
	commands        *Commands
	request         *core.Request
	slot            *front.Slot
	format          FormatAnswer
	receivedPosting ledger.Posting // of the request when it came
	result          core.Result    // of the answer; ResultFailed until there is one
	notSubmitted    bool           // the planner never had the request
	closed          atomic.Bool    // the request is no longer counted as open
}

// Submit hands a request to the planner, and its answer to the slot. What it sets is the request's ledger row and its Answer. The
// ledger has the request before the planner does.
func (c *Commands) Submit(r *core.Request, s *front.Slot, format FormatAnswer) {
	r.LedgerRef = c.Recorder.Ref()
	r.LedgerKey = c.Recorder.Row(uint64(r.Customer), r.Plan, ledgerClass(r))
	sub := &submission{commands: c, request: r, slot: s, format: format, result: core.ResultFailed}
	if c.Figures != nil {
		c.Figures.AddOpen(1)
	}
	r.Answer = sub.answer
	sub.postReceived()
	s.OnSettled(sub.settled)

	if s.MustReject() {
		sub.answerUnsubmitted(core.Answer{Result: core.ResultRejected})
		return
	}
	pending, err := c.Planner.Submit(r)
	if errors.Is(err, core.ErrBusy) {
		sub.answerUnsubmitted(core.Answer{Result: core.ResultRejected, RetryAfter: c.busyRetryAfter()})
		return
	}
	if err != nil {
		sub.answerUnsubmitted(core.Answer{Result: core.ResultFailed})
		return
	}
	s.OnClientDeparted(func() {
		sub.closeOnce()
		c.Planner.Cancel(pending)
	})
	s.OnExpedite(func() { c.Planner.Expedite(pending) })
}

// ledgerClass is the class of a request's row in the ledger.
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
func (s *submission) postReceived() {
	r := s.request
	s.receivedPosting = ledger.Posting{Event: ledger.FrontTaken, Key: r.LedgerKey, Ref: r.LedgerRef,
		Units: ledger.MicroUnits(r.Units), Wait: ledger.CeilSeconds(r.Timeout)}
	s.commands.Recorder.Post(s.receivedPosting)
	if r.Message.Key != "" && r.Kind == core.KindForward {
		s.commands.Recorder.Post(ledger.Posting{Event: ledger.FrontIdempotencyKey, Key: r.LedgerKey, Ref: r.LedgerRef,
			Units: int64(xxhash.Sum64String(r.Message.Key))})
	}
}

// answer gives the slot its answer.
func (s *submission) answer(a core.Answer) {
	s.result = a.Result
	s.countAnswered(a.Result)
	if a.Stream != nil {
		s.slot.FillFrom(resp.AppendBulkHeader(nil, a.Stream.Size()), a.Stream)
		return
	}
	s.slot.Fill(s.format(nil, a))
}

// answerUnsubmitted answers a request that the planner never had.
func (s *submission) answerUnsubmitted(a core.Answer) {
	s.notSubmitted = true
	s.answer(a)
}

// settled posts to the ledger what became of the request's answer.
func (s *submission) settled(outcome front.Outcome) {
	posting := ledger.Posting{Key: s.request.LedgerKey, Ref: s.request.LedgerRef}
	switch {
	case s.notSubmitted:
		posting = s.receivedPosting
		posting.Event = ledger.FrontNotSubmitted
	case outcome == front.ClientDeparted:
		posting.Event = ledger.FrontClientLeft
	case outcome == front.WriteFailed:
		posting.Event = ledger.FrontWriteFailed
	default:
		posting.Event = endEvents[s.result]
	}
	s.commands.Recorder.Post(posting)
}

// countAnswered counts a request as answered, if its client has not left before.
func (s *submission) countAnswered(result core.Result) {
	if s.closeOnce() && s.request.Kind == core.KindForward {
		s.commands.Figures.RequestEnded(s.request.ClassName, opsVerdicts[result])
	}
}

// closeOnce counts the request as no longer open. It reports whether there are figures and this is the first call; the answer and
// the client's leaving may come at the same time.
func (s *submission) closeOnce() bool {
	figures := s.commands.Figures
	if figures == nil || !s.closed.CompareAndSwap(false, true) {
		return false
	}
	figures.AddOpen(-1)
	return true
}

// busyRetryAfter is the Retry-After of a request that is rejected as the planner is busy: half of the maximum to all of it, at
// random, so that the clients do not return all at once.
func (c *Commands) busyRetryAfter() time.Duration {
	maximum := time.Duration(c.Settings.MaxRetryAfter)
	return maximum/2 + rand.N(maximum/2+1)
}
