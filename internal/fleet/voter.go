package fleet

import (
	"fmt"
	"math/rand/v2"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The log's clock, in ticks of Config.Tick.
const (
	electionTicks  = 6 // minimum election timeout; the maximum is twice that
	heartbeatTicks = 2
)

// Bounds of raft's messages and log.
const (
	maxRaftMessageSize   = 64 << 10 // bytes of entries in one message
	maxInflightMessages  = 64       // to one follower
	maxUncommittedBytes  = 1 << 20
	compactionReserve    = 256 // entries kept behind the applied one, for followers that lag
	compactionHysteresis = 2 * compactionReserve
)

// voter is one voter of a log: raft's RawNode over storage in memory, which the owner of the Node copies to
// stable storage.
//
// raft draws its randomized election timeouts from a source that can't be seeded. So a follower ticks without
// firing (TickQuiesced), and the voter starts elections itself, by a countdown drawn from rng.
type voter struct {
	identity        uint64
	generation      uint64
	raftNode        *raft.RawNode
	store           *raft.MemoryStorage
	rng             *rand.Rand
	ticksToElection int

	// Applied state: it changes with committed entries and snapshots only.
	plan      Plan
	applied   uint64 // index
	confState *raftpb.ConfState

	term        uint64 // persisted
	vote        uint64 // persisted
	leader      uint64 // identity, by raft; 0: none
	heardLeader bool   // a leader's message of the present term came since the Node last asked
	leading     bool
	leaderReady bool // leading, and an entry of the present term is applied: with it all that was committed before

	pendingReady *raft.Ready   // waits until unpersisted is on stable storage
	unpersisted  StorageUpdate // what pendingReady needs there, and snapshots that may go along
	messages     []*raftpb.Message
	committed    []committedChange
}

// committedChange is an applied entry that changes the plan, or failed to.
type committedChange struct {
	change change
	err    error
	epoch  Epoch // of the plan after it
}

// newVoter returns a voter that goes on from a stored state.
func newVoter(s *VoterState, rng *rand.Rand) (*voter, error) {
	v := &voter{
		identity:   s.Identity,
		generation: s.Generation,
		store:      raft.NewMemoryStorage(),
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
		Storage:                   v.store,
		Applied:                   v.applied,
		MaxSizePerMsg:             maxRaftMessageSize,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true, // a leader without a quorum steps down; leases depend on it
		PreVote:                   true, // a voter behind a one-way link raises no terms
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

// load fills the storage in memory from a stored state.
func (v *voter) load(s *VoterState) error {
	if s.Snapshot != nil {
		if err := v.store.ApplySnapshot(s.Snapshot); err != nil {
			return err
		}
		if err := v.restoreSnapshot(s.Snapshot); err != nil {
			return err
		}
	}
	if s.HardState != nil {
		if err := v.store.SetHardState(s.HardState); err != nil {
			return err
		}
		v.term = s.HardState.GetTerm()
		v.vote = s.HardState.GetVote()
	}
	return v.store.Append(s.Entries)
}

// resetElectionTimer draws the next election timeout, between one and two times electionTicks.
func (v *voter) resetElectionTimer() { v.ticksToElection = electionTicks + v.rng.IntN(electionTicks) }

// tick is one tick of the log's clock.
func (v *voter) tick() {
	if v.leading {
		v.raftNode.Tick()
		v.processReady()
		return
	}
	v.raftNode.TickQuiesced() // counts the time since the leader was heard, and starts no election
	if v.ticksToElection--; v.ticksToElection <= 0 {
		v.resetElectionTimer()
		_ = v.raftNode.Campaign() // an error: it may not vote now
	}
	v.processReady()
}

// step handles a message of another voter.
func (v *voter) step(m *raftpb.Message) {
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= v.term {
			v.heardLeader = true
			v.resetElectionTimer()
		}
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgUnreachable, raftpb.MsgSnapStatus,
		raftpb.MsgStorageAppend, raftpb.MsgStorageAppendResp, raftpb.MsgStorageApply, raftpb.MsgStorageApplyResp:
		return // local messages of raft; no honest voter sends them
	}
	_ = v.raftNode.Step(m) // what raft rejects is ignored like a lost message
	v.processReady()
}

// proposeChange proposes a change of the plan; an error: this voter does not lead, or too much is uncommitted.
func (v *voter) proposeChange(c change) error {
	err := v.raftNode.Propose(encode(c))
	v.processReady()
	return err
}

// proposeVoters proposes to remove and add voters in one joint change.
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

// discardLogger drops raft's log lines: what matters to operators is an Event.
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
