package main

import (
	"maps"
	"testing"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/fleet/evacuation"
)

// TestZoneUses guards against a gateway whose use of zones differs from the fleet's plan: only probers send health checks to a
// zone that is probed, and all other gateways avoid it. A start time in the future counts as the current time.
func TestZoneUses(t *testing.T) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	statuses := evacuation.Statuses{"hall-b": {State: evacuation.Probing, Probers: []string{"n1"}, Since: 5}, "hall-a>hall-c": {State: evacuation.Evacuated},
		"hall-c": {KeepInService: true, State: evacuation.Returning}}
	since := core.FromUnixMS(5)
	for _, c := range []struct {
		own  int
		name string
		want map[int]core.ZoneUse
	}{
		{0, "n0", map[int]core.ZoneUse{1: {Avoid: true}}},
		{1, "n1", map[int]core.ZoneUse{1: {StartedAt: since, HealthCheck: dw.HealthCheckIdempotent}}},
		{2, "n2", map[int]core.ZoneUse{1: {Avoid: true}}},
	} {
		if got := zoneUses(statuses, zones, c.own, c.name, core.FromUnixMS(9)); !maps.Equal(got, c.want) {
			t.Errorf("%s: got %+v, expected %+v", c.name, got, c.want)
		}
	}
	if got := zoneUses(statuses, zones, 1, "n1", core.FromUnixMS(3)); got[1].StartedAt != core.FromUnixMS(3) {
		t.Errorf("a start time in the future: got %+v, expected the current time", got)
	}
}
