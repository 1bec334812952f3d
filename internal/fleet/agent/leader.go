package agent

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/gossip"
	"dewhitch/internal/fleet/maintenance"
)

// zoneStatuses decodes the zones' section of a plan. The result is empty if the plan has no such section.
func zoneStatuses(p *fleet.Plan) (evacuation.Statuses, error) {
	statuses := evacuation.Statuses{}
	_, err := p.Section(evacuation.Section, &statuses)
	return statuses, err
}

// leaderTick runs one round of the leader's policies: it proposes a change of the zones' states or, if they stay
// the same, of the maintenance schedule. It proposes nothing while operators have frozen the plan.
func (a *Agent) leaderTick(now time.Duration, unixMS int64, n *fleet.Node) {
	p := n.Plan()
	if _, frozen := p.Frozen(); frozen {
		return
	}
	statuses, err := zoneStatuses(&p)
	if err != nil {
		return
	}
	if !a.evaluateZones(now, unixMS, n, p.Epoch, statuses) {
		a.stepMaintenance(now, unixMS, n, p, statuses)
	}
}

// evaluateZones proposes the next statuses of the zones. It returns true if they differ from the plan's.
func (a *Agent) evaluateZones(now time.Duration, unixMS int64, n *fleet.Node, planEpoch fleet.Epoch, statuses evacuation.Statuses) bool {
	lastStarts := map[string]int64{} // start time of the newest server in each zone, in Unix ms
	for _, s := range a.listedServers() {
		lastStarts[s.Zone] = max(lastStarts[s.Zone], s.Since)
	}
	a.zones.SetServerStarts(lastStarts)
	next, changed := a.zones.Evaluate(now, unixMS, statuses, func(name string) bool {
		p, ok := n.Peer(name)
		return name == a.options.Gossip.Name || ok && now-p.LastStatusAt < a.options.Lease
	})
	if changed && n.Propose(evacuation.EncodeSection(next)) {
		a.logZoneChanges(statuses, next, planEpoch)
	}
	return changed
}

// logZoneChanges logs the zones and paths whose state differs between two versions of the statuses.
func (a *Agent) logZoneChanges(old, next evacuation.Statuses, planEpoch fleet.Epoch) {
	for key, status := range next {
		previous, ok := old[key]
		if ok && previous.State == status.State {
			continue
		}
		state := string(status.State)
		if status.State == evacuation.Evacuated && previous.State == evacuation.Probing {
			state = "failed its probes"
		}
		a.options.Log.Info("fleet: zone "+key+" "+state, zap.String("why", status.Reason), zap.Int("fails", status.FailedReturns),
			zap.Strings("probers", status.Probers), zap.Stringer("on_epoch", planEpoch))
	}
	for key := range old {
		if _, ok := next[key]; !ok {
			a.options.Log.Info("fleet: zone "+key+" in", zap.Stringer("on_epoch", planEpoch))
		}
	}
}

// stepMaintenance proposes the next maintenance schedule, if it differs from the plan's.
func (a *Agent) stepMaintenance(now time.Duration, unixMS int64, n *fleet.Node, p fleet.Plan, statuses evacuation.Statuses) {
	schedule, err := maintenance.Read(&p)
	if err != nil {
		return
	}
	next, changed := a.maintenance.Step(now, unixMS, schedule, maintenance.Observations{
		Servers:           a.maintenanceServers(),
		Members:           a.maintenanceMembers(now, n),
		Saturated:         a.zones.Saturated(),
		Rate:              a.slowStart.Demand(),
		ZonesNotInService: zonesNotInService(statuses),
	})
	if changed && n.Propose(maintenance.EncodeSection(next)) {
		a.logMaintenanceChanges(schedule, next, p.Epoch)
	}
}

// zonesNotInService returns the zones that are evacuated, probed or returning, sorted. It omits paths between two
// zones, and zones that operators keep in service.
func zonesNotInService(statuses evacuation.Statuses) (zones []string) {
	for key, status := range statuses {
		if !strings.Contains(key, ">") && !status.KeepInService {
			zones = append(zones, key)
		}
	}
	slices.Sort(zones)
	return zones
}

// maintenanceServers returns the servers of this process's endpoint list that are ready, by machine name.
func (a *Agent) maintenanceServers() map[string]maintenance.Server {
	all := map[string]maintenance.Server{}
	for _, s := range a.listedServers() {
		all[MachineName(s.ID)] = maintenance.Server{Zone: s.Zone, Ready: true, Since: s.Since}
	}
	return all
}

// maintenanceMembers returns the leader's view of all members by name, itself included.
func (a *Agent) maintenanceMembers(now time.Duration, n *fleet.Node) map[string]maintenance.Member {
	hasLeft := map[string]bool{}
	for _, m := range a.gossip.Members() {
		hasLeft[m.Name] = m.State == gossip.StateLeft
	}
	members := map[string]maintenance.Member{}
	for _, p := range n.Peers() {
		members[p.Name] = maintenance.Member{
			HasLeft:          hasLeft[p.Name],
			Reachable:        p.HasStatus && now-p.LastStatusAt < a.options.Lease,
			Fresh:            p.Status.Fresh,
			Withdrawn:        p.Status.Withdrawn,
			Zone:             p.Status.Zone,
			Voter:            slices.Contains(a.options.Voters, p.Name),
			ProcessStartedAt: p.StartedAt,
		}
	}
	own := a.options.Gossip
	members[own.Name] = maintenance.Member{
		Reachable:        true,
		Fresh:            true,
		Withdrawn:        a.withdrawnMachines(),
		Zone:             own.Metadata.Zone,
		Voter:            slices.Contains(a.options.Voters, own.Name),
		Leader:           true,
		ProcessStartedAt: a.startedAt.UnixNano(),
	}
	return members
}

// requestMachine identifies a machine within a maintenance request.
type requestMachine struct {
	request uint64
	name    string
}

// machineStates returns the states of all machines of a schedule's requests.
func machineStates(s maintenance.Schedule) map[requestMachine]maintenance.State {
	states := map[requestMachine]maintenance.State{}
	for _, r := range s.Requests {
		for _, m := range r.Machines {
			states[requestMachine{r.ID, m.Name}] = m.State
		}
	}
	return states
}

// logMaintenanceChanges logs the machines whose state differs between two versions of the schedule.
func (a *Agent) logMaintenanceChanges(old, next maintenance.Schedule, planEpoch fleet.Epoch) {
	oldStates := machineStates(old)
	for _, r := range next.Requests {
		for _, m := range r.Machines {
			if previous, ok := oldStates[requestMachine{r.ID, m.Name}]; ok && previous != m.State {
				a.options.Log.Info("fleet: work "+m.Name+" "+m.State.String(), zap.Uint64("request", r.ID), zap.String("why", m.Note),
					zap.Stringer("on_epoch", planEpoch))
			}
		}
	}
}
