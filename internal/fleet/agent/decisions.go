package agent

import (
	"fmt"

	"go.uber.org/zap"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/maintenance"
	"dewhitch/internal/fleet/slowstart"
)

// Decisions are what a gateway acts on.
type Decisions struct {
	Plan      fleet.Plan
	Withdrawn map[string]uint64 // machines to which nothing new may be sent, with their turn
	SlowStart slowstart.Grant   // empty where its lease is over
}

// handleEvent logs an event of the node, and acts on changes of plan and grant.
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

// updateDrainReasons updates what a plan says of this gateway. A section that can't be read changes nothing, except
// that its zone counts as in use.
func (a *Agent) updateDrainReasons(p *fleet.Plan) {
	statuses, err := zoneStatuses(p)
	status, ok := statuses[a.options.Gossip.Metadata.Zone]
	a.drain.zoneEvacuated = err == nil && ok && !status.KeepInService && status.State != evacuation.Returning
	if schedule, err := maintenance.Read(p); err == nil {
		_, a.drain.inMaintenance = schedule.Withdrawn()[a.options.Gossip.Name]
	}
}

// publishDecisions passes on what this gateway acts on from now on.
func (a *Agent) publishDecisions(p fleet.Plan) {
	if a.options.OnDecisions == nil {
		return
	}
	d := Decisions{Plan: p}
	if schedule, err := maintenance.Read(&p); err == nil {
		d.Withdrawn = schedule.Withdrawn()
	}
	if grant, valid := a.node.Grant(); valid && len(grant) > 0 {
		d.SlowStart, _ = slowstart.Read(grant) // a grant that can't be read is empty
	}
	a.options.OnDecisions(d)
}
