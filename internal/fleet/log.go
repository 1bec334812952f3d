package fleet

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// voterActive returns true if this member is a voter and no replacement of its state is waiting to be stored.
func (n *Node) voterActive() bool { return n.voter != nil && n.replacement == nil }

// resetVoter replaces the voter by one without a log, under a new identity, that ignores generations older
// than promisedGeneration.
func (n *Node) resetVoter(promisedGeneration uint64) {
	n.replaceVoter(&VoterState{Identity: n.rng.Uint64()>>1 | 1, Promised: promisedGeneration})
}

// replaceVoter restarts the voter from a state. The voter stays inactive until that state is on stable storage.
func (n *Node) replaceVoter(s *VoterState) {
	v, err := newVoter(s, n.rng)
	if err != nil {
		panic("fleet: " + err.Error()) // unreachable: only a state read from storage can be invalid, and this one was built here
	}
	n.voterHeader = s.withoutLog()
	n.voter = v
	n.replacement = s
	n.afterReplacement = nil
	n.commands.clear()
}

// PendingStorage returns the update that the owner must write to stable storage next. It returns false if
// there is nothing to write. The update stays the same until Persisted is called, unless the voter is restarted
// in the meantime: compare with StorageUpdate.Equal before reporting an asynchronous write.
func (n *Node) PendingStorage() (StorageUpdate, bool) {
	if n.replacement != nil {
		return StorageUpdate{Replacement: n.replacement}, true
	}
	if n.voter != nil && !n.voter.unpersisted.empty() && n.voter.pendingReady != nil {
		return n.voter.unpersisted, true
	}
	return StorageUpdate{}, false
}

// Persisted reports that the update that PendingStorage currently returns is on stable storage. Messages and
// events that depended on it are in the next result of TakeOutput.
func (n *Node) Persisted() {
	if n.replacement != nil {
		callbacks := n.afterReplacement
		n.replacement, n.afterReplacement = nil, nil
		for _, f := range callbacks {
			f()
		}
	} else if n.voter != nil {
		n.voter.persisted()
	}
	n.takeVoterOutput()
}

// handleRaft passes a raft message to the voter if it is addressed to its current identity and generation.
func (n *Node) handleRaft(m *raftMessage) {
	if !n.voterActive() || m.To != n.voterHeader.Identity || m.Generation < n.voterHeader.Promised {
		return
	}
	if n.voterHeader.Generation == 0 { // a leader adds this voter: join its generation; the leader resends the message
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

// takeVoterOutput collects the voter's output: messages, the leader, the plan and finished proposals. It is
// called after each step of the voter.
func (n *Node) takeVoterOutput() {
	if !n.voterActive() {
		return
	}
	v := n.voter
	n.sendRaftMessages()
	n.updateLeader()
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
			v.raftNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // if the snapshot is lost, the follower's next response shows it
		}
	}
	v.messages = nil
}

// updateLeader records the leader of the log if that leader has sent a message since the last call. The leader
// that raft remembers is no evidence: a removed voter starts no election and may remember a leader that exited
// long ago.
func (n *Node) updateLeader() {
	v := n.voter
	if n.Leads() {
		n.setLeader(n.config.Name)
	} else if v.leaderContacted && v.leader != 0 && !v.leading {
		if name := n.memberWithIdentity(v.leader); name != "" {
			n.setLeader(name)
		}
	}
	v.leaderContacted = false
}

// memberWithIdentity returns the name of the member that votes under an identity, according to the voters'
// statuses or else to the plan. It returns an empty name if the identity is unknown.
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
