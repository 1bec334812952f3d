package fleet

import (
	"fmt"
	"math/rand/v2"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Raft timeouts, in ticks of Config.Tick.
const (
	electionTicks  = 6 // minimum election timeout; the maximum is twice as long
	heartbeatTicks = 2 // interval between two heartbeats of the leader
)

// Bounds of raft's messages and log.
const (
	maxRaftMessageSize  = 64 << 10 // limit in bytes on the entries of one message
	maxInflightMessages = 64       // limit on unacknowledged messages to one follower
	maxUncommittedBytes = 1 << 20  // limit in bytes on the leader's uncommitted entries
	compactionReserve   = 256      // number of applied entries kept in the log for followers that lag

	// compactionHysteresis is the number of applied entries in the log from which it is compacted.
	compactionHysteresis = 2 * compactionReserve
)

// voter is one voter of a log. It runs raft's RawNode on in-memory storage, which the owner of the Node copies
// to stable storage.
//
// raft draws its randomized election timeouts from a source that can't be seeded. Therefore a follower's ticks
// never start an election (TickQuiesced). The voter starts elections itself, after a countdown drawn from rng.
type voter struct {
	identity        uint64
	generation      uint64
	raftNode        *raft.RawNode
	storage         *raft.MemoryStorage
	rng             *rand.Rand
	ticksToElection int // ticks until this voter starts an election, unless a leader contacts it

	// Applied state, which changes only with committed entries and snapshots.
	plan      Plan
	applied   uint64 // index of the last applied entry
	confState *raftpb.ConfState

	term            uint64 // persisted term
	vote            uint64 // persisted vote
	leader          uint64 // identity of the leader according to raft; 0 if none
	leaderContacted bool   // true if a leader of the current term has sent a message since the Node last checked
	leading         bool
	leaderReady     bool // true if this voter leads and has applied an entry of its term, and with it all earlier entries

	pendingReady *raft.Ready       // Ready that waits until unpersisted is on stable storage; nil if none
	unpersisted  StorageUpdate     // write that pendingReady requires, and snapshots stored along with it
	messages     []*raftpb.Message // messages that may be sent
	committed    []committedChange // applied changes that the Node has not taken yet
}

// committedChange is an applied entry that changed the plan or failed to.
type committedChange struct {
	change change
	err    error // reason why the plan is unchanged; nil if it changed
	epoch  Epoch // epoch of the plan after the entry
}

// newVoter returns a voter that continues from a stored state.
func newVoter(s *VoterState, rng *rand.Rand) (*voter, error) {
	v := &voter{
		identity:   s.Identity,
		generation: s.Generation,
		storage:    raft.NewMemoryStorage(),
		rng:        rng,
		confState:  &raftpb.ConfState{},
	}
	v.plan.Epoch = Epoch{Generation: s.Generation}
	if err := v.load(s); err != nil {
		return nil, err
	}
	var err error
	v.raftNode, err = raft.NewRawNode(&raft.Config{
		ID:                        s.Identity,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   v.storage,
		Applied:                   v.applied,
		MaxSizePerMsg:             maxRaftMessageSize,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true, // a leader without a quorum steps down; leases depend on it
		PreVote:                   true, // a voter behind a one-way link does not raise the term
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    discardLogger{},
	})
	if err != nil {
		return nil, err
	}
	v.resetElectionTimer()
	return v, nil
}

// load fills the in-memory storage from a stored state.
func (v *voter) load(s *VoterState) error {
	if s.Snapshot != nil {
		if err := v.storage.ApplySnapshot(s.Snapshot); err != nil {
			return err
		}
		if err := v.restoreSnapshot(s.Snapshot); err != nil {
			return err
		}
	}
	if s.HardState != nil {
		if err := v.storage.SetHardState(s.HardState); err != nil {
			return err
		}
		v.term = s.HardState.GetTerm()
		v.vote = s.HardState.GetVote()
	}
	return v.storage.Append(s.Entries)
}

// resetElectionTimer draws the next election timeout, between one and two times electionTicks.
func (v *voter) resetElectionTimer() { v.ticksToElection = electionTicks + v.rng.IntN(electionTicks) }

// tick advances the log's clock by one tick.
func (v *voter) tick() {
	if v.leading {
		v.raftNode.Tick()
		v.processReady()
		return
	}
	v.raftNode.TickQuiesced() // counts the time since the last contact with the leader, but starts no election
	if v.ticksToElection--; v.ticksToElection <= 0 {
		v.resetElectionTimer()
		_ = v.raftNode.Campaign() // fails if this voter may not campaign now
	}
	v.processReady()
}

// step handles a raft message from another voter.
func (v *voter) step(m *raftpb.Message) {
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= v.term {
			v.leaderContacted = true
			v.resetElectionTimer()
		}
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgUnreachable, raftpb.MsgSnapStatus,
		raftpb.MsgStorageAppend, raftpb.MsgStorageAppendResp, raftpb.MsgStorageApply, raftpb.MsgStorageApplyResp:
		return // raft's local messages; no correct voter sends them
	}
	_ = v.raftNode.Step(m) // a rejected message is ignored, like a lost one
	v.processReady()
}

// proposeChange proposes a change of the plan. It returns an error if this voter does not lead or too many bytes
// are uncommitted.
func (v *voter) proposeChange(c change) error {
	err := v.raftNode.Propose(encode(c))
	v.processReady()
	return err
}

// proposeVoters proposes to remove and add voters in one joint change. Its errors are raft's.
func (v *voter) proposeVoters(remove, add []uint64) error {
	c := &raftpb.ConfChangeV2{}
	for _, id := range remove {
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{
			Type:   raftpb.ConfChangeRemoveNode.Enum(),
			NodeId: proto.Uint64(id),
		})
	}
	for _, id := range add {
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{
			Type:   raftpb.ConfChangeAddNode.Enum(),
			NodeId: proto.Uint64(id),
		})
	}
	err := v.raftNode.ProposeConfChange(c)
	v.processReady()
	return err
}

// discardLogger discards raft's log lines, because a Node reports what matters to operators as Events. It panics on
// fatal ones.
type discardLogger struct{}

func (discardLogger) Debug(...any)              {}
func (discardLogger) Debugf(string, ...any)     {}
func (discardLogger) Error(...any)              {}
func (discardLogger) Errorf(string, ...any)     {}
func (discardLogger) Info(...any)               {}
func (discardLogger) Infof(string, ...any)      {}
func (discardLogger) Warning(...any)            {}
func (discardLogger) Warningf(string, ...any)   {}
func (discardLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
