package core

import (
	"maps"
	"slices"
	"time"

	dw "dewhitch"
)

// maxRememberedServers bounds the ids of servers that were ever listed, which Exclude accepts.
const maxRememberedServers = 1 << 14

// EndpointUpdate is a list or a watch event of discovery, with the addresses of the servers in it. It is posted by the
// discovery client's goroutine; updates are handled in the order in which they were posted, before any other message.
type EndpointUpdate struct {
	List     dw.EndpointList
	Addrs    []string  // in the order of List.Servers
	Complete bool      // it stands for a list that names every server: what a delta leaves out is unchanged
	ReadAt   time.Time // when its first byte was read; zero: it did not come from discovery
}

func (u EndpointUpdate) queue() Queue { return QueueEndpoints }

// UpdateEndpoints posts an update. What it forbids is in force in Serving when it returns. It is called by one goroutine at
// a time, in the order of the updates.
func (p *Planner) UpdateEndpoints(u EndpointUpdate) error {
	p.readySet.apply(u)
	return p.post(u)
}

// handle brings an update into force: addresses first, so that the module's actions find them, then the module.
func (u EndpointUpdate) handle(p *Planner) {
	p.updateAddresses(u)
	p.step(p.applyList(u.List, u.Complete))
	if !u.ReadAt.IsZero() {
		p.monitor.ListApplied(u.List.Version, time.Since(u.ReadAt))
	}
}

// updateAddresses records the servers' addresses, and has Backends forget those that have moved or are no longer listed.
func (p *Planner) updateAddresses(u EndpointUpdate) {
	inUpdate := make(map[dw.ServerID]bool, len(u.List.Servers))
	for i, s := range u.List.Servers {
		inUpdate[s.ID] = true
		previous, known := p.backendByID[s.ID]
		p.backendByID[s.ID] = Backend{ID: s.ID, Addr: u.Addrs[i]}
		if known && (previous.Addr != u.Addrs[i] || s.State == dw.Removed) {
			p.backends.Forget(previous)
		}
		if s.State == dw.Removed {
			delete(p.backendByID, s.ID)
		}
	}
	if u.List.Kind == dw.ListDelta {
		return
	}
	for id, b := range p.backendByID {
		if !inUpdate[id] {
			delete(p.backendByID, id)
			p.backends.Forget(b)
		}
	}
}

// applyList records the entries of a list as discovery gave them, and returns the list that the module is notified of, with
// the overlay. A failed list changes nothing and is returned as it is.
func (p *Planner) applyList(l dw.EndpointList, complete bool) dw.EndpointList {
	if l.Kind == dw.ListFailed {
		return l
	}
	l = p.resolveStartTimes(l, complete)
	if l.Kind != dw.ListDelta {
		clear(p.listed)
		p.notified.clear()
	}
	p.listVersion = l.Version
	for _, e := range l.Servers {
		p.recordEntry(e)
	}
	if l.Kind != dw.ListDelta {
		p.startTimes.retain(p.listed)
	}
	p.majorityWarmingUp = p.isMajorityWarmingUp() // the overlay depends on it
	overlaid := dw.EndpointList{Kind: l.Kind, Version: l.Version, Servers: make([]dw.Endpoint, len(l.Servers))}
	for i, e := range l.Servers {
		overlaid.Servers[i] = e
		if e.State != dw.Removed {
			overlaid.Servers[i] = p.applyOverlay(e)
		}
	}
	if p.watcher != nil {
		p.watcher.EndpointsChanged(slices.Collect(maps.Values(p.listed)))
	}
	p.reportTargets()
	return overlaid
}

// recordEntry records one entry of a list.
func (p *Planner) recordEntry(e dw.Endpoint) {
	if e.State == dw.Removed {
		delete(p.listed, e.ID)
		p.notified.remove(e.ID)
		p.startTimes.remove(e.ID)
	} else {
		p.listed[e.ID] = e
	}
	if len(p.everListed) < maxRememberedServers {
		p.everListed[e.ID] = true
	}
}

// resolveStartTimes returns the list with the servers' start times on the planner's clock.
func (p *Planner) resolveStartTimes(l dw.EndpointList, complete bool) dw.EndpointList {
	read := time.Now()
	now := p.Instant(read)
	wall := dw.Instant(read.UnixNano())
	l.Servers = slices.Clone(l.Servers)
	for i := range l.Servers {
		e := &l.Servers[i]
		e.StartedAt = p.startTimes.resolve(e.ID, e.StartedAt, now, wall)
	}
	if complete {
		p.startTimes.completeListAt = now
	}
	return l
}

