package dewhitch_test

import (
	"math"
	"testing"

	dw "dewhitch"
)

// adjust sends a command on a limit and returns its answer, once time has gone by.
func (b *harness) adjust(units float64, spread int, wait dw.Span) any {
	b.lastID++
	q := dw.LimitQuery{ID: dw.RequestID("limit" + string(rune('a'+b.lastID))), Customer: 1, Remaining: 800 * ms, Spread: spread}
	if units == 0 {
		b.handle(q)
	} else {
		b.handle(dw.LimitAdjust{LimitQuery: q, Units: units})
	}
	b.advance(wait)
	return b.answers[q.ID]
}

func (b *harness) expectRemaining(t *testing.T, want float64) {
	t.Helper()
	if l, ok := b.adjust(0, 1, 300*ms).(dw.LimitAnswer); !ok || math.Abs(l.Remaining-want) > 1 {
		t.Errorf("%+v, want %v left", l, want)
	}
}

// slowRefillSettings is a plan of 6 units that hardly refills, so that what is left can be told by heart.
func slowRefillSettings() dw.Settings {
	s := settings()
	s.Plans[0].Rate = 0.1
	return s
}

func TestLimitQuery(t *testing.T) {
	b := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	b.expectRemaining(t, 6)
	b.serve(3, ms, dw.Arrival{Customer: 1})
	b.expectRemaining(t, 3)
	b.serve(9, ms, dw.Arrival{Customer: 1})
	l, ok := b.adjust(0, 1, 300*ms).(dw.LimitAnswer)
	if !ok || l.Remaining >= 1 || l.Limit != 6 || l.ReplenishedAfter <= 0 || l.ReplenishedAfter > 10*sec {
		t.Errorf("over the quota: %+v", l)
	}
	// The advice holds: when the time has come, one more is admitted, and not before.
	if admitted := b.serve(1, ms, dw.Arrival{Customer: 1}); admitted != 0 {
		t.Error("admitted before the time")
	}
	b.advance(l.ReplenishedAfter + 200*ms)
	if admitted := b.serve(1, ms, dw.Arrival{Customer: 1}); admitted != 1 {
		t.Error("not admitted when the time has come")
	}
}

// What is taken after a query came is not in its answer, though its own call may push it.
func TestLimitQueryExcludesLaterUse(t *testing.T) {
	b := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	b.serve(1, ms, dw.Arrival{Customer: 1})
	b.handle(dw.LimitQuery{ID: "early", Customer: 1, Remaining: 800 * ms, Spread: 1})
	b.serve(3, ms, dw.Arrival{Customer: 1})
	b.advance(300 * ms)
	if l, ok := b.answers["early"].(dw.LimitAnswer); !ok || math.Abs(l.Remaining-5) > 0.5 {
		t.Errorf("%+v, want 5 left", l)
	}
}

func TestLimitAdjust(t *testing.T) {
	b := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	steps := []struct {
		units float64
		want  any
	}{{-2, dw.AdjustAnswer{Units: 0}}, {5, dw.AdjustAnswer{Units: 5}}, {2, nil}, {-2, dw.AdjustAnswer{Units: -2}},
		{-9, dw.AdjustAnswer{Units: -3}}, {-1, dw.AdjustAnswer{Units: 0}}}
	for i, step := range steps {
		got := b.adjust(step.units, 1, 300*ms)
		switch got := got.(type) {
		case dw.AdjustAnswer:
			if want, ok := step.want.(dw.AdjustAnswer); !ok || math.Abs(got.Units-want.Units) > 1e-9 {
				t.Errorf("step %d, %v: %+v", i, step.units, got)
			}
		case dw.Reject:
			if step.want != nil || got.RetryAfter <= 0 {
				t.Errorf("step %d, %v: %+v", i, step.units, got)
			}
		default:
			t.Errorf("step %d, %v: %+v", i, step.units, got)
		}
	}
	b.advance(sec)
	sum := 0.0
	for _, c := range b.calls {
		if sum += c.Add; sum < 0 {
			t.Errorf("the count falls to %v", sum)
		}
	}
	if len(b.attempts) > 0 {
		t.Error("something was sent on")
	}
}

