package core

import (
	"time"

	dw "dewhitch"
)

// ZoneUse is how the servers of a zone are to be used, beside what the list says of them.
type ZoneUse struct {
	Avoid       bool               // nothing new is sent there
	StartedAt   dw.Instant         // not 0: as if they had begun then, so that they are fed as cold ones are
	HealthCheck dw.HealthCheckMode // it is only looked at
}

// FleetPlan is what the gateways have settled together of the use of servers.
type FleetPlan struct {
	Zones          map[int]ZoneUse         // one that is not named is used as the list has it
	SlowStartRates map[dw.ServerID]float64 // fetches a second that this gateway may send to cold servers; one that is not named gets nothing
	InMaintenance  map[dw.ServerID]bool    // out for work: nothing new is sent there
	Active         bool                    // false: there is no fleet, and cold servers are fed by the module's guess
}

// fleetUse has the planner use servers as told, from now on.
type fleetUse struct {
	f    FleetPlan
	done chan error
}

func (fleetUse) queue() Queue { return QueueControl }

// ApplyFleetPlan has servers used as the fleet has settled.
func (p *Planner) ApplyFleetPlan(f FleetPlan) error {
	m := fleetUse{f: f, done: make(chan error, 1)}
	return p.call(m, m.done)
}

func (m fleetUse) handle(p *Planner) {
	defer func() { m.done <- nil }()
	p.fleet = m.f
	p.retell()
	p.counted()
}

// retell tells the module of the listed servers whose use has changed since it was told.
func (p *Planner) retell() {
	told := dw.EndpointList{Kind: dw.ListDelta, Version: p.version}
	p.fewWarm = p.cold()
	for _, e := range p.listed {
		if now := p.overlaid(e); now != p.told.entries[e.ID] {
			told.Servers = append(told.Servers, p.overlay(e))
		}
	}
	if len(told.Servers) > 0 {
		p.tell(told)
	}
}

// cold tells whether fewer than half of the servers that are to be used are warm. Only where a fleet feeds them does it matter.
func (p *Planner) cold() bool {
	if !p.fleet.Active {
		return false
	}
	warm, all := 0, 0
	for _, e := range p.listed {
		if e.State != dw.Ready || p.fleet.Zones[e.Zone].Avoid || p.excluded[e.ID] || p.fleet.InMaintenance[e.ID] {
			continue
		}
		if all++; !p.begins(max(e.StartedAt, p.fleet.Zones[e.Zone].StartedAt)) {
			warm++
		}
	}
	return 2*warm < all
}

// begins tells whether what began at a time is still cold.
func (p *Planner) begins(since dw.Instant) bool {
	return since > 0 && p.Instant(time.Now())-since < dw.Instant(p.coldSpan)
}

// AttemptID names a fetch that is out.
type AttemptID struct {
	RequestID dw.RequestID
	Number    int
}

// Watcher sees fetches begin and end, on the planner's goroutine: it may not block.
type Watcher interface {
	AttemptStarted(f AttemptID, server dw.ServerID, zone int)
	AttemptEnded(f AttemptID, e AttemptResult)
	RequestReceived()                       // a req was taken in
	EndpointsChanged(servers []dw.Endpoint) // the list, at each change
}

// SetWatcher has w see fetches; before the planner runs.
func (p *Planner) SetWatcher(w Watcher) { p.watcher = w }
