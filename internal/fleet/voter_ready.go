package fleet

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// processReady takes what raft has ready. At most one Ready is pending: if it needs stable storage, its
// messages and committed entries wait in pendingReady until persisted is called, and raft goes on collecting
// meanwhile.
func (v *voter) processReady() {
	for v.pendingReady == nil && v.raftNode.HasReady() {
		rd := v.raftNode.Ready()
		v.pendingReady = &rd
		if rd.SoftState != nil {
			v.leader = rd.SoftState.Lead
			v.leading = rd.SoftState.RaftState == raft.StateLeader
			v.leaderReady = v.leaderReady && v.leading
		}
		v.unpersisted.HardState = rd.HardState
		v.unpersisted.Entries = rd.Entries
		if !raft.IsEmptySnap(rd.Snapshot) {
			v.unpersisted.Snapshot = rd.Snapshot
		}
		if v.unpersisted.empty() {
			v.persisted()
		}
	}
}

// persisted completes the pending Ready once unpersisted is on stable storage: only now may its messages be
// sent.
func (v *voter) persisted() {
	rd := v.pendingReady
	if rd == nil {
		return
	}
	v.unpersisted = StorageUpdate{}
	v.storeReady(rd)
	v.messages = append(v.messages, rd.Messages...)
	for _, e := range rd.CommittedEntries {
		v.apply(e)
	}
	v.pendingReady = nil
	v.raftNode.Advance(*rd)
	v.compact()
	v.processReady()
}

// storeReady brings the storage in memory up to date with stable storage. Its failures break raft's own
// contract.
func (v *voter) storeReady(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.store.ApplySnapshot(rd.Snapshot); err == nil { // an error: it is older than what is stored
			if err := v.restoreSnapshot(rd.Snapshot); err != nil {
				panic(err.Error()) // a quorum committed it
			}
		}
	}
	if rd.HardState != nil {
		_ = v.store.SetHardState(rd.HardState) // it never fails
		if vote := rd.HardState.GetVote(); vote != v.vote && vote != 0 {
			v.resetElectionTimer() // leave the candidate that has this vote its time
		}
		v.term = rd.HardState.GetTerm()
		v.vote = rd.HardState.GetVote()
	}
	if err := v.store.Append(rd.Entries); err != nil {
		panic("fleet: " + err.Error()) // raft hands entries over in order
	}
}

// apply applies a committed entry.
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
		v.applyChange(e)
	}
}

// applyChange applies a change of the plan. Every voter comes to the same plan, so what can't be read is
// skipped by all.
func (v *voter) applyChange(e *raftpb.Entry) {
	var c change
	if len(e.Data) == 0 || cbor.Unmarshal(e.Data, &c) != nil {
		return // the empty entry of a new term
	}
	next, err := v.plan.apply(c, Epoch{v.generation, e.GetIndex()})
	v.plan = next
	v.committed = append(v.committed, committedChange{c, err, next.Epoch})
}

// applyConfChange applies a change of the voters; err is of reading it. A new voter accepts no snapshot whose
// voters lack it, so each change makes a snapshot.
func (v *voter) applyConfChange(c raftpb.ConfChangeI, err error) {
	if err == nil {
		v.confState = v.raftNode.ApplyConfChange(c)
		v.createSnapshot()
	}
}

// restoreSnapshot sets the applied state to that of a snapshot.
func (v *voter) restoreSnapshot(s *raftpb.Snapshot) error {
	var p Plan
	if err := cbor.Unmarshal(s.GetData(), &p); err != nil {
		return fmt.Errorf("fleet: the plan in a snapshot: %w", err)
	}
	v.plan = p
	v.applied = s.GetMetadata().GetIndex()
	v.confState = s.GetMetadata().GetConfState()
	return nil
}

// createSnapshot makes the applied state the snapshot that followers far behind receive. It is stored with
// the next write that the log needs; until then stable storage has the entries instead.
func (v *voter) createSnapshot() {
	if s, err := v.store.CreateSnapshot(v.applied, v.confState, encode(v.plan)); err == nil { // an error: there is one already
		v.unpersisted.Snapshot = s
	}
}

// compact drops entries long applied, compactionReserve of them at a time.
func (v *voter) compact() {
	first, err := v.store.FirstIndex()
	if err != nil || v.applied < first+compactionHysteresis {
		return
	}
	v.createSnapshot()
	_ = v.store.Compact(v.applied - compactionReserve)
}
