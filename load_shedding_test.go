package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// A gateway that sheds everything because of its latency estimate must notice when the servers have recovered (incident
// i7b957a).
func TestRecoveryFromSheddingAll(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	for range 100 {
		if id, ok := h.request(dw.Arrival{}); ok {
			h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[len(h.attempts)-1].Server, Final: true, Latency: 390 * millisecond})
		}
		h.advance(millisecond)
	}
	if _, ok := h.request(dw.Arrival{}); ok {
		t.Fatal("request admitted although all servers are slow")
	}
	h.advance(4 * second)
	if _, ok := h.request(dw.Arrival{}); !ok {
		t.Error("request rejected although the servers have had time to recover")
	}
}

// While most attempts fail, the gateway must send less, and that alone must let the servers recover. With retries budgeted by
// arrivals, servers full of expired work received as much load again (incidents ife4101 and i0b2662).
func TestThrottlingEndsCollapse(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8}, dw.Endpoint{ID: 9})
	runRequests := func(outcome dw.Outcome) int {
		before, handled := len(h.attempts), len(h.attempts)
		for range 500 {
			id, ok := h.request(dw.Arrival{})
			for attempt := 0; ok && handled < len(h.attempts); attempt++ {
				e := dw.AttemptEnded{Request: id, Attempt: attempt, Server: h.attempts[handled].Server, Outcome: outcome, Latency: 5 * millisecond}
				e.Final = outcome == dw.OutcomeOK
				handled++
				h.handle(e)
			}
			h.advance(20 * millisecond)
		}
		return len(h.attempts) - before
	}
	if n := runRequests(dw.OutcomeOK); n < 450 {
		t.Fatalf("got %d attempts for 500 requests while servers are healthy, expected at least 450", n)
	}
	if n := runRequests(dw.OutcomeError); n > 400 { // without throttling: all requests, and up to a tenth more as further attempts
		t.Errorf("got %d attempts for 500 requests that all fail, expected at most 400", n)
	}
	if runRequests(dw.OutcomeOK); runRequests(dw.OutcomeOK) < 450 {
		t.Error("requests rejected although the servers have recovered")
	}
}

// Among a hundred servers there is always one whose last sample dates from before the overload. The gateway must shed load
// nevertheless (incident report L2da371, incident ife4101).
func TestOverloadIsSeenAmongManyServers(t *testing.T) {
	s := manyGateways()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var servers []dw.Endpoint
	for i := range 100 {
		servers = append(servers, dw.Endpoint{ID: dw.ServerID(i)})
	}
	h := newHarness(t, s, servers...)
	forwarded := 0
	for i := range 300 {
		latency := 10 * millisecond
		if i >= 200 {
			latency = 300 * millisecond
		}
		if id, ok := h.request(dw.Arrival{}); ok {
			h.advance(latency)
			h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[len(h.attempts)-1].Server, Final: true, Latency: latency})
			if i >= 230 && i < 300 {
				forwarded++
			}
		}
		h.advance(100 * millisecond)
	}
	if forwarded > 20 || forwarded == 0 {
		t.Errorf("got %d of 70 requests forwarded to servers that all take 3/4 of the objective, expected 1 to 20", forwarded)
	}
}

// Retry-After must differ from request to request, so that clients do not return together (incident report L2da371). It must be at
// most 400 ms, so that a client that returns can still be answered before its deadline of 800 ms.
func TestRetryAfterIsSpread(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	least, most := second, dw.Span(0)
	for range 200 {
		id, ok := h.request(dw.Arrival{})
		if ok {
			h.advance(220 * millisecond)
			h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[len(h.attempts)-1].Server, Final: true, Latency: 220 * millisecond})
		} else if r, rejected := h.answers[id].(dw.Reject); rejected {
			least, most = min(least, r.RetryAfter), max(most, r.RetryAfter)
		}
		h.advance(millisecond)
	}
	if least <= 0 || most < 2*least || most > 400*millisecond {
		t.Errorf("got a RetryAfter of %v to %v, expected a positive range, spread twofold within 400 millisecond", least, most)
	}
}

