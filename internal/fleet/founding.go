package fleet

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// fresh gives what a configured voter says of itself, if that is fresh.
func (n *Node) recentVoterStatus(name string) (Status, bool) {
	if name == n.config.Name {
		return n.selfStatus(), n.identity != nil && n.replacement == nil
	}
	p := n.peers[name]
	if p == nil || !p.HasStatus || n.now-p.LastStatusAt > statusFreshFor || p.Status.Identity == 0 {
		return Status{}, false
	}
	return p.Status, true
}

// quorumLost tells whether no log can commit anything any more, by what all configured voters say, all of them heard just now:
// nobody has heard a leader for a while, and none of them could be elected, as too few of those that vote in the log that
// it holds are there under the identities of then. It gives the newest founding that anybody has promised or holds.
func (n *Node) quorumLost() (newest uint64, yes bool) {
	there, all := map[uint64]bool{}, []Status{}
	newest = n.plan.Epoch.Generation
	for _, name := range n.config.Voters {
		s, ok := n.recentVoterStatus(name)
		if !ok {
			return 0, false
		}
		newest = max(newest, s.Promised, s.Generation, s.Epoch.Generation)
		there[s.Identity] = true
		all = append(all, s)
	}
	quorum := func(ids []uint64) bool {
		have := 0
		for _, id := range ids {
			if there[id] {
				have++
			}
		}
		return len(ids) == 0 || have > len(ids)/2
	}
	held := false
	for _, s := range all {
		if held = held || s.Generation != 0; len(s.Voters) > 0 && quorum(s.Voters) && quorum(s.OutgoingVoters) {
			return 0, false
		}
	}
	if held && n.leader != "" && n.now-n.leaderHeardAt < leaderLossTimeout {
		return 0, false
	}
	return newest, true
}

// startGeneration has the first voter found a log, where there is none that can go on: it asks all others for their promise.
func (n *Node) startGeneration() {
	if n.voter == nil || n.fenced || n.config.Voters[0] != n.config.Name || n.replacement != nil {
		return
	}
	if n.startingGeneration != 0 && n.now-n.generationStartedAt > generationTimeout {
		n.startingGeneration = 0
	}
	if n.startingGeneration == 0 {
		newest, dead := n.quorumLost()
		if !dead {
			return
		}
		// Danger: where all have forgotten all, the clock alone keeps two foundings apart; so it is in milliseconds.
		n.startingGeneration, n.generationStartedAt = max(newest+1, uint64(max(0, n.unixMS))), n.now
		clear(n.promises)
		n.promiseGeneration(n.startingGeneration)
	}
	missing := 0
	for _, name := range n.config.Voters {
		if name != n.config.Name && n.promises[name] == nil {
			missing++
			n.send(name, envelope{Generation: &generationMessage{Generation: n.startingGeneration}})
		}
	}
	if missing > 0 {
		return
	}
	newest := n.plan
	for _, name := range slices.Sorted(maps.Keys(n.promises)) {
		if p := n.promises[name]; newest.Epoch.Less(p.Epoch) {
			newest = *p
		}
	}
	number := n.startingGeneration
	n.startingGeneration = 0
	n.restartVoter(newGenerationState(n.identity.Identity, number, Plan{Epoch: Epoch{number, 1}, Sections: newest.Sections}))
	n.leader, n.leaderHeardAt = n.config.Name, n.now
	n.afterReplacement = append(n.afterReplacement, func() {
		_ = n.voter.raftNode.Campaign() // alone, it waits for nobody
		n.voter.processReady()
		n.emit(GenerationStarted, "a log is founded: %d, on plan %v", number, newest.Epoch)
	})
}

// promiseGeneration gives up what the voter held, for a founding's sake.
func (n *Node) promiseGeneration(number uint64) {
	n.resetVoter(number)
	n.emit(Promised, "no log older than %d is heard any more", number)
}

// handleGeneration hears that the first voter wants to found a log, or that another has promised it.
func (n *Node) handleGeneration(from string, f *generationMessage) {
	if n.voter == nil || n.replacement != nil || len(n.config.Voters) == 0 {
		return
	}
	if f.Promise {
		if f.Generation == n.startingGeneration && slices.Contains(n.config.Voters, from) {
			n.promises[from] = &Plan{}
			if f.Plan != nil && len(f.Plan.Sections) <= maxSections && f.Plan.size() <= maxPlanSize {
				n.promises[from] = f.Plan
			}
		}
		return
	}
	if from != n.config.Voters[0] || f.Generation < n.identity.Promised || n.identity.Generation >= f.Generation {
		return
	}
	promise := func() {
		n.send(from, envelope{Generation: &generationMessage{Generation: f.Generation, Promise: true, Plan: &n.plan}})
	}
	if f.Generation == n.identity.Promised && n.identity.Generation == 0 {
		promise() // it was, and the answer may have been lost
		return
	}
	if n.identity.Generation != 0 { // a voter with a log in hand looks for itself
		if _, dead := n.quorumLost(); !dead {
			return
		}
	}
	n.promiseGeneration(f.Generation)
	n.afterReplacement = append(n.afterReplacement, promise)
}

// reconfigureVoters has the leader take voters in under the identity that they now have, one at a time, and the plan say who they are.
func (n *Node) reconfigureVoters() {
	v := n.voter
	if len(v.confState.GetVotersOutgoing()) > 0 {
		return // a change is under way
	}
	in := v.confState.GetVoters()
	names := map[uint64]string{n.identity.Identity: n.config.Name}
	for name, id := range v.plan.voters() {
		if names[id] == "" {
			names[id] = name
		}
	}
	for _, name := range n.config.Voters {
		s, ok := n.recentVoterStatus(name)
		if !ok || s.Identity == 0 {
			continue
		}
		names[s.Identity] = name
		if slices.Contains(in, s.Identity) || s.Generation != 0 && s.Generation != v.generation || s.Promised > v.generation {
			continue
		}
		var out []uint64
		for _, id := range in {
			if names[id] == name {
				out = append(out, id)
			}
		}
		if v.proposeVoters(out, []uint64{s.Identity}) == nil {
			n.emit(VotersChanged, "%s votes as %x, in place of %d others of its name", name, s.Identity, len(out))
		}
		n.takeVoterOutput()
		return
	}
	now := map[string]uint64{}
	for _, id := range in {
		if name := names[id]; name != "" {
			now[name] = id
		}
	}
	if len(now) == len(n.config.Voters) && len(in) > len(now) { // all are in, and nobody knows whose the others were
		var out []uint64
		for _, id := range in {
			if names[id] == "" || now[names[id]] != id {
				out = append(out, id)
			}
		}
		if v.proposeVoters(out, nil) == nil {
			n.emit(VotersChanged, "%d voters that nobody is any more are out", len(out))
		}
		n.takeVoterOutput()
		return
	}
	if len(now) == len(in) && !maps.Equal(now, v.plan.voters()) {
		n.Propose(map[string]cbor.RawMessage{sectionVoters: encode(now)})
	}
}
