// Package voterstore keeps what a voter may not forget in a folder: its identity, the log, and what it has promised. It owns
// one file of an embedded store; whoever has it open keeps others out. docs/design/fleet.md tells why a voter without it
// is another voter.
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
	file     = "fleet.db"
	lockTime = 2 * time.Second // for the process that is being replaced to end
)

var (
	bucketVoter = []byte("voter")
	bucketLog   = []byte("log")

	keyIdentity, keyFounding, keyPromised = []byte("identity"), []byte("founding"), []byte("promised")
	keyHard, keySnapshot                  = []byte("hard"), []byte("snapshot")
)

// Store is an open folder.
type Store struct{ db *bbolt.DB }

// ErrLocked says that another process has the folder.
var ErrLocked = errors.New("vault: another process has the folder")

// Open opens a folder, and reads what is kept there; nil: nothing is.
func Open(dir string) (*Store, *fleet.VoterState, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, file), 0o640, &bbolt.Options{Timeout: lockTime})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		err = ErrLocked
	}
	if err != nil {
		return nil, nil, err
	}
	v := &Store{db}
	s, err := v.read()
	if err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("vault: %s can't be read: %w", db.Path(), err)
	}
	return v, s, nil
}

// Close gives the folder back.
func (v *Store) Close() error { return v.db.Close() }

func number(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func (v *Store) read() (s *fleet.VoterState, err error) {
	err = v.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketVoter)
		if b == nil {
			return nil
		}
		s = &fleet.VoterState{Identity: number(b.Get(keyIdentity)), Generation: number(b.Get(keyFounding)),
			Promised: number(b.Get(keyPromised))}
		if s.Identity == 0 {
			return errors.New("it has no identity")
		}
		if text := b.Get(keyHard); text != nil {
			s.HardState = &raftpb.HardState{}
			if err := proto.Unmarshal(text, s.HardState); err != nil {
				return err
			}
		}
		if text := b.Get(keySnapshot); text != nil {
			s.Snapshot = &raftpb.Snapshot{}
			if err := proto.Unmarshal(text, s.Snapshot); err != nil {
				return err
			}
		}
		at := s.Snapshot.GetMetadata().GetIndex()
		return tx.Bucket(bucketLog).ForEach(func(k, text []byte) error {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(text, e); err != nil {
				return err
			}
			if at++; e.GetIndex() != at || number(k) != at {
				return fmt.Errorf("entry %d stands where %d should", e.GetIndex(), at)
			}
			s.Entries = append(s.Entries, e)
			return nil
		})
	})
	return s, err
}

// Save has on the disk what a voter wants kept, all or nothing of it.
func (v *Store) Save(p fleet.StorageUpdate) error {
	return v.db.Update(func(tx *bbolt.Tx) error {
		if p.Replacement != nil {
			return whole(tx, p.Replacement)
		}
		return part(tx, p.HardState, p.Snapshot, p.Entries)
	})
}

func whole(tx *bbolt.Tx, s *fleet.VoterState) error {
	for _, name := range [][]byte{bucketVoter, bucketLog} {
		if err := tx.DeleteBucket(name); err != nil && !errors.Is(err, bbolterrors.ErrBucketNotFound) {
			return err
		}
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	b := tx.Bucket(bucketVoter)
	for _, v := range []struct {
		key []byte
		n   uint64
	}{{keyIdentity, s.Identity}, {keyFounding, s.Generation}, {keyPromised, s.Promised}} {
		if err := b.Put(v.key, key(v.n)); err != nil {
			return err
		}
	}
	return part(tx, s.HardState, s.Snapshot, s.Entries)
}

func part(tx *bbolt.Tx, hard *raftpb.HardState, snapshot *raftpb.Snapshot, entries []*raftpb.Entry) error {
	b, log := tx.Bucket(bucketVoter), tx.Bucket(bucketLog)
	put := func(b *bbolt.Bucket, key []byte, m proto.Message) error {
		text, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		return b.Put(key, text)
	}
	if hard != nil {
		if err := put(b, keyHard, hard); err != nil {
			return err
		}
	}
	if snapshot != nil {
		if err := put(b, keySnapshot, snapshot); err != nil {
			return err
		}
		c := log.Cursor()
		for k, _ := c.First(); k != nil && number(k) <= snapshot.GetMetadata().GetIndex(); k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	if len(entries) > 0 {
		c := log.Cursor()
		for k, _ := c.Seek(key(entries[0].GetIndex())); k != nil; k, _ = c.Seek(key(entries[0].GetIndex())) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	for _, e := range entries {
		if err := put(log, key(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}
