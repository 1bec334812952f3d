package agent

import (
	"fmt"

	"go.uber.org/zap"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/maintenance"
	"dewhitch/internal/fleet/slowstart"
)

// Decisions holds the fleet's decisions that a gateway follows.
type Decisions struct {
	Plan      fleet.Plan
	Withdrawn map[string]uint64 // machines to which nothing new may be sent, with their announcement IDs
	SlowStart slowstart.Grant   // rates granted by the leader; empty once their lease has expired
}

// handleEvent logs an event of the node, and updates the decisions if the event changes them.
func (a *Agent) handleEvent(e fleet.Event) {
	p := a.node.Plan()
	a.logEvent(e, p.Epoch)
	if e.Kind == fleet.PlanChanged {
		a.updateDrainReasons(&p)
	}
	if e.Kind == fleet.PlanChanged || e.Kind == fleet.GrantChanged || e.Kind == fleet.Fenced {
		a.publishDecisions(p)
	}
}

func (a *Agent) logEvent(e fleet.Event, planEpoch fleet.Epoch) {
	text := "fleet: " + e.Text
	switch e.Kind {
	case fleet.Fenced, fleet.InvalidReport:
		a.options.Log.Warn(text, zap.Stringer("epoch", planEpoch))
	case fleet.GrantChanged: // too frequent to log
	case fleet.PlanChanged:
		digest := fmt.Sprintf("%016x", e.Plan.Digest())
		a.options.Log.Info(text, zap.Stringer("epoch", e.Plan.Epoch), zap.String("digest", digest))
	default:
		a.options.Log.Info(text, zap.Stringer("epoch", planEpoch))
	}
}

// updateDrainReasons sets the reasons to drain that a plan gives to this gateway. If the zones' section can't be
// decoded, its zone counts as in service. If the schedule can't be decoded, inMaintenance stays as it is.
func (a *Agent) updateDrainReasons(p *fleet.Plan) {
	statuses, err := zoneStatuses(p)
	status, ok := statuses[a.options.Gossip.Metadata.Zone]
	a.drain.zoneEvacuated = err == nil && ok && !status.KeepInService && status.State != evacuation.Returning
	if schedule, err := maintenance.Read(p); err == nil {
		_, a.drain.inMaintenance = schedule.Withdrawn()[a.options.Gossip.Name]
	}
}

// publishDecisions passes the current decisions to OnDecisions. A section or grant that can't be decoded counts as
// empty.
func (a *Agent) publishDecisions(p fleet.Plan) {
	if a.options.OnDecisions == nil {
		return
	}
	d := Decisions{Plan: p}
	if schedule, err := maintenance.Read(&p); err == nil {
		d.Withdrawn = schedule.Withdrawn()
	}
	if grant, valid := a.node.Grant(); valid && len(grant) > 0 {
		d.SlowStart, _ = slowstart.Read(grant) // empty if the grant is invalid
	}
	a.options.OnDecisions(d)
}
