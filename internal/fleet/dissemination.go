package fleet

import "time"

const (
	relayFanout        = 3  // members to which whoever receives a plan relays it
	leaderFanout       = 32 // members to which the leader pushes a plan
	planResendInterval = 400 * time.Millisecond
)

// Plan is the plan on which this member acts. Its sections are shared and must not be changed.
func (n *Node) Plan() Plan { return n.plan }

// adoptPlan acts on a plan if it is newer than the known one, and relays it to random live members that may
// lack it. from is the sender, or empty for a plan from this voter's own log.
func (n *Node) adoptPlan(p Plan, from string) {
	if !n.plan.Epoch.Less(p.Epoch) || !p.withinBounds() {
		return
	}
	n.plan = p
	n.events = append(n.events, Event{At: n.now, Kind: PlanChanged, Text: "plan " + p.Epoch.String(), Plan: &p})
	remaining := relayFanout
	if from == "" && n.voter != nil && n.voter.leading {
		remaining = leaderFanout
	}
	for _, i := range n.rng.Perm(len(n.peers.names)) {
		if remaining == 0 {
			break
		}
		peer := n.peers.byName[n.peers.names[i]]
		if peer.Name != from && peer.Alive && peer.Status.Epoch.Less(p.Epoch) {
			n.sendPlan(peer)
			remaining--
		}
	}
}

// sendPlan sends a peer the plan, unless it was sent within planResendInterval.
func (n *Node) sendPlan(p *Peer) {
	if p.sentPlanEpoch == n.plan.Epoch && n.now-p.sentPlanAt < planResendInterval {
		return
	}
	p.sentPlanEpoch = n.plan.Epoch
	p.sentPlanAt = n.now
	n.send(p.Name, envelope{Plan: &n.plan})
}

// Unacknowledged names the live members, sorted, that have not confirmed within a lease that they act on an
// epoch or a later one.
func (n *Node) Unacknowledged(e Epoch) (names []string) {
	for _, name := range n.peers.names {
		p := n.peers.byName[name]
		if p.Alive && (!p.HasStatus || p.Status.Epoch.Less(e) || n.now-p.LastStatusAt > n.config.Lease) {
			names = append(names, name)
		}
	}
	return names
}
