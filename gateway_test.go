package dewhitch_test

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	dw "dewhitch"
)

const (
	ms  = dw.Span(1e6)
	sec = dw.Span(1e9)
)

func settings() dw.Settings {
	return dw.Settings{Instances: 2, Zones: 1, Tick: ms, Counter: true, CounterTimeout: 50 * ms, MaxUnits: 1,
		MaxAttempts: 3, MayCancel: true, MaxRetryAfter: 500 * ms, AnswerSlack: 16 * ms, DrainGrace: sec,
		SlowStartSpan: 15 * sec, OverloadSpan: 2 * sec, StartCapacity: 0.2, OverloadMultiple: 2.5,
		Classes: []dw.Class{{Objective: 400 * ms, Deadline: 800 * ms, Weight: 3, Idempotency: dw.Idempotent},
			{Objective: 400 * ms, Deadline: 800 * ms, Weight: 5, Idempotency: dw.NotIdempotent}},
		Plans: []dw.Plan{{Rate: 2, Burst: 6, WeightFactor: 1, OverQuotaCost: 1}}}
}

// bed drives one gateway by hand: it keeps its timers and answers its counter calls as it is told to.
type bed struct {
	t      *testing.T
	g      *dw.Gateway
	now    dw.Instant
	timers []dw.SetTimer
	sent   []dw.StartAttempt
	over   map[dw.RequestID]dw.Action // final answers
	cancel []dw.CancelAttempt
	calls  []dw.CounterAdd
	answer func(dw.CounterAdd) *dw.CounterAnswered // nil: silence until the time-out
	replys []reply
	next   int
}

type reply struct {
	at dw.Instant
	e  dw.CounterAnswered
}

func newBed(t *testing.T, s dw.Settings, servers ...dw.Endpoint) *bed {
	t.Helper()
	g, err := dw.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	totals := map[string]float64{}
	b := &bed{t: t, g: g, now: dw.Instant(100 * sec), over: map[dw.RequestID]dw.Action{}}
	b.answer = func(c dw.CounterAdd) *dw.CounterAnswered {
		totals[c.Name] += c.Add
		return &dw.CounterAnswered{Name: c.Name, Total: totals[c.Name]}
	}
	b.do(dw.EndpointList{Kind: dw.ListCached, Servers: servers})
	return b
}

func (b *bed) do(e dw.Event) {
	for _, a := range b.g.Handle(b.now, e, nil) {
		switch a := a.(type) {
		case dw.SetTimer:
			b.timers = append(b.timers, a)
		case dw.StartAttempt:
			b.sent = append(b.sent, a)
		case dw.Reject:
			b.over[a.Request] = a
		case dw.Fail:
			b.over[a.Request] = a
		case dw.LimitAnswer:
			b.over[a.Request] = a
		case dw.AdjustAnswer:
			b.over[a.Request] = a
		case dw.CancelAttempt:
			b.cancel = append(b.cancel, a)
		case dw.CounterAdd:
			b.calls = append(b.calls, a)
			r := reply{b.now + dw.Instant(50*ms), dw.CounterAnswered{Name: a.Name, Outcome: dw.OutcomeTimeout}}
			if e := b.answer(a); e != nil {
				r = reply{b.now + dw.Instant(2*ms), *e}
			}
			b.replys = append(b.replys, r)
		}
	}
}

// fire tells of the timers that are due.
func (b *bed) fire() {
	due := b.timers
	b.timers = nil
	for _, t := range due {
		if t.At <= b.now {
			b.do(dw.TimerFired{ID: t.ID})
		} else {
			b.timers = append(b.timers, t)
		}
	}
}

// pass lets time go by, with timers and counter answers coming when they are due.
func (b *bed) pass(d dw.Span) {
	for end := b.now + dw.Instant(d); b.now < end; {
		b.now += dw.Instant(ms)
		b.fire()
		replys := b.replys
		b.replys = nil
		for _, r := range replys {
			if r.at <= b.now {
				b.do(r.e)
			} else {
				b.replys = append(b.replys, r)
			}
		}
	}
}

// ask sends one request in and returns its id and whether an attempt started.
func (b *bed) ask(a dw.Arrival) (dw.RequestID, bool) {
	b.next++
	a.ID = dw.RequestID(fmt.Sprint("q", b.next))
	if a.Remaining == 0 {
		a.Remaining = 800 * ms
	}
	if a.Units == 0 {
		a.Units = 1
	}
	if a.Spread == 0 {
		a.Spread = 1
	}
	n := len(b.sent)
	b.do(a)
	return a.ID, len(b.sent) > n
}

