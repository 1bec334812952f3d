package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

func TestWarmingServerGetsLess(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newHarness(t, s, dw.Endpoint{ID: 7})
	b.serve(500, 10*millisecond, dw.Arrival{})
	b.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7, State: dw.Removed}, {ID: 8, StartedAt: b.now}}})
	// 2 s at 100 a second, of which the server that is gone carried all: a fifth, rising to a third.
	if in := b.serve(200, 10*millisecond, dw.Arrival{}); in > 60 || in == 0 {
		t.Errorf("%d of 200 requests went to the warming server", in)
	}
}

// Requests that are rejected while servers warm up count in the servers' slow-start rate: by attempts alone it would stay
// at its start.
func TestWarmingServerIsUsedWhileOthersDrain(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newHarness(t, s, dw.Endpoint{ID: 7})
	b.serve(500, 10*millisecond, dw.Arrival{})
	b.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7, State: dw.Draining}, {ID: 8, StartedAt: b.now}}})
	b.serve(800, 10*millisecond, dw.Arrival{})
	// From 8 to 10 s its least capacity is 0.63 to 0.73 of a warm one's, which bore 100 a second (28 go there by what was sent alone).
	if in := b.serve(200, 10*millisecond, dw.Arrival{}); in < 45 || in > 140 {
		t.Errorf("%d of 200 requests went to the warming server", in)
	}
}

// A hundred gateways hear of a new server at once: their slow-start budgets start at random levels, so that they do not all
// send their first attempt.
func TestSlowStartBudgetsStartAtRandom(t *testing.T) {
	total := 0
	for seed := range uint64(100) {
		s := manyGateways()
		s.Plans[0] = dw.Plan{WeightFactor: 1}
		g, err := dw.New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		b := &harness{t: t, gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}
		b.handle(dw.EndpointList{Kind: dw.ListCached, Servers: []dw.Endpoint{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}})
		b.serve(50, 200*millisecond, dw.Arrival{})
		before := len(b.attempts)
		b.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 9, StartedAt: b.now}}})
		b.serve(10, 200*millisecond, dw.Arrival{})
		for _, a := range b.attempts[before:] {
			if a.Server == 9 {
				total++
			}
		}
	}
	// By the lot a warming server comes up for a twentieth of the 1,000 requests, and few of those are paid for yet;
	// with budgets that are full at the start all of the first would be (21 seen).
	if total > 12 || total == 0 {
		t.Errorf("a warming server got %d attempts of 100 gateways in 2 s", total)
	}
}
