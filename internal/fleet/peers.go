package fleet

import (
	"slices"
	"time"
)

const maxPeers = 4096 // limit on known members; further names are ignored, to bound memory

// Peer is this member's view of another member.
type Peer struct {
	Name         string
	Alive        bool          // true if gossip considers it alive
	LastStatusAt time.Duration // arrival time of its last status; valid if HasStatus
	HasStatus    bool
	Status       Status
	StartedAt    int64  // start time of its process in Unix ns
	Incarnation  uint64 // random number of its process

	statusSeq     uint64         // sequence number of Status; older and duplicate statuses are ignored
	reports       reportBaseline // counters that it reported last
	sentPlanAt    time.Duration
	sentPlanEpoch Epoch // epoch of the plan that was last sent to it
	lastGrantAt   time.Duration
}

// peerTable holds the other members. Entries are never removed.
type peerTable struct {
	byName map[string]*Peer
	names  []string // sorted, so that random choices are reproducible
}

// add returns the peer with the given name and creates it if necessary. It returns nil if the table is full.
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

// SetAlive records whether gossip considers a member alive.
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

// Peer returns another member by name. It returns false if the member is unknown.
func (n *Node) Peer(name string) (Peer, bool) {
	p := n.peers.byName[name]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// acceptIncarnation returns true if a message from a process of peer p may be handled. If the process is newer
// than the known one, the state of the known one is discarded. An older process is notified of its successor,
// because gossip keeps one address per name and the two processes may never reach each other.
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

// fenceIfSuperseded fences this process, which then neither sends nor handles anything, if another process with
// its name started later.
func (n *Node) fenceIfSuperseded(other incarnation) {
	own := incarnation{n.config.StartedAt, n.config.Incarnation}
	if n.fenced || !own.before(other) {
		return
	}
	n.fenced = true
	n.emit(Fenced, "fenced: a process named %s started later; this one takes no further part in the fleet", n.config.Name)
}
