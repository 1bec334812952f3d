package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// A gateway that sheds everything by its latency estimate must find out when the servers have recovered (incident
// i7b957a).
func TestRecoveryFromSheddingAll(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	for range 100 {
		if id, ok := b.request(dw.Arrival{}); ok {
			b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[len(b.attempts)-1].Server, Final: true, Latency: 390 * millisecond})
		}
		b.advance(millisecond)
	}
	if _, ok := b.request(dw.Arrival{}); ok {
		t.Fatal("slow servers do not lead to rejections")
	}
	b.advance(4 * second)
	if _, ok := b.request(dw.Arrival{}); !ok {
		t.Error("no way back")
	}
}

// When most attempts fail, less is sent, and recovery needs nothing else: servers full of expired work were sent as much
// again, with retries budgeted by arrivals (incidents ife4101 and i0b2662).
func TestThrottlingEndsCollapse(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8}, dw.Endpoint{ID: 9})
	play := func(outcome dw.Outcome) int {
		before, seen := len(b.attempts), len(b.attempts)
		for range 500 {
			id, ok := b.request(dw.Arrival{})
			for attempt := 0; ok && seen < len(b.attempts); attempt++ {
				e := dw.AttemptEnded{Request: id, Attempt: attempt, Server: b.attempts[seen].Server, Outcome: outcome, Latency: 5 * millisecond}
				e.Final = outcome == dw.OutcomeOK
				seen++
				b.handle(e)
			}
			b.advance(20 * millisecond)
		}
		return len(b.attempts) - before
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

// Of a hundred servers there is always one whose last sample dates from before the overload; the gateway must shed load all
// the same (report L2da371, incident ife4101).
func TestOverloadIsSeenAmongManyServers(t *testing.T) {
	s := manyGateways()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var servers []dw.Endpoint
	for i := range 100 {
		servers = append(servers, dw.Endpoint{ID: dw.ServerID(i)})
	}
	b := newHarness(t, s, servers...)
	in := 0
	for i := range 300 {
		latency := 10 * millisecond
		if i >= 200 {
			latency = 300 * millisecond
		}
		if id, ok := b.request(dw.Arrival{}); ok {
			b.advance(latency)
			b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[len(b.attempts)-1].Server, Final: true, Latency: latency})
			if i >= 230 && i < 300 {
				in++
			}
		}
		b.advance(100 * millisecond)
	}
	if in > 20 || in == 0 {
		t.Errorf("%d of 70 requests go on to servers that all take three quarters of the aim", in)
	}
}

// Retry-After differs from request to request, so that clients do not come back together (report L2da371), and leaves time
// for an answer.
func TestRetryAfterIsSpread(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	least, most := second, dw.Span(0)
	for range 200 {
		id, ok := b.request(dw.Arrival{})
		if ok {
			b.advance(220 * millisecond)
			b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[len(b.attempts)-1].Server, Final: true, Latency: 220 * millisecond})
		} else if r, rejected := b.answers[id].(dw.Reject); rejected {
			least, most = min(least, r.RetryAfter), max(most, r.RetryAfter)
		}
		b.advance(millisecond)
	}
	if least <= 0 || most < 2*least || most > 400*millisecond {
		t.Errorf("advice of %v to %v", least, most)
	}
}

// Latency that is due to long work, not to load, does not shed: the threshold is a multiple of the idle latency.
func TestLongWorkIsNotShed(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	for _, c := range []struct {
		latency  dw.Span
		min, max int
	}{{70 * millisecond, 95, 100}, {130 * millisecond, 95, 100}, {300 * millisecond, 1, 60}} {
		in := 0
		for i := range 200 {
			if id, ok := b.request(dw.Arrival{}); ok {
				b.advance(c.latency)
				b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[len(b.attempts)-1].Server, Final: true, Latency: c.latency})
				if i >= 100 {
					in++
				}
			}
			b.advance(10 * millisecond)
		}
		if in < c.min || in > c.max {
			t.Errorf("answers in %v: %d of 100 go on, want %d to %d", c.latency, in, c.min, c.max)
		}
	}
}
