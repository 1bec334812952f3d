package fleet

import "time"

const (
	relayFanout        = 3                      // number of members to which a member relays a received plan
	leaderFanout       = 32                     // number of members to which the leader sends a committed plan
	planResendInterval = 400 * time.Millisecond // minimum interval between sends of one plan to one peer
)

// Plan returns the plan that this member applies. Its sections are shared and must not be modified.
func (n *Node) Plan() Plan { return n.plan }

// adoptPlan applies a plan if it is newer than the current one, and relays it to random live members whose
// last status shows an older plan. from names the sender and is empty for a plan from this voter's own log.
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

// sendPlan sends a peer the current plan, unless the peer was sent it within planResendInterval.
func (n *Node) sendPlan(p *Peer) {
	if p.sentPlanEpoch == n.plan.Epoch && n.now-p.sentPlanAt < planResendInterval {
		return
	}
	p.sentPlanEpoch = n.plan.Epoch
	p.sentPlanAt = n.now
	n.send(p.Name, envelope{Plan: &n.plan})
}

// Unacknowledged returns the sorted names of the live members whose last status is older than a lease or shows
// an epoch before e, and of those that have sent no status.
func (n *Node) Unacknowledged(e Epoch) (names []string) {
	for _, name := range n.peers.names {
		p := n.peers.byName[name]
		if p.Alive && (!p.HasStatus || p.Status.Epoch.Less(e) || n.now-p.LastStatusAt > n.config.Lease) {
			names = append(names, name)
		}
	}
	return names
}
