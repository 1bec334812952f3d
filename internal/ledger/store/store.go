// Package store makes a ledger last on a disk. It owns a folder: an embedded store (bbolt) with the rows and the records
// for export as of the last statement, and a write-ahead log of the postings since. It decides nothing on figures: after
// a restart the same ledger.Ledger is made again from the rows and the postings, and closes what was open.
//
// What each loss takes: a crash of the process, nothing that was posted; a crash of the machine, what came since the last
// statement, with sync, and what the system had not written, without. A disk that is full, slow or read-only never holds
// up a posting: the log then breaks off with a mark, and is taken up again with the next statement that the disk takes.
package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.uber.org/zap"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
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
	Wait         time.Duration // for a reader to let the store go; 0: two seconds
}

const (
	dbName   = "ledger.db"
	lockName = "lock"
	openTime = 2 * time.Second // for another to let the file go
	version  = 1
)

// ErrInUse says that another process keeps its books in the folder.
var ErrInUse = errors.New("another process keeps its books there")

// errCorrupt says that a file can't be trusted.
var errCorrupt = errors.New("it is torn or corrupt")

// meta is what the store knows of itself. At is the place in the log up to which the rows hold it.
type meta struct {
	Version    int          `json:"version"`
	Node       string       `json:"node"`
	Role       string       `json:"role"`
	Life       uint64       `json:"life"`
	Statements uint64       `json:"statements"`
	Seq        uint64       `json:"seq"`   // of the last record
	First      uint64       `json:"first"` // that is still there
	Chain      string       `json:"chain"`
	Segment    uint64       `json:"segment"`
	At         int          `json:"at"`
	Names      ledger.Names `json:"names"`
	Stated     time.Time    `json:"stated"`
}

var (
	bucketMeta    = []byte("meta")
	bucketRows    = []byte("rows")
	bucketRecords = []byte("records")
	keyMeta       = []byte("meta")
	keyOpen       = []byte("open")
)

// pending is what was cut and is not on the disk yet.
type pending struct {
	rows    map[ledger.Key]ledger.Kept
	open    []ledger.Open
	deltas  map[ledger.Key]*ledger.Counts
	tries   []ledger.Try
	notes   []statement.Record // lives and gaps
	segment uint64
	at      int
	to      time.Time
}

// Store implements desk.Keeper.
type Store struct {
	o    Options
	lock *os.File
	meta meta

	// Under the desk's lock, and in Run.
	cur  *segment
	kept atomic.Bool
	lost uint64 // postings that are in no log
	pend *pending

	broken  atomic.Bool // what follows in the log must not be counted on: it stands behind a gap
	resumed bool        // the log was taken up again, by a statement that is not on the disk yet

	mu     sync.Mutex
	old    []*segment // full, and not yet covered by a statement on the disk
	next   uint64     // number of a segment
	spares chan *segment
	want   chan struct{}
	over   chan struct{}
	done   sync.WaitGroup
}

// Recovered is what Open found.
type Recovered struct {
	Life     uint64
	Replayed int      // postings that the log held beyond the rows
	Cut      int      // postings that closed what was open
	Reqs     uint64   // of those, reqs that were owed an answer
	Notes    []string // what was torn, set aside or not kept
}

