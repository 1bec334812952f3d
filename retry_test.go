package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

func TestRetryByOutcomeAndIdempotency(t *testing.T) {
	for _, c := range []struct {
		class   int
		outcome dw.Outcome
		want    string
	}{
		{0, dw.OutcomeReset, "sent"}, {0, dw.OutcomeRejected, "sent"},
		{1, dw.OutcomeRejected, "sent"}, {1, dw.OutcomeConnectFailed, "sent"}, {1, dw.OutcomeNotSent, "sent"},
		{1, dw.OutcomeReset, "failed"}, {1, dw.OutcomeError, "failed"}, {1, dw.OutcomeTimeout, "failed"},
	} {
		b := newHarness(t, settings(), dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
		id, _ := b.request(dw.Arrival{Class: c.class})
		b.advance(5 * millisecond)
		b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[0].Server, Outcome: c.outcome, Latency: 5 * millisecond})
		got := "nothing"
		if len(b.attempts) == 2 && b.attempts[1].Server != b.attempts[0].Server {
			got = "sent"
		} else if _, ok := b.answers[id].(dw.Fail); ok {
			got = "failed"
		}
		if got != c.want {
			t.Errorf("class %d, outcome %d: %s, want %s", c.class, c.outcome, got, c.want)
		}
	}
}

// A request has its answer by its deadline even if the outcome of its last attempt is late (rule 1).
func TestAnsweredByTheDeadlineWithoutAnOutcome(t *testing.T) {
	for class := range 2 {
		b := newHarness(t, settings(), dw.Endpoint{ID: 7})
		id, _ := b.request(dw.Arrival{Class: class})
		b.advance(816 * millisecond)
		if _, failed := b.answers[id].(dw.Fail); b.answers[id] == nil || class == 1 && !failed {
			t.Errorf("class %d: got %v", class, b.answers[id])
		}
	}
}

// A request that is given up has its answer in the same step, with a Retry-After that differs from others'.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	reject := func(b *harness, id dw.RequestID) { // every attempt is rejected until none is left
		for i := 0; i < len(b.attempts); i++ {
			b.handle(dw.AttemptEnded{Request: id, Attempt: i, Server: b.attempts[i].Server, Outcome: dw.OutcomeRejected, Latency: millisecond})
		}
	}
	for name, end := range map[string]func(b *harness, id dw.RequestID){
		"no server left": reject,
		"may have run": func(b *harness, id dw.RequestID) {
			b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[0].Server, Outcome: dw.OutcomeReset, Latency: millisecond})
			for i := 1; i < len(b.attempts); i++ {
				b.handle(dw.AttemptEnded{Request: id, Attempt: i, Server: b.attempts[i].Server, Outcome: dw.OutcomeError, Latency: millisecond})
			}
		},
	} {
		for class := range 2 {
			b := newHarness(t, settings(), dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
			id, _ := b.request(dw.Arrival{Class: class})
			b.advance(5 * millisecond)
			end(b, id)
			r, rejected := b.answers[id].(dw.Reject)
			if b.answers[id] == nil || rejected && (r.RetryAfter <= 0 || r.RetryAfter == 400*millisecond) {
				t.Errorf("%s, class %d: answer %+v", name, class, b.answers[id])
			}
		}
	}
	b := newHarness(t, manyGateways(), dw.Endpoint{ID: 7}) // the server goes while the request waits for its count
	id, _ := b.request(dw.Arrival{Customer: 1, Spread: 50})
	b.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7, State: dw.Removed}}})
	b.advance(3 * millisecond)
	if r, rejected := b.answers[id].(dw.Reject); !rejected || r.RetryAfter <= 0 {
		t.Errorf("no server when the count is known: answer %+v", b.answers[id])
	}
}
