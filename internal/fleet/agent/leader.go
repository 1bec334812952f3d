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

// zoneStatuses reads the zones' section of a plan; without one no zone is evacuated.
func zoneStatuses(p *fleet.Plan) (evacuation.Statuses, error) {
	statuses := evacuation.Statuses{}
	_, err := p.Section(evacuation.Section, &statuses)
	return statuses, err
}

// leaderTick is one evaluation round of the leader: the zones' states, or if those stay, maintenance. One
// change is proposed at a time, and none while operators froze the plan.
func (a *Agent) leaderTick(now time.Duration, unix int64, n *fleet.Node) {
	p := n.Plan()
	if _, frozen := p.Frozen(); frozen {
		return
	}
	statuses, err := zoneStatuses(&p)
	if err != nil {
		return
	}
	if !a.evaluateZones(now, unix, n, p.Epoch, statuses) {
		a.stepMaintenance(now, unix, n, p, statuses)
	}
}

// evaluateZones proposes the detector's next states; false: they are as in the plan.
func (a *Agent) evaluateZones(now time.Duration, unix int64, n *fleet.Node, on fleet.Epoch, statuses evacuation.Statuses) bool {
	starts := map[string]int64{} // of the youngest server in each zone
	for _, s := range a.listedServers() {
		starts[s.Zone] = max(starts[s.Zone], s.Since)
	}
	a.zones.SetServerStarts(starts)
	next, changed := a.zones.Evaluate(now, unix, statuses, func(name string) bool {
		p, ok := n.Peer(name)
		return name == a.options.Gossip.Name || ok && now-p.LastStatusAt < a.options.Lease
	})
	if changed && n.Propose(evacuation.EncodeSection(next)) {
		a.logZoneChanges(statuses, next, on)
	}
	return changed
}

func (a *Agent) logZoneChanges(old, next evacuation.Statuses, on fleet.Epoch) {
	for key, status := range next {
		was, ok := old[key]
		if ok && was.State == status.State {
			continue
		}
		state := string(status.State)
		if status.State == evacuation.Evacuated && was.State == evacuation.Probing {
			state = "is not well yet"
		}
		a.options.Log.Info("fleet: zone "+key+" "+state, zap.String("why", status.Reason), zap.Int("fails", status.FailedReturns),
			zap.Strings("probers", status.Probers), zap.Stringer("on_epoch", on))
	}
	for key := range old {
		if _, ok := next[key]; !ok {
			a.options.Log.Info("fleet: zone "+key+" in", zap.Stringer("on_epoch", on))
		}
	}
}

// stepMaintenance proposes the scheduler's next step.
func (a *Agent) stepMaintenance(now time.Duration, unix int64, n *fleet.Node, p fleet.Plan, statuses evacuation.Statuses) {
	schedule, err := maintenance.Read(&p)
	if err != nil {
		return
	}
	next, changed := a.maintenance.Step(now, unix, schedule, maintenance.Observations{
		Servers:           a.maintenanceServers(),
		Members:           a.maintenanceMembers(now, n),
		Saturated:         a.zones.Saturated(),
		Rate:              a.slowStart.Demand(),
		ZonesNotInService: evacuatedZones(statuses),
	})
	if changed && n.Propose(maintenance.Set(next)) {
		a.logMaintenanceChanges(schedule, next, p.Epoch)
	}
}

// evacuatedZones are the zones, without paths between two, that are not fully in use, sorted; those that
// operators hold are.
func evacuatedZones(statuses evacuation.Statuses) (zones []string) {
	for key, status := range statuses {
		if !strings.Contains(key, ">") && !status.KeepInService {
			zones = append(zones, key)
		}
	}
	slices.Sort(zones)
	return zones
}

// maintenanceServers are the listed servers by machine, as this process has the list.
func (a *Agent) maintenanceServers() map[string]maintenance.Server {
	all := map[string]maintenance.Server{}
	for _, s := range a.listedServers() {
		all[Machine(s.ID)] = maintenance.Server{Zone: s.Zone, Ready: true, Since: s.Since}
	}
	return all
}

// maintenanceMembers are all members as the leader knows them, itself among them.
func (a *Agent) maintenanceMembers(now time.Duration, n *fleet.Node) map[string]maintenance.Member {
	left := map[string]bool{}
	for _, m := range a.gossip.Members() {
		left[m.Name] = m.State == gossip.StateLeft
	}
	members := map[string]maintenance.Member{}
	for _, p := range n.Peers() {
		members[p.Name] = maintenance.Member{
			Left:             left[p.Name],
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
		Withdrawn:        a.acknowledged(),
		Zone:             own.Metadata.Zone,
		Voter:            slices.Contains(a.options.Voters, own.Name),
		Leader:           true,
		ProcessStartedAt: a.startedAt.UnixNano(),
	}
	return members
}

// requestMachine is a machine within a maintenance request.
type requestMachine struct {
	request uint64
	name    string
}

func machineStates(s maintenance.Schedule) map[requestMachine]maintenance.State {
	states := map[requestMachine]maintenance.State{}
	for _, r := range s.Requests {
		for _, m := range r.Machines {
			states[requestMachine{r.ID, m.Name}] = m.State
		}
	}
	return states
}

func (a *Agent) logMaintenanceChanges(old, next maintenance.Schedule, on fleet.Epoch) {
	before := machineStates(old)
	for _, r := range next.Requests {
		for _, m := range r.Machines {
			if was, ok := before[requestMachine{r.ID, m.Name}]; ok && was != m.State {
				a.options.Log.Info("fleet: work "+m.Name+" "+m.State.String(), zap.Uint64("request", r.ID), zap.String("why", m.Note),
					zap.Stringer("on_epoch", on))
			}
		}
	}
}
