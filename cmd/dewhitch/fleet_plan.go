package main

import (
	"slices"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/fleet/agent"
	"dewhitch/internal/fleet/evacuation"
)

// fleetPlan translates the fleet's decisions for the planner: names of zones become indexes, and names of machines become server
// IDs. It leaves out machines that were never listed. It fails if the section on zones can't be decoded.
func (g *gateway) fleetPlan(decisions agent.Decisions) (core.FleetPlan, error) {
	statuses := evacuation.Statuses{}
	if _, err := decisions.Plan.Section(evacuation.Section, &statuses); err != nil {
		return core.FleetPlan{}, err
	}
	now := g.planner.Instant(time.Now())
	plan := core.FleetPlan{
		Active:         true,
		Zones:          zoneUses(statuses, g.node.Names.Zones, g.node.Settings.Zone, g.node.Name, now),
		SlowStartRates: map[dw.ServerID]float64{},
		InMaintenance:  map[dw.ServerID]bool{},
	}
	for id, rate := range decisions.SlowStart.Rates {
		plan.SlowStartRates[dw.ServerID(id)] = rate
	}
	for name := range decisions.Withdrawn {
		if id, ok := g.decoder.Lookup(name); ok {
			plan.InMaintenance[id] = true
		}
	}
	return plan, nil
}

// zoneUses returns, by zone index, how the named gateway in the zone ownZone uses the zones that have a status. A start in the
// future, which a leader with a fast clock may send, is replaced by now.
func zoneUses(statuses evacuation.Statuses, zones []string, ownZone int, gateway string, now dw.Instant) map[int]core.ZoneUse {
	ownZoneName := zoneName(zones, ownZone)
	uses := map[int]core.ZoneUse{}
	for i, zone := range zones {
		if status, ok := statuses.For(ownZoneName, zone); ok {
			uses[i] = zoneUse(status, gateway, now)
		}
	}
	return uses
}

// zoneUse returns how a gateway uses a zone with this status. A returning zone is used in slow start, and a probed zone for
// health checks if the gateway is one of its probers. In all other cases the zone is not used.
func zoneUse(status evacuation.Status, gateway string, now dw.Instant) core.ZoneUse {
	startedAt := min(now, core.FromUnixMS(status.Since))
	switch {
	case status.State == evacuation.Returning:
		return core.ZoneUse{StartedAt: startedAt}
	case status.State == evacuation.Probing && slices.Contains(status.Probers, gateway):
		if status.AnyRequest {
			return core.ZoneUse{StartedAt: startedAt, HealthCheck: dw.HealthCheckAny}
		}
		return core.ZoneUse{StartedAt: startedAt, HealthCheck: dw.HealthCheckIdempotent}
	}
	return core.ZoneUse{Avoid: true}
}
