package fleet

import (
	"maps"
	"slices"
	"time"
)

// A generation is one instance of the replicated log. If a quorum of its voters loses its storage, that log
// can no longer commit. The first configured voter then starts a new generation in two phases, as in
// Paxos:
//
//  1. Prepare: every configured voter promises the number of the new generation. With its promise a voter
//     discards its identity, so that the old log can't regain a quorum, and ignores older generations. So two
//     generations never commit concurrently.
//  2. Start: the new log begins with the newest plan that any of these voters knows, and with the first voter
//     as its only voter. reconfigureVoters then adds the others one by one.
//
// All configured voters must promise, not only a majority, because a missing voter may know a newer plan.

const (
	statusFreshFor    = 1500 * time.Millisecond // age up to which a status is evidence of its voter's current state
	leaderLossTimeout = 2 * time.Second         // time without a leader after which a log may be abandoned
	generationTimeout = 3 * time.Second         // time to collect all promises before a new number is tried
)

// generationStart is the first voter's attempt to start a generation.
type generationStart struct {
	number    uint64           // number of the new generation; 0 if no attempt is in progress
	startedAt time.Duration    // when the number was chosen
	promises  map[string]*Plan // newest plan known to each voter that promised, by voter name
}

// recentVoterStatus returns the status of a configured voter. It returns false if the status is older than
// statusFreshFor or shows no identity.
func (n *Node) recentVoterStatus(name string) (Status, bool) {
	if name == n.config.Name {
		return n.SelfStatus(), n.voterHeader != nil && n.replacement == nil
	}
	p := n.peers.byName[name]
	if p == nil || !p.HasStatus || n.now-p.LastStatusAt > statusFreshFor || p.Status.Identity == 0 {
		return Status{}, false
	}
	return p.Status, true
}

// recentVoterStatuses returns the statuses of all configured voters. ok is true if all of them are recent.
func (n *Node) recentVoterStatuses() (all []Status, ok bool) {
	for _, name := range n.config.Voters {
		s, ok := n.recentVoterStatus(name)
		if !ok {
			return nil, false
		}
		all = append(all, s)
	}
	return all, true
}

// quorumLost determines from the statuses of all configured voters whether any log can still commit. lost is
// true if all statuses are recent, every log that a voter holds has lost its quorum, and, if there is a log,
// there was no leader for leaderLossTimeout. A log has lost its quorum if no majority of its voters (of either
// voter set during a joint change) still has the identity under which it votes there. If lost is true, newest is
// the newest generation that any configured voter holds, has promised or has a plan of.
func (n *Node) quorumLost() (newest uint64, lost bool) {
	statuses, ok := n.recentVoterStatuses()
	if !ok {
		return 0, false
	}
	newest = n.plan.Epoch.Generation
	present := map[uint64]bool{} // current identities of the configured voters
	logExists := false
	for _, s := range statuses {
		newest = max(newest, s.Promised, s.Generation, s.Epoch.Generation)
		present[s.Identity] = true
		logExists = logExists || s.Generation != 0
	}
	for _, s := range statuses {
		if len(s.Voters) > 0 && majorityPresent(s.Voters, present) && majorityPresent(s.OutgoingVoters, present) {
			return 0, false
		}
	}
	if logExists && n.leader != "" && n.now-n.lastLeaderContact < leaderLossTimeout {
		return 0, false
	}
	return newest, true
}

// majorityPresent returns true if more than half of the voters are present, or if there are no voters.
func majorityPresent(voters []uint64, present map[uint64]bool) bool {
	count := 0
	for _, id := range voters {
		if present[id] {
			count++
		}
	}
	return len(voters) == 0 || count > len(voters)/2
}

