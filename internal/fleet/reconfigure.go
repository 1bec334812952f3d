package fleet

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// reconfigureVoters has the leader bring the log's voters in line with the configured ones, one step per call:
//
//  1. add a configured voter under its current identity and remove its former identities, in one joint change;
//  2. once all configured voters are in the log, remove the identities that belong to no known member;
//  3. record in the plan which identity belongs to which member.
func (n *Node) reconfigureVoters() {
	v := n.voter
	if len(v.confState.GetVotersOutgoing()) > 0 {
		return // a joint change is in progress
	}
	voterIDs := v.confState.GetVoters()
	owners := n.identityOwners()
	for _, name := range n.config.Voters {
		s, ok := n.recentVoterStatus(name)
		if !ok || s.Identity == 0 {
			continue
		}
		owners[s.Identity] = name
		if !slices.Contains(voterIDs, s.Identity) && n.canJoin(s) {
			n.addVoter(name, s.Identity, owners)
			return
		}
	}
	votingMembers := map[string]uint64{} // identities of the voting members, by name
	for _, id := range voterIDs {
		if name := owners[id]; name != "" {
			votingMembers[name] = id
		}
	}
	if len(votingMembers) == len(n.config.Voters) && len(voterIDs) > len(votingMembers) {
		n.removeOrphanedVoters(votingMembers, owners)
		return
	}
	if len(votingMembers) == len(voterIDs) && !maps.Equal(votingMembers, v.plan.voters()) {
		n.Propose(map[string]cbor.RawMessage{sectionVoters: encode(votingMembers)})
	}
}

// identityOwners maps identities in the log to member names, according to the plan.
func (n *Node) identityOwners() map[uint64]string {
	owners := map[uint64]string{n.voterHeader.Identity: n.config.Name}
	for name, id := range n.voter.plan.voters() {
		if owners[id] == "" {
			owners[id] = name
		}
	}
	return owners
}

// canJoin returns true if a voter can be added: it holds no log or this one, and has promised no newer generation.
func (n *Node) canJoin(s Status) bool {
	return (s.Generation == 0 || s.Generation == n.voter.generation) && s.Promised <= n.voter.generation
}

// addVoter proposes to add a member's current identity and to remove its former ones.
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

// removeOrphanedVoters proposes to remove the identities under which no member votes.
func (n *Node) removeOrphanedVoters(votingMembers map[string]uint64, owners map[uint64]string) {
	var orphaned []uint64
	for _, id := range n.voter.confState.GetVoters() {
		if owners[id] == "" || votingMembers[owners[id]] != id {
			orphaned = append(orphaned, id)
		}
	}
	if n.voter.proposeVoters(orphaned, nil) == nil {
		n.emit(VotersChanged, "%d voters without a member are removed", len(orphaned))
	}
	n.takeVoterOutput()
}
