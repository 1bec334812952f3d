package voterstore

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dewhitch/internal/fleet"
	"dewhitch/internal/golden"
)

// goldenState has every field set, and those of raft's messages that this program uses.
func goldenState() *fleet.VoterState {
	kind := raftpb.EntryConfChangeV2
	return &fleet.VoterState{Identity: 1<<63 + 11, Generation: 1700000000012, Promised: 1700000000013,
		HardState: &raftpb.HardState{Term: proto.Uint64(21), Vote: proto.Uint64(22), Commit: proto.Uint64(24)},
		Snapshot: &raftpb.Snapshot{Data: []byte{0xa1, 1, 2}, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(23), Term: proto.Uint64(20),
			ConfState: &raftpb.ConfState{Voters: []uint64{31, 32}, VotersOutgoing: []uint64{33}, AutoLeave: proto.Bool(true)}}},
		Entries: []*raftpb.Entry{{Index: proto.Uint64(24), Term: proto.Uint64(21), Data: []byte{0xa1, 3, 4}},
			{Index: proto.Uint64(25), Term: proto.Uint64(21), Type: &kind, Data: []byte{5, 6}}}}
}

// checkState fails the test unless what was read is goldenSaved.
func checkState(t *testing.T, got *fleet.VoterState, err error) {
	t.Helper()
	want := goldenState()
	if err != nil || got == nil {
		t.Fatalf("%+v, %v", got, err)
	}
	if got.Identity != want.Identity || got.Generation != want.Generation || got.Promised != want.Promised ||
		!proto.Equal(got.HardState, want.HardState) || !proto.Equal(got.Snapshot, want.Snapshot) ||
		!slices.EqualFunc(got.Entries, want.Entries, func(a, b *raftpb.Entry) bool { return proto.Equal(a, b) }) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

// dump lists the buckets, keys and values of a store in their order, keys and values in hex, one a line.
func dump(t *testing.T, path string) []byte {
	t.Helper()
	db, err := bbolt.Open(path, 0o640, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var b bytes.Buffer
	if err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			return bucket.ForEach(func(k, v []byte) error {
				fmt.Fprintf(&b, "%s %x %x\n", name, k, v)
				return nil
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestGoldenStore freezes what a voter stores, written as a replacement and as a sequence of updates; another
// version's voter reads it.
func TestGoldenStore(t *testing.T) {
	s := goldenState()
	blank := *s
	blank.HardState, blank.Snapshot, blank.Entries = nil, nil, nil
	for name, saves := range map[string][]fleet.StorageUpdate{
		"replacement": {{Replacement: s}},
		"updates":     {{Replacement: &blank}, {Snapshot: s.Snapshot}, {HardState: s.HardState, Entries: s.Entries[:1]}, {Entries: s.Entries[1:]}},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			v, found, err := Open(dir)
			if err != nil || found != nil {
				t.Fatal(found, err)
			}
			for _, p := range saves {
				if err := v.Save(p); err != nil {
					t.Fatal(err)
				}
			}
			if err := v.Close(); err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "store.txt", dump(t, filepath.Join(dir, "fleet.db")))
			v, got, err := Open(dir)
			checkState(t, got, err)
			v.Close()
		})
	}
}

// TestGoldenStoreIsRead has Open read the store of the golden file, which nothing of this package wrote.
func TestGoldenStoreIsRead(t *testing.T) {
	dir := t.TempDir()
	db, err := bbolt.Open(filepath.Join(dir, "fleet.db"), 0o640, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error {
		for lines := bufio.NewScanner(bytes.NewReader(golden.Read(t, "store.txt"))); lines.Scan(); {
			part := strings.Split(lines.Text(), " ")
			bucket, err := tx.CreateBucketIfNotExists([]byte(part[0]))
			if err != nil {
				return err
			}
			k, err := hex.DecodeString(part[1])
			if err != nil {
				return err
			}
			v, err := hex.DecodeString(part[2])
			if err != nil {
				return err
			}
			if err := bucket.Put(k, v); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	v, got, err := Open(dir)
	checkState(t, got, err)
	v.Close()
	if left, err := os.ReadDir(dir); err != nil || len(left) != 1 {
		t.Errorf("the folder holds %v, %v", left, err)
	}
}