// serve asks for n requests d apart, answers each at once, and returns how many were let in.
func (b *bed) serve(n int, d dw.Span, a dw.Arrival) (in int) {
	for range n {
		id, ok := b.ask(a)
		if ok {
			in++
			s := b.sent[len(b.sent)-1]
			b.do(dw.AttemptEnded{Request: id, Server: s.Server, Final: true, Latency: 10 * ms})
		}
		b.pass(d)
	}
	return in
}

func TestImpossibleSettings(t *testing.T) {
	cases := []struct {
		field string
		spoil func(*dw.Settings)
	}{
		{"Instances", func(s *dw.Settings) { s.Instances = 0 }},
		{"Self", func(s *dw.Settings) { s.Self = 2 }},
		{"Tick", func(s *dw.Settings) { s.Tick = -1 }},
		{"CounterTimeout", func(s *dw.Settings) { s.CounterTimeout = 0 }},
		{"Classes", func(s *dw.Settings) { s.Classes = nil }},
		{"Classes[1].Aim", func(s *dw.Settings) { s.Classes[1].Objective = 0 }},
		{"Plans[0].Rate", func(s *dw.Settings) { s.Plans[0].Rate = -1 }},
		{"Plans[0].CeilingRate", func(s *dw.Settings) { s.Plans[0].CeilingRate = -1 }},
		{"ColdSpan", func(s *dw.Settings) { s.SlowStartSpan = -1 }},
		{"StartCapacity", func(s *dw.Settings) { s.StartCapacity = 2 }},
	}
	for _, c := range cases {
		s := settings()
		c.spoil(&s)
		_, err := dw.New(s, 1)
		var setting *dw.SettingError
		if !errors.As(err, &setting) || setting.Field != c.field || !strings.HasSuffix(err.Error(), " "+c.field) {
			t.Errorf("%s: got error %v", c.field, err)
		}
	}
}

func TestOddEvents(t *testing.T) {
	odd := []dw.Event{
		dw.AttemptEnded{Request: "none", Attempt: 3}, dw.ClientLeft{Request: "none"}, dw.TimerFired{ID: "none"},
		dw.CounterAnswered{Name: "none", Total: 3}, dw.AnswerStarted{Request: "none"}, dw.HealthChecked{Server: 5}, dw.PeerMessage{From: 1},
		dw.EndpointList{Kind: dw.ListFull}, dw.EndpointList{Kind: dw.ListFailed},
		dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7}, {ID: 7}}},
	}
	b := newBed(t, settings(), dw.Endpoint{ID: 7})
	for _, e := range odd {
		b.do(e)
	}
	if _, ok := b.ask(dw.Arrival{Spread: 9, First: 5}); !ok {
		t.Error("nothing is served after odd events")
	}
	for name, a := range map[string]dw.Arrival{"no time left": {Remaining: -1}, "no such class": {Class: 9},
		"no such plan": {Plan: -1}} {
		if id, _ := b.ask(a); b.over[id] == nil {
			t.Errorf("%s: not refused", name)
		}
	}
	if id, _ := newBed(t, settings()).ask(dw.Arrival{}); id == "" {
		t.Error("no server at all")
	}
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	if in := newBed(t, s, dw.Endpoint{ID: 7}).serve(50, ms, dw.Arrival{}); in != 50 {
		t.Errorf("a plan with no quota lets in %d of 50", in)
	}
}

func TestQuota(t *testing.T) {
	cases := []struct {
		name     string
		n        int
		d        dw.Span
		min, max int
	}{
		{"a burst", 20, ms, 5, 6},
		{"within the rate", 40, 600 * ms, 40, 40},
		{"three times the rate, over two windows' edges", 150, 166 * ms, 50, 57}, // 6 + 2 a second for 25 s
	}
	for _, c := range cases {
		in := newBed(t, settings(), dw.Endpoint{ID: 7}).serve(c.n, c.d, dw.Arrival{Customer: 1})
		if in < c.min || in > c.max {
			t.Errorf("%s: %d let in, want %d to %d", c.name, in, c.min, c.max)
		}
	}
}