// applyOverlay returns a listed entry as the module is to be notified of it, and records it as notified. If the server may
// get no new work, attempts that wait for a connection to it are withdrawn: they would be written whenever it connects.
func (p *Planner) applyOverlay(e dw.Endpoint) dw.Endpoint {
	e = p.overlay(e)
	p.notified.set(e)
	if b, known := p.backendByID[e.ID]; known && e.State != dw.Ready {
		p.backends.RetractAll(b)
	}
	return e
}

// overlay is a listed entry with the use of the server that operators and the fleet have decided on. A server that is
// excluded, in maintenance, or in a zone that is avoided, is draining, with its own start time, so that slow start applies by
// the module's rules when it returns. In a fleet a server that is warming up gets the rate of the fleet plan, and drains
// without one, unless the majority is warming up: a new fleet or leader allots no rates for a while, which would be an
// outage then; the module's own slow start applies instead.
func (p *Planner) overlay(e dw.Endpoint) dw.Endpoint {
	use := p.fleetPlan.Zones[e.Zone]
	if e.State == dw.Ready && p.isOutOfUse(e) {
		e.State = dw.Draining
	}
	e.StartedAt = max(e.StartedAt, use.StartedAt)
	e.HealthCheck = use.HealthCheck
	if e.State != dw.Ready || !p.fleetPlan.Active || !p.isWarmingUp(e.StartedAt) {
		return e
	}
	e.FleetSlowStartRate = p.fleetPlan.SlowStartRates[e.ID]
	if e.FleetSlowStartRate <= 0 && !p.majorityWarmingUp {
		e.State = dw.Draining
	}
	return e
}

// isOutOfUse tells whether a server gets no new work by an operator's exclusion or by the fleet plan.
func (p *Planner) isOutOfUse(e dw.Endpoint) bool {
	return p.excluded[e.ID] || p.fleetPlan.InMaintenance[e.ID] || p.fleetPlan.Zones[e.Zone].Avoid
}

// isWarmingUp tells whether a server that started at an instant is in its slow start; 0 is long ago.
func (p *Planner) isWarmingUp(startedAt dw.Instant) bool {
	return startedAt > 0 && p.Instant(time.Now())-startedAt < dw.Instant(p.slowStartSpan)
}

// isMajorityWarmingUp tells whether fewer than half of the servers in use are warm. It matters in a fleet only, and is false
// without one.
func (p *Planner) isMajorityWarmingUp() bool {
	if !p.fleetPlan.Active {
		return false
	}
	warm, inUse := 0, 0
	for _, e := range p.listed {
		if e.State != dw.Ready || p.isOutOfUse(e) {
			continue
		}
		inUse++
		if !p.isWarmingUp(max(e.StartedAt, p.fleetPlan.Zones[e.Zone].StartedAt)) {
			warm++
		}
	}
	return 2*warm < inUse
}

// notifyChangedEndpoints notifies the module of the listed servers whose overlay has changed since it was last notified.
func (p *Planner) notifyChangedEndpoints() {
	delta := dw.EndpointList{Kind: dw.ListDelta, Version: p.listVersion}
	p.majorityWarmingUp = p.isMajorityWarmingUp()
	for _, e := range p.listed {
		if p.overlay(e) != p.notified.entries[e.ID] {
			delta.Servers = append(delta.Servers, p.applyOverlay(e))
		}
	}
	if len(delta.Servers) > 0 {
		p.step(delta)
	}
}

// notifiedEndpoints are the listed servers as the module was last notified of them.
type notifiedEndpoints struct {
	entries  map[dw.ServerID]dw.Endpoint
	disabled int // entries that are not ready
}

func (n *notifiedEndpoints) set(e dw.Endpoint) {
	n.remove(e.ID)
	n.entries[e.ID] = e
	if e.State != dw.Ready {
		n.disabled++
	}
}

func (n *notifiedEndpoints) remove(id dw.ServerID) {
	if e, notified := n.entries[id]; notified && e.State != dw.Ready {
		n.disabled--
	}
	delete(n.entries, id)
}

func (n *notifiedEndpoints) clear() {
	clear(n.entries)
	n.disabled = 0
}
