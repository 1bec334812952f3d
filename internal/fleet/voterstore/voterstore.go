// Package voterstore is the stable storage of a fleet's voter: identity, promise and log, in one bbolt file
// of a folder. A process that has it open locks others out. docs/design/fleet.md tells why a voter without
// its storage is another voter.
package voterstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dewhitch/internal/fleet"
)

const (
	fileName    = "fleet.db"
	lockTimeout = 2 * time.Second // for a process that is being replaced to end
)

// Buckets and keys. The log's keys are entries' indexes; numbers are big-endian.
var (
	bucketVoter = []byte("voter")
	bucketLog   = []byte("log")

	keyIdentity   = []byte("identity")
	keyGeneration = []byte("founding")
	keyPromised   = []byte("promised")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// Errors of Open, beside those of the file system and of decoding.
var (
	ErrLocked     = errors.New("voterstore: another process has the folder")
	errNoIdentity = errors.New("it has no identity")
)

// Store is an open folder. Its methods must not be called at the same time.
type Store struct{ db *bbolt.DB }

// Open opens a folder, which is created if need be, and reads the state stored there; nil: there is none.
func Open(dir string) (*Store, *fleet.VoterState, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, fileName), 0o640, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		err = ErrLocked
	}
	if err != nil {
		return nil, nil, err
	}
	s := &Store{db}
	state, err := s.read()
	if err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("voterstore: %s can't be read: %w", db.Path(), err)
	}
	return s, state, nil
}

// Close closes the file and gives up its lock.
func (s *Store) Close() error { return s.db.Close() }

// Save writes an update and syncs it: all of it, or with an error nothing.
func (s *Store) Save(u fleet.StorageUpdate) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if u.Replacement != nil {
			return replaceState(tx, u.Replacement)
		}
		return updateLog(tx, u.HardState, u.Snapshot, u.Entries)
	})
}

func (s *Store) read() (state *fleet.VoterState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		voter := tx.Bucket(bucketVoter)
		if voter == nil {
			return nil
		}
		if state, err = readVoter(voter); err != nil {
			return err
		}
		state.Entries, err = readLog(tx.Bucket(bucketLog), state.Snapshot.GetMetadata().GetIndex())
		return err
	})
	return state, err
}

// readVoter reads everything but the entries.
func readVoter(b *bbolt.Bucket) (*fleet.VoterState, error) {
	s := &fleet.VoterState{
		Identity:   decodeNumber(b.Get(keyIdentity)),
		Generation: decodeNumber(b.Get(keyGeneration)),
		Promised:   decodeNumber(b.Get(keyPromised)),
	}
	if s.Identity == 0 {
		return nil, errNoIdentity
	}
	if text := b.Get(keyHardState); text != nil {
		s.HardState = &raftpb.HardState{}
		if err := proto.Unmarshal(text, s.HardState); err != nil {
			return nil, err
		}
	}
	if text := b.Get(keySnapshot); text != nil {
		s.Snapshot = &raftpb.Snapshot{}
		if err := proto.Unmarshal(text, s.Snapshot); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// readLog reads the entries, which must follow a snapshot's index without a gap.
func readLog(b *bbolt.Bucket, index uint64) (entries []*raftpb.Entry, err error) {
	err = b.ForEach(func(k, text []byte) error {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return err
		}
		index++
		if e.GetIndex() != index || decodeNumber(k) != index {
			return fmt.Errorf("entry %d stands where %d should", e.GetIndex(), index)
		}
		entries = append(entries, e)
		return nil
	})
	return entries, err
}

// replaceState deletes everything stored and writes a state.
func replaceState(tx *bbolt.Tx, s *fleet.VoterState) error {
	for _, name := range [][]byte{bucketVoter, bucketLog} {
		if err := tx.DeleteBucket(name); err != nil && !errors.Is(err, bbolterrors.ErrBucketNotFound) {
			return err
		}
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	voter := tx.Bucket(bucketVoter)
	for _, field := range []struct {
		key   []byte
		value uint64
	}{{keyIdentity, s.Identity}, {keyGeneration, s.Generation}, {keyPromised, s.Promised}} {
		if err := voter.Put(field.key, encodeNumber(field.value)); err != nil {
			return err
		}
	}
	return updateLog(tx, s.HardState, s.Snapshot, s.Entries)
}

// updateLog writes what is not nil: a snapshot replaces the entries up to its index, entries replace those
// from their first index on.
func updateLog(tx *bbolt.Tx, hardState *raftpb.HardState, snapshot *raftpb.Snapshot, entries []*raftpb.Entry) error {
	voter, log := tx.Bucket(bucketVoter), tx.Bucket(bucketLog)
	if hardState != nil {
		if err := putMessage(voter, keyHardState, hardState); err != nil {
			return err
		}
	}
	if snapshot != nil {
		if err := putMessage(voter, keySnapshot, snapshot); err != nil {
			return err
		}
		if err := deleteUpTo(log, snapshot.GetMetadata().GetIndex()); err != nil {
			return err
		}
	}
	if len(entries) > 0 {
		if err := deleteFrom(log, entries[0].GetIndex()); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := putMessage(log, encodeNumber(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// deleteUpTo deletes the entries up to an index. The cursor starts anew after each deletion, as that moves it.
func deleteUpTo(log *bbolt.Bucket, index uint64) error {
	c := log.Cursor()
	for k, _ := c.First(); k != nil && decodeNumber(k) <= index; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteFrom deletes the entries from an index on.
func deleteFrom(log *bbolt.Bucket, index uint64) error {
	c, first := log.Cursor(), encodeNumber(index)
	for k, _ := c.Seek(first); k != nil; k, _ = c.Seek(first) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, text)
}

// decodeNumber is 0 for what is no number.
func decodeNumber(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
