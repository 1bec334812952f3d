package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// Guards against hedging an attempt that is only slow: hedging made the overload worse (incident of opnames-brabant). An attempt
// is hedged if its server answers no other request either.
func TestOnlySilentServersAreHedged(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		h := newHarness(t, settings(), dw.Endpoint{ID: 7})
		for c := range dw.CustomerID(50) { // the latency estimates are low
			h.serve(1, 10*millisecond, dw.Arrival{Customer: c + 10})
		}
		slow, _ := h.request(dw.Arrival{Customer: 1})
		h.advance(100 * millisecond)
		other, _ := h.request(dw.Arrival{Customer: 2})
		h.advance(50 * millisecond)
		if !unresponsive {
			h.handle(dw.AttemptEnded{Request: other, Server: 7, Final: true, Latency: 50 * millisecond})
		}
		h.advance(150 * millisecond)
		cancelled := len(h.cancels) > 0
		if cancelled != unresponsive {
			t.Errorf("server unresponsive %v: attempt of request %s cancelled %v, want the same", unresponsive, slow, cancelled)
		}
	}
}

// Guards against hedging while all servers are slow. If gateways rarely send to each server, every slow answer looks like an
// unresponsive server, and hedging made all servers slower (incident report L2da371). An unresponsive server among fast ones is
// hedged.
func TestNoHedgingWhenAllAreSlow(t *testing.T) {
	for latency, want := range map[dw.Span]struct{ min, max int }{250 * millisecond: {0, 5}, 10 * millisecond: {10, 40}} {
		s := manyGateways()
		s.Plans[0] = dw.Plan{WeightFactor: 1}
		var servers []dw.Endpoint
		for i := range 50 {
			servers = append(servers, dw.Endpoint{ID: dw.ServerID(i)})
		}
		h := newHarness(t, s, servers...)
		firstAttempts := 0
		for i := range 300 {
			n := len(h.attempts)
			if id, ok := h.request(dw.Arrival{}); ok {
				firstAttempts++
				if wait := latency; i%10 != 0 { // the other requests are never answered
					h.advance(wait)
					h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[n].Server, Final: true, Latency: wait})
				}
			}
			h.advance(100 * millisecond)
		}
		h.advance(800 * millisecond)
		if hedged := len(h.attempts) - firstAttempts; hedged < want.min || hedged > want.max || firstAttempts < 20 {
			t.Errorf("latency %v: %d hedged attempts for %d requests, want %d to %d for at least 20 requests",
				latency, hedged, firstAttempts, want.min, want.max)
		}
	}
}