// Open takes a folder over and makes the ledger that it holds; what a crash left open is closed. What is torn or corrupt
// is set aside and said. An error means that nothing can be kept there.
func Open(o Options) (*Store, *ledger.Ledger, ledger.Names, *Recovered, error) {
	if o.Files == nil {
		o.Files = disk{}
	}
	if o.Wait == 0 {
		o.Wait = openTime
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
	s := &Store{o: o, lock: lock, spares: make(chan *segment, 1), want: make(chan struct{}, 1), over: make(chan struct{})}
	l, found, err := s.recover()
	if err != nil {
		lock.Close()
		return nil, nil, ledger.Names{}, nil, err
	}
	if seg, err := s.make(); err != nil {
		o.Log.Error("the ledger's log has no room on the disk", zap.Error(err))
	} else if seg != nil {
		s.spares <- seg
	}
	s.done.Go(s.prepare)
	return s, l, s.meta.Names, found, nil
}

// recover makes the ledger of what the folder holds.
func (s *Store) recover() (*ledger.Ledger, *Recovered, error) {
	found := &Recovered{}
	m, held, err := load(filepath.Join(s.o.Dir, dbName))
	if errors.Is(err, errCorrupt) {
		note := fmt.Sprintf("%s: %v; the figures before this start were set aside", dbName, err)
		if err := s.aside(); err != nil {
			return nil, nil, err
		}
		found.Notes = append(found.Notes, note)
		m, held, err = meta{}, content{}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	l, replayed, notes, err := replay(s.o.Dir, s.o.Limits, m, held, true)
	if err != nil {
		return nil, nil, err
	}
	found.Replayed, found.Notes = replayed, append(found.Notes, notes...)
	before := l.Total()
	cut := l.CutOff(time.Now().UnixNano())
	after := l.Total()
	found.Cut, found.Reqs = len(cut), after.N[ledger.FrontCutoff]-before.N[ledger.FrontCutoff]
	s.meta = m
	s.meta.Version, s.meta.Node, s.meta.Role = version, s.o.Node, s.o.Role
	s.meta.Life++
	found.Life = s.meta.Life
	numbers, err := segments(s.o.Dir)
	if err != nil {
		return nil, nil, err
	}
	for _, n := range numbers { // they are covered by the next statement
		s.old = append(s.old, &segment{number: n, path: segmentPath(s.o.Dir, n)})
		s.next = max(s.next, n)
	}
	s.next = max(s.next, m.Segment) + 1
	now := time.Now()
	life := statement.Record{Kind: statement.Life, From: now, To: now,
		Note: fmt.Sprintf("%d postings replayed, %d reqs cut off by a crash", found.Replayed, found.Reqs)}
	s.pend = newPending()
	s.pend.notes = []statement.Record{life}
	for _, note := range found.Notes {
		s.pend.notes = append(s.pend.notes, statement.Record{Kind: statement.Gap, From: now, To: now, Note: note})
	}
	// From here on the log begins anew, and what it holds counts once the repair is on the disk. A crash before that
	// finds all as it was, and repairs it again.
	s.broken.Store(true)
	return l, found, nil
}

func newPending() *pending {
	return &pending{rows: map[ledger.Key]ledger.Kept{}, deltas: map[ledger.Key]*ledger.Counts{}}
}

// aside renames what can't be trusted, so that nobody counts on it and nobody has lost it.
func (s *Store) aside() error {
	suffix := fmt.Sprintf(".bad-%d", time.Now().UnixNano())
	numbers, err := segments(s.o.Dir)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if err := os.Rename(segmentPath(s.o.Dir, n), segmentPath(s.o.Dir, n)+suffix); err != nil {
			return err
		}
	}
	return os.Rename(filepath.Join(s.o.Dir, dbName), filepath.Join(s.o.Dir, dbName)+suffix)
}

// replay makes a ledger of what the store holds and of the log behind them. It stops at the first record that is not whole.
func replay(dir string, limits ledger.Limits, m meta, held content, stating bool) (l *ledger.Ledger, n int,
	notes []string, err error) {
	l = ledger.New(limits, stating)
	for _, k := range held.rows {
		l.Restore(k)
	}
	for _, o := range held.open {
		l.RestoreOpen(o)
	}
	numbers, err := segments(dir)
	if err != nil {
		return nil, 0, nil, err
	}
	at, stopped, over := m.At, "", false
	for i, number := range numbers {
		if number < m.Segment {
			continue
		}
		if number != m.Segment {
			at = 0
		}
		path := segmentPath(dir, number)
		if over { // what stands behind a break is of no use, unless there is nothing
			behind := 0
			if _, err := readSegment(path, number, 0, math.MaxUint64, func(ledger.Posting) { behind++ }); err == nil && behind > 0 {
				notes = append(notes, fmt.Sprintf("%s: %d records behind the break were not trusted", path, behind))
			}
			continue
		}
		s, err := readSegment(path, number, at, m.Statements, l.Post)
		n += max(0, s.read-at)
		// Danger: the log goes on in a next segment only when this one is full. After a crash of the machine its last
		// pages may be missing, and those of the next be there; and a reader beside a gateway at work may have read this
		// one before it was full, and the next after that. Postings between the two would be lost, and figures not add up.
		over = !s.full
		switch {
		case err != nil && !errors.Is(err, errHead):
			return nil, 0, nil, err
		case err != nil:
			stopped = fmt.Sprintf("%s: %v", path, err)
		case s.gap:
			stopped = path + ": the disk took no more for a while; what came then was not kept"
		case s.behind > 0:
			stopped = fmt.Sprintf("%s: record %d is torn; %d records behind it were not trusted", path, s.read, s.behind)
		default:
			continue
		}
		over = true
		// A head that was being written when the process ended is no loss: nothing was in the file.
		if !errors.Is(err, errHead) || i < len(numbers)-1 {
			notes = append(notes, stopped)
		}
	}
	return l, n, notes, nil
}

// prepare has a segment ready before it is needed.
func (s *Store) prepare() {
	failed := false
	for {
		seg, err := s.make()
		if err != nil && !failed {
			s.o.Log.Error("the ledger's log has no room on the disk", zap.Error(err))
		}
		failed = err != nil
		if seg != nil {
			select {
			case s.spares <- seg:
			case <-s.over:
				s.remove(seg)
				return
			}
		}
		select {
		case <-s.want:
		case <-s.over:
			return
		}
	}
}

// make makes a segment, if one more may wait for the disk; else it returns nil.
func (s *Store) make() (*segment, error) {
	s.mu.Lock()
	n := s.next
	room := len(s.old)+1 < s.o.Segments
	if room {
		s.next++
	}
	s.mu.Unlock()
	if !room {
		return nil, nil
	}
	return createSegment(s.o.Files, s.o.Dir, n, s.o.SegmentBytes)
}

func (s *Store) kick() {
	select {
	case s.want <- struct{}{}:
	default:
	}
}

func (s *Store) remove(seg *segment) error {
	if seg.m != nil {
		s.o.Files.Unmap(seg.m)
		seg.m = nil
	}
	return os.Remove(seg.path)
}

// Append implements desk.Keeper.
func (s *Store) Append(p ledger.Posting) {
	if !s.kept.Load() || s.broken.Load() {
		s.lost++
		return
	}
	if s.cur.at == s.cur.most && !s.rotate() {
		s.cur.gap()
		s.kept.Store(false)
		s.lost++
		return
	}
	s.cur.put(p)
}

// rotate goes on in the segment that is ready, if one is.
func (s *Store) rotate() bool {
	select {
	case seg := <-s.spares:
		s.mu.Lock()
		if s.cur != nil {
			s.old = append(s.old, s.cur)
		}
		s.mu.Unlock()
		s.cur = seg
		s.kick()
		return true
	default:
		s.kick()
		return false
	}
}

// Mark implements desk.Keeper.
func (s *Store) Mark() {
	if s.pend == nil {
		s.pend = newPending()
	}
	p := s.pend
	p.to = time.Now()
	if s.lost > 0 {
		p.notes = append(p.notes, statement.Record{Kind: statement.Gap, From: p.to, To: p.to, Note: fmt.Sprintf(
			"the log did not hold %d postings for a while; they are in the figures, as no crash came", s.lost)})
	}
	s.lost = 0
	if !s.kept.Load() || s.broken.Load() { // this statement holds all that the log lacks: it can be taken up again behind it
		s.resumed = s.rotate()
		if s.resumed {
			s.cur.takeUp(s.meta.Statements + 1)
		}
		s.kept.Store(s.resumed)
		s.broken.Store(false)
	}
	switch {
	case s.kept.Load():
		p.segment, p.at = s.cur.number, s.cur.at
	case s.cur != nil:
		p.segment, p.at = s.cur.number+1, 0
	default:
		p.segment, p.at = s.firstFree(), 0
	}
}

// Cut implements desk.Keeper.
func (s *Store) Cut(st ledger.Statement) {
	p := s.pend
	for _, k := range st.Rows {
		p.rows[k.Key] = k
	}
	for _, d := range st.Deltas {
		if p.deltas[d.Key] == nil {
			p.deltas[d.Key] = &ledger.Counts{}
		}
		p.deltas[d.Key].Add(&d.Counts)
	}
	p.open = st.Open
	p.tries = append(p.tries, st.Tries...)
}

func (s *Store) firstFree() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.meta.Segment
	for _, seg := range s.old {
		n = max(n, seg.number)
	}
	return n + 1
}

