package fleet

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// reconfigureVoters has the leader bring the log's voters in line with the configured ones, one step a call:
//
//  1. add a configured voter under its present identity, in one joint change with the removal of its former identities;
//  2. once all are in, remove identities that belong to nobody known;
//  3. record in the plan which identity belongs to whom.
func (n *Node) reconfigureVoters() {
	v := n.voter
	if len(v.confState.GetVotersOutgoing()) > 0 {
		return // a change is under way
	}
	voting := v.confState.GetVoters()
	owners := n.identityOwners()
	for _, name := range n.config.Voters {
		s, ok := n.recentVoterStatus(name)
		if !ok || s.Identity == 0 {
			continue
		}
		owners[s.Identity] = name
		if !slices.Contains(voting, s.Identity) && n.mayJoin(s) {
			n.addVoter(name, s.Identity, owners)
			return
		}
	}
	members := map[string]uint64{} // that vote, by name
	for _, id := range voting {
		if name := owners[id]; name != "" {
			members[name] = id
		}
	}
	if len(members) == len(n.config.Voters) && len(voting) > len(members) {
		n.removeOrphanedVoters(members, owners)
		return
	}
	if len(members) == len(voting) && !maps.Equal(members, v.plan.voters()) {
		n.Propose(map[string]cbor.RawMessage{sectionVoters: encode(members)})
	}
}

// identityOwners maps identities in the log to members' names, by the plan.
func (n *Node) identityOwners() map[uint64]string {
	owners := map[uint64]string{n.voterHeader.Identity: n.config.Name}
	for name, id := range n.voter.plan.voters() {
		if owners[id] == "" {
			owners[id] = name
		}
	}
	return owners
}

// mayJoin tells whether a voter can be added: it holds no log or this one, and promised no newer one.
func (n *Node) mayJoin(s Status) bool {
	return (s.Generation == 0 || s.Generation == n.voter.generation) && s.Promised <= n.voter.generation
}

// addVoter adds a member's present identity and removes its former ones.
func (n *Node) addVoter(name string, identity uint64, owners map[uint64]string) {
	var former []uint64
	for _, id := range n.voter.confState.GetVoters() {
		if owners[id] == name {
			former = append(former, id)
		}
	}
	if n.voter.proposeVoters(former, []uint64{identity}) == nil {
		n.emit(VotersChanged, "voter %s joins as %x, in place of %d former identities", name, identity, len(former))
	}
	n.takeVoterOutput()
}

// removeOrphanedVoters removes the identities that no member votes under.
func (n *Node) removeOrphanedVoters(members map[string]uint64, owners map[uint64]string) {
	var orphaned []uint64
	for _, id := range n.voter.confState.GetVoters() {
		if owners[id] == "" || members[owners[id]] != id {
			orphaned = append(orphaned, id)
		}
	}
	if n.voter.proposeVoters(orphaned, nil) == nil {
		n.emit(VotersChanged, "%d voters without a member are removed", len(orphaned))
	}
	n.takeVoterOutput()
}