// Latency that is due to long work instead of load must not shed requests: the threshold is a multiple of the idle latency.
func TestLongWorkIsNotShed(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	for _, c := range []struct {
		latency  dw.Span
		min, max int
	}{{70 * millisecond, 95, 100}, {130 * millisecond, 95, 100}, {300 * millisecond, 1, 60}} {
		forwarded := 0
		for i := range 200 {
			if id, ok := h.request(dw.Arrival{}); ok {
				h.advance(c.latency)
				h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[len(h.attempts)-1].Server, Final: true, Latency: c.latency})
				if i >= 100 {
					forwarded++
				}
			}
			h.advance(10 * millisecond)
		}
		if forwarded < c.min || forwarded > c.max {
			t.Errorf("latency %v: got %d of 100 requests forwarded, expected %d to %d", c.latency, forwarded, c.min, c.max)
		}
	}
}

// Clients that read long answers slowly must not make their server look slow: once it has begun to answer, its attempt has
// succeeded, and other requests are still sent there.
func TestSlowReadersDoNotShedOthers(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7})
	for range 20 {
		id, ok := h.request(dw.Arrival{})
		if !ok {
			t.Fatal("request rejected although the server answers at once")
		}
		h.advance(5 * millisecond)
		h.handle(dw.AnswerStarted{Request: id, Server: 7, Latency: 5 * millisecond})
	}
	h.advance(500 * millisecond)
	if admitted := h.serve(20, 20*millisecond, dw.Arrival{}); admitted < 20 {
		t.Errorf("got %d of 20 requests admitted while clients read slowly, expected all", admitted)
	}
}

// Clients whose requests have no time left must not get the requests of others rejected: that their attempts fail says nothing about the
// servers (issue 71). Servers that let requests with usual time fail are still noticed meanwhile.
func TestScantRequestsDoNotShedOthers(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8}, dw.Endpoint{ID: 9})
	run := func(requests int, usualOutcome dw.Outcome) (admitted int) {
		for range requests {
			for range 5 {
				if id, ok := h.request(dw.Arrival{Remaining: millisecond}); ok {
					server := h.attempts[len(h.attempts)-1].Server
					h.advance(millisecond)
					h.handle(dw.AttemptEnded{Request: id, Server: server, Outcome: dw.OutcomeTimeout, Latency: millisecond})
				}
			}
			if id, ok := h.request(dw.Arrival{}); ok {
				admitted++
				h.advance(5 * millisecond)
				h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[len(h.attempts)-1].Server, Outcome: usualOutcome, Final: true,
					Latency: 5 * millisecond})
			}
			h.advance(5 * millisecond)
		}
		return admitted
	}
	if n := run(300, dw.OutcomeOK); n < 290 {
		t.Errorf("%d of 300 requests with usual time were admitted beside five times as many with 1 ms", n)
	}
	if n := run(1000, dw.OutcomeTimeout); n > 800 {
		t.Errorf("%d of 1000 requests were admitted although all that had usual time failed", n)
	}
}

// Requests that never left the gateway, or whose clients left soon, must not get the requests of others rejected: the servers have let none
// of them fail (issue 71). One of ten arriving requests has usual time and is answered.
func TestUnsentAndAbandonedRequestsDoNotShedOthers(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	s.MayCancel = true
	h := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8}, dw.Endpoint{ID: 9})
	endAttempts := func(id dw.RequestID, outcome dw.Outcome) {
		for n := 0; n < len(h.attempts); n++ { // each end may start the next attempt
			h.handle(dw.AttemptEnded{Request: id, Attempt: n, Server: h.attempts[n].Server, Outcome: outcome, Latency: millisecond})
		}
		h.attempts = nil
	}
	admitted := 0
	for range 300 {
		for range 5 {
			if id, ok := h.request(dw.Arrival{}); ok {
				h.advance(millisecond)
				endAttempts(id, dw.OutcomeNotSent)
			}
			if id, ok := h.request(dw.Arrival{}); ok {
				h.advance(millisecond)
				h.handle(dw.ClientDeparted{Request: id})
				endAttempts(id, dw.OutcomeCancelled)
			}
		}
		if id, ok := h.request(dw.Arrival{}); ok {
			admitted++
			h.advance(5 * millisecond)
			h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[0].Server, Outcome: dw.OutcomeOK, Final: true, Latency: 5 * millisecond})
		}
		h.attempts = nil
		h.advance(5 * millisecond)
	}
	if admitted < 290 {
		t.Errorf("%d of 300 requests that the servers answered were admitted", admitted)
	}
}
