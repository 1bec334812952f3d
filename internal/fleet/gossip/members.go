package gossip

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// States of a member.
const (
	StateAlive   = "alive"
	StateSuspect = "suspect" // it does not answer health checks
	StateDead    = "gone"    // it was suspect for too long
	StateLeft    = "left"    // it announced that it leaves
)

// Metadata is what a member announces of itself; it stays the same for its process.
type Metadata struct {
	Zone    string `cbor:"1,keyasint" json:"zone"`
	Region  string `cbor:"2,keyasint,omitempty" json:"region,omitempty"`
	Number  int    `cbor:"3,keyasint" json:"number"`
	Version string `cbor:"4,keyasint" json:"version"`
	Role    string `cbor:"5,keyasint" json:"role"`
}

// Member is a member as gossip knows it.
type Member struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Address  string `json:"address"` // host:port, as it advertises itself
	Metadata `json:"about"`
}

// Members returns every member ever seen, this one among them, sorted by name. States lag by seconds: they
// are no evidence of a member's health now.
func (g *Gossip) Members() []Member {
	suspect := map[string]bool{}
	for _, n := range g.list.Members() {
		suspect[n.Name] = n.State == memberlist.StateSuspect
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Member
	for _, m := range g.members {
		if m.State == StateAlive && suspect[m.Name] {
			m.State = StateSuspect
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// member returns a member as the library last announced it; the zero Member if it never did.
func (g *Gossip) member(name string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[name]
	return m, ok
}

// setMember records a member's change. Metadata that can't be read, as of another program, counts as empty.
func (g *Gossip) setMember(n *memberlist.Node, state string) {
	m := Member{Name: n.Name, State: state, Address: n.Address()}
	if cbor.Unmarshal(n.Meta, &m.Metadata) != nil {
		m.Metadata = Metadata{}
	}
	g.mu.Lock()
	g.members[n.Name] = m
	g.mu.Unlock()
	g.options.StateChanged(n.Name, state)
}

// delegate implements memberlist.Delegate and EventDelegate. The library calls it from its own goroutines.
type delegate struct{ g *Gossip }

func (d *delegate) NodeMeta(limit int) []byte {
	b, err := cbor.Marshal(d.g.options.Metadata)
	if err != nil || len(b) > limit {
		return nil
	}
	return b
}
func (d *delegate) NotifyMsg(b []byte)              { d.g.options.Receive(b) }
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}
func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.g.setMember(n, StateAlive) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.g.setMember(n, StateAlive) }
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	state := StateDead
	if n.State == memberlist.StateLeft {
		state = StateLeft
	}
	d.g.setMember(n, state)
}
