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

// goldenState returns a state that has every field set, including the fields of raft's messages that this program
// uses.
func goldenState() *fleet.VoterState {
	kind := raftpb.EntryConfChangeV2
	return &fleet.VoterState{Identity: 1<<63 + 11, Generation: 1700000000012, Promised: 1700000000013,
		HardState: &raftpb.HardState{Term: proto.Uint64(21), Vote: proto.Uint64(22), Commit: proto.Uint64(24)},
		Snapshot: &raftpb.Snapshot{Data: []byte{0xa1, 1, 2}, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(23), Term: proto.Uint64(20),
			ConfState: &raftpb.ConfState{Voters: []uint64{31, 32}, VotersOutgoing: []uint64{33}, AutoLeave: proto.Bool(true)}}},
		Entries: []*raftpb.Entry{{Index: proto.Uint64(24), Term: proto.Uint64(21), Data: []byte{0xa1, 3, 4}},
			{Index: proto.Uint64(25), Term: proto.Uint64(21), Type: &kind, Data: []byte{5, 6}}}}
}

// checkState fails the test unless the state that was read equals goldenState.
func checkState(t *testing.T, got *fleet.VoterState, err error) {
	t.Helper()
	want := goldenState()
	if err != nil || got == nil {
		t.Fatalf("read %+v, error %v, expected a state", got, err)
	}
	if got.Identity != want.Identity || got.Generation != want.Generation || got.Promised != want.Promised ||
		!proto.Equal(got.HardState, want.HardState) || !proto.Equal(got.Snapshot, want.Snapshot) ||
		!slices.EqualFunc(got.Entries, want.Entries, func(a, b *raftpb.Entry) bool { return proto.Equal(a, b) }) {
		t.Errorf("read %+v, expected %+v", got, want)
	}
}

// dump lists the entries of a store in order, one per line: bucket, key in hex, value in hex.
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

// TestGoldenStore fixes the content of a voter's store, written as one replacement and as a sequence of updates. A
// voter of another version must be able to read it.
func TestGoldenStore(t *testing.T) {
	s := goldenState()
	blank := *s
	blank.HardState, blank.Snapshot, blank.Entries = nil, nil, nil
	for name, updates := range map[string][]fleet.StorageUpdate{
		"replacement": {{Replacement: s}},
		"updates":     {{Replacement: &blank}, {Snapshot: s.Snapshot}, {HardState: s.HardState, Entries: s.Entries[:1]}, {Entries: s.Entries[1:]}},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			store, found, err := Open(dir)
			if err != nil || found != nil {
				t.Fatal(found, err)
			}
			for _, update := range updates {
				if err := store.Save(update); err != nil {
					t.Fatal(err)
				}
			}
			if err := store.Close(); err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "store.txt", dump(t, filepath.Join(dir, "fleet.db")))
			store, got, err := Open(dir)
			checkState(t, got, err)
			store.Close()
		})
	}
}

// TestGoldenStoreIsRead checks that Open reads a store with the content of the golden file, which the test writes without this package.
func TestGoldenStoreIsRead(t *testing.T) {
	dir := t.TempDir()
	db, err := bbolt.Open(filepath.Join(dir, "fleet.db"), 0o640, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error {
		for lines := bufio.NewScanner(bytes.NewReader(golden.Read(t, "store.txt"))); lines.Scan(); {
			fields := strings.Split(lines.Text(), " ")
			bucket, err := tx.CreateBucketIfNotExists([]byte(fields[0]))
			if err != nil {
				return err
			}
			k, err := hex.DecodeString(fields[1])
			if err != nil {
				return err
			}
			v, err := hex.DecodeString(fields[2])
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
	store, got, err := Open(dir)
	checkState(t, got, err)
	store.Close()
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("the folder holds %v, expected one file; error %v", files, err)
	}
}