// A counter that is silent, refuses or forgets gives neither free passage nor a wall.
func TestCounterTrouble(t *testing.T) {
	timeout := func(dw.CounterAdd) *dw.CounterAnswered { return nil }
	refuse := func(c dw.CounterAdd) *dw.CounterAnswered {
		return &dw.CounterAnswered{Name: c.Name, Outcome: dw.OutcomeRejected}
	}
	forget := func(c dw.CounterAdd) *dw.CounterAnswered { return &dw.CounterAnswered{Name: c.Name, Total: c.Add} }
	for name, answer := range map[string]func(dw.CounterAdd) *dw.CounterAnswered{"silent": timeout, "refusing": refuse,
		"forgetting": forget} {
		for _, heavy := range []bool{false, true} {
			b := newBed(t, settings(), dw.Endpoint{ID: 7})
			b.answer = answer
			d, n := 1500*ms, 20 // a third of the rate
			if heavy {
				d, n = 100*ms, 300 // five times the rate
			}
			in := b.serve(n, d, dw.Arrival{Customer: 1, Spread: 2})
			if !heavy && in < n {
				t.Errorf("%s: a calm customer is let in %d of %d times", name, in, n)
			}
			if heavy && (in < 30 || in > 68) { // from half the rate for 30 s, to all of it and a burst
				t.Errorf("%s: a heavy customer is let in %d times", name, in)
			}
			if calls := float64(len(b.calls)); calls > 1.2*float64(n)+20 {
				t.Errorf("%s: %v calls for %d requests", name, calls, n)
			}
		}
	}
}

// What others have used shows in the total, and is not let in again.
func TestOthersUse(t *testing.T) {
	b := newBed(t, settings(), dw.Endpoint{ID: 7})
	b.answer = func(c dw.CounterAdd) *dw.CounterAnswered { return &dw.CounterAnswered{Name: c.Name, Total: c.Add + 6} }
	if in := b.serve(1, 500*ms, dw.Arrival{Customer: 1, Spread: 2}); in != 1 {
		t.Fatal("the first request is refused")
	}
	if in := b.serve(20, ms, dw.Arrival{Customer: 1, Spread: 2}); in > 1 {
		t.Errorf("%d let in though others have used the burst", in)
	}
}

func TestRepeats(t *testing.T) {
	for _, c := range []struct {
		class   int
		outcome dw.Outcome
		want    string
	}{
		{0, dw.OutcomeReset, "sent"}, {0, dw.OutcomeRejected, "sent"},
		{1, dw.OutcomeRejected, "sent"}, {1, dw.OutcomeConnectFailed, "sent"}, {1, dw.OutcomeNotSent, "sent"},
		{1, dw.OutcomeReset, "failed"}, {1, dw.OutcomeError, "failed"}, {1, dw.OutcomeTimeout, "failed"},
	} {
		b := newBed(t, settings(), dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
		id, _ := b.ask(dw.Arrival{Class: c.class})
		b.pass(5 * ms)
		b.do(dw.AttemptEnded{Request: id, Server: b.sent[0].Server, Outcome: c.outcome, Latency: 5 * ms})
		got := "nothing"
		if len(b.sent) == 2 && b.sent[1].Server != b.sent[0].Server {
			got = "sent"
		} else if _, ok := b.over[id].(dw.Fail); ok {
			got = "failed"
		}
		if got != c.want {
			t.Errorf("class %d, outcome %d: %s, want %s", c.class, c.outcome, got, c.want)
		}
	}
}

// Incident of opnames-brabant, first score: a slow request on a server that answers others was cut off and sent
// again, and the repeats made the overload. A silent server is another matter.
func TestMovesOnOnlyFromSilence(t *testing.T) {
	for _, silent := range []bool{false, true} {
		b := newBed(t, settings(), dw.Endpoint{ID: 7})
		for c := range dw.CustomerID(50) { // the servers are known to be at ease
			b.serve(1, 10*ms, dw.Arrival{Customer: c + 10})
		}
		slow, _ := b.ask(dw.Arrival{Customer: 1})
		b.pass(100 * ms)
		other, _ := b.ask(dw.Arrival{Customer: 2})
		b.pass(50 * ms)
		if !silent {
			b.do(dw.AttemptEnded{Request: other, Server: 7, Final: true, Latency: 50 * ms})
		}
		b.pass(150 * ms)
		moved := len(b.cancel) > 0
		if moved != silent {
			t.Errorf("silent %v: request %s is taken back: %v", silent, slow, moved)
		}
	}
}

// Incident i7b957a and the opnames overload: a gateway that refuses all for a bad latency must find out when the
// servers are well again.
func TestWayBackFromRefusingAll(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newBed(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	for range 100 {
		if id, ok := b.ask(dw.Arrival{}); ok {
			b.do(dw.AttemptEnded{Request: id, Server: b.sent[len(b.sent)-1].Server, Final: true, Latency: 390 * ms})
		}
		b.pass(ms)
	}
	if _, ok := b.ask(dw.Arrival{}); ok {
		t.Fatal("slow servers do not lead to refusals")
	}
	b.pass(4 * sec)
	if _, ok := b.ask(dw.Arrival{}); !ok {
		t.Error("no way back")
	}
}

func TestColdServerIsSpared(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newBed(t, s, dw.Endpoint{ID: 7})
	b.serve(500, 10*ms, dw.Arrival{})
	b.do(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7, State: dw.Removed}, {ID: 8, StartedAt: b.now}}})
	// 2 s at 100 a second, of which the server that is gone carried all: a fifth, rising to a third.
	if in := b.serve(200, 10*ms, dw.Arrival{}); in > 60 || in == 0 {
		t.Errorf("%d of 200 requests went to the cold server", in)
	}
}

