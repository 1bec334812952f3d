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
	attempts    int        // started so far, including those that were not sent
	maxAttempts int        // by the settings at the submission; 0: as the module decides
	inFlight    int        // attempts that have not ended
	lastOutcome dw.Outcome // of the attempt that ended last
	answered    bool       // no answer is owed any more: it was given, or the client has left
}

// PendingRequest identifies a submitted request, for Cancel and Expedite. It is safe for any goroutine.
type PendingRequest struct {
	id        dw.RequestID // set and read on the planner's goroutine; empty until it handles the submission
	request   *Request
	expedited atomic.Bool
}

// submitMessage submits a request. It comes from the goroutine of a client's session.
type submitMessage struct {
	request *Request
	pending *PendingRequest
}

// cancelMessage says that a client has left. It comes from the goroutine of the client's session, and may overtake the
// request's submitMessage, as its queue goes first.
type cancelMessage struct{ pending *PendingRequest }

// expediteMessage says that a request must be answered at once. As cancelMessage, it may overtake the submitMessage.
type expediteMessage struct{ pending *PendingRequest }

func (submitMessage) queue() Queue   { return QueueArrival }
func (cancelMessage) queue() Queue   { return QueueOutcome }
func (expediteMessage) queue() Queue { return QueueOutcome }

// Submit hands a request over: it gets one final answer, through its Answer, unless Cancel is called before that or the
// planner stops. With ErrBusy or ErrStopped nothing was handed over: the caller rejects the request at ErrBusy, and fails it at ErrStopped. It blocks for
// arrivalPatience at most, and is safe for any goroutine.
func (p *Planner) Submit(r *Request) (*PendingRequest, error) {
	pending := &PendingRequest{request: r}
	return pending, p.postWithin(submitMessage{r, pending}, arrivalPatience)
}

// Cancel says that the client has left: no answer is owed any more, and no attempt starts from now on. It is safe for any
// goroutine.
func (p *Planner) Cancel(pending *PendingRequest) {
	pending.request.clientLeft.Store(true)
	if e := p.log.Check(zap.DebugLevel, "a client has left"); e != nil {
		e.Write(zap.String("request", pending.request.Message.Name))
	}
	_ = p.post(cancelMessage{pending}) // a planner that has stopped owes nothing
}

// Expedite has a request answered now, in the best way that is still allowed, as its client's connection must end. It is
// safe for any goroutine.
func (p *Planner) Expedite(pending *PendingRequest) {
	pending.expedited.Store(true)
	_ = p.post(expediteMessage{pending}) // a planner that has stopped owes nothing
}

// handle records a request and asks the module for a decision on it. It ends the request at once if its client has left, if
// it must be answered already, or if another request of the same name is open.
func (m submitMessage) handle(p *Planner) {
	m.pending.id = p.nextRequestID()
	s := &requestState{id: m.pending.id, request: m.request, maxAttempts: int(p.maxAttempts.Load())}
	p.recorder.Post(ledger.Posting{Event: ledger.PlanTaken, Key: m.request.LedgerKey, Ref: m.request.LedgerRef,
		Units: ledger.MicroUnits(m.request.Units)})
	if m.request.ClientLeft() { // its cancelMessage may have been handled before
		p.recordEnd(s, ledger.PlanClientLeft)
		return
	}
	if m.pending.expedited.Load() { // nothing has been done for it yet: a rejection is safe
		p.recordEnd(s, ledger.PlanRejectedExhausted)
		m.request.Answer(Answer{Result: ResultRejected})
		return
	}
	if m.request.Kind == KindForward && !p.claimName(m.request.Message.Name) {
		p.recordEnd(s, ledger.PlanFailedDuplicateID)
		m.request.Answer(Answer{Result: ResultFailed})
		return
	}
	p.requests[s.id] = s
	if p.watcher != nil {
		p.watcher.RequestReceived()
	}
	p.requestDecision(s)
}

// nextRequestID names a request for the module. The clients' names are not used for that: two clients could send the same.
func (p *Planner) nextRequestID() dw.RequestID {
	p.lastRequestID++
	return dw.RequestID(strconv.FormatUint(p.lastRequestID, 36))
}

// claimName reserves a client's name until the request ends, and fails if a request of this name is open. A backend that was
// sent two requests of one name would take the second for a copy of the first, and the customer's quota would pay for one.
func (p *Planner) claimName(name string) bool {
	if p.openNames[name] {
		return false
	}
	p.openNames[name] = true
	return true
}

// requestDecision feeds the module the event that a request stands for.
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

// handle ends a request whose client has left. The posting goes before the module's event, whose actions may post.
func (m cancelMessage) handle(p *Planner) {
	s := p.requests[m.pending.id]
	if s == nil || s.answered {
		return
	}
	if e := p.log.Check(zap.DebugLevel, "a request is withdrawn, as its client has left"); e != nil {
		e.Write(zap.String("request", s.request.Message.Name), zap.Int("attempts", s.attempts), zap.Int("out", s.inFlight))
	}
	p.closeRequest(s)
	p.recordEnd(s, ledger.PlanClientLeft)
	p.step(dw.ClientDeparted{Request: s.id})
	p.forgetIfEnded(s)
}

func (m expediteMessage) handle(p *Planner) {
	if s := p.requests[m.pending.id]; s != nil && !s.answered {
		p.step(dw.Expedite{Request: s.id})
	}
}

// answer gives a request its one final answer at once. Any later answer to the same request is ignored. The ledger has the
// answer before the client.
func (p *Planner) answer(id dw.RequestID, event ledger.Event, a Answer) {
	s := p.requests[id]
	if s == nil || s.answered {
		return
	}
	p.closeRequest(s)
	p.recordEnd(s, event)
	s.request.Answer(a)
	p.forgetIfEnded(s)
}

// closeRequest marks that no answer is owed any more, and retracts the attempts of which nothing is written yet. The module's
// cancellations don't do that where the settings forbid cancelling; an unwritten attempt can be taken back in any case.
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

// forgetIfEnded removes a request that is owed no answer and has no attempt in flight, and releases its name.
func (p *Planner) forgetIfEnded(s *requestState) {
	if !s.answered || s.inFlight > 0 || p.requests[s.id] != s {
		return
	}
	delete(p.requests, s.id)
	if s.request.Kind == KindForward {
		delete(p.openNames, s.request.Message.Name)
	}
}
