// Package store makes a ledger last on a disk. It owns a folder: an embedded store (bbolt) with the rows and the records
// for export as of the last statement, and a write-ahead log of the postings since. It decides nothing on figures: after
// a restart the same ledger.Ledger is made again from the rows and the postings, and closes what was open.
//
// What each loss takes: a crash of the process, nothing that was posted; a crash of the machine, what came since the last
// statement, with sync, and what the system had not written, without. A disk that is full, slow or read-only never holds
// up a posting: the log then breaks off with a mark, and is taken up again with the next statement that the disk takes.
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

// Options say what is kept, and how.
type Options struct {
	Dir          string
	Node, Role   string
	SegmentBytes int
	Segments     int // of the log, that may wait for the disk
	Records      int // for export, that are kept
	Sync         bool
	Limits       ledger.Limits
	Log          *zap.Logger
	Files        Files         // nil: the disk
	OpenTimeout  time.Duration // for a reader to let the store go; 0: two seconds
}

const (
	dbName             = "ledger.db"
	lockName           = "lock"
	defaultOpenTimeout = 2 * time.Second // for another to let the file go
	version            = 1
)

// ErrInUse says that another process keeps its books in the folder.
var ErrInUse = errors.New("another process keeps its books there")

// errCorrupt says that a file can't be trusted.
var errCorrupt = errors.New("it is torn or corrupt")

// meta is what the store knows of itself. At is the place in the log up to which the rows hold it.
type meta struct {
	Version     int          `json:"version"`
	Node        string       `json:"node"`
	Role        string       `json:"role"`
	Incarnation uint64       `json:"life"`
	Statements  uint64       `json:"statements"`
	Seq         uint64       `json:"seq"`   // of the last record
	First       uint64       `json:"first"` // that is still there
	Chain       string       `json:"chain"`
	Segment     uint64       `json:"segment"`
	Position    int          `json:"at"`
	Names       ledger.Names `json:"names"`
	Stated      time.Time    `json:"stated"`
}

// Store implements recorder.Keeper.
type Store struct {
	options Options
	lock    *os.File
	meta    meta

	// Under the recorder's lock, and in Run.
	current          *segment
	logIntact        atomic.Bool
	unloggedPostings uint64 // postings that are in no log
	staged           *stagedStatement

	afterGap      atomic.Bool // what follows in the log must not be counted on: it stands behind a gap
	resumePending bool        // the log was taken up again, by a statement that is not on the disk yet

	mu            sync.Mutex
	fullSegments  []*segment // full, and not yet covered by a statement on the disk
	nextNumber    uint64     // number of a segment
	spareSegments chan *segment
	segmentWanted chan struct{}
	closing       chan struct{}
	background    sync.WaitGroup
}

// Recovered is what Open found.
type Recovered struct {
	Incarnation    uint64
	Replayed       int      // postings that the log held beyond the rows
	ClosedPostings int      // postings that closed what was open
	CutOffRequests uint64   // of those, requests that were owed an answer
	Notes          []string // what was torn, set aside or not kept
}

// Open takes a folder over and makes the ledger that it holds; what a crash left open is closed. What is torn or corrupt
// is set aside and said. An error means that nothing can be kept there.
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
		o.Log.Error("the ledger's log has no room on the disk", zap.Error(err))
	} else if seg != nil {
		s.spareSegments <- seg
	}
	s.background.Go(s.createSegments)
	return s, l, s.meta.Names, found, nil
}

// Close gives the folder back. What was posted since the last statement stays in the log.
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

// LogIntact says whether what is posted now survives a crash of the process.
func (s *Store) LogIntact() bool { return s.logIntact.Load() && !s.afterGap.Load() }
