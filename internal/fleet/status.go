package fleet

import (
	"slices"
	"time"
)

const (
	statusIntervalPerPeer = time.Millisecond // minimum status interval per known peer, to bound the statuses that a voter receives
	fullStatusPeriod      = 3                // every third status is full (sendStatuses)
)

// SelfStatus returns this member's own status, without the report and the withdrawn machines.
func (n *Node) SelfStatus() Status {
	s := Status{
		Zone:     n.config.Zone,
		Region:   n.config.Region,
		Epoch:    n.plan.Epoch,
		Fresh:    n.Fresh(),
		Leader:   n.leader,
		GrantSeq: n.lease.grantSeq,
	}
	if n.voterHeader != nil && n.replacement == nil {
		s.Identity = n.voterHeader.Identity
		s.Generation = n.voterHeader.Generation
		s.Promised = n.voterHeader.Promised
		s.Term = n.voter.term
		s.Voters = n.voter.confState.GetVoters()
		s.OutgoingVoters = n.voter.confState.GetVotersOutgoing()
	}
	return s
}

// nextStatusAfter returns the time at which the status after the one sent at now is due. A voter's status
// coincides with a tick of the log, to save a wakeup.
func (n *Node) nextStatusAfter(now time.Duration) time.Duration {
	next := now + max(n.config.StatusInterval, time.Duration(len(n.peers.byName))*statusIntervalPerPeer)
	if n.voter != nil {
		tick := n.config.Tick
		next = n.lastLogTick + (next-n.lastLogTick+tick/2)/tick*tick
	}
	return next
}

// sendStatuses sends this member's status to the leader. Every third status, and every status while the view is
// not fresh, is full: it goes to all voters and at most one other member, and includes servers. Servers make
// up most of the bytes of a full status, and every decision based on them takes a second or more.
func (n *Node) sendStatuses() {
	status := n.SelfStatus()
	if n.withdrawn != nil {
		status.Withdrawn = n.withdrawn()
	}
	n.statusCount++
	full := n.statusCount%fullStatusPeriod == 0 || !n.Fresh()
	if n.reporter != nil {
		status.Report = n.reporter(full)
		n.observeOwnReport(status)
	}
	e := envelope{Status: &status}
	n.stamp(&e)
	n.lease.recordStatus(n.seq, n.now)
	b := encode(e)
	if n.fenced {
		return
	}
	if n.Leads() { // the leader answers its own status
		n.acceptGrant(n.grantFor(Peer{Name: n.config.Name, Status: status}, n.seq), n.seq, n.now)
	}
	for _, name := range n.statusReceivers(full) {
		n.outbox = append(n.outbox, Message{name, b})
	}
}

// observeOwnReport passes this member's own report to Observe, like a peer's.
func (n *Node) observeOwnReport(status Status) {
	if status.Report == nil || n.config.Observe == nil {
		return
	}
	if delta, err := n.ownReports.delta(status.Report); err == nil {
		n.config.Observe(n.now, Peer{Name: n.config.Name, Status: status}, delta)
	}
}

// statusReceivers chooses the members to which a status goes: the leader, or for a full status all known voters
// and at most one other member at random. That member need not be alive according to gossip, so that two halves of the
// fleet reconnect as soon as any link works.
func (n *Node) statusReceivers(full bool) (names []string) {
	for _, v := range n.config.Voters {
		if v != n.config.Name && n.peers.byName[v] != nil && (full || v == n.leader) {
			names = append(names, v)
		}
	}
	if full && len(n.peers.names) > 0 {
		other := n.peers.names[n.rng.IntN(len(n.peers.names))]
		if !slices.Contains(n.config.Voters, other) {
			names = append(names, other)
		}
	}
	return names
}

// handleStatus records a peer's status, and answers with what the peer lacks: a newer plan and, from the
// leader, a grant.
func (n *Node) handleStatus(p *Peer, e *envelope) {
	if e.Seq <= p.statusSeq {
		return // late or duplicate
	}
	p.statusSeq = e.Seq
	p.Status = *e.Status
	p.LastStatusAt = n.now
	p.HasStatus = true
	n.observeReport(p)
	switch {
	case e.Status.Epoch.Less(n.plan.Epoch):
		n.sendPlan(p)
	case n.plan.Epoch.Less(e.Status.Epoch):
		s := n.SelfStatus()
		n.send(p.Name, envelope{Status: &s}) // the peer answers this status with its plan
	}
	if n.shouldGrant(p) {
		p.lastGrantAt = n.now
		n.send(p.Name, envelope{Grant: &grant{e.Seq, n.plan.Epoch, n.grantFor(*p, e.Seq)}})
	}
}

// observeReport removes the report from a peer's status, and passes its changes since the previous report to
// Observe. An invalid report is dropped.
func (n *Node) observeReport(p *Peer) {
	r := p.Status.Report
	if r == nil {
		return
	}
	delta, err := p.reports.delta(r)
	if err != nil {
		n.dropped++
		n.emit(InvalidReport, "%s: %v", p.Name, err)
	} else if n.config.Observe != nil {
		n.config.Observe(n.now, *p, delta)
	}
	p.Status.Report = nil
}
