package core

import (
	"time"

	dw "dewhitch"
)

// Use is how the servers of a zone are to be used, beside what the list says of them.
type Use struct {
	Avoid bool               // nothing new is sent there
	Since dw.Instant         // not 0: as if they had begun then, so that they are fed as cold ones are
	Look  dw.HealthCheckMode // it is only looked at
}

// Fleet is what the gateways have settled together of the use of servers.
type Fleet struct {
	Zones map[int]Use             // one that is not named is used as the list has it
	Feeds map[dw.ServerID]float64 // fetches a second that this gateway may send to cold servers; one that is not named gets nothing
	Away  map[dw.ServerID]bool    // out for work: nothing new is sent there
	Fed   bool                    // false: there is no fleet, and cold servers are fed by the module's guess
}

// fleetUse has the planner use servers as told, from now on.
type fleetUse struct {
	f    Fleet
	done chan error
}

func (fleetUse) queue() Queue { return QueueControl }

// Together has servers used as the fleet has settled.
func (p *Planner) Together(f Fleet) error {
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
	if !p.fleet.Fed {
		return false
	}
	warm, all := 0, 0
	for _, e := range p.listed {
		if e.State != dw.Ready || p.fleet.Zones[e.Zone].Avoid || p.excluded[e.ID] || p.fleet.Away[e.ID] {
			continue
		}
		if all++; !p.begins(max(e.StartedAt, p.fleet.Zones[e.Zone].Since)) {
			warm++
		}
	}
	return 2*warm < all
}

// begins tells whether what began at a time is still cold.
func (p *Planner) begins(since dw.Instant) bool {
	return since > 0 && p.Instant(time.Now())-since < dw.Instant(p.coldSpan)
}

// FetchRef names a fetch that is out.
type FetchRef struct {
	Req     dw.RequestID
	Attempt int
}

// Watcher sees fetches begin and end, on the planner's goroutine: it may not block.
type Watcher interface {
	Began(f FetchRef, server dw.ServerID, zone int)
	Ended(f FetchRef, e FetchEnd)
	Asked()                       // a req was taken in
	Listed(servers []dw.Endpoint) // the list, at each change
}

// Watch has w see fetches; before the planner runs.
func (p *Planner) Watch(w Watcher) { p.watcher = w }
