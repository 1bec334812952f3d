package fleet

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// processReady processes each Ready that raft returns. At most one Ready is pending. If it needs stable storage,
// its messages and committed entries wait in pendingReady until persisted is called. In the meantime raft
// accumulates the next one.
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

// persisted completes the pending Ready once unpersisted is on stable storage. Only then may its messages be
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

// storeReady brings the in-memory storage up to date with stable storage. It panics on an error, which can occur
// only if raft violates its own contract.
func (v *voter) storeReady(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.storage.ApplySnapshot(rd.Snapshot); err == nil { // an error means that the snapshot is older than the stored one
			if err := v.restoreSnapshot(rd.Snapshot); err != nil {
				panic(err.Error()) // unreachable: a quorum committed the snapshot
			}
		}
	}
	if rd.HardState != nil {
		_ = v.storage.SetHardState(rd.HardState) // it never fails
		if vote := rd.HardState.GetVote(); vote != v.vote && vote != 0 {
			v.resetElectionTimer() // give the candidate that received this vote time to win
		}
		v.term = rd.HardState.GetTerm()
		v.vote = rd.HardState.GetVote()
	}
	if err := v.storage.Append(rd.Entries); err != nil {
		panic("fleet: " + err.Error()) // unreachable: raft returns entries in order
	}
}

// apply applies a committed entry to the voters or to the plan.
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

// applyChange applies a change of the plan. All voters must arrive at the same plan, so each of them skips an
// entry that can't be decoded.
func (v *voter) applyChange(e *raftpb.Entry) {
	var c change
	if len(e.Data) == 0 || cbor.Unmarshal(e.Data, &c) != nil {
		return // undecodable, or the empty entry of a new term
	}
	next, err := v.plan.apply(c, Epoch{v.generation, e.GetIndex()})
	v.plan = next
	v.committed = append(v.committed, committedChange{c, err, next.Epoch})
}

// applyConfChange applies a change of the voters, unless err, the result of decoding it, is set. A new voter
// rejects a snapshot whose voters do not include it, so each change creates a snapshot.
func (v *voter) applyConfChange(c raftpb.ConfChangeI, err error) {
	if err == nil {
		v.confState = v.raftNode.ApplyConfChange(c)
		v.createSnapshot()
	}
}

// restoreSnapshot sets the applied state to the state in a snapshot.
func (v *voter) restoreSnapshot(s *raftpb.Snapshot) error {
	var p Plan
	if err := cbor.Unmarshal(s.GetData(), &p); err != nil {
		return fmt.Errorf("fleet: decoding the plan in a snapshot: %w", err)
	}
	v.plan = p
	v.applied = s.GetMetadata().GetIndex()
	v.confState = s.GetMetadata().GetConfState()
	return nil
}

// createSnapshot creates a snapshot of the applied state, which raft sends to followers that lag far behind. It
// is stored with the next write that the log needs. Until then stable storage holds the entries instead.
func (v *voter) createSnapshot() {
	// The only error is raft.ErrSnapOutOfDate. It is ignored, because it means that the storage already has a
	// snapshot of this state or of a later one.
	if s, err := v.storage.CreateSnapshot(v.applied, v.confState, encode(v.plan)); err == nil {
		v.unpersisted.Snapshot = s
	}
}

// compact drops old applied entries, at least compactionReserve at a time, and keeps the last compactionReserve.
func (v *voter) compact() {
	first, err := v.storage.FirstIndex()
	if err != nil || v.applied < first+compactionHysteresis {
		return
	}
	v.createSnapshot()
	_ = v.storage.Compact(v.applied - compactionReserve)
}
