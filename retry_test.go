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
		h := newHarness(t, settings(), dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
		id, _ := h.request(dw.Arrival{Class: c.class})
		h.advance(5 * millisecond)
		h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[0].Server, Outcome: c.outcome, Latency: 5 * millisecond})
		got := "nothing"
		if len(h.attempts) == 2 && h.attempts[1].Server != h.attempts[0].Server {
			got = "sent"
		} else if _, ok := h.answers[id].(dw.Fail); ok {
			got = "failed"
		}
		if got != c.want {
			t.Errorf("class %d, outcome %d: got %s, want %s", c.class, c.outcome, got, c.want)
		}
	}
}

// A request must have its answer by its deadline even if the outcome of its last attempt is late (rule 1).
func TestAnsweredByTheDeadlineWithoutAnOutcome(t *testing.T) {
	for class := range 2 {
		h := newHarness(t, settings(), dw.Endpoint{ID: 7})
		id, _ := h.request(dw.Arrival{Class: class})
		h.advance(816 * millisecond)
		if _, failed := h.answers[id].(dw.Fail); h.answers[id] == nil || class == 1 && !failed {
			t.Errorf("class %d: answer %v after the deadline, want a final answer, and Fail for class 1", class, h.answers[id])
		}
	}
}

// A request that is given up must be answered in the same step. Its Retry-After is random, so that clients do not retry together.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	reject := func(h *harness, id dw.RequestID) { // rejects every attempt until none is allowed
		for i := 0; i < len(h.attempts); i++ {
			h.handle(dw.AttemptEnded{Request: id, Attempt: i, Server: h.attempts[i].Server, Outcome: dw.OutcomeRejected, Latency: millisecond})
		}
	}
	for name, end := range map[string]func(h *harness, id dw.RequestID){
		"no server left": reject,
		"may have run": func(h *harness, id dw.RequestID) {
			h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[0].Server, Outcome: dw.OutcomeReset, Latency: millisecond})
			for i := 1; i < len(h.attempts); i++ {
				h.handle(dw.AttemptEnded{Request: id, Attempt: i, Server: h.attempts[i].Server, Outcome: dw.OutcomeError, Latency: millisecond})
			}
		},
	} {
		for class := range 2 {
			h := newHarness(t, settings(), dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
			id, _ := h.request(dw.Arrival{Class: class})
			h.advance(5 * millisecond)
			end(h, id)
			r, rejected := h.answers[id].(dw.Reject)
			if h.answers[id] == nil || rejected && (r.RetryAfter <= 0 || r.RetryAfter == 400*millisecond) {
				t.Errorf("%s, class %d: got answer %+v, want a final answer with a random Retry-After", name, class, h.answers[id])
			}
		}
	}
	h := newHarness(t, manyGateways(), dw.Endpoint{ID: 7}) // the server is removed while the request waits for the counter
	id, _ := h.request(dw.Arrival{Customer: 1, Spread: 50})
	h.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7, State: dw.Removed}}})
	h.advance(3 * millisecond)
	if r, rejected := h.answers[id].(dw.Reject); !rejected || r.RetryAfter <= 0 {
		t.Errorf("no server when the counter answers: got answer %+v, want Reject with a Retry-After", h.answers[id])
	}
}
