package core

import (
	dw "dewhitch"
)

// FleetPlan is what the gateways of a fleet have agreed on for the use of servers. The zero FleetPlan is that of a gateway
// without a fleet.
type FleetPlan struct {
	Zones          map[int]ZoneUse         // a zone that is missing is used as listed
	SlowStartRates map[dw.ServerID]float64 // attempts a second from this gateway to a server that warms up; missing: none
	InMaintenance  map[dw.ServerID]bool    // no new work is sent there
	Active         bool                    // false: there is no fleet, and the module's own slow start applies
}

// ZoneUse is how the servers of a zone are used, in addition to what the list says of them.
type ZoneUse struct {
	Avoid       bool               // no new work is sent there
	StartedAt   dw.Instant         // not 0: slow start applies as if the servers had started no earlier
	HealthCheck dw.HealthCheckMode // how the module checks the servers
}

// fleetPlanMessage replaces the fleet plan. It comes from the goroutine that follows the fleet, which waits on done.
type fleetPlanMessage struct {
	plan FleetPlan
	done chan error
}

func (fleetPlanMessage) queue() Queue { return QueueControl }

// ApplyFleetPlan replaces the fleet plan, which the caller may not change afterwards. The module has been notified when it
// returns. It fails with ErrStopped only, and is safe for any goroutine.
func (p *Planner) ApplyFleetPlan(plan FleetPlan) error {
	m := fleetPlanMessage{plan: plan, done: make(chan error, 1)}
	return p.call(m, m.done)
}

func (m fleetPlanMessage) handle(p *Planner) {
	p.fleetPlan = m.plan
	p.notifyChangedEndpoints()
	p.reportTargets()
	m.done <- nil
}
