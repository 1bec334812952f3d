package dewhitch_test

import (
	"strings"
	"testing"

	dw "dewhitch"
)

// A customer must get about its quota, neither more nor nothing, while the counter does not answer, rejects calls or loses its
// state.
func TestCounterFaults(t *testing.T) {
	timeout := func(dw.CounterAdd) *dw.CounterAnswered { return nil }
	reject := func(c dw.CounterAdd) *dw.CounterAnswered {
		return &dw.CounterAnswered{Name: c.Name, Outcome: dw.OutcomeRejected}
	}
	forget := func(c dw.CounterAdd) *dw.CounterAnswered { return &dw.CounterAnswered{Name: c.Name, Total: c.Add} }
	for name, answer := range map[string]func(dw.CounterAdd) *dw.CounterAnswered{"silent": timeout, "rejecting": reject,
		"forgetting": forget} {
		for _, aboveRate := range []bool{false, true} {
			h := newHarness(t, settings(), dw.Endpoint{ID: 7})
			h.counter = answer
			interval, n := 1500*millisecond, 20 // a third of the rate
			if aboveRate {
				interval, n = 100*millisecond, 300 // five times the rate
			}
			admitted := h.serve(n, interval, dw.Arrival{Customer: 1, Spread: 2})
			if !aboveRate && admitted < n {
				t.Errorf("%s: customer below its rate: got %d of %d requests admitted, expected all", name, admitted, n)
			}
			if aboveRate && (admitted < 30 || admitted > 68) { // from half the rate for 30 s to the full rate plus a burst
				t.Errorf("%s: customer above its rate: got %d requests admitted, expected 30 to 68", name, admitted)
			}
			if calls := float64(len(h.counterCalls)); calls > 1.2*float64(n)+20 {
				t.Errorf("%s: got %v counter calls for %d requests, expected at most a fifth more and 20", name, calls, n)
			}
		}
	}
}

// If a gateway's share of the burst is smaller than the largest permitted request, the counter's total decides on a request.
// Otherwise each of many gateways would admit a customer's first request.
func TestCustomerOfSmallBurstIsCountedFirst(t *testing.T) {
	for total, want := range map[float64]bool{1: true, 9: true, 10: false, 500: false} { // admitted up to a burst and a half
		h := newHarness(t, manyGateways(), dw.Endpoint{ID: 7})
		h.counter = func(c dw.CounterAdd) *dw.CounterAnswered { return &dw.CounterAnswered{Name: c.Name, Total: total} }
		id, _ := h.request(dw.Arrival{Customer: 1, Spread: 50})
		if len(h.attempts) > 0 || len(h.counterCalls) != 1 || h.counterCalls[0].Add != 1 {
			t.Fatalf("total %v: got attempts %v and counter calls %v, expected one call for 1 unit", total, h.attempts, h.counterCalls)
		}
		h.advance(3 * millisecond)
		if admitted := len(h.attempts) == 1; admitted != want || admitted == (h.answers[id] != nil) {
			t.Errorf("total %v: got forwarded %v, expected %v; answer %v", total, admitted, want, h.answers[id])
		}
	}
}

// A request that waits for a counter that does not answer is decided at the call's timeout, or at its own deadline if that is
// earlier.
func TestUncountedRequestIsAnswered(t *testing.T) {
	for remaining, sent := range map[dw.Span]int{800 * millisecond: 1, 20 * millisecond: 0} {
		h := newHarness(t, manyGateways(), dw.Endpoint{ID: 7})
		h.counter = func(dw.CounterAdd) *dw.CounterAnswered { return nil }
		id, _ := h.request(dw.Arrival{Customer: 1, Spread: 50, Remaining: remaining})
		h.advance(min(remaining, 60*millisecond))
		if len(h.attempts) != sent || sent == 0 && h.answers[id] == nil {
			t.Errorf("remaining time %v: got %d attempts and answer %v, expected one attempt, or with little time an answer and no attempt",
				remaining, len(h.attempts), h.answers[id])
		}
	}
}

// Guards against a call rate that falls because the counter is distant. A constant latency must not count as overload.
func TestCounterDistanceIsNoOverload(t *testing.T) {
	h := newHarness(t, settings(), dw.Endpoint{ID: 1})
	add := h.counter
	h.counter = func(c dw.CounterAdd) *dw.CounterAnswered {
		e := add(c)
		e.Latency = 20 * millisecond // a call times out after 50 ms
		return e
	}
	for i := range 200 {
		h.serve(1, 50*millisecond, dw.Arrival{Customer: dw.CustomerID(i % 20)})
	}
	if n := len(h.counterCalls); n < 60 {
		t.Errorf("got %d counter calls in 10 s for 20 customers, expected at least 60", n)
	}
}

// While the call rate is limited, customers that use up their quota quickly get calls first.
func TestScarceCallsGoToCustomersNearTheirQuota(t *testing.T) {
	s := settings()
	s.Plans = append(s.Plans, dw.Plan{Rate: 20, Burst: 100, WeightFactor: 1, OverQuotaCost: 1})
	h := newHarness(t, s, dw.Endpoint{ID: 1})
	add := h.counter
	h.counter = func(c dw.CounterAdd) *dw.CounterAnswered {
		e := add(c)
		e.Latency = 45 * millisecond * dw.Span(len(h.counterCalls)%2)
		return e
	}
	for i := range 400 {
		h.serve(1, 10*millisecond, dw.Arrival{Customer: dw.CustomerID(2 + i%100), Plan: 1})
		h.serve(1, 10*millisecond, dw.Arrival{Customer: 1})
	}
	customerCalls := 0
	for _, c := range h.counterCalls {
		if strings.HasPrefix(c.Name, "1.") {
			customerCalls++
		}
	}
	if customerCalls < 25 {
		t.Errorf("got %d of %d counter calls for the customer above its quota, expected at least 25", customerCalls, len(h.counterCalls))
	}
}

// A blocked customer waits for the end of its window, so a window must not be longer than the time in which two bursts refill.
func TestWindowsOfTwoBursts(t *testing.T) {
	h := newHarness(t, settings(), dw.Endpoint{ID: 1})
	h.serve(240, 100*millisecond, dw.Arrival{Customer: 1})
	windows := map[string]bool{}
	for _, c := range h.counterCalls {
		windows[c.Name] = true
	}
	if len(windows) < 4 { // each lasts 6 s, because the burst is 6 and the rate 2 per second
		t.Errorf("got %d windows in 24 s, expected at least 4", len(windows))
	}
}
