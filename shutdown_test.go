package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// A gateway that shuts down must answer each request by the given time. A request that may still run and must not run twice fails
// (rule 2), and any other request is rejected, so that the client may send it again.
func TestShutdownAnswersAll(t *testing.T) {
	const idempotentClass, nonIdempotentClass = 0, 1
	h := newHarness(t, settings(), dw.Endpoint{ID: 1, Rating: 1})
	h.counter = func(dw.CounterAdd) *dw.CounterAnswered { return nil }
	by := h.now + dw.Instant(300*millisecond)
	arrive := func(id dw.RequestID, class int) {
		h.handle(dw.Arrival{ID: id, Class: class, Customer: dw.CustomerID(h.now), Remaining: 10 * second, Units: 1,
			Spread: 1, FirstGateway: 0})
	}
	arrive("safe, before", idempotentClass)
	arrive("unsafe, before", nonIdempotentClass)
	h.handle(dw.LimitQuery{ID: "query, before", Customer: 7, Remaining: 10 * second, Spread: 1})
	h.handle(dw.Shutdown{By: by})
	h.advance(100 * millisecond)
	arrive("safe, after", idempotentClass)
	h.handle(dw.LimitQuery{ID: "query, after", Customer: 8, Remaining: 10 * second, Spread: 1})
	if len(h.attempts) != 3 {
		t.Fatalf("got %d attempts, expected 3", len(h.attempts))
	}
	if timeout := h.attempts[2].Timeout; timeout > dw.Span(by-h.now) {
		t.Errorf("got an attempt timeout of %v, expected at most the %v until the shutdown", timeout, dw.Span(by-h.now))
	}
	h.advance(198 * millisecond)
	if n := len(h.answers); n > 2 { // limit queries are answered slightly earlier
		t.Errorf("got %d answers before the shutdown, expected at most 2", n)
	}
	h.advance(2 * millisecond)
	for id, rejected := range map[dw.RequestID]bool{"safe, before": true, "unsafe, before": false, "query, before": false,
		"safe, after": true, "query, after": false} {
		switch h.answers[id].(type) {
		case dw.Reject:
			if !rejected {
				t.Errorf("%s was rejected, but may have run", id)
			}
		case dw.Fail:
			if rejected {
				t.Errorf("%s failed, but its client may send it again", id)
			}
		default:
			t.Errorf("%s got no answer", id)
		}
	}
	arrive("too late", idempotentClass)
	if _, rejected := h.answers["too late"].(dw.Reject); !rejected {
		t.Error("request after the shutdown was not rejected")
	}
}
