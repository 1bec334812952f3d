package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// A gateway that ends answers each request by its time, in the way that rule 2 allows: one whose attempt may run yet and must
// not run twice has failed, any other may come again.
func TestShutdownAnswersAll(t *testing.T) {
	const idempotentClass, nonIdempotentClass = 0, 1
	b := newHarness(t, settings(), dw.Endpoint{ID: 1, Rating: 1})
	b.counter = func(dw.CounterAdd) *dw.CounterAnswered { return nil }
	by := b.now + dw.Instant(300*ms)
	arrive := func(id dw.RequestID, class int) {
		b.handle(dw.Arrival{ID: id, Class: class, Customer: dw.CustomerID(b.now), Remaining: 10 * sec, Units: 1, Spread: 1, FirstGateway: 0})
	}
	arrive("safe, before", idempotentClass)
	arrive("unsafe, before", nonIdempotentClass)
	b.handle(dw.LimitQuery{ID: "query, before", Customer: 7, Remaining: 10 * sec, Spread: 1})
	b.handle(dw.Shutdown{By: by})
	b.advance(100 * ms)
	arrive("safe, after", idempotentClass)
	b.handle(dw.LimitQuery{ID: "query, after", Customer: 8, Remaining: 10 * sec, Spread: 1})
	if len(b.attempts) != 3 {
		t.Fatalf("%d attempts", len(b.attempts))
	}
	if timeout := b.attempts[2].Timeout; timeout > dw.Span(by-b.now) {
		t.Errorf("an attempt may take %v, and the gateway has %v", timeout, dw.Span(by-b.now))
	}
	b.advance(198 * ms)
	if n := len(b.answers); n > 2 { // queries are answered a little before
		t.Errorf("%d were answered too soon", n)
	}
	b.advance(2 * ms)
	for id, rejected := range map[dw.RequestID]bool{"safe, before": true, "unsafe, before": false, "query, before": false,
		"safe, after": true, "query, after": false} {
		switch b.answers[id].(type) {
		case dw.Reject:
			if !rejected {
				t.Errorf("%s was rejected, and may have run", id)
			}
		case dw.Fail:
			if rejected {
				t.Errorf("%s was failed, and may come again", id)
			}
		default:
			t.Errorf("%s has no answer", id)
		}
	}
	arrive("too late", idempotentClass)
	if _, rejected := b.answers["too late"].(dw.Reject); !rejected {
		t.Error("what comes after the end is not rejected")
	}
}