// With no answer of the counter there is none to a query, and its failure comes before its time is up.
func TestLimitQueryWithoutCounter(t *testing.T) {
	for _, o := range []dw.Outcome{dw.OutcomeTimeout, dw.OutcomeRejected, dw.OutcomeConnectFailed} {
		b := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
		b.counter = func(c dw.CounterAdd) *dw.CounterAnswered { return &dw.CounterAnswered{Name: c.Name, Outcome: o} }
		if a, ok := b.adjust(0, 1, 790*ms).(dw.Fail); !ok {
			t.Errorf("outcome %v: %+v", o, a)
		}
		if calls := len(b.calls); calls > 20 {
			t.Errorf("outcome %v: %d calls for one query", o, calls)
		}
	}
}

// A push whose answer was lost has counted: its units must not be taken from the store again as others' use.
func TestLostCounterAnswer(t *testing.T) {
	b := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	add := b.counter
	b.expectRemaining(t, 6)
	b.serve(2, ms, dw.Arrival{Customer: 1})
	b.counter = func(c dw.CounterAdd) *dw.CounterAnswered { add(c); return nil }
	b.adjust(0, 1, 100*ms)
	b.counter = add
	b.advance(sec)
	b.expectRemaining(t, 4)
}

// A total that falls is told apart: others gave back, or the counter has lost its numbers.
func TestCounterTotalThatFalls(t *testing.T) {
	total := 0.0
	b := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	b.counter = func(c dw.CounterAdd) *dw.CounterAnswered {
		total += c.Add
		return &dw.CounterAnswered{Name: c.Name, Total: total}
	}
	b.serve(2, ms, dw.Arrival{Customer: 1, Spread: 2})
	total += 3 // by the other gateway
	b.expectRemaining(t, 1)
	total -= 3 // given back there
	b.expectRemaining(t, 4)
	total = 0 // lost: what this gateway used stays used
	b.expectRemaining(t, 4)
}

// A request that waited for the count is not sent on when its client has left: nothing would end that attempt.
func TestUncountedRequestOfDepartedClient(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{Rate: 1, Burst: 1, WeightFactor: 1, OverQuotaCost: 1} // thin: the push comes first
	b := newHarness(t, s, dw.Endpoint{ID: 7})
	id, sent := b.request(dw.Arrival{Customer: 1, Spread: 2})
	if sent || len(b.calls) == 0 {
		t.Fatal("it does not wait for the count")
	}
	b.handle(dw.ClientDeparted{Request: id})
	b.advance(100 * ms)
	if len(b.attempts) > 0 {
		t.Error("sent on for a client that has left")
	}
}

// Who is rejected under the ceiling is told when the ceiling has room again, and is admitted then.
func TestCeilingRetryAfter(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 60 * sec
	s.Plans[0].CeilingRate, s.Plans[0].CeilingBurst, s.Plans[0].Tolerance = 0.5, 6, 1
	b := newHarness(t, s, dw.Endpoint{ID: 7})
	r, ok := b.adjust(1, 2, ms).(dw.Reject)
	if !ok || r.RetryAfter < sec || r.RetryAfter > 8*sec {
		t.Fatalf("%+v", r)
	}
	if _, ok := b.adjust(1, 2, ms).(dw.Reject); !ok {
		t.Error("admitted before the time")
	}
	b.advance(r.RetryAfter)
	if a, ok := b.adjust(1, 2, ms).(dw.AdjustAnswer); !ok {
		t.Errorf("not admitted when the time has come: %+v", a)
	}
}

// A customer with a cap on open attempts keeps to it while servers are slow: its other gateways are taken to
// have as many out as this one, though its rate of use says that they have hardly any.
func TestInFlightLimitWhileSlow(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{Rate: 50, Burst: 100, MaxInFlight: 6, WeightFactor: 1, OverQuotaCost: 1}
	inFlight := 0
	b := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8}, dw.Endpoint{ID: 9})
	b.serve(100, 20*ms, dw.Arrival{Customer: 1, Spread: 2}) // at ease, all seen here: others use nothing
	for range 12 {
		if _, sent := b.request(dw.Arrival{Customer: 1, Spread: 2}); sent { // no server answers these
			inFlight++
		}
		b.advance(10 * ms)
	}
	if inFlight != 3 {
		t.Errorf("%d are out, want half of 6", inFlight)
	}
}
