// Package store makes a ledger durable. It owns a folder with an embedded store (bbolt), which contains the rows and the records
// for export as of the last statement, and a write-ahead log of the postings since. It computes no figures: after a restart it
// restores the same ledger.Ledger from the rows and the postings, and the ledger closes its open entries.
//
// A crash of the process loses no posting. A crash of the machine loses the postings since the last statement; without sync, it
// also loses what the operating system had not written. A disk that is full, slow or read-only never delays a posting: the log
// then breaks off at a mark, and resumes with the next statement that can be committed.
package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// Options configure a Store.
type Options struct {
	Dir          string
	Node, Role   string
	SegmentBytes int  // size of a segment file
	Segments     int  // maximum number of segments that no committed statement covers
	Records      int  // number of records for export that are kept
	Sync         bool // each statement is flushed to the disk
	Limits       ledger.Limits
	Log          *zap.Logger
	Files        Files         // creates the segments; nil for files on the disk
	OpenTimeout  time.Duration // time that a statement waits until readers close the embedded store; two seconds if 0
}

const (
	dbName             = "ledger.db"
	lockName           = "lock"
	defaultOpenTimeout = 2 * time.Second // time to wait until another process closes the embedded store
	version            = 1               // version of the stored form
)

// ErrInUse is the error of a folder that another process uses.
var ErrInUse = errors.New("another process keeps its ledger there")

// errCorrupt is the error of a file whose content is invalid.
var errCorrupt = errors.New("it is torn or corrupt")

// meta describes the content of the embedded store. The rows contain the postings of the log before record Position of segment
// Segment.
type meta struct {
	Version     int          `json:"version"`
	Node        string       `json:"node"`
	Role        string       `json:"role"`
	Incarnation uint64       `json:"life"`
	Statements  uint64       `json:"statements"`
	Seq         uint64       `json:"seq"`   // number of the last record for export
	First       uint64       `json:"first"` // number of the first record for export that is still stored
	Chain       string       `json:"chain"` // chain of the last record for export
	Segment     uint64       `json:"segment"`
	Position    int          `json:"at"`
	Names       ledger.Names `json:"names"`
	Stated      time.Time    `json:"stated"` // time of the last statement
}

// Store implements recorder.Store. While LogIntact is true, a posting is durable against a crash of the process once Append
// returns; otherwise it is durable once the statement that contains it is committed.
type Store struct {
	options Options
	lock    *os.File
	meta    meta

	// The recorder's lock on its queue guards current and unloggedPostings. Only EndPeriod, Stage and Commit, whose calls do not
	// overlap, use staged and resumePending.
	current          *segment // segment that Append writes; nil until the first one is ready
	logIntact        atomic.Bool
	unloggedPostings uint64           // number of postings of this period that are not in the log
	staged           *stagedStatement // statements that are not committed yet; nil if all are

	afterGap      atomic.Bool // the current segment is after a gap, and its postings would not be replayed
	resumePending bool        // the log was resumed after a statement that is not committed yet

	mu            sync.Mutex // guards fullSegments and nextNumber
	fullSegments  []*segment // full segments that no committed statement covers
	nextNumber    uint64     // number of the next segment to be created
	spareSegments chan *segment
	segmentWanted chan struct{} // wakes createSegments
	closing       chan struct{} // closed by Close
	background    sync.WaitGroup
}

// Recovered reports what Open found in the folder.
type Recovered struct {
	Incarnation    uint64
	Replayed       int      // number of postings in the log that the rows did not contain
	ClosedPostings int      // number of postings that closed open entries
	CutOffRequests uint64   // number of requests that a crash ended before their answer
	Notes          []string // messages on what was torn, set aside or lost
}

// Open locks a folder and restores the ledger that it contains, with the names of its plans and classes. Entries that a crash
// left open are closed. Corrupt files are set aside and reported in Recovered.Notes. On an error the folder can't be used; it is
// ErrInUse if another process has it.
func Open(o Options) (*Store, *ledger.Ledger, ledger.Names, *Recovered, error) {
	if o.Files == nil {
		o.Files = diskFiles{}
	}
	if o.OpenTimeout == 0 {
		o.OpenTimeout = defaultOpenTimeout
	}
	if err := os.MkdirAll(o.Dir, 0o750); err != nil {
		return nil, nil, ledger.Names{}, nil, err
	}
	lock, err := os.OpenFile(filepath.Join(o.Dir, lockName), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, nil, ledger.Names{}, nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, nil, ledger.Names{}, nil, fmt.Errorf("%s: %w", o.Dir, ErrInUse)
	}
	s := &Store{options: o, lock: lock, spareSegments: make(chan *segment, 1), segmentWanted: make(chan struct{}, 1), closing: make(chan struct{})}
	l, found, err := s.recoverLedger()
	if err != nil {
		lock.Close()
		return nil, nil, ledger.Names{}, nil, err
	}
	if seg, err := s.newSegment(); err != nil {
		o.Log.Error("the first segment of the ledger's log can't be created", zap.Error(err))
	} else if seg != nil {
		s.spareSegments <- seg
	}
	s.background.Go(s.createSegments)
	return s, l, s.meta.Names, found, nil
}

// Close stops the creation of segments and unlocks the folder. The postings since the last statement stay in the log.
func (s *Store) Close() error {
	close(s.closing)
	s.background.Wait()
	select {
	case seg := <-s.spareSegments:
		s.removeSegment(seg)
	default:
	}
	if s.current != nil {
		s.options.Files.Unmap(s.current.mapped)
	}
	s.logIntact.Store(false)
	return s.lock.Close()
}

// LogIntact reports whether a posting appended now survives a crash of the process.
func (s *Store) LogIntact() bool { return s.logIntact.Load() && !s.afterGap.Load() }
