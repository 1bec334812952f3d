package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// answerStartedMessage reports that a backend has begun to send a value that is streamed. A goroutine of Backends posts it,
// at most once per attempt and before the attemptEndedMessage. Its handler passes the stream to the client or closes it.
type answerStartedMessage struct {
	attempt   Attempt
	startedAt time.Time
	value     Stream
}

// attemptEndedMessage reports that an attempt has ended. It is posted exactly once per attempt: by a goroutine of Backends
// or, if the attempt was not sent, by a goroutine that startAttempt starts.
type attemptEndedMessage struct {
	attempt   Attempt
	startedAt time.Time
	result    AttemptResult
	unsent    bool // true if the attempt was not passed to Backends
}

func (answerStartedMessage) queue() Queue { return QueueOutcome }
func (attemptEndedMessage) queue() Queue  { return QueueOutcome }

func (m answerStartedMessage) charge(d time.Duration) { m.attempt.Request.ChargeTime(d) }
func (m attemptEndedMessage) charge(d time.Duration)  { m.attempt.Request.ChargeTime(d) }

// startAttempt starts an attempt that the module has decided on. Only the module decides on retries; nothing here starts
// another attempt. An attempt that may not start ends with dw.OutcomeNotSent. Its end is posted as a message because the
// module expects the end of each attempt in a later event.
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
	onEnd := func(result AttemptResult) {
		if p.post(attemptEndedMessage{attempt, now, result, false}) != nil {
			result.Memory.Release()
		}
	}
	p.backends.Start(attempt, onStream, onEnd)
}

// newAttempt returns the next attempt of a request. Its deadline is the earlier of the client's and the module's.
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

// mayStart reports whether an attempt that the module has decided on may still be sent. It returns true if the request is
// unanswered, its client is still connected, the deadline has not passed, and the number of attempts does not exceed the
// maximum at the request's submission, which may be lower than the module's. s.attempts already includes the attempt.
func (s *requestState) mayStart(attempt Attempt, now time.Time) bool {
	withinMax := s.maxAttempts <= 0 || s.attempts <= s.maxAttempts
	return !s.answered && !s.request.ClientDeparted() && now.Before(attempt.Deadline) && withinMax
}

// handle passes a value that is still being streamed to the client. From then on, the attempt ends when the consumer closes
// the stream. The module is notified first, so that it starts no further attempt.
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

// handle answers the client if the attempt succeeded, and then notifies the module, which may decide on a retry.
func (m attemptEndedMessage) handle(p *Planner) {
	s := p.requests[m.attempt.RequestID]
	if s == nil {
		m.result.Memory.Release()
		return
	}
	s.inFlight--
	s.lastOutcome = m.result.Outcome
	s.mayHaveRun = s.mayHaveRun || mayHaveRun(m.result.Outcome)
	if !m.unsent {
		p.record(s, ledger.PlanNotified)
		if p.watcher != nil {
			p.watcher.AttemptEnded(AttemptID{s.id, m.attempt.Number}, m.result)
		}
	}
	if m.result.Outcome == dw.OutcomeOK {
		p.answer(s.id, ledger.PlanServed, Answer{Result: ResultServed, Value: m.result.Value, Memory: m.result.Memory})
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

// latency returns the time from the start of the attempt to the first byte of a streamed value or, without one, until now.
func (m attemptEndedMessage) latency() dw.Span {
	if m.result.FirstByteAt.IsZero() {
		return dw.Span(time.Since(m.startedAt))
	}
	return dw.Span(m.result.FirstByteAt.Sub(m.startedAt))
}
