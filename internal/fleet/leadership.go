package fleet

import (
	"time"

	"go.etcd.io/raft/v3"
)

// Leads returns true if this member leads the voters and has applied everything that was committed before its
// term.
//
// It reads raft's current state, because the state in raft's last Ready does not change while a disk write is
// in progress.
func (n *Node) Leads() bool {
	return !n.fenced && n.voterActive() && n.voter.leaderReady &&
		n.voter.raftNode.BasicStatus().RaftState == raft.StateLeader
}

// LeaderTerm returns the term in which this member leads, which differs for each election, or 0 if it does not
// lead.
func (n *Node) LeaderTerm() uint64 {
	if !n.Leads() {
		return 0
	}
	return n.voter.term
}

// Leader returns the member that this one considers the leader, and the time since the last contact with it.
// The name is empty if no leader has been known yet.
func (n *Node) Leader() (name string, sinceContact time.Duration) {
	return n.leader, n.now - n.lastLeaderContact
}

// setLeader records that a member is the leader at the current time.
func (n *Node) setLeader(name string) {
	n.lastLeaderContact = n.now
	if n.leader != name {
		n.leader = name
		n.emit(LeaderChanged, "%s leads", name)
	}
}