// Commit implements desk.Keeper.
func (s *Store) Commit(names ledger.Names) error {
	p := s.pend
	m, err := s.write(p, names)
	if err != nil {
		if s.resumed {
			s.broken.Store(true) // the log goes on behind a gap that no statement on the disk bridges
		}
		p.bound()
		s.kick()
		return err
	}
	s.meta, s.pend, s.resumed = m, nil, false
	s.mu.Lock()
	kept := s.old[:0]
	for _, seg := range s.old {
		if seg.number >= p.segment || s.remove(seg) != nil {
			kept = append(kept, seg)
		}
	}
	clear(s.old[len(kept):])
	s.old = kept
	s.mu.Unlock()
	s.kick()
	return nil
}

// bound keeps what waits for the disk from growing: tries are the first to go, and then the names of hauliers.
func (p *pending) bound() {
	const most = 1 << 16
	if n := len(p.tries) - most; n > 0 {
		p.tries = append([]ledger.Try(nil), p.tries[n:]...)
		p.notes = append(p.notes, statement.Record{Kind: statement.Gap, From: p.to, To: p.to,
			Note: fmt.Sprintf("%d tries are in no record, as the disk took none", n)})
	}
	if len(p.notes) > 64 {
		p.notes = p.notes[len(p.notes)-64:]
	}
	if len(p.deltas) <= most {
		return
	}
	for k, c := range p.deltas {
		if k.Customer == ledger.Others {
			continue
		}
		delete(p.deltas, k)
		k.Customer = ledger.Others
		if p.deltas[k] == nil {
			p.deltas[k] = &ledger.Counts{}
		}
		p.deltas[k].Add(c)
	}
}