// startGeneration starts a generation if quorumLost shows that no log can commit, or continues a start that is
// in progress. On any node but the first configured voter it does nothing.
func (n *Node) startGeneration() {
	if !n.voterActive() || n.fenced || n.config.Voters[0] != n.config.Name {
		return
	}
	attempt := &n.generationStart
	if attempt.number != 0 && n.now-attempt.startedAt > generationTimeout {
		attempt.number = 0
	}
	if attempt.number == 0 {
		newest, lost := n.quorumLost()
		if !lost {
			return
		}
		// If every voter lost its storage, only the clock keeps generation numbers distinct; hence Unix
		// milliseconds.
		attempt.number = max(newest+1, uint64(max(0, n.unixMS)))
		attempt.startedAt = n.now
		clear(attempt.promises)
		n.promiseGeneration(attempt.number)
	}
	if n.requestPromises() {
		n.completeGeneration()
	}
}

// requestPromises sends a request to each voter whose promise is missing. It returns true if every voter has
// promised.
func (n *Node) requestPromises() bool {
	complete := true
	for _, name := range n.config.Voters {
		if name != n.config.Name && n.generationStart.promises[name] == nil {
			complete = false
			n.send(name, envelope{Generation: &generationMessage{Generation: n.generationStart.number}})
		}
	}
	return complete
}

// completeGeneration starts the log with this voter as its only voter, on the newest plan known to any voter
// that promised.
func (n *Node) completeGeneration() {
	newest := n.plan
	for _, name := range slices.Sorted(maps.Keys(n.generationStart.promises)) {
		if p := n.generationStart.promises[name]; newest.Epoch.Less(p.Epoch) {
			newest = *p
		}
	}
	number := n.generationStart.number
	n.generationStart.number = 0
	first := Plan{Epoch: Epoch{number, 1}, Sections: newest.Sections}
	n.replaceVoter(newGenerationState(n.voterHeader.Identity, number, first))
	n.leader = n.config.Name
	n.lastLeaderContact = n.now
	n.afterReplacement = append(n.afterReplacement, func() {
		_ = n.voter.raftNode.Campaign() // the only voter wins immediately
		n.voter.processReady()
		n.emit(GenerationStarted, "generation %d of the log starts from plan %v", number, newest.Epoch)
	})
}

// promiseGeneration discards the voter's identity and log in favor of a new generation.
func (n *Node) promiseGeneration(number uint64) {
	n.resetVoter(number)
	n.emit(GenerationPromised, "generation %d of the log is promised; older ones are ignored", number)
}

// handleGeneration handles a request for a promise from the first configured voter, or a voter's promise.
func (n *Node) handleGeneration(from string, m *generationMessage) {
	switch {
	case !n.voterActive() || len(n.config.Voters) == 0:
	case m.Promise:
		n.handlePromise(from, m)
	case from == n.config.Voters[0]:
		n.handlePromiseRequest(from, m.Generation)
	}
}

func (n *Node) handlePromise(from string, m *generationMessage) {
	if m.Generation != n.generationStart.number || !slices.Contains(n.config.Voters, from) {
		return
	}
	plan := &Plan{}
	if m.Plan != nil && m.Plan.withinBounds() {
		plan = m.Plan
	}
	n.generationStart.promises[from] = plan
}

// handlePromiseRequest promises a generation if it is newer than any that this voter holds or has promised,
// and this voter holds no log or detects itself that no log can commit. The promise is sent once it is on
// stable storage.
func (n *Node) handlePromiseRequest(from string, number uint64) {
	if number < n.voterHeader.Promised || n.voterHeader.Generation >= number {
		return
	}
	sendPromise := func() {
		n.send(from, envelope{Generation: &generationMessage{Generation: number, Promise: true, Plan: &n.plan}})
	}
	if number == n.voterHeader.Promised && n.voterHeader.Generation == 0 {
		sendPromise() // the earlier message may have been lost
		return
	}
	if n.voterHeader.Generation != 0 {
		if _, lost := n.quorumLost(); !lost {
			return
		}
	}
	n.promiseGeneration(number)
	n.afterReplacement = append(n.afterReplacement, sendPromise)
}
