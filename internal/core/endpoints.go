package core

import (
	"maps"
	"slices"
	"time"

	dw "dewhitch"
)

// maxRememberedServers is the maximum number of ids kept of servers that were ever listed. Exclude accepts these ids.
const maxRememberedServers = 1 << 14

// EndpointUpdate is an endpoint list or a watch event from discovery, with the addresses of its servers. The discovery
// client's goroutine posts updates. They are handled in the order in which they were posted, before any other message.
type EndpointUpdate struct {
	List     dw.EndpointList
	Addrs    []string            // addresses of List.Servers as host:port, in the same order
	Complete bool                // true if the update results from a complete list; a delta then omits unchanged servers
	Charge   func(time.Duration) // counts time that the planner has used for the update; may be nil
	ReadAt   time.Time           // time when the first byte was read; zero if discovery did not send the update
}

func (u EndpointUpdate) queue() Queue { return QueueEndpoints }

func (u EndpointUpdate) charge(d time.Duration) {
	if u.Charge != nil {
		u.Charge(d)
	}
}

// UpdateEndpoints applies an update to the ReadySet and then posts it for the planner. It must be called by one goroutine at
// a time, in the order of the updates. It fails only with ErrStopped.
func (p *Planner) UpdateEndpoints(u EndpointUpdate) error {
	p.readySet.apply(u)
	return p.post(u)
}

// handle applies an update. It updates the addresses before it notifies the module, whose actions need them.
func (u EndpointUpdate) handle(p *Planner) {
	p.updateAddresses(u)
	p.step(p.applyList(u.List, u.Complete))
	if !u.ReadAt.IsZero() {
		p.monitor.ListApplied(u.List.Version, time.Since(u.ReadAt))
	}
}

// updateAddresses records the servers' addresses, and calls Backends.Forget for each server that is no longer listed or has a
// new address.
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

// applyList records the entries of a list as discovery sent them, and returns the list for the module, with the overlay
// applied. A failed list changes nothing and is returned unchanged.
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
	p.majorityWarmingUp = p.isMajorityWarmingUp() // used by overlay
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

// recordEntry stores one entry of a list, or deletes the entry if the server is removed.
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

// resolveStartTimes returns a copy of the list with the servers' start times converted to the planner's clock.
func (p *Planner) resolveStartTimes(l dw.EndpointList, complete bool) dw.EndpointList {
	currentTime := time.Now()
	now := p.Instant(currentTime)
	wall := dw.Instant(currentTime.UnixNano())
	l.Servers = slices.Clone(l.Servers)
	for i := range l.Servers {
		e := &l.Servers[i]
		e.StartedAt = p.startTimes.resolve(e.ID, e.StartedAt, now, wall)
	}
	if complete {
		p.startTimes.lastCompleteListAt = now
	}
	return l
}

// applyOverlay returns a listed entry with the overlay, and records it as the entry that the module is notified of. If the
// server may get no new work, applyOverlay retracts the attempts that wait for a connection to it, which would otherwise be
// written as soon as the connection is established.
func (p *Planner) applyOverlay(e dw.Endpoint) dw.Endpoint {
	e = p.overlay(e)
	p.notified.set(e)
	if b, known := p.backendByID[e.ID]; known && e.State != dw.Ready {
		p.backends.RetractAll(b)
	}
	return e
}

// overlay returns a listed entry as changed by the operators' exclusions and the fleet plan. A server that is excluded, in
// maintenance or in an avoided zone becomes draining. It keeps its own start time, so that the module's slow start rules
// apply when it returns. In a fleet, a server that is warming up gets its rate from the fleet plan and drains if the plan has
// none. The exception is a majority of servers that are warming up: a new fleet or leader allots no rates for a while, and
// draining all of these servers would be an outage, so the module's own slow start applies instead.
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

// isOutOfUse reports whether an operator's exclusion or the fleet plan withholds new work from a server.
func (p *Planner) isOutOfUse(e dw.Endpoint) bool {
	return p.excluded[e.ID] || p.fleetPlan.InMaintenance[e.ID] || p.fleetPlan.Zones[e.Zone].Avoid
}

// isWarmingUp reports whether a server that started at startedAt is still in its slow start. It returns false for 0, which
// stands for a start too long ago for slow start.
func (p *Planner) isWarmingUp(startedAt dw.Instant) bool {
	return startedAt > 0 && p.Instant(time.Now())-startedAt < dw.Instant(p.slowStartSpan)
}

// isMajorityWarmingUp reports whether fewer than half of the servers in use have finished their slow start. It matters only
// in a fleet and returns false without one.
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

// notifyChangedEndpoints notifies the module of the listed servers whose overlay has changed since the last notification.
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

// notifiedEndpoints holds the entries of listed servers of which the module was last notified.
type notifiedEndpoints struct {
	entries  map[dw.ServerID]dw.Endpoint
	disabled int // number of entries that are not ready
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
