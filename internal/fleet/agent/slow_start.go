package agent

import (
	"slices"
	"time"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/slowstart"
)

const allocationInterval = 200 * time.Millisecond // shortest time between two allocations of slow-start rates by the leader

// EndpointsChanged replaces the servers that are listed as ready, in zones that have a name. It does not block. The
// caller must not modify the slice afterwards.
func (a *Agent) EndpointsChanged(servers []slowstart.Server) { a.readyServers.Store(&servers) }

func (a *Agent) listedServers() []slowstart.Server {
	if p := a.readyServers.Load(); p != nil {
		return *p
	}
	return nil
}

// grantFor returns the leader's encoded grant to a member: the rates at which the member may send to servers in slow
// start, and to the servers of returning or probed zones. It returns nil if there are no such servers.
func (a *Agent) grantFor(now time.Duration, to fleet.Peer, seq uint64) []byte {
	if now >= a.nextAllocation {
		a.nextAllocation = now + allocationInterval
		a.allocated = a.allocate(now)
	}
	if !a.allocated {
		return nil
	}
	return a.slowStart.Grant(now, to.Name, seq).Encode()
}

// allocate divides slow-start rates among gateways, by the plan and the endpoint list. It returns false if there is
// nothing to divide, or if the plan's zone statuses can't be decoded.
func (a *Agent) allocate(now time.Duration) bool {
	p := a.node.Plan()
	statuses, err := zoneStatuses(&p)
	if err != nil {
		return false
	}
	servers := serversByZoneState(a.listedServers(), statuses)
	_, unixMS := a.now()
	return a.slowStart.Allocate(now, unixMS, servers, a.maySend(servers, statuses))
}

// serversByZoneState returns a copy of the servers, with Use set as the state of each server's zone requires. The
// slow start of a server begins again when its zone returns.
func serversByZoneState(listed []slowstart.Server, statuses evacuation.Statuses) []slowstart.Server {
	servers := slices.Clone(listed)
	for i := range servers {
		s := &servers[i]
		status, ok := statuses[s.Zone]
		if !ok || status.KeepInService {
			continue
		}
		s.Since = max(s.Since, status.Since)
		switch status.State {
		case evacuation.Returning:
			s.Use = slowstart.UseFully
		case evacuation.Probing:
			s.Use = slowstart.UseForHealthChecks
		default:
			s.Use = slowstart.UseNever
		}
	}
	return servers
}

// maySend returns a function that returns true if a gateway may send to a server. The status of the server's zone for
// the gateway's zone decides.
func (a *Agent) maySend(servers []slowstart.Server, statuses evacuation.Statuses) func(gateway string, server uint32) bool {
	zones := map[uint32]string{}
	for _, s := range servers {
		zones[s.ID] = s.Zone
	}
	type path struct{ from, to string }
	// There is one rule per path, because the allocator calls the returned function for every pair of gateway and server.
	rules := map[path]func(gateway string) bool{}
	return func(gateway string, server uint32) bool {
		from, _ := a.zones.ZoneOf(gateway)
		p := path{from, zones[server]}
		rule := rules[p]
		if rule == nil {
			status, hasStatus := statuses.For(p.from, p.to)
			rule = func(gateway string) bool {
				return !hasStatus || status.State == evacuation.Returning ||
					status.State == evacuation.Probing && slices.Contains(status.Probers, gateway)
			}
			rules[p] = rule
		}
		return rule(gateway)
	}
}
