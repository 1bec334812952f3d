package dewhitch_test

import (
	"math"
	"testing"

	dw "dewhitch"
)

// adjust sends a limit query (0 units) or a limit adjustment, and advances the time by wait. It returns the answer, or nil if there is
// none by then.
func (h *harness) adjust(units float64, spread int, wait dw.Span) any {
	h.lastID++
	q := dw.LimitQuery{ID: dw.RequestID("limit" + string(rune('a'+h.lastID))), Customer: 1, Remaining: 800 * millisecond, Spread: spread}
	if units == 0 {
		h.handle(q)
	} else {
		h.handle(dw.LimitAdjust{LimitQuery: q, Units: units})
	}
	h.advance(wait)
	return h.answers[q.ID]
}

func (h *harness) expectRemaining(t *testing.T, want float64) {
	t.Helper()
	if l, ok := h.adjust(0, 1, 300*millisecond).(dw.LimitAnswer); !ok || math.Abs(l.Remaining-want) > 1 {
		t.Errorf("got %+v, expected %v remaining units", l, want)
	}
}

// slowRefillSettings returns settings with a plan of 6 units that hardly refills, so that a test knows the remaining units.
func slowRefillSettings() dw.Settings {
	s := settings()
	s.Plans[0].Rate = 0.1
	return s
}

func TestLimitQuery(t *testing.T) {
	h := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	h.expectRemaining(t, 6)
	h.serve(3, millisecond, dw.Arrival{Customer: 1})
	h.expectRemaining(t, 3)
	h.serve(9, millisecond, dw.Arrival{Customer: 1})
	l, ok := h.adjust(0, 1, 300*millisecond).(dw.LimitAnswer)
	if !ok || l.Remaining >= 1 || l.Limit != 6 || l.ReplenishedAfter <= 0 || l.ReplenishedAfter > 10*second {
		t.Errorf("quota used up: got %+v, expected less than 1 of 6 units and up to 10 s to wait", l)
	}
	// ReplenishedAfter is exact: one more request is admitted at that time, and none before.
	if admitted := h.serve(1, millisecond, dw.Arrival{Customer: 1}); admitted != 0 {
		t.Error("request admitted before ReplenishedAfter has passed")
	}
	h.advance(l.ReplenishedAfter + 200*millisecond)
	if admitted := h.serve(1, millisecond, dw.Arrival{Customer: 1}); admitted != 1 {
		t.Error("request rejected after ReplenishedAfter has passed")
	}
}

// Units taken after a query arrived must not show in its answer, even if the counter call made for the query also adds those units
// to the counter.
func TestLimitQueryExcludesLaterUse(t *testing.T) {
	h := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	h.serve(1, millisecond, dw.Arrival{Customer: 1})
	h.handle(dw.LimitQuery{ID: "early", Customer: 1, Remaining: 800 * millisecond, Spread: 1})
	h.serve(3, millisecond, dw.Arrival{Customer: 1})
	h.advance(300 * millisecond)
	if l, ok := h.answers["early"].(dw.LimitAnswer); !ok || math.Abs(l.Remaining-5) > 0.5 {
		t.Errorf("got %+v, expected 5 remaining units", l)
	}
}

func TestLimitAdjust(t *testing.T) {
	h := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	steps := []struct {
		units float64
		want  any
	}{{-2, dw.AdjustAnswer{Units: 0}}, {5, dw.AdjustAnswer{Units: 5}}, {2, nil}, {-2, dw.AdjustAnswer{Units: -2}},
		{-9, dw.AdjustAnswer{Units: -3}}, {-1, dw.AdjustAnswer{Units: 0}}}
	for i, step := range steps {
		got := h.adjust(step.units, 1, 300*millisecond)
		switch got := got.(type) {
		case dw.AdjustAnswer:
			if want, ok := step.want.(dw.AdjustAnswer); !ok || math.Abs(got.Units-want.Units) > 1e-9 {
				t.Errorf("step %d, adjustment by %v: unexpected units in %+v", i, step.units, got)
			}
		case dw.Reject:
			if step.want != nil || got.RetryAfter <= 0 {
				t.Errorf("step %d, adjustment by %v: unexpected rejection %+v", i, step.units, got)
			}
		default:
			t.Errorf("step %d, adjustment by %v: unexpected answer %+v", i, step.units, got)
		}
	}
	h.advance(second)
	sum := 0.0
	for _, c := range h.counterCalls {
		if sum += c.Add; sum < 0 {
			t.Errorf("sum of the counter calls fell to %v, expected at least 0", sum)
		}
	}
	if len(h.attempts) > 0 {
		t.Error("a limit adjustment was forwarded to a server")
	}
}

