package fleet

import (
	"maps"
	"slices"
	"time"
)

// A generation is one incarnation of the replicated log. If a quorum of its voters lost their storage,
// nothing can be committed in it any more, and the first configured voter starts a new one, in two phases as
// in Paxos:
//
//  1. prepare: every configured voter promises the new generation's number. By its promise it gives up its
//     identity, so that the old log can't regain a quorum, and ignores older generations. So no two
//     generations ever commit side by side.
//  2. start: the new log begins with the newest plan that any of them knows, with the first voter alone; the
//     others are added one by one (reconfigureVoters).
//
// Promises of all configured voters are needed, not of a majority: one that is missing may know a newer plan.

const (
	statusFreshFor    = 1500 * time.Millisecond // an older status proves nothing about its voter now
	leaderLossTimeout = 2 * time.Second         // without a leader, before a log may be given up
	generationTimeout = 3 * time.Second         // to collect all promises, before a new number is tried
)

// generationStart is the first voter's attempt to start a generation.
type generationStart struct {
	number   uint64           // 0: none is under way
	since    time.Duration    // when the number was chosen
	promises map[string]*Plan // by voter: the newest plan that it knows
}

// recentVoterStatus returns the status of a configured voter; false unless it is recent.
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

// recentVoterStatuses returns the statuses of all configured voters; false unless all are recent.
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

// quorumLost tells whether no log can commit any more, by recent statuses of all configured voters: there was
// no leader for leaderLossTimeout, and in no log that any of them holds do a majority of its voters (of both
// sets during a change) still have the identities under which they vote there. newest is the newest
// generation that any of them holds or promised.
func (n *Node) quorumLost() (newest uint64, lost bool) {
	statuses, ok := n.recentVoterStatuses()
	if !ok {
		return 0, false
	}
	newest = n.plan.Epoch.Generation
	present := map[uint64]bool{} // identities
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
	if logExists && n.leader != "" && n.now-n.leaderHeardAt < leaderLossTimeout {
		return 0, false
	}
	return newest, true
}

// majorityPresent tells whether more than half of the voters are present; true if there are none.
func majorityPresent(voters []uint64, present map[uint64]bool) bool {
	count := 0
	for _, id := range voters {
		if present[id] {
			count++
		}
	}
	return len(voters) == 0 || count > len(voters)/2
}

// startGeneration has the first voter start a generation where no log can commit.
func (n *Node) startGeneration() {
	if !n.voterActive() || n.fenced || n.config.Voters[0] != n.config.Name {
		return
	}
	start := &n.generationStart
	if start.number != 0 && n.now-start.since > generationTimeout {
		start.number = 0
	}
	if start.number == 0 {
		newest, lost := n.quorumLost()
		if !lost {
			return
		}
		// Where every voter lost its storage, the clock alone tells two generations apart; hence Unix
		// milliseconds.
		start.number = max(newest+1, uint64(max(0, n.unixMS)))
		start.since = n.now
		clear(start.promises)
		n.promiseGeneration(start.number)
	}
	if n.requestPromises() {
		n.completeGeneration()
	}
}

// requestPromises asks the voters whose promise is missing; true: none is.
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

// completeGeneration starts the log with this voter alone, on the newest plan known to those that promised.
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
	n.leaderHeardAt = n.now
	n.afterReplacement = append(n.afterReplacement, func() {
		_ = n.voter.raftNode.Campaign() // the only voter wins at once
		n.voter.processReady()
		n.emit(GenerationStarted, "generation %d of the log starts from plan %v", number, newest.Epoch)
	})
}

// promiseGeneration gives up the voter's identity and log in favor of a generation.
func (n *Node) promiseGeneration(number uint64) {
	n.resetVoter(number)
	n.emit(GenerationPromised, "generation %d of the log is promised; older ones are ignored", number)
}

// handleGeneration handles the first voter's request for a promise, or another voter's promise.
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

// handlePromiseRequest promises a generation if it is newer than any held or promised, and this voter holds
// no log or sees for itself that none can commit. The promise is sent once it is stored.
func (n *Node) handlePromiseRequest(from string, number uint64) {
	if number < n.voterHeader.Promised || n.voterHeader.Generation >= number {
		return
	}
	promise := func() {
		n.send(from, envelope{Generation: &generationMessage{Generation: number, Promise: true, Plan: &n.plan}})
	}
	if number == n.voterHeader.Promised && n.voterHeader.Generation == 0 {
		promise() // again, as the first one may have been lost
		return
	}
	if n.voterHeader.Generation != 0 {
		if _, lost := n.quorumLost(); !lost {
			return
		}
	}
	n.promiseGeneration(number)
	n.afterReplacement = append(n.afterReplacement, promise)
}
