package core

import (
	"strconv"
	"sync/atomic"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// taken is a req from take in until its answer is given and its last fetch has ended.
type taken struct {
	id       dw.RequestID
	req      *Request
	attempts int        // fetches asked for
	most     int        // fetches that may be sent, as the settings said at take in; 0: as the module says
	out      int        // fetches that have not ended
	last     dw.Outcome // of the fetch that ended last
	answered bool
}

// PendingRequest names a req that was taken in.
type PendingRequest struct {
	id  dw.RequestID // the planner's own; empty: it has not come to the req yet
	req *Request
	// hurried says that the req must be answered at once.
	hurried atomic.Bool
}

type takeIn struct {
	req    *Request
	ticket *PendingRequest
}

type clientGone struct{ ticket *PendingRequest }

func (takeIn) queue() Queue     { return QueueArrival }
func (clientGone) queue() Queue { return QueueOutcome }

// Submit hands a req over: from now on it gets one final answer, unless Leave is called first. The ticket is
// for Leave alone. With ErrBusy nothing was handed over: the req is to be refused.
func (p *Planner) Submit(r *Request) (*PendingRequest, error) {
	t := &PendingRequest{req: r}
	return t, p.postWithin(takeIn{r, t}, arrivalPatience)
}

// Cancel tells that the client has gone; no answer is owed any more, and no attempt begins from now on.
func (p *Planner) Cancel(t *PendingRequest) {
	t.req.clientLeft.Store(true)
	if e := p.log.Check(zap.DebugLevel, "a client has left"); e != nil {
		e.Write(zap.String("request", t.req.Message.Name))
	}
	_ = p.post(clientGone{t}) // a planner that has stopped owes nothing
}

func (m takeIn) handle(p *Planner) {
	m.ticket.id = p.nextID()
	t := &taken{id: m.ticket.id, req: m.req, most: int(p.most.Load())}
	p.books.Post(ledger.Posting{Event: ledger.PlanTaken, Key: m.req.LedgerKey, Ref: m.req.LedgerRef,
		Units: ledger.MicroUnits(m.req.Units)})
	if m.req.ClientLeft() { // while this waited; what says so may have come before
		p.books.Post(ledger.Posting{Event: ledger.PlanGone, Key: m.req.LedgerKey, Ref: m.req.LedgerRef})
		p.monitor.Answered(ledger.PlanGone)
		return
	}
	if m.ticket.hurried.Load() { // while this waited: nothing has been done for it
		p.books.Post(ledger.Posting{Event: ledger.PlanRefusedGaveUp, Key: m.req.LedgerKey, Ref: m.req.LedgerRef})
		p.monitor.Answered(ledger.PlanRefusedGaveUp)
		m.req.Answer(Answer{Result: ResultRejected})
		return
	}
	// Danger: a client may send the id of a req that another's is open under. A backend would be sent two of one id,
	// and could not tell that it is no copy; nor does the customer's quota pay for it.
	if name := m.req.Message.Name; m.req.Kind == KindForward {
		if p.open[name] {
			t.post(p, ledger.PlanFailedOpen)
			p.monitor.Answered(ledger.PlanFailedOpen)
			m.req.Answer(Answer{Result: ResultFailed})
			return
		}
		p.open[name] = true
	}
	p.reqs[t.id] = t
	if p.watcher != nil {
		p.watcher.RequestReceived()
	}
	p.admit(t)
}

// nextID names a req for the module. The clients' own ids are not used: two clients could send the same.
func (p *Planner) nextID() dw.RequestID {
	p.lastID++
	return dw.RequestID(strconv.FormatUint(p.lastID, 36))
}

func (m clientGone) handle(p *Planner) {
	if t := p.reqs[m.ticket.id]; t != nil && !t.answered {
		if e := p.log.Check(zap.DebugLevel, "a request is withdrawn, as its client has left"); e != nil {
			e.Write(zap.String("request", t.req.Message.Name), zap.Int("attempts", t.attempts), zap.Int("out", t.out))
		}
		p.settle(t)
		t.post(p, ledger.PlanGone)
		p.monitor.Answered(ledger.PlanGone)
		p.tell(dw.ClientLeft{Request: t.id})
		p.drop(t)
	}
}

// settle marks that nothing is owed any more, and nothing more is sent. Danger: where the settings allow no cancelling, what
// waits for a connection would be written for a client that has gone; unwritten, it can be taken back whatever they say.
func (p *Planner) settle(t *taken) {
	t.answered = true
	for i := 0; t.out > 0 && i < t.attempts; i++ {
		p.backends.Retract(t.id, i)
	}
}

// post books an event of the planner's on a req.
func (t *taken) post(p *Planner, e ledger.Event) {
	p.books.Post(ledger.Posting{Event: e, Key: t.req.LedgerKey, Ref: t.req.LedgerRef})
}

// drop forgets a req that nothing is owed to and nothing is out for.
func (p *Planner) drop(t *taken) {
	if t.answered && t.out == 0 && p.reqs[t.id] == t {
		delete(p.reqs, t.id)
		if t.req.Kind == KindForward {
			delete(p.open, t.req.Message.Name)
		}
	}
}
