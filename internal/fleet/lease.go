package fleet

import (
	"bytes"
	"time"
)

const (
	statusRingSize = 64 // statuses whose send times are kept; an answer to an older one is ignored
	grantsPerLease = 5  // renewals within a lease, so that a few may be lost
)

// leaseHolder is a member's side of the leader's leases.
//
// The leader answers a status with a grant: "at some time after you sent status seq, I led with a quorum, and
// epoch E was the newest plan". The lease runs from the sending of that status by the member's own monotonic
// clock, so a delayed answer or a stalled process can only shorten it. While it runs the view is fresh: it
// lacks no plan that was committed before the lease began. The grant's payload (what this member may send to
// servers in slow start) holds for one lease as well.
type leaseHolder struct {
	duration   time.Duration
	sent       [statusRingSize]sentStatus // by seq modulo the size
	freshUntil time.Duration
	grant      []byte
	grantSeq   uint64 // the status that grant answers; 0: there never was a grant
	grantUntil time.Duration
	expired    bool // as of the last check
}

type sentStatus struct {
	seq uint64
	at  time.Duration
}

// statusSent records when a status was sent.
func (l *leaseHolder) statusSent(seq uint64, at time.Duration) {
	l.sent[seq%statusRingSize] = sentStatus{seq, at}
}

// sentAt is when a status was sent; false if that is too long ago to know.
func (l *leaseHolder) sentAt(seq uint64) (time.Duration, bool) {
	s := l.sent[seq%statusRingSize]
	return s.at, s.seq == seq
}

// renew extends the lease to one that began at the sending of a status.
func (l *leaseHolder) renew(sentAt time.Duration) {
	l.freshUntil = max(l.freshUntil, sentAt+l.duration)
}

// accept takes the grant that answers a status, unless a later one was accepted; changed: the holder may do
// something else now.
func (l *leaseHolder) accept(grant []byte, seq uint64, sentAt, now time.Duration) (changed bool) {
	if seq <= l.grantSeq {
		return false // late, or duplicate
	}
	changed = !bytes.Equal(grant, l.grant) || now >= l.grantUntil
	l.grant = grant
	l.grantSeq = seq
	l.grantUntil = sentAt + l.duration
	return changed
}

// justExpired tells whether the grant expired since the last call.
func (l *leaseHolder) justExpired(now time.Duration) bool {
	was := l.expired
	l.expired = now >= l.grantUntil
	return l.expired && !was && l.grantSeq > 0
}

// Fresh tells whether the leader confirmed this member's plan as the newest within the lease.
func (n *Node) Fresh() bool { return !n.fenced && (n.Leads() || n.now < n.lease.freshUntil) }

// Grant returns what the leader lets this member do; false if it has no grant, or its lease is over.
func (n *Node) Grant() ([]byte, bool) {
	return n.lease.grant, n.lease.grantSeq > 0 && n.now < n.lease.grantUntil && !n.fenced
}

// shouldGrant tells whether the leader is to answer a peer's status with a grant: always one that has no
// lease, else several times a lease.
func (n *Node) shouldGrant(p *Peer) bool {
	return n.Leads() && (!p.Status.Fresh || n.now-p.lastGrantAt >= n.config.Lease/grantsPerLease)
}

// grantFor is the payload of the leader's grant to a member.
func (n *Node) grantFor(to Peer, seq uint64) []byte {
	if n.config.GrantFor == nil {
		return nil
	}
	return n.config.GrantFor(n.now, to, seq)
}

// handleGrant renews the lease, unless the status is long past or the plan that the leader confirms has not
// arrived yet.
func (n *Node) handleGrant(from string, g *grant) {
	sentAt, known := n.lease.sentAt(g.Seq)
	if !known || n.plan.Epoch.Less(g.Epoch) {
		return
	}
	n.lease.renew(sentAt)
	n.acceptGrant(g.Payload, g.Seq, sentAt)
	n.setLeader(from)
}

func (n *Node) acceptGrant(payload []byte, seq uint64, sentAt time.Duration) {
	if n.lease.accept(payload, seq, sentAt, n.now) {
		n.events = append(n.events, Event{At: n.now, Kind: GrantChanged})
	}
}

// checkLease emits events when the grant expires, and when the view becomes fresh or stale.
func (n *Node) checkLease() {
	if n.lease.justExpired(n.now) {
		n.events = append(n.events, Event{At: n.now, Kind: GrantChanged})
	}
	fresh := n.Fresh()
	if fresh == n.wasFresh {
		return
	}
	n.wasFresh = fresh
	if fresh {
		n.emit(FreshChanged, "the view is fresh")
	} else {
		n.emit(FreshChanged, "the view is older than its lease; the last plan holds")
	}
}
