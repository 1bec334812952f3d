package fleet

import (
	"time"

	"go.etcd.io/raft/v3"
)

// Leads tells whether this member leads the voters and has applied all that was committed before its term.
//
// It asks raft for its current state: what raft last handed out in a Ready does not change while a disk write
// is under way.
func (n *Node) Leads() bool {
	return !n.fenced && n.voterActive() && n.voter.leaderReady &&
		n.voter.raftNode.BasicStatus().RaftState == raft.StateLeader
}

// LeaderTerm is the term in which this member leads, different each time it is elected; 0 if it does not lead.
func (n *Node) LeaderTerm() uint64 {
	if !n.Leads() {
		return 0
	}
	return n.voter.term
}

// Leader is the member that this one takes for the leader, and the time since it was last heard of; empty if
// there never was one.
func (n *Node) Leader() (name string, ago time.Duration) { return n.leader, n.now - n.leaderHeardAt }

// setLeader records that a member leads as of now.
func (n *Node) setLeader(name string) {
	n.leaderHeardAt = n.now
	if n.leader != name {
		n.leader = name
		n.emit(LeaderChanged, "%s leads", name)
	}
}
