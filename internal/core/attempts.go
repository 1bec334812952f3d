package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// answerStartedMessage says that a backend has started a value that is streamed. It comes from a goroutine of Backends,
// at most once for an attempt, and before its attemptEndedMessage. Its handler takes the stream, or closes it.
type answerStartedMessage struct {
	attempt   Attempt
	startedAt time.Time
	value     Stream
}

// attemptEndedMessage says that an attempt has ended, exactly once for each. It comes from a goroutine of Backends, or, for
// an attempt that was not sent, from one of startAttempt.
type attemptEndedMessage struct {
	attempt   Attempt
	startedAt time.Time
	result    AttemptResult
	unsent    bool // Backends never had it
}

func (answerStartedMessage) queue() Queue { return QueueOutcome }
func (attemptEndedMessage) queue() Queue  { return QueueOutcome }

// startAttempt starts an attempt that the module has decided on. The module alone decides on retries: nothing here starts
// another. An attempt that may not start ends as not sent, by a message, as the module expects the end of each attempt later.
func (p *Planner) startAttempt(now time.Time, a dw.StartAttempt) {
	s := p.requests[a.Request]
	if s == nil {
		return
	}
	if s.attempts > 0 {
		p.monitor.Retried(s.lastOutcome)
	}
	backend, known := p.backendByID[a.Server]
	attempt := newAttempt(now, s, a, backend)
	s.attempts++
	s.inFlight++
	if !s.mayStart(attempt, now) || !known {
		attempt.Backend.ID = a.Server
		end := attemptEndedMessage{attempt, now, AttemptResult{Outcome: dw.OutcomeNotSent}, true}
		go func() { _ = p.post(end) }()
		return
	}
	p.record(s, ledger.PlanSent)
	if p.watcher != nil {
		p.watcher.AttemptStarted(AttemptID{s.id, attempt.Number}, backend.ID, p.listed[backend.ID].Zone)
	}
	onStream := func(value Stream) {
		if p.post(answerStartedMessage{attempt, now, value}) != nil {
			value.Close()
		}
	}
	onEnd := func(result AttemptResult) { _ = p.post(attemptEndedMessage{attempt, now, result, false}) }
	p.backends.Start(attempt, onStream, onEnd)
}

// newAttempt is the next attempt at a request. Its deadline is the client's, or the module's if that is earlier.
func newAttempt(now time.Time, s *requestState, a dw.StartAttempt, backend Backend) Attempt {
	attempt := Attempt{
		RequestID: s.id,
		Number:    s.attempts,
		Backend:   backend,
		Deadline:  s.request.ReceivedAt.Add(s.request.Timeout),
		Request:   s.request,
	}
	if deadline := now.Add(time.Duration(a.Timeout)); a.Timeout != 0 && deadline.Before(attempt.Deadline) {
		attempt.Deadline = deadline
	}
	if a.StartWithin != 0 {
		attempt.StartBy = now.Add(time.Duration(a.StartWithin))
	}
	return attempt
}

// mayStart tells whether an attempt that the module has decided on may still be sent: its answer is owed, its client waits,
// its deadline is ahead, and it is within the attempts that the settings allowed when the request was submitted, which may
// be fewer than the module allows. The attempt is already counted in s.attempts.
func (s *requestState) mayStart(attempt Attempt, now time.Time) bool {
	withinMax := s.maxAttempts <= 0 || s.attempts <= s.maxAttempts
	return !s.answered && !s.request.ClientLeft() && now.Before(attempt.Deadline) && withinMax
}

// handle passes a value that is still being streamed on to the client, whose reading ends the attempt from now on. The
// module is notified first, so that it starts no further attempt.
func (m answerStartedMessage) handle(p *Planner) {
	s := p.requests[m.attempt.RequestID]
	if s == nil || s.answered {
		m.value.Close()
		return
	}
	p.step(dw.AnswerStarted{
		Request: s.id,
		Attempt: m.attempt.Number,
		Server:  m.attempt.Backend.ID,
		Latency: dw.Span(time.Since(m.startedAt)),
	})
	p.answer(s.id, ledger.PlanServed, Answer{Result: ResultServed, Stream: m.value})
}

// handle answers the client if the attempt succeeded, and notifies the module afterwards, which may decide on a retry.
func (m attemptEndedMessage) handle(p *Planner) {
	s := p.requests[m.attempt.RequestID]
	if s == nil {
		return
	}
	s.inFlight--
	s.lastOutcome = m.result.Outcome
	if !m.unsent {
		p.record(s, ledger.PlanHeard)
		if p.watcher != nil {
			p.watcher.AttemptEnded(AttemptID{s.id, m.attempt.Number}, m.result)
		}
	}
	if m.result.Outcome == dw.OutcomeOK {
		p.answer(s.id, ledger.PlanServed, Answer{Result: ResultServed, Value: m.result.Value})
	}
	p.step(dw.AttemptEnded{
		Request: s.id,
		Attempt: m.attempt.Number,
		Server:  m.attempt.Backend.ID,
		Outcome: m.result.Outcome,
		Final:   s.answered,
		Latency: m.latency(),
		Load:    m.result.Load,
	})
	p.forgetIfEnded(s)
}

// latency is the time to the first byte of a streamed value; of any other end, the time until now.
func (m attemptEndedMessage) latency() dw.Span {
	if m.result.FirstByteAt.IsZero() {
		return dw.Span(time.Since(m.startedAt))
	}
	return dw.Span(m.result.FirstByteAt.Sub(m.startedAt))
}