// What is refused for want of cold servers must not starve them: they warm up, and get their share of all that asks.
func TestColdServerIsFedWhileOthersAreAway(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newBed(t, s, dw.Endpoint{ID: 7})
	b.serve(500, 10*ms, dw.Arrival{})
	b.do(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7, State: dw.Draining}, {ID: 8, StartedAt: b.now}}})
	b.serve(800, 10*ms, dw.Arrival{})
	// From 8 to 10 s its least capacity is 0.63 to 0.73 of a warm one's, which bore 100 a second (28 go there by what was sent alone).
	if in := b.serve(200, 10*ms, dw.Arrival{}); in < 45 || in > 140 {
		t.Errorf("%d of 200 requests went to the cold server", in)
	}
}

// An attempt that is out for as long as its client reads counts itself, but says nothing of other gateways; and it counts
// once, however often it is told to have begun.
func TestAnswersOnTheirWayCountOnce(t *testing.T) {
	s := settings()
	s.Instances, s.Plans[0] = 4, dw.Plan{MaxInFlight: 4, WeightFactor: 1, OverQuotaCost: 1}
	b := newBed(t, s, dw.Endpoint{ID: 7})
	var began []dw.RequestID
	for i := range 6 {
		id, ok := b.ask(dw.Arrival{Spread: 4})
		if ok != (i < 4) {
			t.Fatalf("with %d answers on their way: %v", i, ok)
		}
		if ok {
			began = append(began, id)
			b.do(dw.AnswerStarted{Request: id, Server: 7})
			b.do(dw.AnswerStarted{Request: id, Server: 7})
		}
	}
	for _, id := range began {
		b.do(dw.AttemptEnded{Request: id, Server: 7, Final: true, Latency: 10 * ms})
	}
	// None of them is left in the count: one that has not begun is taken for four.
	if _, ok := b.ask(dw.Arrival{Spread: 4}); !ok {
		t.Fatal("refused with none out")
	}
	if _, ok := b.ask(dw.Arrival{Spread: 4}); ok {
		t.Fatal("let in beside one that is out at each gateway")
	}
}

// Where only slow servers are left for a while, the others are not taken for slow when they are back.
func TestServersThatWereAwayAreNotTakenForSlow(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var all, away []dw.Endpoint
	for id := range dw.ServerID(6) {
		all = append(all, dw.Endpoint{ID: id})
		if id > 1 {
			away = append(away, dw.Endpoint{ID: id, State: dw.Draining})
		}
	}
	b := newBed(t, s, all...)
	b.serve(500, 10*ms, dw.Arrival{})
	b.do(dw.EndpointList{Kind: dw.ListDelta, Servers: away})
	for i := range 500 { // the two that are left are too slow for what earns less
		if id, ok := b.ask(dw.Arrival{Class: i % 2}); ok {
			b.do(dw.AttemptEnded{Request: id, Server: b.sent[len(b.sent)-1].Server, Final: true, Latency: 95 * ms})
		}
		b.pass(10 * ms)
	}
	b.do(dw.EndpointList{Kind: dw.ListDelta, Servers: all[2:]})
	if in := b.serve(50, 10*ms, dw.Arrival{}); in < 48 {
		t.Errorf("of 50 requests %d went on", in)
	}
}

// Rule 1 holds even if the outcome of the last attempt is late.
func TestAnsweredWithoutAnOutcome(t *testing.T) {
	for class := range 2 {
		b := newBed(t, settings(), dw.Endpoint{ID: 7})
		id, _ := b.ask(dw.Arrival{Class: class})
		b.pass(816 * ms)
		if _, failed := b.over[id].(dw.Fail); b.over[id] == nil || class == 1 && !failed {
			t.Errorf("class %d: got %v", class, b.over[id])
		}
	}
}

// A gateway that has just started may have spent its share of the ceiling in an earlier life.
func TestCeilingStartsEmpty(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{Rate: 10, Burst: 20, CeilingRate: 20, CeilingBurst: 40, Tolerance: 4, WeightFactor: 1}
	b := newBed(t, s, dw.Endpoint{ID: 7})
	if in := b.serve(10, ms, dw.Arrival{Customer: 1, Spread: 2}); in > 0 {
		t.Errorf("%d let in at once", in)
	}
	b.pass(sec)
	if in := b.serve(5, ms, dw.Arrival{Customer: 1, Spread: 2}); in != 5 {
		t.Errorf("%d of 5 let in after a second", in)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []dw.StartAttempt {
		b := newBed(t, settings(), dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8}, dw.Endpoint{ID: 9})
		for c := range dw.CustomerID(5) {
			b.serve(20, 30*ms, dw.Arrival{Customer: c, Spread: 2})
		}
		return b.sent
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs differ")
	}
}

