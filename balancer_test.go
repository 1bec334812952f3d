package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// Guards against estimates of draining servers that follow the mean of the slow servers still in use. The
// servers would then be considered slow when they return, and requests would be rejected.
func TestReturningServersAreNotConsideredSlow(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var all, draining []dw.Endpoint
	for id := range dw.ServerID(6) {
		all = append(all, dw.Endpoint{ID: id})
		if id > 1 {
			draining = append(draining, dw.Endpoint{ID: id, State: dw.Draining})
		}
	}
	h := newHarness(t, s, all...)
	h.serve(500, 10*millisecond, dw.Arrival{})
	h.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: draining})
	for i := range 500 { // the two remaining servers are too slow for the class of lower weight
		if id, sent := h.request(dw.Arrival{Class: i % 2}); sent {
			h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[len(h.attempts)-1].Server, Final: true, Latency: 95 * millisecond})
		}
		h.advance(10 * millisecond)
	}
	h.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: all[2:]})
	if admitted := h.serve(50, 10*millisecond, dw.Arrival{}); admitted < 48 {
		t.Errorf("%d of 50 requests were admitted after the servers returned, want at least 48", admitted)
	}
}

// A gateway that rarely sends to each server selects at random. Guards against the rejection of a request
// because the random choice is a slow server, although other servers are within the limit.
func TestRandomChoiceAvoidsSlowServers(t *testing.T) {
	s := manyGateways()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var servers []dw.Endpoint
	for i := range 20 {
		servers = append(servers, dw.Endpoint{ID: dw.ServerID(i)})
	}
	h := newHarness(t, s, servers...)
	rejected := 0
	for range 600 {
		id, sent := h.request(dw.Arrival{})
		if !sent {
			rejected++
		} else {
			e := dw.AttemptEnded{Request: id, Server: h.attempts[len(h.attempts)-1].Server, Final: true, Latency: 20 * millisecond}
			if e.Server < 2 {
				e.Latency = 350 * millisecond // the other servers keep their latency of 20 ms
			}
			h.advance(e.Latency)
			h.handle(e)
		}
		h.advance(50 * millisecond)
	}
	if rejected > 0 {
		t.Errorf("%d of 600 requests were rejected although 18 of 20 servers are idle, want 0", rejected)
	}
}
