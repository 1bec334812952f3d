package core

import (
	"container/heap"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// timersAtOnce bounds the timers that are told of before the planner looks at its inbox again: news may not wait behind
// the deadlines of many requests.
const timersAtOnce = 32

// Clock is the planner's time: Unix time, read once at the start and monotonic from there on.
//
// It guards against two faults. Gateways name the counter's windows by their time, so clocks that began
// anywhere else would have every gateway count alone. And an instant that moved with the system's clock would
// make the same start of a backend look like a new one.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Instant is t on this clock.
func (c Clock) Instant(t time.Time) dw.Instant {
	return dw.Instant(c.start.UnixNano() + int64(t.Sub(c.start)))
}

// Time is the other way round.
func (c Clock) Time(i dw.Instant) time.Time {
	return c.start.Add(time.Duration(int64(i) - c.start.UnixNano()))
}

// FromUnixMS turns Unix time in milliseconds into an instant; 0 stays 0: long ago.
func FromUnixMS(ms int64) dw.Instant { return dw.Instant(max(0, ms) * 1e6) }

// Planner owns one Gateway of the module, its timers and its clock. All of its state belongs to the goroutine
// of Run; others reach it through its inbox.
type Planner struct {
	Clock
	gate     *dw.Gateway
	backends Backends
	counter  Counter
	books    Recorder
	monitor  Monitor
	log      *zap.Logger

	inbox
	timers timers
	reqs   map[dw.RequestID]*taken
	open   map[string]bool // by the clients' names, the bookings among reqs
	routes map[dw.ServerID]Backend
	lastID uint64
	acts   []dw.Action

	serving    Serving
	listed     map[dw.ServerID]dw.Endpoint
	known      map[dw.ServerID]bool // ever listed, up to mostKnown
	excluded   map[dw.ServerID]bool
	version    int64      // of the list
	counts     dw.Instant // when the figures are told next
	figures    Figures
	excludedTo func([]dw.ServerID)
	watcher    Watcher     // nil: nobody asks
	fleet      FleetPlan   // as told last
	told       toldEntries // of the listed, as the module was told
	fewWarm    bool
	coldSpan   dw.Span
	starts     startTimes
	most       atomic.Int64 // fetches a req may have, as settings read anew say; 0: as the module's settings say
}

// take handles a message that has waited.
func (p *Planner) take(m posted) {
	p.monitor.Waited(m.queue(), time.Since(m.at))
	m.handle(p)
}

// NewPlanner makes a planner that knows no backends yet.
func NewPlanner(s dw.Settings, seed uint64, c Clock, b Backends, n Counter, k Recorder, log *zap.Logger) (*Planner, error) {
	g, err := dw.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Planner{Clock: c, gate: g, backends: b, counter: n, books: k, monitor: noMonitor{}, log: log,
		inbox: newInbox(), reqs: map[dw.RequestID]*taken{}, open: map[string]bool{}, routes: map[dw.ServerID]Backend{},
		listed: map[dw.ServerID]dw.Endpoint{}, known: map[dw.ServerID]bool{},
		excluded: map[dw.ServerID]bool{}, told: toldEntries{entries: map[dw.ServerID]dw.Endpoint{}}, coldSpan: s.SlowStartSpan, starts: newStartTimes()}, nil
}

// SetMaxAttempts bounds the fetches of reqs taken from now on, below what the module's settings allow.
func (p *Planner) SetMaxAttempts(n int) { p.most.Store(int64(n)) }

// SetFigures has the planner tell f what operators read of it.
func (p *Planner) SetFigures(f Figures) { p.figures = f }

// call hands the planner a message and waits until it is done.
func (p *Planner) call(m message, done <-chan error) error {
	if err := p.post(m); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-p.stop:
		return ErrStopped
	}
}

// Run works until the context ends.
func (p *Planner) Run(ctx context.Context) error {
	defer close(p.stop)
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for ctx.Err() == nil {
		p.fire()
		if len(p.timers) > 0 {
			wake.Reset(time.Until(p.Time(p.timers[0].At)))
		}
		if m, ok := p.next(ctx, wake.C); ok {
			p.take(m)
		}
	}
	return nil
}

// fire tells the module of the timers that are due.
func (p *Planner) fire() {
	now := p.Instant(time.Now())
	if now >= p.counts {
		if p.fleet.Active { // what was cold may be warm by now
			p.retell()
		}
		p.counted()
	}
	for n := 0; n < timersAtOnce && len(p.timers) > 0 && p.timers[0].At <= now; n++ {
		t := heap.Pop(&p.timers).(dw.SetTimer)
		p.tell(dw.TimerFired{ID: t.ID})
	}
}

// tell hands an event to the module and carries out what it decides.
func (p *Planner) tell(e dw.Event) {
	now := time.Now()
	acts := p.gate.Handle(p.Instant(now), e, p.acts[:0])
	p.acts = nil // an action may lead to an event of its own
	for _, a := range acts {
		switch a := a.(type) {
		case dw.StartAttempt:
			p.send(now, a)
		case dw.CancelAttempt:
			p.backends.Cancel(a.Request, a.Attempt)
		case dw.Reject:
			p.answer(a.Request, refusals[a.Reason], Answer{Result: ResultRejected, RetryAfter: time.Duration(a.RetryAfter)})
		case dw.Fail:
			p.answer(a.Request, failures[a.Reason], Answer{Result: ResultFailed})
		case dw.LimitAnswer:
			p.answer(a.Request, ledger.PlanServed, Answer{Limit: &a})
		case dw.AdjustAnswer:
			p.answer(a.Request, ledger.PlanServed, Answer{Units: a.Units})
		case dw.TallyChanged:
			p.books.Post(ledger.Posting{Event: ledger.UnitsDrawn, Key: ledger.Account(uint64(a.Customer)),
				Units: ledger.MicroUnits(a.Units)})
		case dw.SetTimer:
			heap.Push(&p.timers, a)
		case dw.CounterAdd:
			p.count(now, a)
		case dw.SubscribeEndpoints: // discovery is subscribed at all times
		default:
			p.log.Error("no such action on this platform", zap.String("action", fmt.Sprintf("%T", a)))
		}
	}
	clear(acts)
	p.acts = acts
}

// timers is a heap, the soonest first.
type timers []dw.SetTimer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].At < t[j].At }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(dw.SetTimer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