// A customer that comes back after its account was dropped is treated as a new one, and no better.
func TestIdleAccountsExpire(t *testing.T) {
	b := newBed(t, settings(), dw.Endpoint{ID: 7})
	for range 2 {
		if in := b.serve(20, ms, dw.Arrival{Customer: 1}); in < 5 || in > 6 {
			t.Errorf("%d let in at once", in)
		}
		b.pass(150 * sec)
	}
}

// many are the settings of one gateway of very many, where a share of a store is under one request.
func many() dw.Settings {
	s := settings()
	s.Instances, s.ParallelAttempts = 100, true
	return s
}

// First scores at full size: each of many gateways let the first request of a customer in, whatever the total.
func TestThinCustomerIsCountedFirst(t *testing.T) {
	for total, want := range map[float64]bool{1: true, 9: true, 10: false, 500: false} { // a burst and a half
		b := newBed(t, many(), dw.Endpoint{ID: 7})
		b.answer = func(c dw.CounterAdd) *dw.CounterAnswered { return &dw.CounterAnswered{Name: c.Name, Total: total} }
		id, _ := b.ask(dw.Arrival{Customer: 1, Spread: 50})
		if len(b.sent) > 0 || len(b.calls) != 1 || b.calls[0].Add != 1 {
			t.Fatalf("total %v: sent %v before the count told, calls %v", total, b.sent, b.calls)
		}
		b.pass(3 * ms)
		if in := len(b.sent) == 1; in != want || in == (b.over[id] != nil) {
			t.Errorf("total %v: sent on %v, want %v; answer %v", total, in, want, b.over[id])
		}
	}
}

// A request that waits for a silent counter goes on at its time-out, or ends before a short patience does.
func TestHeldRequestIsAnswered(t *testing.T) {
	for remaining, sent := range map[dw.Span]int{800 * ms: 1, 20 * ms: 0} {
		b := newBed(t, many(), dw.Endpoint{ID: 7})
		b.answer = func(dw.CounterAdd) *dw.CounterAnswered { return nil }
		id, _ := b.ask(dw.Arrival{Customer: 1, Spread: 50, Remaining: remaining})
		b.pass(min(remaining, 60*ms))
		if len(b.sent) != sent || sent == 0 && b.over[id] == nil {
			t.Errorf("patience %v: %d sent, answer %v", remaining, len(b.sent), b.over[id])
		}
	}
}

// A server that leaves one class unanswered goes on serving the other.
func TestOneClassFails(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newBed(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	var got [2][2]int // by server and class, in the second half
	for i := range 400 {
		class := i % 2
		if id, ok := b.ask(dw.Arrival{Class: class}); ok {
			to := b.sent[len(b.sent)-1].Server
			if i >= 200 {
				got[to-7][class]++
			}
			if to == 8 || class == 1 {
				b.pass(10 * ms)
				b.do(dw.AttemptEnded{Request: id, Server: to, Final: true, Latency: 10 * ms})
			} else {
				b.pass(800 * ms)
				b.do(dw.AttemptEnded{Request: id, Server: to, Outcome: dw.OutcomeTimeout, Final: true, Latency: 800 * ms})
			}
		}
		b.pass(20 * ms)
	}
	if got[0][0] > 10 || got[0][1] < 30 {
		t.Errorf("server 7 got %d requests of the class that it fails and %d of the other", got[0][0], got[0][1])
	}
}

// Incidents ife4101 and i0b2662: servers full of work nobody waits for were sent as much again, and further
// attempts were budgeted by arrivals. When most attempts end badly, less is sent; it clears by itself.
func TestCollapseEnds(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newBed(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8}, dw.Endpoint{ID: 9})
	play := func(outcome dw.Outcome) int {
		before, seen := len(b.sent), len(b.sent)
		for range 500 {
			id, ok := b.ask(dw.Arrival{})
			for attempt := 0; ok && seen < len(b.sent); attempt++ {
				e := dw.AttemptEnded{Request: id, Attempt: attempt, Server: b.sent[seen].Server, Outcome: outcome, Latency: 5 * ms}
				e.Final = outcome == dw.OutcomeOK
				seen++
				b.do(e)
			}
			b.pass(20 * ms)
		}
		return len(b.sent) - before
	}
	if n := play(dw.OutcomeOK); n < 450 {
		t.Fatalf("%d of 500 go on when all is well", n)
	}
	if n := play(dw.OutcomeError); n > 400 { // and up to a tenth more as further attempts, if all went on
		t.Errorf("%d attempts for 500 requests that all end badly", n)
	}
	if play(dw.OutcomeOK); play(dw.OutcomeOK) < 450 {
		t.Error("no way back")
	}
}

