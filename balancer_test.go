package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// The estimates of servers that were draining do not follow the mean of the slow servers that were left.
func TestReturningServersAreNotTakenForSlow(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var all, away []dw.Endpoint
	for id := range dw.ServerID(6) {
		all = append(all, dw.Endpoint{ID: id})
		if id > 1 {
			away = append(away, dw.Endpoint{ID: id, State: dw.Draining})
		}
	}
	b := newHarness(t, s, all...)
	b.serve(500, 10*millisecond, dw.Arrival{})
	b.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: away})
	for i := range 500 { // the two that are left are too slow for what earns less
		if id, ok := b.request(dw.Arrival{Class: i % 2}); ok {
			b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[len(b.attempts)-1].Server, Final: true, Latency: 95 * millisecond})
		}
		b.advance(10 * millisecond)
	}
	b.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: all[2:]})
	if in := b.serve(50, 10*millisecond, dw.Arrival{}); in < 48 {
		t.Errorf("of 50 requests %d went on", in)
	}
}

// A gateway that sees little of the servers chooses at random. Where that falls on a slow server, the request goes to
// another and is not rejected.
func TestRandomChoiceAvoidsSlowServers(t *testing.T) {
	s := manyGateways()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var servers []dw.Endpoint
	for i := range 20 {
		servers = append(servers, dw.Endpoint{ID: dw.ServerID(i)})
	}
	b := newHarness(t, s, servers...)
	rejected := 0
	for range 600 {
		id, ok := b.request(dw.Arrival{})
		if !ok {
			rejected++
		} else {
			e := dw.AttemptEnded{Request: id, Server: b.attempts[len(b.attempts)-1].Server, Final: true, Latency: 20 * millisecond}
			if e.Server < 2 {
				e.Latency = 350 * millisecond // and the others are as quick as ever
			}
			b.advance(e.Latency)
			b.handle(e)
		}
		b.advance(50 * millisecond)
	}
	if rejected > 0 {
		t.Errorf("%d of 600 rejected beside eighteen idle servers", rejected)
	}
}
