package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

func TestQuota(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		interval dw.Span
		min, max int
	}{
		{"a burst", 20, millisecond, 5, 6},
		{"within the rate", 40, 600 * millisecond, 40, 40},
		{"three times the rate, over two windows' edges", 150, 166 * millisecond, 50, 57}, // 6 + 2 per second for 25 s
	}
	for _, c := range cases {
		admitted := newHarness(t, settings(), dw.Endpoint{ID: 7}).serve(c.requests, c.interval, dw.Arrival{Customer: 1})
		if admitted < c.min || admitted > c.max {
			t.Errorf("%s: got %d requests admitted, expected %d to %d", c.name, admitted, c.min, c.max)
		}
	}
}

// Units that other gateways have used show in the counter's total and must not be admitted again.
func TestUseByOtherGateways(t *testing.T) {
	h := newHarness(t, settings(), dw.Endpoint{ID: 7})
	h.counter = func(c dw.CounterAdd) *dw.CounterAnswered { return &dw.CounterAnswered{Name: c.Name, Total: c.Add + 6} }
	if in := h.serve(1, 500*millisecond, dw.Arrival{Customer: 1, Spread: 2}); in != 1 {
		t.Fatal("the first request was rejected")
	}
	if admitted := h.serve(20, millisecond, dw.Arrival{Customer: 1, Spread: 2}); admitted > 1 {
		t.Errorf("got %d requests admitted although other gateways have used the burst, expected at most 1", admitted)
	}
}

// An attempt whose answer is streaming counts against the limit of attempts in flight, but is not extrapolated to other
// gateways. It counts once, however many AnswerStarted events arrive.
func TestStreamingAttemptsCountOnce(t *testing.T) {
	s := settings()
	s.Instances, s.Plans[0] = 4, dw.Plan{MaxInFlight: 4, WeightFactor: 1, OverQuotaCost: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7})
	var streaming []dw.RequestID
	for i := range 6 {
		id, ok := h.request(dw.Arrival{Spread: 4})
		if ok != (i < 4) {
			t.Fatalf("with %d streaming answers: got admitted %v", i, ok)
		}
		if ok {
			streaming = append(streaming, id)
			h.handle(dw.AnswerStarted{Request: id, Server: 7})
			h.handle(dw.AnswerStarted{Request: id, Server: 7})
		}
	}
	for _, id := range streaming {
		h.handle(dw.AttemptEnded{Request: id, Server: 7, Final: true, Latency: 10 * millisecond})
	}
	// No ended attempt remains in the count. An attempt whose answer has not begun counts as four, one for each gateway.
	if _, ok := h.request(dw.Arrival{Spread: 4}); !ok {
		t.Fatal("request rejected with no attempt in flight")
	}
	if _, ok := h.request(dw.Arrival{Spread: 4}); ok {
		t.Fatal("request admitted although one attempt at each gateway reaches the limit")
	}
}

// A gateway that has just started may have spent its share of the ceiling in its previous incarnation.
func TestCeilingStartsEmpty(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{Rate: 10, Burst: 20, CeilingRate: 20, CeilingBurst: 40, Tolerance: 4, WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7})
	if admitted := h.serve(10, millisecond, dw.Arrival{Customer: 1, Spread: 2}); admitted > 0 {
		t.Errorf("got %d requests admitted at once, expected 0", admitted)
	}
	h.advance(second)
	if admitted := h.serve(5, millisecond, dw.Arrival{Customer: 1, Spread: 2}); admitted != 5 {
		t.Errorf("got %d of 5 requests admitted after a second, expected all", admitted)
	}
}

// Early in a window, each of many gateways had no attempt of a heavy customer in flight, and together they exceeded its limit
// (incident i4e1301). The other gateways' attempts in flight are therefore estimated from the customer's demand.
func TestInFlightLimitWhenCountedFirst(t *testing.T) {
	for total, want := range map[float64]bool{3: true, 150: false} {
		s := manyGateways()
		s.Plans[0].MaxInFlight = 2
		h := newHarness(t, s, dw.Endpoint{ID: 7})
		h.counter = func(c dw.CounterAdd) *dw.CounterAnswered {
			reported := total
			total = 1 // total of the next window, which has just begun
			return &dw.CounterAnswered{Name: c.Name, Total: reported}
		}
		lastTotal := total
		first, _ := h.request(dw.Arrival{Customer: 1, Spread: 50})
		h.advance(10 * millisecond)
		if len(h.attempts) == 1 {
			h.handle(dw.AttemptEnded{Request: first, Server: 7, Final: true, Latency: 10 * millisecond})
		}
		h.advance(2100 * millisecond) // into the next window
		id, _ := h.request(dw.Arrival{Customer: 1, Spread: 50})
		h.advance(3 * millisecond)
		if admitted := h.answers[id] == nil; admitted != want {
			t.Errorf("total %v in the last window: got admitted %v, expected %v", lastTotal, admitted, want)
		}
	}
}