// A hundred gateways are told of a new server at once: none may take its first attempt as paid for.
func TestColdServersStartInStep(t *testing.T) {
	total := 0
	for seed := range uint64(100) {
		s := many()
		s.Plans[0] = dw.Plan{WeightFactor: 1}
		g, err := dw.New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		b := &bed{t: t, g: g, now: dw.Instant(100 * sec), over: map[dw.RequestID]dw.Action{}}
		b.do(dw.EndpointList{Kind: dw.ListCached, Servers: []dw.Endpoint{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}})
		b.serve(50, 200*ms, dw.Arrival{})
		before := len(b.sent)
		b.do(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 9, StartedAt: b.now}}})
		b.serve(10, 200*ms, dw.Arrival{})
		for _, a := range b.sent[before:] {
			if a.Server == 9 {
				total++
			}
		}
	}
	// By the lot a cold server comes up for a twentieth of the 1,000 requests, and few of those are paid for yet;
	// with budgets that are full at the start all of the first would be (21 seen).
	if total > 12 || total == 0 {
		t.Errorf("a cold server got %d attempts of 100 gateways in 2 s", total)
	}
}

// A zone that is cut off is found out as one, not server by server.
func TestZoneCutOff(t *testing.T) {
	s := many()
	s.Zones, s.Plans[0] = 2, dw.Plan{WeightFactor: 1}
	var servers []dw.Endpoint
	for i := range 60 {
		servers = append(servers, dw.Endpoint{ID: dw.ServerID(i), Zone: i % 2})
	}
	lost := 0
	for seed := range uint64(20) {
		g, err := dw.New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		b := &bed{t: t, g: g, now: dw.Instant(100 * sec), over: map[dw.RequestID]dw.Action{}}
		b.do(dw.EndpointList{Kind: dw.ListCached, Servers: servers})
		for range 60 {
			id, ok := b.ask(dw.Arrival{})
			for attempt := 0; ok && b.over[id] == nil && attempt < 3; attempt++ {
				to := b.sent[len(b.sent)-1]
				e := dw.AttemptEnded{Request: id, Attempt: attempt, Server: to.Server, Final: true, Latency: 30 * ms}
				if to.Request != id {
					break
				} else if to.Server%2 == 1 {
					e.Outcome, e.Final = dw.OutcomeConnectFailed, false
					lost++
				}
				if b.do(e); e.Final {
					break
				}
			}
			b.pass(100 * ms)
		}
	}
	if lost > 400 { // of 1,200 requests; found out server by server it is 457
		t.Errorf("%d attempts lost to a zone that is cut off", lost)
	}
}

// Report L2da371: of 353 gateways each sent a server something once in seconds, so every slow answer was taken for
// silence and asked for a copy, and the copies made all slower. A server that is silent while others answer in no
// time is still moved away from.
func TestNoCopiesWhenAllAreSlow(t *testing.T) {
	for latency, want := range map[dw.Span]struct{ min, max int }{250 * ms: {0, 5}, 10 * ms: {10, 40}} {
		s := many()
		s.Plans[0] = dw.Plan{WeightFactor: 1}
		var servers []dw.Endpoint
		for i := range 50 {
			servers = append(servers, dw.Endpoint{ID: dw.ServerID(i)})
		}
		b := newBed(t, s, servers...)
		first := 0
		for i := range 300 {
			n := len(b.sent)
			if id, ok := b.ask(dw.Arrival{}); ok {
				first++
				if wait := latency; i%10 != 0 { // else it is never answered
					b.pass(wait)
					b.do(dw.AttemptEnded{Request: id, Server: b.sent[n].Server, Final: true, Latency: wait})
				}
			}
			b.pass(100 * ms)
		}
		b.pass(800 * ms)
		if copies := len(b.sent) - first; copies < want.min || copies > want.max || first < 20 {
			t.Errorf("answers in %v: %d copies of %d requests, want %d to %d", latency, copies, first, want.min, want.max)
		}
	}
}

