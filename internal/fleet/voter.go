package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The log's clock, in ticks.
const (
	electionTicks     = 6
	heartbeatTicks    = 2
	compactionReserve = 256 // behind which the log is compacted
)

// VoterState is what a voter needs after a restart; what a folder holds. All of it belongs to one identity and one founding.
type VoterState struct {
	Identity   uint64
	Generation uint64 // 0: blank
	Promised   uint64 // no older founding is heard
	HardState  *raftpb.HardState
	Snapshot   *raftpb.Snapshot // nil: none
	Entries    []*raftpb.Entry  // behind the snapshot
}

// StorageUpdate is what has to be on the disk before anything that follows from it is said.
type StorageUpdate struct {
	Replacement *VoterState // if not nil, it replaces all that was kept
	HardState   *raftpb.HardState
	Snapshot    *raftpb.Snapshot // replaces all entries up to it
	Entries     []*raftpb.Entry  // replace those of the same index and behind
}

// Equal reports whether both are what Persist gave for one state, and not for two.
func (p StorageUpdate) Equal(o StorageUpdate) bool {
	return p.Replacement == o.Replacement && p.HardState == o.HardState && p.Snapshot == o.Snapshot && slices.Equal(p.Entries, o.Entries)
}

func (p *StorageUpdate) empty() bool {
	return p.Replacement == nil && p.HardState == nil && p.Snapshot == nil && len(p.Entries) == 0
}

// voter is one voter's part of a log: raft's own code between a store in memory and a store on a disk, with elections of
// its own, as raft draws its time-outs from a source that nobody can seed.
type voter struct {
	identity, generation uint64
	raftNode             *raft.RawNode
	store                *raft.MemoryStorage
	rng                  *rand.Rand
	plan                 Plan // applied
	applied              uint64
	confState            *raftpb.ConfState
	ticksToElection      int // ticks until it calls an election
	term, vote           uint64
	leader               uint64
	heardLeader          bool // the leader, since that was asked last
	leading              bool
	leaderReady          bool // it leads, and has applied an entry of its own term: all that was committed before

	pendingReady *raft.Ready   // waits for what it needs to be kept
	unpersisted  StorageUpdate // what that is
	messages     []*raftpb.Message
	committed    []committedChange
}

// committedChange is one entry that was applied.
type committedChange struct {
	change change
	err    error
	epoch  Epoch
}

// discardLogger keeps raft's own lines out of the log: what matters is said by whoever owns the node.
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

// newGenerationState is the state of a log that begins with one voter and a plan.
func newGenerationState(identity, founding uint64, p Plan) *VoterState {
	return &VoterState{Identity: identity, Generation: founding, Promised: founding,
		HardState: &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)},
		Snapshot: &raftpb.Snapshot{Data: encode(p), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
			ConfState: &raftpb.ConfState{Voters: []uint64{identity}}}}}
}

// newVoter goes on from what was saved.
func newVoter(s *VoterState, rng *rand.Rand) (*voter, error) {
	v := &voter{identity: s.Identity, generation: s.Generation, store: raft.NewMemoryStorage(), rng: rng, confState: &raftpb.ConfState{}}
	v.plan.Epoch = Epoch{Generation: s.Generation}
	if s.Snapshot != nil {
		if err := v.store.ApplySnapshot(s.Snapshot); err != nil {
			return nil, err
		}
		if err := v.restoreSnapshot(s.Snapshot); err != nil {
			return nil, err
		}
	}
	if s.HardState != nil {
		if err := v.store.SetHardState(s.HardState); err != nil {
			return nil, err
		}
		v.term, v.vote = s.HardState.GetTerm(), s.HardState.GetVote()
	}
	if err := v.store.Append(s.Entries); err != nil {
		return nil, err
	}
	var err error
	v.raftNode, err = raft.NewRawNode(&raft.Config{ID: s.Identity, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: v.store, Applied: v.applied, MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: discardLogger{}})
	if err != nil {
		return nil, err
	}
	v.resetElectionTimer()
	return v, nil
}

func (v *voter) restoreSnapshot(s *raftpb.Snapshot) error {
	var p Plan
	if err := cbor.Unmarshal(s.GetData(), &p); err != nil {
		return fmt.Errorf("fleet: the plan in a snapshot: %w", err)
	}
	v.plan, v.applied, v.confState = p, s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// resetElectionTimer puts its next election off.
func (v *voter) resetElectionTimer() { v.ticksToElection = electionTicks + v.rng.IntN(electionTicks) }

// tick is one tick of the log's clock.
func (v *voter) tick() {
	if v.leading {
		v.raftNode.Tick()
		v.processReady()
		return
	}
	v.raftNode.TickQuiesced() // it counts the time since it heard the leader, and calls no election
	if v.ticksToElection--; v.ticksToElection <= 0 {
		v.resetElectionTimer()
		_ = v.raftNode.Campaign()
	}
	v.processReady()
}

// step hears a message of another voter.
func (v *voter) step(m *raftpb.Message) {
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= v.term {
			v.heardLeader = true
			v.resetElectionTimer()
		}
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgUnreachable, raftpb.MsgSnapStatus,
		raftpb.MsgStorageAppend, raftpb.MsgStorageAppendResp, raftpb.MsgStorageApply, raftpb.MsgStorageApplyResp:
		return // what a voter says to itself alone
	}
	_ = v.raftNode.Step(m)
	v.processReady()
}

