package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// An attempt that is slow on a server that answers others is not hedged: hedging made the overload worse (incident of
// opnames-brabant). One on a silent server is.
func TestOnlySilentServersAreHedged(t *testing.T) {
	for _, silent := range []bool{false, true} {
		b := newHarness(t, settings(), dw.Endpoint{ID: 7})
		for c := range dw.CustomerID(50) { // the servers are known to be at ease
			b.serve(1, 10*millisecond, dw.Arrival{Customer: c + 10})
		}
		slow, _ := b.request(dw.Arrival{Customer: 1})
		b.advance(100 * millisecond)
		other, _ := b.request(dw.Arrival{Customer: 2})
		b.advance(50 * millisecond)
		if !silent {
			b.handle(dw.AttemptEnded{Request: other, Server: 7, Final: true, Latency: 50 * millisecond})
		}
		b.advance(150 * millisecond)
		moved := len(b.cancels) > 0
		if moved != silent {
			t.Errorf("silent %v: request %s is taken back: %v", silent, slow, moved)
		}
	}
}

// Where gateways send to each server seldom, every slow answer looks like silence, and hedging made all servers slower
// (report L2da371): nothing is hedged while all are slow. A server that is silent while others are quick is.
func TestNoHedgingWhenAllAreSlow(t *testing.T) {
	for latency, want := range map[dw.Span]struct{ min, max int }{250 * millisecond: {0, 5}, 10 * millisecond: {10, 40}} {
		s := manyGateways()
		s.Plans[0] = dw.Plan{WeightFactor: 1}
		var servers []dw.Endpoint
		for i := range 50 {
			servers = append(servers, dw.Endpoint{ID: dw.ServerID(i)})
		}
		b := newHarness(t, s, servers...)
		first := 0
		for i := range 300 {
			n := len(b.attempts)
			if id, ok := b.request(dw.Arrival{}); ok {
				first++
				if wait := latency; i%10 != 0 { // else it is never answered
					b.advance(wait)
					b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[n].Server, Final: true, Latency: wait})
				}
			}
			b.advance(100 * millisecond)
		}
		b.advance(800 * millisecond)
		if copies := len(b.attempts) - first; copies < want.min || copies > want.max || first < 20 {
			t.Errorf("answers in %v: %d copies of %d requests, want %d to %d", latency, copies, first, want.min, want.max)
		}
	}
}
