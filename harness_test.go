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

// settings returns the settings of one of two gateways, with two classes and a plan of 2 units a second.
func settings() dw.Settings {
	return dw.Settings{Instances: 2, Zones: 1, Tick: millisecond, Counter: true, CounterTimeout: 50 * millisecond, MaxUnits: 1,
		MaxAttempts: 3, MayCancel: true, MaxRetryAfter: 500 * millisecond, AnswerSlack: 16 * millisecond, DrainGrace: second,
		SlowStartSpan: 15 * second, OverloadSpan: 2 * second, StartCapacity: 0.2, OverloadMultiple: 2.5,
		Classes: []dw.Class{{Objective: 400 * millisecond, Deadline: 800 * millisecond, Weight: 3, Idempotency: dw.Idempotent},
			{Objective: 400 * millisecond, Deadline: 800 * millisecond, Weight: 5, Idempotency: dw.NotIdempotent}},
		Plans: []dw.Plan{{Rate: 2, Burst: 6, WeightFactor: 1, OverQuotaCost: 1}}}
}

// harness drives one gateway on a virtual clock: it fires the gateway's timers and answers its counter calls.
type harness struct {
	t              *testing.T
	gateway        *dw.Gateway
	now            dw.Instant
	timers         []dw.SetTimer
	attempts       []dw.StartAttempt
	answers        map[dw.RequestID]dw.Action // final answers by request
	cancels        []dw.CancelAttempt
	counterCalls   []dw.CounterAdd
	counter        func(dw.CounterAdd) *dw.CounterAnswered // returns nil if the call times out
	counterReplies []counterReply
	lastID         int
}

// counterReply is a counter answer and the time of its delivery.
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
	h := &harness{t: t, gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}
	h.counter = func(c dw.CounterAdd) *dw.CounterAnswered {
		totals[c.Name] += c.Add
		return &dw.CounterAnswered{Name: c.Name, Total: totals[c.Name]}
	}
	h.handle(dw.EndpointList{Kind: dw.ListCached, Servers: servers})
	return h
}

func (h *harness) handle(e dw.Event) {
	for _, a := range h.gateway.Handle(h.now, e, nil) {
		switch a := a.(type) {
		case dw.SetTimer:
			h.timers = append(h.timers, a)
		case dw.StartAttempt:
			h.attempts = append(h.attempts, a)
		case dw.Reject:
			h.answers[a.Request] = a
		case dw.Fail:
			h.answers[a.Request] = a
		case dw.LimitAnswer:
			h.answers[a.Request] = a
		case dw.AdjustAnswer:
			h.answers[a.Request] = a
		case dw.CancelAttempt:
			h.cancels = append(h.cancels, a)
		case dw.CounterAdd:
			h.counterCalls = append(h.counterCalls, a)
			r := counterReply{h.now + dw.Instant(50*millisecond), dw.CounterAnswered{Name: a.Name, Outcome: dw.OutcomeTimeout}}
			if e := h.counter(a); e != nil {
				r = counterReply{h.now + dw.Instant(2*millisecond), *e}
			}
			h.counterReplies = append(h.counterReplies, r)
		}
	}
}

// fireTimers fires the timers that are due.
func (h *harness) fireTimers() {
	due := h.timers
	h.timers = nil
	for _, t := range due {
		if t.At <= h.now {
			h.handle(dw.TimerFired{ID: t.ID})
		} else {
			h.timers = append(h.timers, t)
		}
	}
}

// advance moves the clock on, and fires timers and delivers counter answers when they are due.
func (h *harness) advance(d dw.Span) {
	for end := h.now + dw.Instant(d); h.now < end; {
		h.now += dw.Instant(millisecond)
		h.fireTimers()
		pending := h.counterReplies
		h.counterReplies = nil
		for _, r := range pending {
			if r.at <= h.now {
				h.handle(r.e)
			} else {
				h.counterReplies = append(h.counterReplies, r)
			}
		}
	}
}

// request submits a request. It returns its identifier, and true if an attempt started.
func (h *harness) request(a dw.Arrival) (dw.RequestID, bool) {
	h.lastID++
	a.ID = dw.RequestID(fmt.Sprint("q", h.lastID))
	if a.Remaining == 0 {
		a.Remaining = 800 * millisecond
	}
	if a.Units == 0 {
		a.Units = 1
	}
	if a.Spread == 0 {
		a.Spread = 1
	}
	n := len(h.attempts)
	h.handle(a)
	return a.ID, len(h.attempts) > n
}

// serve submits n requests at intervals of d, answers each immediately, and returns the number of admitted requests.
func (h *harness) serve(n int, interval dw.Span, a dw.Arrival) (admitted int) {
	for range n {
		id, sent := h.request(a)
		if sent {
			admitted++
			s := h.attempts[len(h.attempts)-1]
			h.handle(dw.AttemptEnded{Request: id, Server: s.Server, Final: true, Latency: 10 * millisecond})
		}
		h.advance(interval)
	}
	return admitted
}

// manyGateways returns the settings of one of very many gateways: an equal share of a burst is smaller than a request.
func manyGateways() dw.Settings {
	s := settings()
	s.Instances, s.ParallelAttempts = 100, true
	return s
}
