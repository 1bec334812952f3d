package fleet

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// VoterState is the state that a voter needs after a restart. All of it belongs to one identity and one
// generation of the log.
type VoterState struct {
	Identity   uint64 // random number drawn with new storage, so that a voter that lost its storage is another voter of the log
	Generation uint64 // generation of the log; 0 if the voter has never been in one
	Promised   uint64 // newest promised generation; older ones are ignored
	HardState  *raftpb.HardState
	Snapshot   *raftpb.Snapshot // nil if there is none
	Entries    []*raftpb.Entry  // entries after the snapshot
}

// withoutLog returns the part of the state that changes only when the voter is replaced.
func (s *VoterState) withoutLog() *VoterState {
	return &VoterState{Identity: s.Identity, Generation: s.Generation, Promised: s.Promised}
}

// newGenerationState returns the state of a log that starts with a plan and one voter.
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

// StorageUpdate is one write to a voter's stable storage. It must be atomic: all of it takes effect, or nothing.
type StorageUpdate struct {
	Replacement *VoterState // if not nil, replaces everything stored, and the other fields are empty
	HardState   *raftpb.HardState
	Snapshot    *raftpb.Snapshot // replaces all entries up to its index
	Entries     []*raftpb.Entry  // replaces the entries from the index of the first one on
}

// Equal returns true if both are the same write. Two writes with equal content are not necessarily equal.
func (u StorageUpdate) Equal(o StorageUpdate) bool {
	return u.Replacement == o.Replacement && u.HardState == o.HardState && u.Snapshot == o.Snapshot &&
		slices.Equal(u.Entries, o.Entries)
}

func (u *StorageUpdate) empty() bool {
	return u.Replacement == nil && u.HardState == nil && u.Snapshot == nil && len(u.Entries) == 0
}
