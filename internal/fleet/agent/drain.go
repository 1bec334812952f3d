package agent

import (
	"time"

	"dewhitch/internal/fleet/evacuation"
)

// drainState says why this gateway drains its clients: it is cut off from its servers, or in maintenance.
type drainState struct {
	monitor            evacuation.SelfMonitor
	isolated           bool // by the monitor
	returnIndex        int  // this gateway's place among those of its zone when it stops draining
	zoneEvacuated      bool // by the plan
	inMaintenance      bool // by the plan
	appliedMaintenance bool // at the last updateDrain
}

// updateDrain starts or stops draining. Gateways of a zone stop one after the other, by name, so that clients
// do not all come back at once.
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

// ownReturnIndex counts the members of this one's zone whose names sort before its own.
func (a *Agent) ownReturnIndex() int {
	own, count := a.options.Gossip, 0
	for _, m := range a.gossip.Members() {
		if m.Zone == own.Metadata.Zone && m.Name < own.Name {
			count++
		}
	}
	return count
}

func (a *Agent) setDraining(on bool) {
	if a.options.Drain != nil {
		a.options.Drain(on)
	}
}
