package fleet

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// VoterState is what a voter must have after a restart. All of it belongs to one identity and one generation
// of the log.
type VoterState struct {
	Identity   uint64 // random, drawn with the storage: a voter that lost its storage is another voter to the log
	Generation uint64 // of the log; 0: the voter has never been in one
	Promised   uint64 // older generations are ignored
	HardState  *raftpb.HardState
	Snapshot   *raftpb.Snapshot // nil: none
	Entries    []*raftpb.Entry  // after the snapshot
}

// withoutLog is the part of the state that changes with a restart of the voter only.
func (s *VoterState) withoutLog() *VoterState {
	return &VoterState{Identity: s.Identity, Generation: s.Generation, Promised: s.Promised}
}

// newGenerationState is the state of a log whose one voter begins with a plan.
func newGenerationState(identity, generation uint64, p Plan) *VoterState {
	return &VoterState{
		Identity:   identity,
		Generation: generation,
		Promised:   generation,
		HardState:  &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)},
		Snapshot: &raftpb.Snapshot{Data: encode(p), Metadata: &raftpb.SnapshotMetadata{
			Index:     proto.Uint64(1),
			Term:      proto.Uint64(1),
			ConfState: &raftpb.ConfState{Voters: []uint64{identity}},
		}},
	}
}

// StorageUpdate is one write to a voter's stable storage. It must take effect as a whole or not at all.
type StorageUpdate struct {
	Replacement *VoterState // if not nil, replaces everything stored, and the other fields are empty
	HardState   *raftpb.HardState
	Snapshot    *raftpb.Snapshot // replaces all entries up to its index
	Entries     []*raftpb.Entry  // replace those of the same index and after
}

// Equal reports whether both are the same write, not merely one of equal content.
func (u StorageUpdate) Equal(o StorageUpdate) bool {
	return u.Replacement == o.Replacement && u.HardState == o.HardState && u.Snapshot == o.Snapshot &&
		slices.Equal(u.Entries, o.Entries)
}

func (u *StorageUpdate) empty() bool {
	return u.Replacement == nil && u.HardState == nil && u.Snapshot == nil && len(u.Entries) == 0
}
