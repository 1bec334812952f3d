package core

import (
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// requestState is the planner's record of a request, from its submission until it is answered and its last attempt has
// ended. It belongs to the planner's goroutine.
type requestState struct {
	id          dw.RequestID
	request     *Request
	attempts    int        // number of attempts started, including those that were not sent
	maxAttempts int        // maximum number of attempts, fixed at submission; 0 if only the module limits it
	inFlight    int        // number of attempts that have not ended
	lastOutcome dw.Outcome // outcome of the attempt that ended last
	mayHaveRun  bool       // true if a server may have executed an attempt that has ended
	answered    bool       // true if no further answer may be given: one was given, or the client has disconnected
}

// PendingRequest identifies a submitted request for Cancel and Expedite. It is safe for concurrent use.
type PendingRequest struct {
	id        dw.RequestID // used on the planner's goroutine only; empty until the planner handles the submission
	request   *Request
	expedited atomic.Bool // true if Expedite was called
}

// submitMessage submits a request. The goroutine of a client's session posts it.
type submitMessage struct {
	request *Request
	pending *PendingRequest
}

// cancelMessage reports that a request's client has disconnected. The goroutine of the client's session posts it. It may
// overtake the request's submitMessage, because its queue has a higher priority.
type cancelMessage struct{ pending *PendingRequest }

// expediteMessage requires a request to be answered now. Like cancelMessage, it may overtake the request's submitMessage.
type expediteMessage struct{ pending *PendingRequest }

func (submitMessage) queue() Queue   { return QueueArrival }
func (cancelMessage) queue() Queue   { return QueueOutcome }
func (expediteMessage) queue() Queue { return QueueOutcome }

func (m submitMessage) charge(d time.Duration)   { m.request.ChargeTime(d) }
func (m cancelMessage) charge(d time.Duration)   { m.pending.request.ChargeTime(d) }
func (m expediteMessage) charge(d time.Duration) { m.pending.request.ChargeTime(d) }

// Submit passes a request to the planner. The request gets one final answer, through its Answer function, unless Cancel is
// called first or the planner stops. On ErrBusy and ErrStopped the planner has not accepted the request; the caller rejects
// the request on ErrBusy and fails it on ErrStopped. Submit blocks for arrivalTimeout at most, and is safe for concurrent use.
func (p *Planner) Submit(r *Request) (*PendingRequest, error) {
	pending := &PendingRequest{request: r}
	return pending, p.postWithin(submitMessage{r, pending}, arrivalTimeout)
}

// Cancel reports that the request's client has disconnected: the request gets no answer, and none of its attempts starts from
// now on. It is safe for concurrent use.
func (p *Planner) Cancel(pending *PendingRequest) {
	pending.request.clientDeparted.Store(true)
	if e := p.log.Check(zap.DebugLevel, "a client has left"); e != nil {
		e.Write(zap.String("request", pending.request.Message.Name))
	}
	_ = p.post(cancelMessage{pending}) // a stopped planner has nothing to cancel
}

// Expedite requires a request to be answered now, with the best answer that is still allowed, because its client's connection
// must end. It is safe for concurrent use.
func (p *Planner) Expedite(pending *PendingRequest) {
	pending.expedited.Store(true)
	_ = p.post(expediteMessage{pending}) // a stopped planner answers nothing
}

// handle records a request and requests the module's decision on it. It ends the request immediately if the client has
// disconnected, if Expedite was already called, or if another request with the same name is open.
func (m submitMessage) handle(p *Planner) {
	m.pending.id = p.nextRequestID()
	s := &requestState{id: m.pending.id, request: m.request, maxAttempts: int(p.maxAttempts.Load())}
	p.recorder.Post(ledger.Posting{Event: ledger.PlanTaken, Key: m.request.LedgerKey, Ref: m.request.LedgerRef,
		Units: ledger.MicroUnits(m.request.Units)})
	if m.request.ClientDeparted() { // its cancelMessage may already have been handled
		p.recordEnd(s, ledger.PlanClientDeparted)
		m.request.Memory.Release()
		return
	}
	if m.pending.expedited.Load() { // no attempt was started, so a rejection is safe
		p.recordEnd(s, ledger.PlanRejectedExhausted)
		m.request.Memory.Release()
		m.request.Answer(Answer{Result: ResultRejected})
		return
	}
	if m.request.Kind == KindForward && !p.reserveName(m.request.Message.Name) {
		p.recordEnd(s, ledger.PlanFailedDuplicateID)
		m.request.Memory.Release()
		m.request.Answer(Answer{Result: ResultFailed})
		return
	}
	p.requests[s.id] = s
	if p.watcher != nil {
		p.watcher.RequestReceived()
	}
	p.requestDecision(s)
}

// nextRequestID returns a new request id for the module. Client-given names can't serve as ids, because two clients may use the
// same name.
func (p *Planner) nextRequestID() dw.RequestID {
	p.lastRequestID++
	return dw.RequestID(strconv.FormatUint(p.lastRequestID, 36))
}

// reserveName reserves a client-given name until the request ends. It returns false if a request with this name is open, or may have
// run and must not run again: a backend that receives two requests with one name would treat the second as a copy of the first, and only one would be
// charged to the customer's quota.
func (p *Planner) reserveName(name string) bool {
	if p.openNames[name] || p.spentNames.contains(name, time.Now()) {
		return false
	}
	p.openNames[name] = true
	return true
}

// requestDecision passes a request to the module, as the event that matches its kind.
func (p *Planner) requestDecision(s *requestState) {
	r := s.request
	remaining := dw.Span(r.Timeout - time.Since(r.ReceivedAt))
	query := dw.LimitQuery{ID: s.id, Plan: r.Plan, Customer: r.Customer, Remaining: remaining, Spread: r.Spread,
		FirstGateway: r.FirstGateway}
	switch r.Kind {
	case KindQueryLimit:
		p.step(query)
	case KindAdjustLimit:
		p.step(dw.LimitAdjust{LimitQuery: query, Units: r.Units})
	default:
		p.step(dw.Arrival{ID: s.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer, Remaining: remaining, Units: r.Units,
			Spread: r.Spread, FirstGateway: r.FirstGateway, Repeat: r.Repeat})
	}
}

// handle ends a request whose client has disconnected. It posts the end to the ledger before it notifies the module, whose
// actions may cause further postings.
func (m cancelMessage) handle(p *Planner) {
	s := p.requests[m.pending.id]
	if s == nil || s.answered {
		return
	}
	if e := p.log.Check(zap.DebugLevel, "a request is withdrawn, as its client has left"); e != nil {
		e.Write(zap.String("request", s.request.Message.Name), zap.Int("attempts", s.attempts), zap.Int("out", s.inFlight))
	}
	p.closeRequest(s)
	p.recordEnd(s, ledger.PlanClientDeparted)
	p.step(dw.ClientDeparted{Request: s.id})
	p.forgetIfEnded(s)
}

func (m expediteMessage) handle(p *Planner) {
	if s := p.requests[m.pending.id]; s != nil && !s.answered {
		p.step(dw.Expedite{Request: s.id})
	}
}

// answer gives a request its single final answer. Later answers to the same request are ignored. The answer is posted to the
// ledger before the client gets it.
func (p *Planner) answer(id dw.RequestID, event ledger.Event, a Answer) {
	s := p.requests[id]
	if s == nil || s.answered {
		a.Memory.Release()
		return
	}
	p.closeRequest(s)
	p.recordEnd(s, event)
	s.request.Answer(a)
	p.forgetIfEnded(s)
}

// closeRequest marks a request as answered and retracts its attempts for which nothing is written yet. The module does not
// cancel these if the settings forbid cancelling, but an unwritten attempt can be withdrawn in any case.
func (p *Planner) closeRequest(s *requestState) {
	s.answered = true
	for number := 0; s.inFlight > 0 && number < s.attempts; number++ {
		p.backends.Retract(s.id, number)
	}
}

// recordEnd posts how a request ended to the ledger and to the monitor.
func (p *Planner) recordEnd(s *requestState, event ledger.Event) {
	p.record(s, event)
	p.monitor.Answered(event)
}

// record posts an event of a request to the ledger.
func (p *Planner) record(s *requestState, event ledger.Event) {
	p.recorder.Post(ledger.Posting{Event: event, Key: s.request.LedgerKey, Ref: s.request.LedgerRef})
}

// forgetIfEnded deletes a request and releases its name if the request is marked as answered and has no attempt in flight.
func (p *Planner) forgetIfEnded(s *requestState) {
	if !s.answered || s.inFlight > 0 || p.requests[s.id] != s {
		return
	}
	delete(p.requests, s.id)
	s.request.Memory.Release()
	if s.request.Kind != KindForward {
		return
	}
	delete(p.openNames, s.request.Message.Name)
	if s.mayHaveRun && !s.request.IdempotentQuery && s.request.ClientDeparted() {
		p.spentNames.add(s.request.Message.Name, time.Now())
	}
}
