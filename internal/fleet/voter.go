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
	electionTicks  = 6
	heartbeatTicks = 2
	keepEntries    = 256 // behind which the log is compacted
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
	identity, founding uint64
	rn                 *raft.RawNode
	store              *raft.MemoryStorage
	rng                *rand.Rand
	plan               Plan // applied
	applied            uint64
	conf               *raftpb.ConfState
	patience           int // ticks until it calls an election
	term, vote         uint64
	lead               uint64
	heard              bool // the leader, since that was asked last
	leading            bool
	ready              bool // it leads, and has applied an entry of its own term: all that was committed before

	pending   *raft.Ready   // waits for what it needs to be kept
	persist   StorageUpdate // what that is
	sends     []*raftpb.Message
	committed []settled
}

// settled is one entry that was applied.
type settled struct {
	change change
	err    error
	epoch  Epoch
}

// quiet keeps raft's own lines out of the log: what matters is said by whoever owns the node.
type quiet struct{}

func (quiet) Debug(...any)              {}
func (quiet) Debugf(string, ...any)     {}
func (quiet) Error(...any)              {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Info(...any)               {}
func (quiet) Infof(string, ...any)      {}
func (quiet) Warning(...any)            {}
func (quiet) Warningf(string, ...any)   {}
func (quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// founded is the state of a log that begins with one voter and a plan.
func founded(identity, founding uint64, p Plan) *VoterState {
	return &VoterState{Identity: identity, Generation: founding, Promised: founding,
		HardState: &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)},
		Snapshot: &raftpb.Snapshot{Data: encode(p), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
			ConfState: &raftpb.ConfState{Voters: []uint64{identity}}}}}
}

// newVoter goes on from what was saved.
func newVoter(s *VoterState, rng *rand.Rand) (*voter, error) {
	v := &voter{identity: s.Identity, founding: s.Generation, store: raft.NewMemoryStorage(), rng: rng, conf: &raftpb.ConfState{}}
	v.plan.Epoch = Epoch{Generation: s.Generation}
	if s.Snapshot != nil {
		if err := v.store.ApplySnapshot(s.Snapshot); err != nil {
			return nil, err
		}
		if err := v.restore(s.Snapshot); err != nil {
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
	v.rn, err = raft.NewRawNode(&raft.Config{ID: s.Identity, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: v.store, Applied: v.applied, MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{}})
	if err != nil {
		return nil, err
	}
	v.wait()
	return v, nil
}

func (v *voter) restore(s *raftpb.Snapshot) error {
	var p Plan
	if err := cbor.Unmarshal(s.GetData(), &p); err != nil {
		return fmt.Errorf("fleet: the plan in a snapshot: %w", err)
	}
	v.plan, v.applied, v.conf = p, s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// wait puts its next election off.
func (v *voter) wait() { v.patience = electionTicks + v.rng.IntN(electionTicks) }

// tick is one tick of the log's clock.
func (v *voter) tick() {
	if v.leading {
		v.rn.Tick()
		v.pump()
		return
	}
	v.rn.TickQuiesced() // it counts the time since it heard the leader, and calls no election
	if v.patience--; v.patience <= 0 {
		v.wait()
		_ = v.rn.Campaign()
	}
	v.pump()
}

// step hears a message of another voter.
func (v *voter) step(m *raftpb.Message) {
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= v.term {
			v.heard = true
			v.wait()
		}
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgUnreachable, raftpb.MsgSnapStatus,
		raftpb.MsgStorageAppend, raftpb.MsgStorageAppendResp, raftpb.MsgStorageApply, raftpb.MsgStorageApplyResp:
		return // what a voter says to itself alone
	}
	_ = v.rn.Step(m)
	v.pump()
}

// propose asks for a change; only the leader's is taken.
func (v *voter) propose(c change) error {
	err := v.rn.Propose(encode(c))
	v.pump()
	return err
}

// reshape takes voters in and out.
func (v *voter) reshape(out, in []uint64) error {
	c := &raftpb.ConfChangeV2{}
	for _, id := range out {
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)})
	}
	for _, id := range in {
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(id)})
	}
	err := v.rn.ProposeConfChange(c)
	v.pump()
	return err
}

// pump takes what raft has ready; what has to be kept first waits for kept.
func (v *voter) pump() {
	for v.pending == nil && v.rn.HasReady() {
		rd := v.rn.Ready()
		v.pending = &rd
		if rd.SoftState != nil {
			v.lead, v.leading = rd.SoftState.Lead, rd.SoftState.RaftState == raft.StateLeader
			v.ready = v.ready && v.leading
		}
		v.persist.HardState, v.persist.Entries = rd.HardState, rd.Entries
		if !raft.IsEmptySnap(rd.Snapshot) {
			v.persist.Snapshot = rd.Snapshot
		}
		if v.persist.empty() {
			v.kept()
		}
	}
}

// kept tells that what was to be persisted is: what follows from it may be said and done.
func (v *voter) kept() {
	rd := v.pending
	if rd == nil {
		return
	}
	v.persist = StorageUpdate{}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.store.ApplySnapshot(rd.Snapshot); err == nil {
			if err := v.restore(rd.Snapshot); err != nil {
				panic(err.Error()) // the leader committed it
			}
		}
	}
	if rd.HardState != nil {
		_ = v.store.SetHardState(rd.HardState)
		if vote := rd.HardState.GetVote(); vote != v.vote && vote != 0 {
			v.wait() // it has given its vote, and waits for what becomes of it
		}
		v.term, v.vote = rd.HardState.GetTerm(), rd.HardState.GetVote()
	}
	if err := v.store.Append(rd.Entries); err != nil {
		panic("fleet: " + err.Error()) // raft hands them over in their order
	}
	v.sends = append(v.sends, rd.Messages...)
	for _, e := range rd.CommittedEntries {
		v.apply(e)
	}
	v.pending = nil
	v.rn.Advance(*rd)
	v.compact()
	v.pump()
}

func (v *voter) apply(e *raftpb.Entry) {
	v.applied = e.GetIndex()
	v.ready = v.leading && e.GetTerm() == v.term
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		var c raftpb.ConfChangeV2
		v.reshaped(&c, proto.Unmarshal(e.Data, &c))
	case raftpb.EntryConfChange:
		var c raftpb.ConfChange
		v.reshaped(&c, proto.Unmarshal(e.Data, &c))
	default:
		var c change
		if len(e.Data) == 0 || cbor.Unmarshal(e.Data, &c) != nil {
			return // a leader's first entry; a change is the leader's own, and can be read
		}
		next, err := v.plan.with(c, Epoch{v.founding, e.GetIndex()})
		v.plan = next
		v.committed = append(v.committed, settled{c, err, next.Epoch})
	}
}

// reshaped applies a change of the voters, unless it could not be read.
func (v *voter) reshaped(c raftpb.ConfChangeI, err error) {
	if err == nil {
		v.conf = v.rn.ApplyConfChange(c)
		v.snapshot()
	}
}

// snapshot has what a voter that is far behind gets be of now. A new voter takes none that does not name it, so each change
// of the voters makes one.
func (v *voter) snapshot() {
	if s, err := v.store.CreateSnapshot(v.applied, v.conf, encode(v.plan)); err == nil {
		v.persist.Snapshot = s // with the next that is kept; until then the disk has the entries
	}
}

// compact drops entries that are long applied.
func (v *voter) compact() {
	first, err := v.store.FirstIndex()
	if err != nil || v.applied < first+2*keepEntries {
		return
	}
	v.snapshot()
	_ = v.store.Compact(v.applied - keepEntries)
}