// Report L2da371 and incident ife4101: of a hundred servers there was always one whose last answer dated from better
// times, so a gateway went on sending as if all were at ease.
func TestAllSlowIsSeenAmongManyServers(t *testing.T) {
	s := many()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var servers []dw.Endpoint
	for i := range 100 {
		servers = append(servers, dw.Endpoint{ID: dw.ServerID(i)})
	}
	b := newBed(t, s, servers...)
	in := 0
	for i := range 300 {
		latency := 10 * ms
		if i >= 200 {
			latency = 300 * ms
		}
		if id, ok := b.ask(dw.Arrival{}); ok {
			b.pass(latency)
			b.do(dw.AttemptEnded{Request: id, Server: b.sent[len(b.sent)-1].Server, Final: true, Latency: latency})
			if i >= 230 && i < 300 {
				in++
			}
		}
		b.pass(100 * ms)
	}
	if in > 20 || in == 0 {
		t.Errorf("%d of 70 requests go on to servers that all take three quarters of the aim", in)
	}
}

// Report L2da371: thousands of clients were refused for the servers' sake with the same advice of one mean
// latency, and came back together. Advice differs from request to request and leaves time for an answer.
func TestAdviceIsSpread(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newBed(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	least, most := sec, dw.Span(0)
	for range 200 {
		id, ok := b.ask(dw.Arrival{})
		if ok {
			b.pass(220 * ms)
			b.do(dw.AttemptEnded{Request: id, Server: b.sent[len(b.sent)-1].Server, Final: true, Latency: 220 * ms})
		} else if r, refused := b.over[id].(dw.Reject); refused {
			least, most = min(least, r.RetryAfter), max(most, r.RetryAfter)
		}
		b.pass(ms)
	}
	if least <= 0 || most < 2*least || most > 400*ms {
		t.Errorf("advice of %v to %v", least, most)
	}
}

// Whatever way a request ends with no answer under way, its client is told in the same batch and with advice that
// differs: nothing is held back so that the client does not ask again.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	refuse := func(b *bed, id dw.RequestID) { // every attempt is turned away until none is left
		for i := 0; i < len(b.sent); i++ {
			b.do(dw.AttemptEnded{Request: id, Attempt: i, Server: b.sent[i].Server, Outcome: dw.OutcomeRejected, Latency: ms})
		}
	}
	for name, end := range map[string]func(b *bed, id dw.RequestID){
		"no server left": refuse,
		"may have run": func(b *bed, id dw.RequestID) {
			b.do(dw.AttemptEnded{Request: id, Server: b.sent[0].Server, Outcome: dw.OutcomeReset, Latency: ms})
			for i := 1; i < len(b.sent); i++ {
				b.do(dw.AttemptEnded{Request: id, Attempt: i, Server: b.sent[i].Server, Outcome: dw.OutcomeError, Latency: ms})
			}
		},
	} {
		for class := range 2 {
			b := newBed(t, settings(), dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
			id, _ := b.ask(dw.Arrival{Class: class})
			b.pass(5 * ms)
			end(b, id)
			r, refused := b.over[id].(dw.Reject)
			if b.over[id] == nil || refused && (r.RetryAfter <= 0 || r.RetryAfter == 400*ms) {
				t.Errorf("%s, class %d: answer %+v", name, class, b.over[id])
			}
		}
	}
	b := newBed(t, many(), dw.Endpoint{ID: 7}) // the server goes while the request waits for its count
	id, _ := b.ask(dw.Arrival{Customer: 1, Spread: 50})
	b.do(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7, State: dw.Removed}}})
	b.pass(3 * ms)
	if r, refused := b.over[id].(dw.Reject); !refused || r.RetryAfter <= 0 {
		t.Errorf("no server when the count is known: answer %+v", b.over[id])
	}
}

// Incident i4e1301: early in a window many gateways let in what a heavy customer asks, each with nothing of it out, and
// its cap on attempts out was passed. What the count says was asked tells what the others have out.
func TestCapOfThinCustomer(t *testing.T) {
	for total, want := range map[float64]bool{3: true, 150: false} {
		s := many()
		s.Plans[0].MaxInFlight = 2
		b := newBed(t, s, dw.Endpoint{ID: 7})
		b.answer = func(c dw.CounterAdd) *dw.CounterAnswered {
			told := total
			total = 1 // the next window has just begun
			return &dw.CounterAnswered{Name: c.Name, Total: told}
		}
		last := total
		first, _ := b.ask(dw.Arrival{Customer: 1, Spread: 50})
		b.pass(10 * ms)
		if len(b.sent) == 1 {
			b.do(dw.AttemptEnded{Request: first, Server: 7, Final: true, Latency: 10 * ms})
		}
		b.pass(2100 * ms) // into the next window
		id, _ := b.ask(dw.Arrival{Customer: 1, Spread: 50})
		b.pass(3 * ms)
		if in := b.over[id] == nil; in != want {
			t.Errorf("total %v in the last window: let in %v, want %v", last, in, want)
		}
	}
}

