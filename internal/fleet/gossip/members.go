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
	StateSuspect = "suspect" // the member does not answer health checks
	StateDead    = "gone"    // the member was suspect for too long
	StateLeft    = "left"    // the member announced that it leaves
)

// Metadata describes a member to the others. It does not change while a process runs.
type Metadata struct {
	Zone    string `cbor:"1,keyasint" json:"zone"`
	Region  string `cbor:"2,keyasint,omitempty" json:"region,omitempty"`
	Number  int    `cbor:"3,keyasint" json:"number"` // number of the gateway (Settings.Self)
	Version string `cbor:"4,keyasint" json:"version"`
	Role    string `cbor:"5,keyasint" json:"role"`
}

// Member is gossip's view of a member.
type Member struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Address  string `json:"address"` // host:port that the member advertises
	Metadata `json:"about"`
}

// Members returns all members that this process has ever seen, itself included, sorted by name. States lag by seconds
// and are no evidence of a member's present health.
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

// member returns a member as the library last reported it. It returns false if the library never reported the member.
func (g *Gossip) member(name string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[name]
	return m, ok
}

// setMember records a change of a member. Metadata that can't be decoded, such as that of another program, counts as
// empty.
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

// NodeMeta returns the encoded metadata of this member, or nil if it exceeds the limit.
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
