package dewhitch_test

import (
	"reflect"
	"testing"

	dw "dewhitch"
)

func TestUnknownEventsAreIgnored(t *testing.T) {
	events := []dw.Event{
		dw.AttemptEnded{Request: "none", Attempt: 3}, dw.ClientDeparted{Request: "none"}, dw.TimerFired{ID: "none"},
		dw.CounterAnswered{Name: "none", Total: 3}, dw.AnswerStarted{Request: "none"},
		dw.HealthChecked{Server: 5}, dw.PeerMessage{From: 1},
		dw.EndpointList{Kind: dw.ListFull}, dw.EndpointList{Kind: dw.ListFailed},
		dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{{ID: 7}, {ID: 7}}},
	}
	h := newHarness(t, settings(), dw.Endpoint{ID: 7})
	for _, e := range events {
		h.handle(e)
	}
	if _, ok := h.request(dw.Arrival{Spread: 9, FirstGateway: 5}); !ok {
		t.Error("request rejected after unknown and empty events")
	}
	for name, a := range map[string]dw.Arrival{"no time left": {Remaining: -1}, "no such class": {Class: 9},
		"no such plan": {Plan: -1}} {
		if id, _ := h.request(a); h.answers[id] == nil {
			t.Errorf("%s: request not rejected", name)
		}
	}
	if id, _ := newHarness(t, settings()).request(dw.Arrival{}); id == "" {
		t.Error("request without servers got no identifier")
	}
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	if admitted := newHarness(t, s, dw.Endpoint{ID: 7}).serve(50, millisecond, dw.Arrival{}); admitted != 50 {
		t.Errorf("plan without quota: got %d of 50 requests admitted", admitted)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []dw.StartAttempt {
		h := newHarness(t, settings(), dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8}, dw.Endpoint{ID: 9})
		for c := range dw.CustomerID(5) {
			h.serve(20, 30*millisecond, dw.Arrival{Customer: c, Spread: 2})
		}
		return h.attempts
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same events started different attempts")
	}
}