// write puts a statement into the embedded store, all of it or nothing.
func (s *Store) write(p *pending, names ledger.Names) (m meta, err error) {
	db, err := open(filepath.Join(s.o.Dir, dbName), &bbolt.Options{Timeout: s.o.Wait, NoSync: !s.o.Sync})
	if err != nil {
		return m, err
	}
	defer db.Close()
	err = guard(func() error {
		return db.Update(func(tx *bbolt.Tx) error {
			for _, name := range [][]byte{bucketMeta, bucketRows, bucketRecords} {
				if _, err := tx.CreateBucketIfNotExists(name); err != nil {
					return err
				}
			}
			m = s.meta
			m.Statements++
			from := m.Stated
			if from.IsZero() {
				from = p.to
			}
			m.Names, m.Segment, m.At, m.Stated = names, p.segment, p.at, p.to
			rows, records := tx.Bucket(bucketRows), tx.Bucket(bucketRecords)
			records.FillPercent = 1 // they come in their order
			for _, k := range sortedKeys(p.rows) {
				row := p.rows[k]
				if row.Gone {
					err = rows.Delete(rowKey(k))
				} else {
					err = rows.Put(rowKey(k), encodeRow(row))
				}
				if err != nil {
					return err
				}
			}
			open, err := json.Marshal(p.open)
			if err != nil {
				return err
			}
			if err := tx.Bucket(bucketMeta).Put(keyOpen, seal(open)); err != nil {
				return err
			}
			add := func(r statement.Record) error {
				m.Seq++
				r.Seq, r.Node, r.Role, r.Life = m.Seq, m.Node, m.Role, m.Life
				line := r.Seal(nil, m.Chain) // the store keeps it until the end of the transaction
				m.Chain = r.Chain
				return records.Put(binary.BigEndian.AppendUint64(nil, m.Seq), line)
			}
			for _, r := range p.notes {
				if err := add(r); err != nil {
					return err
				}
			}
			for _, k := range sortedKeys(p.deltas) {
				r := statement.Record{Kind: statement.Figures, From: from, To: p.to, Haulier: ledger.HaulierText(k.Customer),
					Plan: names.Plan(k.Plan), Class: names.Class(k.Class), Figures: p.deltas[k]}
				if err := add(r); err != nil {
					return err
				}
			}
			for _, t := range p.tries {
				if err := add(statement.Record{Kind: statement.Try, From: time.Unix(0, t.Taken).UTC(), To: time.Unix(0, t.Ended).UTC(),
					Haulier: ledger.HaulierText(t.Key.Customer), Plan: names.Plan(t.Key.Plan), Class: names.Class(t.Key.Class),
					Key: fmt.Sprintf("%016x", t.Hash), End: t.End.String()}); err != nil {
					return err
				}
			}
			m.First = max(1, m.First)
			for ; m.Seq-m.First >= uint64(s.o.Records); m.First++ {
				if err := records.Delete(binary.BigEndian.AppendUint64(nil, m.First)); err != nil {
					return err
				}
			}
			text, err := json.Marshal(m)
			if err != nil {
				return err
			}
			return tx.Bucket(bucketMeta).Put(keyMeta, seal(text))
		})
	})
	return m, err
}

// Close gives the folder back. What was posted since the last statement stays in the log.
func (s *Store) Close() error {
	close(s.over)
	s.done.Wait()
	select {
	case seg := <-s.spares:
		s.remove(seg)
	default:
	}
	if s.cur != nil {
		s.o.Files.Unmap(s.cur.m)
	}
	s.kept.Store(false)
	return s.lock.Close()
}

// Kept says whether what is posted now survives a crash of the process.
func (s *Store) Kept() bool { return s.kept.Load() && !s.broken.Load() }

// seal puts a checksum behind a value.
func seal(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func unseal(b []byte) ([]byte, error) {
	if len(b) < 4 || crc32.Checksum(b[:len(b)-4], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-4:]) {
		return nil, errCorrupt
	}
	return b[:len(b)-4], nil
}

// guard turns what a torn file leads the embedded store to, panics and faults of its map included, into an error.
func guard(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %v", errCorrupt, v)
		}
	}()
	return f()
}

func open(path string, o *bbolt.Options) (db *bbolt.DB, err error) {
	err = guard(func() error {
		db, err = bbolt.Open(path, 0o640, o)
		return err
	})
	if err != nil && !errors.Is(err, errCorrupt) && corrupt(err) {
		err = fmt.Errorf("%w: %v", errCorrupt, err)
	}
	return db, err
}

// corrupt tells an error about what a file holds from one about getting at it.
func corrupt(err error) bool {
	var path *fs.PathError
	var errno syscall.Errno
	return !errors.As(err, &path) && !errors.As(err, &errno) && !errors.Is(err, bbolterrors.ErrTimeout)
}
