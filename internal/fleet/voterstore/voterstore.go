// Package voterstore implements the stable storage of a fleet's voter. It keeps the voter's identity, promise
// and log in one bbolt file in a folder. A process that has the file open locks out other processes.
// docs/design/fleet.md explains why a voter that lost its storage becomes another voter.
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
	lockTimeout = 2 * time.Second // time to wait for the lock, which a process that is being replaced may still hold
)

// Buckets and keys of the file. The keys of the log are the indexes of its entries. Numbers are big-endian.
var (
	bucketVoter = []byte("voter")
	bucketLog   = []byte("log")

	keyIdentity   = []byte("identity")
	keyGeneration = []byte("founding")
	keyPromised   = []byte("promised")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// Errors of Open, in addition to those of the file system and of decoding.
var (
	ErrLocked     = errors.New("voterstore: another process has the folder")
	errNoIdentity = errors.New("the voter has no identity")
)

// Store is an open voter store. Its methods must not be called concurrently.
type Store struct{ db *bbolt.DB }

// Open opens the store in a folder, which it creates if necessary, and returns the stored state. The state is
// nil if none is stored.
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

// Close closes the file and releases its lock.
func (s *Store) Close() error { return s.db.Close() }

// Save writes an update atomically and syncs it. If it returns an error, nothing is written.
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

// readVoter reads the state except its entries.
func readVoter(b *bbolt.Bucket) (*fleet.VoterState, error) {
	s := &fleet.VoterState{
		Identity:   decodeNumber(b.Get(keyIdentity)),
		Generation: decodeNumber(b.Get(keyGeneration)),
		Promised:   decodeNumber(b.Get(keyPromised)),
	}
	if s.Identity == 0 {
		return nil, errNoIdentity
	}
	if data := b.Get(keyHardState); data != nil {
		s.HardState = &raftpb.HardState{}
		if err := proto.Unmarshal(data, s.HardState); err != nil {
			return nil, err
		}
	}
	if data := b.Get(keySnapshot); data != nil {
		s.Snapshot = &raftpb.Snapshot{}
		if err := proto.Unmarshal(data, s.Snapshot); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// readLog reads the entries, which must follow the snapshot's index without a gap.
func readLog(b *bbolt.Bucket, index uint64) (entries []*raftpb.Entry, err error) {
	err = b.ForEach(func(k, data []byte) error {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return err
		}
		index++
		if e.GetIndex() != index || decodeNumber(k) != index {
			return fmt.Errorf("found log entry %d, expected entry %d", e.GetIndex(), index)
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

// updateLog writes each argument that is not nil. A snapshot replaces the entries up to its index. Entries replace
// the stored ones from their first index on.
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

// deleteUpTo deletes the entries up to an index. The cursor restarts after each deletion, which moves it.
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
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, data)
}

// decodeNumber decodes a number. It returns 0 if b has the wrong length.
func decodeNumber(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
