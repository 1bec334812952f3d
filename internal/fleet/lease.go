package fleet

import (
	"bytes"
	"time"
)

const (
	statusRingSize = 64 // number of last statuses whose send times are kept; a grant for an older one is ignored
	grantsPerLease = 5  // number of grants to one member in the time of a lease; several, because messages are lost
)

// leaseHolder is a member's side of the leader's leases.
//
// The leader answers a status with a grant. The grant states that, at some time after status seq was sent, the
// leader had a quorum and epoch E was the newest plan. The lease starts at the time at which that status was
// sent, by the member's own monotonic clock, so a delayed answer or a stalled process can only shorten it.
// While the lease is valid the view is fresh: it lacks no plan that was committed before the lease began. The
// payload of the grant (what this member may send to servers in slow start) is valid for one lease as well.
type leaseHolder struct {
	duration     time.Duration
	sentStatuses [statusRingSize]sentStatus // indexed by sequence number modulo statusRingSize
	freshUntil   time.Duration
	payload      []byte // payload of the last accepted grant
	grantSeq     uint64 // sequence number of the status that the last accepted grant answers; 0 before the first
	grantUntil   time.Duration
	expired      bool // true if the grant was expired at the last check
}

type sentStatus struct {
	seq uint64
	at  time.Duration
}

// recordStatus records the time at which a status was sent.
func (l *leaseHolder) recordStatus(seq uint64, at time.Duration) {
	l.sentStatuses[seq%statusRingSize] = sentStatus{seq, at}
}

// sentAt returns the time at which a status was sent. It returns false if that time is no longer kept.
func (l *leaseHolder) sentAt(seq uint64) (time.Duration, bool) {
	s := l.sentStatuses[seq%statusRingSize]
	return s.at, s.seq == seq
}

// renew extends the lease to one that began when a status was sent.
func (l *leaseHolder) renew(sentAt time.Duration) {
	l.freshUntil = max(l.freshUntil, sentAt+l.duration)
}

// accept stores the grant that answers status seq, unless one for the same or a later status was accepted
// before. changed is true if the payload differs from the last one or the last grant had expired.
func (l *leaseHolder) accept(payload []byte, seq uint64, sentAt, now time.Duration) (changed bool) {
	if seq <= l.grantSeq {
		return false // late or duplicate
	}
	changed = !bytes.Equal(payload, l.payload) || now >= l.grantUntil
	l.payload = payload
	l.grantSeq = seq
	l.grantUntil = sentAt + l.duration
	return changed
}

// justExpired returns true if the grant has expired since the last call.
func (l *leaseHolder) justExpired(now time.Duration) bool {
	wasExpired := l.expired
	l.expired = now >= l.grantUntil
	return l.expired && !wasExpired && l.grantSeq > 0
}

// Fresh returns true if this member leads, or if the leader has confirmed this member's plan as the newest and
// the lease of that confirmation is still valid. A fenced process is never fresh.
func (n *Node) Fresh() bool { return !n.fenced && (n.Leads() || n.now < n.lease.freshUntil) }

// Grant returns the payload of the leader's grant to this member. It returns false if there is no grant, if its
// lease has expired, or if this process is fenced.
func (n *Node) Grant() ([]byte, bool) {
	return n.lease.payload, n.lease.grantSeq > 0 && n.now < n.lease.grantUntil && !n.fenced
}

// shouldGrant returns true if this member leads and must answer a peer's status with a grant: always if the
// peer has no valid lease, otherwise grantsPerLease times per lease.
func (n *Node) shouldGrant(p *Peer) bool {
	return n.Leads() && (!p.Status.Fresh || n.now-p.lastGrantAt >= n.config.Lease/grantsPerLease)
}

// grantFor returns the payload of the leader's grant to a member. The grant answers the member's status with the
// sequence number seq.
func (n *Node) grantFor(to Peer, seq uint64) []byte {
	if n.config.GrantFor == nil {
		return nil
	}
	return n.config.GrantFor(n.now, to, seq)
}

// handleGrant renews the lease, unless the send time of the status is no longer kept or the plan that the
// leader confirms has not arrived yet.
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

// checkLease emits an event when the grant expires, and when the view becomes fresh or stale.
func (n *Node) checkLease() {
	if n.lease.justExpired(n.now) {
		n.events = append(n.events, Event{At: n.now, Kind: GrantChanged})
	}
	fresh := n.Fresh()
	if fresh == n.reportedFresh {
		return
	}
	n.reportedFresh = fresh
	if fresh {
		n.emit(FreshChanged, "the view is fresh")
	} else {
		n.emit(FreshChanged, "the view is older than its lease; the last plan holds")
	}
}