// proposeChange asks for a change; only the leader's is taken.
func (v *voter) proposeChange(c change) error {
	err := v.raftNode.Propose(encode(c))
	v.processReady()
	return err
}

// proposeVoters takes voters in and out.
func (v *voter) proposeVoters(out, in []uint64) error {
	c := &raftpb.ConfChangeV2{}
	for _, id := range out {
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)})
	}
	for _, id := range in {
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(id)})
	}
	err := v.raftNode.ProposeConfChange(c)
	v.processReady()
	return err
}

// processReady takes what raft has ready; what has to be kept first waits for kept.
func (v *voter) processReady() {
	for v.pendingReady == nil && v.raftNode.HasReady() {
		rd := v.raftNode.Ready()
		v.pendingReady = &rd
		if rd.SoftState != nil {
			v.leader, v.leading = rd.SoftState.Lead, rd.SoftState.RaftState == raft.StateLeader
			v.leaderReady = v.leaderReady && v.leading
		}
		v.unpersisted.HardState, v.unpersisted.Entries = rd.HardState, rd.Entries
		if !raft.IsEmptySnap(rd.Snapshot) {
			v.unpersisted.Snapshot = rd.Snapshot
		}
		if v.unpersisted.empty() {
			v.persisted()
		}
	}
}

// persisted tells that what was to be persisted is: what follows from it may be said and done.
func (v *voter) persisted() {
	rd := v.pendingReady
	if rd == nil {
		return
	}
	v.unpersisted = StorageUpdate{}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.store.ApplySnapshot(rd.Snapshot); err == nil {
			if err := v.restoreSnapshot(rd.Snapshot); err != nil {
				panic(err.Error()) // the leader committed it
			}
		}
	}
	if rd.HardState != nil {
		_ = v.store.SetHardState(rd.HardState)
		if vote := rd.HardState.GetVote(); vote != v.vote && vote != 0 {
			v.resetElectionTimer() // it has given its vote, and waits for what becomes of it
		}
		v.term, v.vote = rd.HardState.GetTerm(), rd.HardState.GetVote()
	}
	if err := v.store.Append(rd.Entries); err != nil {
		panic("fleet: " + err.Error()) // raft hands them over in their order
	}
	v.messages = append(v.messages, rd.Messages...)
	for _, e := range rd.CommittedEntries {
		v.apply(e)
	}
	v.pendingReady = nil
	v.raftNode.Advance(*rd)
	v.compact()
	v.processReady()
}

func (v *voter) apply(e *raftpb.Entry) {
	v.applied = e.GetIndex()
	v.leaderReady = v.leading && e.GetTerm() == v.term
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		var c raftpb.ConfChangeV2
		v.applyConfChange(&c, proto.Unmarshal(e.Data, &c))
	case raftpb.EntryConfChange:
		var c raftpb.ConfChange
		v.applyConfChange(&c, proto.Unmarshal(e.Data, &c))
	default:
		var c change
		if len(e.Data) == 0 || cbor.Unmarshal(e.Data, &c) != nil {
			return // a leader's first entry; a change is the leader's own, and can be read
		}
		next, err := v.plan.apply(c, Epoch{v.generation, e.GetIndex()})
		v.plan = next
		v.committed = append(v.committed, committedChange{c, err, next.Epoch})
	}
}

// applyConfChange applies a change of the voters, unless it could not be read.
func (v *voter) applyConfChange(c raftpb.ConfChangeI, err error) {
	if err == nil {
		v.confState = v.raftNode.ApplyConfChange(c)
		v.createSnapshot()
	}
}

// createSnapshot has what a voter that is far behind gets be of now. A new voter takes none that does not name it, so each change
// of the voters makes one.
func (v *voter) createSnapshot() {
	if s, err := v.store.CreateSnapshot(v.applied, v.confState, encode(v.plan)); err == nil {
		v.unpersisted.Snapshot = s // with the next that is kept; until then the disk has the entries
	}
}

// compact drops entries that are long applied.
func (v *voter) compact() {
	first, err := v.store.FirstIndex()
	if err != nil || v.applied < first+2*compactionReserve {
		return
	}
	v.createSnapshot()
	_ = v.store.Compact(v.applied - compactionReserve)
}
