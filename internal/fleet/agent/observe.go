package agent

import (
	"time"

	"dewhitch/internal/fleet"
)

// observe passes the attempts of a member since its last report to the policies.
func (a *Agent) observe(now time.Duration, from fleet.Peer, delta fleet.Report) {
	a.zones.Observe(now, from.Name, from.Status.Zone, from.Status.Region, delta)
	a.slowStart.Observe(now, from.Name, from.Status.GrantSeq, delta)
	for id, c := range delta.Servers {
		a.maintenance.Observe(now, MachineName(id), c.Served, c.ConnectFailed+c.Failed, c.TimedOut, c.AnsweredLate)
	}
	if from.Name == a.options.Gossip.Name {
		a.observeOwn(now, delta)
	}
}

// observeOwn passes this gateway's own attempts, over all zones, to the monitor that may drain it. A rejected attempt
// counts as neither served nor failed: the server is reachable, but has no capacity.
func (a *Agent) observeOwn(now time.Duration, delta fleet.Report) {
	served, failed := uint64(0), uint64(0)
	for _, c := range delta.Zones {
		served += c.Served + c.AnsweredLate
		failed += c.ConnectFailed + c.TimedOut + c.Failed
	}
	a.drain.monitor.Observe(now, served, failed)
}
