package dewhitch_test

import (
	"fmt"
	"testing"

	dw "dewhitch"
)

const (
	millisecond = dw.Span(1e6)
	second      = dw.Span(1e9)
)

func settings() dw.Settings {
	return dw.Settings{Instances: 2, Zones: 1, Tick: millisecond, Counter: true, CounterTimeout: 50 * millisecond, MaxUnits: 1,
		MaxAttempts: 3, MayCancel: true, MaxRetryAfter: 500 * millisecond, AnswerSlack: 16 * millisecond, DrainGrace: second,
		SlowStartSpan: 15 * second, OverloadSpan: 2 * second, StartCapacity: 0.2, OverloadMultiple: 2.5,
		Classes: []dw.Class{{Objective: 400 * millisecond, Deadline: 800 * millisecond, Weight: 3, Idempotency: dw.Idempotent},
			{Objective: 400 * millisecond, Deadline: 800 * millisecond, Weight: 5, Idempotency: dw.NotIdempotent}},
		Plans: []dw.Plan{{Rate: 2, Burst: 6, WeightFactor: 1, OverQuotaCost: 1}}}
}

// harness drives one gateway by hand: it keeps its timers and answers its counter calls as it is told to.
type harness struct {
	t              *testing.T
	gateway        *dw.Gateway
	now            dw.Instant
	timers         []dw.SetTimer
	attempts       []dw.StartAttempt
	answers        map[dw.RequestID]dw.Action // final answers
	cancels        []dw.CancelAttempt
	counterCalls   []dw.CounterAdd
	counter        func(dw.CounterAdd) *dw.CounterAnswered // nil: silence until the time-out
	counterReplies []counterReply
	lastID         int
}

type counterReply struct {
	at dw.Instant
	e  dw.CounterAnswered
}

func newHarness(t *testing.T, s dw.Settings, servers ...dw.Endpoint) *harness {
	t.Helper()
	g, err := dw.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	totals := map[string]float64{}
	b := &harness{t: t, gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}
	b.counter = func(c dw.CounterAdd) *dw.CounterAnswered {
		totals[c.Name] += c.Add
		return &dw.CounterAnswered{Name: c.Name, Total: totals[c.Name]}
	}
	b.handle(dw.EndpointList{Kind: dw.ListCached, Servers: servers})
	return b
}

func (b *harness) handle(e dw.Event) {
	for _, a := range b.gateway.Handle(b.now, e, nil) {
		switch a := a.(type) {
		case dw.SetTimer:
			b.timers = append(b.timers, a)
		case dw.StartAttempt:
			b.attempts = append(b.attempts, a)
		case dw.Reject:
			b.answers[a.Request] = a
		case dw.Fail:
			b.answers[a.Request] = a
		case dw.LimitAnswer:
			b.answers[a.Request] = a
		case dw.AdjustAnswer:
			b.answers[a.Request] = a
		case dw.CancelAttempt:
			b.cancels = append(b.cancels, a)
		case dw.CounterAdd:
			b.counterCalls = append(b.counterCalls, a)
			r := counterReply{b.now + dw.Instant(50*millisecond), dw.CounterAnswered{Name: a.Name, Outcome: dw.OutcomeTimeout}}
			if e := b.counter(a); e != nil {
				r = counterReply{b.now + dw.Instant(2*millisecond), *e}
			}
			b.counterReplies = append(b.counterReplies, r)
		}
	}
}

// fireTimers tells of the timers that are due.
func (b *harness) fireTimers() {
	due := b.timers
	b.timers = nil
	for _, t := range due {
		if t.At <= b.now {
			b.handle(dw.TimerFired{ID: t.ID})
		} else {
			b.timers = append(b.timers, t)
		}
	}
}

// advance lets time go by, with timers and counter answers coming when they are due.
func (b *harness) advance(d dw.Span) {
	for end := b.now + dw.Instant(d); b.now < end; {
		b.now += dw.Instant(millisecond)
		b.fireTimers()
		replys := b.counterReplies
		b.counterReplies = nil
		for _, r := range replys {
			if r.at <= b.now {
				b.handle(r.e)
			} else {
				b.counterReplies = append(b.counterReplies, r)
			}
		}
	}
}

// request has one request arrive and returns its identifier and whether an attempt started.
func (b *harness) request(a dw.Arrival) (dw.RequestID, bool) {
	b.lastID++
	a.ID = dw.RequestID(fmt.Sprint("q", b.lastID))
	if a.Remaining == 0 {
		a.Remaining = 800 * millisecond
	}
	if a.Units == 0 {
		a.Units = 1
	}
	if a.Spread == 0 {
		a.Spread = 1
	}
	n := len(b.attempts)
	b.handle(a)
	return a.ID, len(b.attempts) > n
}

// serve has n requests arrive d apart, answers each at once, and returns how many were admitted.
func (b *harness) serve(n int, d dw.Span, a dw.Arrival) (in int) {
	for range n {
		id, ok := b.request(a)
		if ok {
			in++
			s := b.attempts[len(b.attempts)-1]
			b.handle(dw.AttemptEnded{Request: id, Server: s.Server, Final: true, Latency: 10 * millisecond})
		}
		b.advance(d)
	}
	return in
}

// manyGateways are the settings of one gateway of very many, whose even part of a burst is below one request.
func manyGateways() dw.Settings {
	s := settings()
	s.Instances, s.ParallelAttempts = 100, true
	return s
}
