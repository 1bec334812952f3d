package fleet

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// voterActive tells whether this member has a voter whose state is not waiting to be replaced.
func (n *Node) voterActive() bool { return n.voter != nil && n.replacement == nil }

// resetVoter turns the voter into one that has never voted, under a new identity, and that ignores
// generations older than promised.
func (n *Node) resetVoter(promised uint64) {
	n.replaceVoter(&VoterState{Identity: n.rng.Uint64()>>1 | 1, Promised: promised})
}

// replaceVoter has the voter go on from a state, once that is stored.
func (n *Node) replaceVoter(s *VoterState) {
	v, err := newVoter(s, n.rng)
	if err != nil {
		panic("fleet: " + err.Error()) // only a stored state can be invalid, and this one was made here
	}
	n.voterHeader = s.withoutLog()
	n.voter = v
	n.replacement = s
	n.afterReplacement = nil
	n.commands.clear()
}

// PendingStorage returns what the owner must write to stable storage next; false: nothing. It stays the same
// until Persisted, unless the voter is restarted meanwhile: compare with StorageUpdate.Equal before reporting
// an asynchronous write.
func (n *Node) PendingStorage() (StorageUpdate, bool) {
	if n.replacement != nil {
		return StorageUpdate{Replacement: n.replacement}, true
	}
	if n.voter != nil && !n.voter.unpersisted.empty() && n.voter.pendingReady != nil {
		return n.voter.unpersisted, true
	}
	return StorageUpdate{}, false
}

// Persisted tells that what PendingStorage returns now is on stable storage. What depended on it is in
// TakeOutput afterwards.
func (n *Node) Persisted() {
	if n.replacement != nil {
		after := n.afterReplacement
		n.replacement, n.afterReplacement = nil, nil
		for _, f := range after {
			f()
		}
	} else if n.voter != nil {
		n.voter.persisted()
	}
	n.takeVoterOutput()
}

// handleRaft passes a message of the log to the voter, if it is for its present identity and generation.
func (n *Node) handleRaft(m *raftMessage) {
	if !n.voterActive() || m.To != n.voterHeader.Identity || m.Generation < n.voterHeader.Promised {
		return
	}
	if n.voterHeader.Generation == 0 { // a leader adds this voter: join its generation; the leader sends the message again
		n.replaceVoter(&VoterState{Identity: n.voterHeader.Identity, Generation: m.Generation, Promised: m.Generation})
		return
	}
	if m.Generation != n.voterHeader.Generation {
		return
	}
	var r raftpb.Message
	if proto.Unmarshal(m.Message, &r) != nil {
		n.dropped++
		return
	}
	n.voter.step(&r)
}

// takeVoterOutput takes over what the voter has produced: messages, the leader, the plan, and finished
// proposals. It is called after each step of the voter.
func (n *Node) takeVoterOutput() {
	if !n.voterActive() {
		return
	}
	v := n.voter
	n.sendRaftMessages()
	n.noteLeader()
	if v.generation != 0 {
		n.adoptPlan(v.plan, "")
	}
	committed := v.committed
	v.committed = nil
	for _, c := range committed {
		n.finishProposal(c)
	}
	if !v.leading {
		n.commands.proposal.id = ""
	}
}

func (n *Node) sendRaftMessages() {
	v := n.voter
	for _, m := range v.messages {
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		if name := n.memberWithIdentity(m.GetTo()); name != "" {
			n.send(name, envelope{Raft: &raftMessage{v.generation, m.GetTo(), b}})
		}
		if m.GetType() == raftpb.MsgSnap {
			v.raftNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // if it is lost, the follower's next answer says so
		}
	}
	v.messages = nil
}

// noteLeader records the leader of the log if it was heard since the last call. What raft remembers does not
// count: a voter that was removed starts no election, and remembers a leader that is long gone.
func (n *Node) noteLeader() {
	v := n.voter
	if n.Leads() {
		n.setLeader(n.config.Name)
	} else if v.heardLeader && v.leader != 0 && !v.leading {
		if name := n.memberWithIdentity(v.leader); name != "" {
			n.setLeader(name)
		}
	}
	v.heardLeader = false
}

// memberWithIdentity names the member that votes under an identity: by the voters' own statuses, else by the
// plan; empty: unknown.
func (n *Node) memberWithIdentity(identity uint64) string {
	for _, name := range n.config.Voters {
		if p := n.peers.byName[name]; p != nil && p.HasStatus && p.Status.Identity == identity {
			return name
		}
	}
	for name, id := range n.plan.voters() {
		if id == identity && name != n.config.Name {
			return name
		}
	}
	return ""
}