// Without an answer from the counter, a query must fail before its deadline.
func TestLimitQueryWithoutCounter(t *testing.T) {
	for _, o := range []dw.Outcome{dw.OutcomeTimeout, dw.OutcomeRejected, dw.OutcomeConnectFailed} {
		h := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
		h.counter = func(c dw.CounterAdd) *dw.CounterAnswered { return &dw.CounterAnswered{Name: c.Name, Outcome: o} }
		if a, ok := h.adjust(0, 1, 790*millisecond).(dw.Fail); !ok {
			t.Errorf("outcome %v: got %+v, expected Fail", o, a)
		}
		if calls := len(h.counterCalls); calls > 20 {
			t.Errorf("outcome %v: got %d counter calls for one query, expected at most 20", o, calls)
		}
	}
}

// Guards against units that count twice after a lost answer: the call has counted them, so the gateway must not treat them as use
// by others when the next total includes them.
func TestLostCounterAnswer(t *testing.T) {
	h := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	add := h.counter
	h.expectRemaining(t, 6)
	h.serve(2, millisecond, dw.Arrival{Customer: 1})
	h.counter = func(c dw.CounterAdd) *dw.CounterAnswered { add(c); return nil }
	h.adjust(0, 1, 100*millisecond)
	h.counter = add
	h.advance(second)
	h.expectRemaining(t, 4)
}

// When a total falls, the gateway must distinguish units returned at other gateways from a counter that has lost its state.
func TestCounterTotalThatFalls(t *testing.T) {
	total := 0.0
	h := newHarness(t, slowRefillSettings(), dw.Endpoint{ID: 7})
	h.counter = func(c dw.CounterAdd) *dw.CounterAnswered {
		total += c.Add
		return &dw.CounterAnswered{Name: c.Name, Total: total}
	}
	h.serve(2, millisecond, dw.Arrival{Customer: 1, Spread: 2})
	total += 3 // used at the other gateway
	h.expectRemaining(t, 1)
	total -= 3 // returned at the other gateway
	h.expectRemaining(t, 4)
	total = 0 // counter state lost: units that this gateway used stay used
	h.expectRemaining(t, 4)
}

// A request that waits for its count must not be forwarded after its client has departed: nothing would end that attempt.
func TestUncountedRequestOfDepartedClient(t *testing.T) {
	s := settings()
	// A gateway's share of the burst is smaller than a request, so units are counted first.
	s.Plans[0] = dw.Plan{Rate: 1, Burst: 1, WeightFactor: 1, OverQuotaCost: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7})
	id, sent := h.request(dw.Arrival{Customer: 1, Spread: 2})
	if sent || len(h.counterCalls) == 0 {
		t.Fatal("the request did not wait for its count")
	}
	h.handle(dw.ClientDeparted{Request: id})
	h.advance(100 * millisecond)
	if len(h.attempts) > 0 {
		t.Error("request forwarded after its client had departed")
	}
}

// The Retry-After of a request that the ceiling rejects must be the time at which the ceiling admits it.
func TestCeilingRetryAfter(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 60 * second
	s.Plans[0].CeilingRate, s.Plans[0].CeilingBurst, s.Plans[0].Tolerance = 0.5, 6, 1
	h := newHarness(t, s, dw.Endpoint{ID: 7})
	r, ok := h.adjust(1, 2, millisecond).(dw.Reject)
	if !ok || r.RetryAfter < second || r.RetryAfter > 8*second {
		t.Fatalf("got %+v, expected a rejection with a RetryAfter of 1 to 8 s", r)
	}
	if _, ok := h.adjust(1, 2, millisecond).(dw.Reject); !ok {
		t.Error("units taken before RetryAfter has passed")
	}
	h.advance(r.RetryAfter)
	if a, ok := h.adjust(1, 2, millisecond).(dw.AdjustAnswer); !ok {
		t.Errorf("units not taken after RetryAfter has passed: got %+v", a)
	}
}

// A customer with a limit of attempts in flight must stay within it while servers are slow: the other gateways are assumed to
// have as many attempts in flight as this one, although their rate of use suggests hardly any.
func TestInFlightLimitWhileSlow(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{Rate: 50, Burst: 100, MaxInFlight: 6, WeightFactor: 1, OverQuotaCost: 1}
	inFlight := 0
	h := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8}, dw.Endpoint{ID: 9})
	h.serve(100, 20*millisecond, dw.Arrival{Customer: 1, Spread: 2}) // servers are fast, and totals show no use by others
	for range 12 {
		if _, sent := h.request(dw.Arrival{Customer: 1, Spread: 2}); sent { // no server answers these
			inFlight++
		}
		h.advance(10 * millisecond)
	}
	if inFlight != 3 {
		t.Errorf("got %d attempts in flight, expected half of 6", inFlight)
	}
}
