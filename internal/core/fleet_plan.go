package core

import (
	dw "dewhitch"
)

// FleetPlan is the use of servers on which the gateways of a fleet have agreed. The zero FleetPlan is the plan of a gateway
// without a fleet.
type FleetPlan struct {
	Zones          map[int]ZoneUse         // use of the servers by zone; missing zones are used as listed
	SlowStartRates map[dw.ServerID]float64 // attempts per second from this gateway to servers that warm up; no rate if missing
	InMaintenance  map[dw.ServerID]bool    // servers that get no new work because of maintenance
	Active         bool                    // true if there is a fleet; otherwise the module's own slow start applies
}

// ZoneUse is how the servers of a zone are used, in addition to their listed states.
type ZoneUse struct {
	Avoid       bool               // true if the zone gets no new work
	StartedAt   dw.Instant         // earliest start time that slow start assumes for the servers; 0 if there is none
	HealthCheck dw.HealthCheckMode // how the module checks the zone's servers
}

// fleetPlanMessage replaces the fleet plan. The goroutine that follows the fleet posts it and waits on done.
type fleetPlanMessage struct {
	plan FleetPlan
	done chan error
}

func (fleetPlanMessage) queue() Queue { return QueueControl }

// ApplyFleetPlan replaces the fleet plan and returns when the module has been notified. The caller must not modify plan
// afterwards. ApplyFleetPlan fails only with ErrStopped, and is safe for concurrent use.
func (p *Planner) ApplyFleetPlan(plan FleetPlan) error {
	m := fleetPlanMessage{plan: plan, done: make(chan error, 1)}
	return p.postAndWait(m, m.done)
}

func (m fleetPlanMessage) handle(p *Planner) {
	p.fleetPlan = m.plan
	p.notifyChangedEndpoints()
	p.reportTargets()
	m.done <- nil
}
