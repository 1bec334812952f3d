package fleet

import (
	"slices"
	"time"
)

const maxPeers = 4096 // members known; further names are ignored, to bound memory

// Peer is another member as this one knows it.
type Peer struct {
	Name         string
	Alive        bool          // by gossip
	LastStatusAt time.Duration // when its last status arrived; valid if HasStatus
	HasStatus    bool
	Status       Status
	StartedAt    int64 // of its process, Unix ns
	Incarnation  uint64

	statusSeq     uint64         // of Status; older and duplicate ones are ignored
	reports       reportBaseline // the counters it last reported
	sentPlanAt    time.Duration
	sentPlanEpoch Epoch // of the plan last sent to it
	lastGrantAt   time.Duration
}

// peerTable holds the other members. Peers are never removed.
type peerTable struct {
	byName map[string]*Peer
	names  []string // sorted, so that random choice among them is repeatable
}

// add returns the peer of that name, new if need be; nil if the table is full.
func (t *peerTable) add(name string) *Peer {
	p := t.byName[name]
	if p == nil && len(t.byName) < maxPeers {
		p = &Peer{Name: name}
		t.byName[name] = p
		i, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, i, name)
	}
	return p
}

// SetAlive records whether gossip takes a member for alive.
func (n *Node) SetAlive(name string, alive bool) {
	if name == n.config.Name {
		return
	}
	if p := n.peers.add(name); p != nil {
		p.Alive = alive
	}
}

// Peers returns the other members, sorted by name.
func (n *Node) Peers() []Peer {
	all := make([]Peer, 0, len(n.peers.names))
	for _, name := range n.peers.names {
		all = append(all, *n.peers.byName[name])
	}
	return all
}

// Peer returns another member by name.
func (n *Node) Peer(name string) (Peer, bool) {
	p := n.peers.byName[name]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// acceptIncarnation tells whether a message of a process may be handled. A process newer than the known one
// of that name starts with no history. An older one is told of its successor: under one name gossip keeps one
// address, so that the two processes may never reach each other.
func (n *Node) acceptIncarnation(p *Peer, sender incarnation) bool {
	known := incarnation{p.StartedAt, p.Incarnation}
	if sender.before(known) {
		n.send(p.Name, envelope{LaterIncarnation: &known})
		return false
	}
	if sender != known {
		*p = Peer{Name: p.Name, Alive: p.Alive, StartedAt: sender.StartedAt, Incarnation: sender.Number}
	}
	return true
}

// handleNamesake fences this process if another one of its name started later.
func (n *Node) handleNamesake(other incarnation) {
	own := incarnation{n.config.StartedAt, n.config.Incarnation}
	if n.fenced || !own.before(other) {
		return
	}
	n.fenced = true
	n.emit(Fenced, "fenced: a process named %s started later; this one takes no further part in the fleet", n.config.Name)
}
