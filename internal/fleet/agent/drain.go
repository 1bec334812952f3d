package agent

import (
	"time"

	"dewhitch/internal/fleet/evacuation"
)

// drainState holds the reasons for which this gateway drains its clients: it is isolated from its servers, or in
// maintenance.
type drainState struct {
	monitor            evacuation.SelfMonitor
	isolated           bool // last result of the monitor
	returnIndex        int  // index of this gateway in the order in which the gateways of its zone stop draining
	zoneEvacuated      bool // true if the plan has this gateway's zone as evacuated or probed
	inMaintenance      bool // true if the plan withdraws this gateway for maintenance
	appliedMaintenance bool // value of inMaintenance at the last updateDrain
}

// updateDrain starts or stops draining. After an isolation the gateways of a zone stop draining one after the other,
// in the order of their names, so that their clients do not all return at the same time.
func (a *Agent) updateDrain(now time.Duration) {
	d := &a.drain
	isolated := d.monitor.Update(now, d.zoneEvacuated, a.node.Fresh(), d.returnIndex)
	if d.inMaintenance != d.appliedMaintenance {
		d.appliedMaintenance = d.inMaintenance
		a.setDraining(d.inMaintenance || isolated)
	}
	if isolated == d.isolated {
		return
	}
	d.isolated = isolated
	if isolated {
		d.returnIndex = a.ownReturnIndex()
		a.options.Log.Warn("fleet: cut off from what it needs: this gateway sends its clients away")
	} else {
		a.options.Log.Info("fleet: this gateway takes clients again")
	}
	a.setDraining(d.inMaintenance || isolated)
}

// ownReturnIndex returns the number of members of this gateway's zone whose names sort before its own.
func (a *Agent) ownReturnIndex() int {
	own, count := a.options.Gossip, 0
	for _, m := range a.gossip.Members() {
		if m.Zone == own.Metadata.Zone && m.Name < own.Name {
			count++
		}
	}
	return count
}

// setDraining calls Options.Drain, if it is set.
func (a *Agent) setDraining(on bool) {
	if a.options.Drain != nil {
		a.options.Drain(on)
	}
}
