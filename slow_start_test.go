package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

func TestWarmingServerGetsLess(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7})
	h.serve(500, 10*millisecond, dw.Arrival{})
	h.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7, State: dw.Removed}, {ID: 8, StartedAt: h.now}}})
	// The removed server served all of the 100 requests a second. Within these 2 s the new one may get a fifth of them, rising to a third.
	if admitted := h.serve(200, 10*millisecond, dw.Arrival{}); admitted > 60 || admitted == 0 {
		t.Errorf("%d of 200 requests went to the warming server, want 1 to 60", admitted)
	}
}

// Guards against a slow-start rate that counts only attempts and stays at its initial value: requests that are rejected while
// servers warm up must count too.
func TestWarmingServerIsUsedWhileOthersDrain(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 7})
	h.serve(500, 10*millisecond, dw.Arrival{})
	h.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7, State: dw.Draining}, {ID: 8, StartedAt: h.now}}})
	h.serve(800, 10*millisecond, dw.Arrival{})
	// From 8 to 10 s its capacity is at least 0.63 to 0.73 of a warm server's, which took 100 requests a second. It gets 28 if only
	// attempts count.
	if admitted := h.serve(200, 10*millisecond, dw.Arrival{}); admitted < 45 || admitted > 140 {
		t.Errorf("%d of 200 requests went to the warming server, want 45 to 140", admitted)
	}
}

// Guards against a hundred gateways that send their first attempts to a new server at the same time: their slow-start budgets
// start at random levels.
func TestSlowStartBudgetsStartAtRandom(t *testing.T) {
	attemptsOnNew := 0
	for seed := range uint64(100) {
		s := manyGateways()
		s.Plans[0] = dw.Plan{WeightFactor: 1}
		g, err := dw.New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}
		h.handle(dw.EndpointList{Kind: dw.ListCached, Servers: []dw.Endpoint{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}})
		h.serve(50, 200*millisecond, dw.Arrival{})
		before := len(h.attempts)
		h.handle(dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 9, StartedAt: h.now}}})
		h.serve(10, 200*millisecond, dw.Arrival{})
		for _, a := range h.attempts[before:] {
			if a.Server == 9 {
				attemptsOnNew++
			}
		}
	}
	// The random choice falls on the warming server for a twentieth of the 1,000 requests, and the budgets suffice for few of
	// them. With budgets that are full at the start, every gateway's first such request would be sent there (21 seen).
	if attemptsOnNew > 12 || attemptsOnNew == 0 {
		t.Errorf("a warming server got %d attempts from 100 gateways in 2 s, want 1 to 12", attemptsOnNew)
	}
}
