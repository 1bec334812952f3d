package maintenance

import (
	"fmt"
	"time"
)

// requestBlockReason returns the reason why no machine of a request may be announced now: a fault of the fleet, or a condition of the
// request. It returns an empty string if neither exists.
func (e *evaluation) requestBlockReason(r *Request) string {
	if e.fault != "" {
		return e.fault
	}
	if e.unixMS < r.NotBefore {
		return "not before " + time.UnixMilli(r.NotBefore).UTC().Format(time.RFC3339)
	}
	if r.After != 0 {
		if first := e.schedule.find(r.After); first != nil && !first.ended() {
			return fmt.Sprintf("after request %d", r.After)
		}
	}
	return ""
}

// nextMachine returns the first waiting machine of a request that may be announced, or nil. It stores in the Note of each waiting machine
// that it passes over the reason why that machine may not be announced.
func (e *evaluation) nextMachine(r *Request) *Machine {
	for i := range r.Machines {
		m := &r.Machines[i]
		if m.State != Waiting {
			continue
		}
		m.Note = e.machineBlockReason(m)
		if m.Note == "" {
			return m
		}
	}
	return nil
}

// machineBlockReason returns the limit that keeps a machine in service, or an empty string if the machine may be announced.
func (e *evaluation) machineBlockReason(m *Machine) string {
	if g, ok := e.gateway(m.Name); ok {
		return e.gatewayBlockReason(m, g)
	}
	server, listed := e.observed.Servers[m.Name]
	if !listed {
		return "is not listed"
	}
	out := e.machinesOut()
	if out[m.Name] || !server.Ready {
		return "is out already, or not ready"
	}
	for _, pair := range e.cfg.AntiAffinity {
		if pair[0] == m.Name && out[pair[1]] || pair[1] == m.Name && out[pair[0]] {
			return fmt.Sprintf("may not be out with %s or %s", pair[0], pair[1])
		}
	}
	return e.capacityBlockReason(server.Zone, e.countServers(server.Zone, out))
}

// machinesOut returns the machines that are out of service for maintenance, or have returned and not proved their health yet.
func (e *evaluation) machinesOut() map[string]bool {
	out := map[string]bool{}
	for _, name := range e.schedule.Off {
		out[name] = true
	}
	for _, r := range e.schedule.Requests {
		for _, m := range r.Machines {
			if m.out() {
				out[m.Name] = true
			}
		}
	}
	return out
}

// serverCounts counts the servers of the fleet and of one zone. A server is unavailable if it is out for maintenance, not ready or in slow
// start.
type serverCounts struct {
	total           int
	unavailable     int
	zoneTotal       int // number of servers in the zone
	zoneUnavailable int // number of unavailable servers in the zone
}

// countServers counts all servers, and the servers of a zone. out holds the machines that are out for maintenance.
func (e *evaluation) countServers(zone string, out map[string]bool) (c serverCounts) {
	for name, server := range e.observed.Servers {
		unavailable := out[name] || !server.Ready || e.warming(server)
		c.total++
		if unavailable {
			c.unavailable++
		}
		if server.Zone != zone {
			continue
		}
		c.zoneTotal++
		if unavailable {
			c.zoneUnavailable++
		}
	}
	return c
}

// capacityBlockReason returns the capacity limit that forbids taking another server of a zone out of service, or an empty string. The
// limits are the fractions of the zone's and of all servers, and the load of the remaining servers: at most MaxLoadGrowth times the
// highest load that servers have handled.
func (e *evaluation) capacityBlockReason(zone string, c serverCounts) string {
	available := c.total - c.unavailable
	switch {
	case c.zoneTotal < 2:
		return "is the last server of zone " + zone
	case c.zoneUnavailable+1 > maxOut(e.cfg.MaxZoneFraction, c.zoneTotal):
		return fmt.Sprintf("%d of %d servers of zone %s are out, cold or not ready", c.zoneUnavailable, c.zoneTotal, zone)
	case c.unavailable+1 > maxOut(e.cfg.MaxServerFraction, c.total):
		return fmt.Sprintf("%d of %d servers are out, cold or not ready", c.unavailable, c.total)
	case available < 2 || e.observed.Rate/float64(available-1) > e.cfg.MaxLoadGrowth*e.maxLoad():
		return fmt.Sprintf("the others would get %.0f fetches a second each, and were seen to bear %.0f",
			e.observed.Rate/float64(max(1, available-1)), e.maxLoad())
	}
	return ""
}

// maxOut returns the number of machines of a group that may be out at the same time: a fraction of the group, and at least one.
func maxOut(fraction float64, total int) int { return max(1, int(fraction*float64(total))) }

// gatewayBlockReason returns the limit that keeps a gateway in the fleet, or an empty string if the gateway may be announced. At most one
// gateway of a zone is out at a time. Voters go after the other gateways and the leader goes last, so that the leader changes only once
// and the quorum is never lost.
func (e *evaluation) gatewayBlockReason(m *Machine, g Member) string {
	if !g.Reachable || !g.Fresh {
		return "is not in the fleet, or its view is old"
	}
	for name := range e.schedule.Roster {
		if voter := e.observed.Members[name]; voter.Voter && !(voter.Reachable && voter.Fresh) {
			return "voter " + name + " is not there"
		}
	}
	out, goFirst, reason := e.otherGateways(m, g)
	if reason != "" {
		return reason
	}
	total := len(e.schedule.Roster)
	switch {
	case total < 2:
		return "is the last gateway"
	case out+1 > maxOut(e.cfg.MaxGatewayFraction, total):
		return fmt.Sprintf("%d of %d gateways are out", out, total)
	case (g.Voter || g.Leader) && goFirst > 0:
		return fmt.Sprintf("votes, or leads: after %d others", goFirst)
	}
	return ""
}

// otherGateways counts the other gateways in maintenance requests: those that are out, and those that have to go before g. If one of
// them is out and g must not be out at the same time, reason says which; otherwise it is empty.
func (e *evaluation) otherGateways(m *Machine, g Member) (out, goFirst int, reason string) {
	for _, r := range e.schedule.Requests {
		for _, o := range r.Machines {
			other, isGateway := e.gateway(o.Name)
			if !isGateway || o.Name == m.Name {
				continue
			}
			switch {
			case o.out():
				out++
				if other.Zone == g.Zone {
					return out, goFirst, o.Name + " of the same zone is out"
				}
				if other.Voter && g.Voter {
					return out, goFirst, "voter " + o.Name + " is out"
				}
			case o.State == Waiting && r.State == Waiting && !other.Leader && (!other.Voter || g.Leader):
				goFirst++
			}
		}
	}
	return out, goFirst, ""
}