// Colleges at half load: work that takes a sixth of its aim was refused as if the servers were pressed.
func TestLongWorkIsNoPressure(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newBed(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	for _, c := range []struct {
		latency  dw.Span
		min, max int
	}{{70 * ms, 95, 100}, {130 * ms, 95, 100}, {300 * ms, 1, 60}} {
		in := 0
		for i := range 200 {
			if id, ok := b.ask(dw.Arrival{}); ok {
				b.pass(c.latency)
				b.do(dw.AttemptEnded{Request: id, Server: b.sent[len(b.sent)-1].Server, Final: true, Latency: c.latency})
				if i >= 100 {
					in++
				}
			}
			b.pass(10 * ms)
		}
		if in < c.min || in > c.max {
			t.Errorf("answers in %v: %d of 100 go on, want %d to %d", c.latency, in, c.min, c.max)
		}
	}
}

// A long way to the counter is no line at it: calls keep their pace while their answers take as long as ever.
func TestLongWayToTheCounter(t *testing.T) {
	b := newBed(t, settings(), dw.Endpoint{ID: 1})
	add := b.answer
	b.answer = func(c dw.CounterAdd) *dw.CounterAnswered {
		e := add(c)
		e.Latency = 20 * ms // of 50 after which a call is given up
		return e
	}
	for i := range 200 {
		b.serve(1, 50*ms, dw.Arrival{Customer: dw.CustomerID(i % 20)})
	}
	if n := len(b.calls); n < 60 {
		t.Errorf("%d calls in 10 s for 20 customers", n)
	}
}

// A gateway that sees little of the servers draws them by lot. Where the lot falls on a slow one, the request goes to
// another: what one server can't do in time is no reason to refuse.
func TestLotFallsOnSlowServer(t *testing.T) {
	s := many()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var servers []dw.Endpoint
	for i := range 20 {
		servers = append(servers, dw.Endpoint{ID: dw.ServerID(i)})
	}
	b := newBed(t, s, servers...)
	refused := 0
	for range 600 {
		id, ok := b.ask(dw.Arrival{})
		if !ok {
			refused++
		} else {
			e := dw.AttemptEnded{Request: id, Server: b.sent[len(b.sent)-1].Server, Final: true, Latency: 20 * ms}
			if e.Server < 2 {
				e.Latency = 350 * ms // and the others are as quick as ever
			}
			b.pass(e.Latency)
			b.do(e)
		}
		b.pass(50 * ms)
	}
	if refused > 0 {
		t.Errorf("%d of 600 refused beside eighteen idle servers", refused)
	}
}

// Many customers come only once: accounts that nothing is owed to or known of go with their windows, so that a long
// day holds no more of them than a short one.
func TestAccountsOfOnceOnlyCustomers(t *testing.T) {
	b := newBed(t, settings(), dw.Endpoint{ID: 7})
	for i := range 400 {
		b.serve(1, 100*ms, dw.Arrival{Customer: dw.CustomerID(1000 + i)})
	}
	if n := b.g.Accounts(); n > 250 {
		t.Errorf("%d accounts after 400 customers in 40 s, whose windows last 6 s", n)
	}
}

// Where calls to the counter are short, those whose room goes down quickly are told of first: the others can wait.
func TestShortCallsGoToThoseNearTheirQuota(t *testing.T) {
	s := settings()
	s.Plans = append(s.Plans, dw.Plan{Rate: 20, Burst: 100, WeightFactor: 1, OverQuotaCost: 1})
	b := newBed(t, s, dw.Endpoint{ID: 1})
	add := b.answer
	b.answer = func(c dw.CounterAdd) *dw.CounterAnswered {
		e := add(c)
		e.Latency = 45 * ms * dw.Span(len(b.calls)%2)
		return e
	}
	for i := range 400 {
		b.serve(1, 10*ms, dw.Arrival{Customer: dw.CustomerID(2 + i%100), Plan: 1})
		b.serve(1, 10*ms, dw.Arrival{Customer: 1})
	}
	near := 0
	for _, c := range b.calls {
		if strings.HasPrefix(c.Name, "1.") {
			near++
		}
	}
	if near < 25 {
		t.Errorf("%d of %d calls for the one that asks for more than its quota", near, len(b.calls))
	}
}

// A listed customer waits out its window, so that is no longer than it needs to be: two bursts.
func TestWindowsOfTwoBursts(t *testing.T) {
	b := newBed(t, settings(), dw.Endpoint{ID: 1})
	b.serve(240, 100*ms, dw.Arrival{Customer: 1})
	windows := map[string]bool{}
	for _, c := range b.calls {
		windows[c.Name] = true
	}
	if len(windows) < 4 { // of 6 s each, as the burst is 6 and the rate 2 a second
		t.Errorf("%d windows in 24 s", len(windows))
	}
}
