package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// Guards against the ejection of a server for all classes when it fails only one: it must still serve the other class.
func TestOneClassFails(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	var requestsTo [2][2]int // requests by server and class, in the second half
	for i := range 400 {
		class := i % 2
		if id, ok := h.request(dw.Arrival{Class: class}); ok {
			to := h.attempts[len(h.attempts)-1].Server
			if i >= 200 {
				requestsTo[to-7][class]++
			}
			if to == 8 || class == 1 {
				h.advance(10 * millisecond)
				h.handle(dw.AttemptEnded{Request: id, Server: to, Final: true, Latency: 10 * millisecond})
			} else {
				h.advance(800 * millisecond)
				h.handle(dw.AttemptEnded{Request: id, Server: to, Outcome: dw.OutcomeTimeout, Final: true, Latency: 800 * millisecond})
			}
		}
		h.advance(20 * millisecond)
	}
	if requestsTo[0][0] > 10 || requestsTo[0][1] < 30 {
		t.Errorf("server 7 got %d requests of the class that it fails, want at most 10, and %d of the other, want at least 30",
			requestsTo[0][0], requestsTo[0][1])
	}
}

// Guards against the detection of a zone's failure server by server: the zone's failure share must detect it at the cost of fewer
// attempts.
func TestZoneFailureIsDetectedAsOne(t *testing.T) {
	s := manyGateways()
	s.Zones, s.Plans[0] = 2, dw.Plan{WeightFactor: 1}
	var servers []dw.Endpoint
	for i := range 60 {
		servers = append(servers, dw.Endpoint{ID: dw.ServerID(i), Zone: i % 2})
	}
	lostAttempts := 0
	for seed := range uint64(20) {
		g, err := dw.New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}
		h.handle(dw.EndpointList{Kind: dw.ListCached, Servers: servers})
		for range 60 {
			id, ok := h.request(dw.Arrival{})
			for attempt := 0; ok && h.answers[id] == nil && attempt < 3; attempt++ {
				to := h.attempts[len(h.attempts)-1]
				e := dw.AttemptEnded{Request: id, Attempt: attempt, Server: to.Server, Final: true, Latency: 30 * millisecond}
				if to.Request != id {
					break
				} else if to.Server%2 == 1 {
					e.Outcome, e.Final = dw.OutcomeConnectFailed, false
					lostAttempts++
				}
				if h.handle(e); e.Final {
					break
				}
			}
			h.advance(100 * millisecond)
		}
	}
	if lostAttempts > 400 { // of 1,200 requests; 457 are lost if the failure is detected server by server
		t.Errorf("%d attempts were lost to the unreachable zone, want at most 400", lostAttempts)
	}
}
