package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// A server that leaves one class unanswered goes on serving the other.
func TestOneClassFails(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	var got [2][2]int // by server and class, in the second half
	for i := range 400 {
		class := i % 2
		if id, ok := b.request(dw.Arrival{Class: class}); ok {
			to := b.attempts[len(b.attempts)-1].Server
			if i >= 200 {
				got[to-7][class]++
			}
			if to == 8 || class == 1 {
				b.advance(10 * millisecond)
				b.handle(dw.AttemptEnded{Request: id, Server: to, Final: true, Latency: 10 * millisecond})
			} else {
				b.advance(800 * millisecond)
				b.handle(dw.AttemptEnded{Request: id, Server: to, Outcome: dw.OutcomeTimeout, Final: true, Latency: 800 * millisecond})
			}
		}
		b.advance(20 * millisecond)
	}
	if got[0][0] > 10 || got[0][1] < 30 {
		t.Errorf("server 7 got %d requests of the class that it fails and %d of the other", got[0][0], got[0][1])
	}
}

// The failure of a zone is detected by the zone's failure fraction, not server by server.
func TestZoneFailureIsDetectedAsOne(t *testing.T) {
	s := manyGateways()
	s.Zones, s.Plans[0] = 2, dw.Plan{WeightFactor: 1}
	var servers []dw.Endpoint
	for i := range 60 {
		servers = append(servers, dw.Endpoint{ID: dw.ServerID(i), Zone: i % 2})
	}
	lost := 0
	for seed := range uint64(20) {
		g, err := dw.New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		b := &harness{t: t, gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}
		b.handle(dw.EndpointList{Kind: dw.ListCached, Servers: servers})
		for range 60 {
			id, ok := b.request(dw.Arrival{})
			for attempt := 0; ok && b.answers[id] == nil && attempt < 3; attempt++ {
				to := b.attempts[len(b.attempts)-1]
				e := dw.AttemptEnded{Request: id, Attempt: attempt, Server: to.Server, Final: true, Latency: 30 * millisecond}
				if to.Request != id {
					break
				} else if to.Server%2 == 1 {
					e.Outcome, e.Final = dw.OutcomeConnectFailed, false
					lost++
				}
				if b.handle(e); e.Final {
					break
				}
			}
			b.advance(100 * millisecond)
		}
	}
	if lost > 400 { // of 1,200 requests; found out server by server it is 457
		t.Errorf("%d attempts lost to a zone that is cut off", lost)
	}
}
