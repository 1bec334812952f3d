package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.uber.org/zap"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/ledgertest"
	"dewhitch/internal/ledger/statement"
)

var names = ledger.Names{Plans: []string{"basic", "regular", "fleet"}, Classes: []string{"space-query", "booking"}}

// options returns the options of a store with small segments, in a folder.
func options(dir string) Options {
	return Options{Dir: dir, Node: "n0", Role: statement.Gateway, SegmentBytes: 16 << 10, Segments: 8, Records: 1 << 20,
		Limits: ledger.Limits{Rows: 1000, Open: 1000, RecentPostings: 64}, Log: zap.NewNop(), OpenTimeout: 50 * time.Millisecond}
}

// testLedger is a ledger with its store. Its methods use both as a recorder does.
type testLedger struct {
	t *testing.T
	*Store
	ledger *ledger.Ledger
}

// openTestLedger opens the store of a folder and returns it with its ledger.
func openTestLedger(t *testing.T, o Options) (*testLedger, *Recovered) {
	t.Helper()
	s, l, _, found, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return &testLedger{t, s, l}, found
}

// post adds a posting to the ledger and appends it to the log.
func (l *testLedger) post(p ledger.Posting) {
	p.At = 1
	l.ledger.Post(p)
	l.Append(p)
}

// stageStatement ends a period and stages its statement.
func (l *testLedger) stageStatement() {
	l.EndPeriod()
	l.Stage(l.ledger.Statement())
}

// commitStatement stages a statement and commits it.
func (l *testLedger) commitStatement() error {
	l.stageStatement()
	return l.Commit(names)
}

// waitForSpare waits up to 1 s for a spare segment, which a working disk soon provides.
func (l *testLedger) waitForSpare() {
	for range 1000 {
		if len(l.spareSegments) > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// copyFolder returns a copy of a folder, in the state in which a SIGKILL of the process would leave the folder now.
func copyFolder(t *testing.T, dir string) string {
	t.Helper()
	to := t.TempDir()
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		b, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(to, e.Name()), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return to
}

// requireBalanced fails the test unless the ledger balances with nothing open, and the records of the folder form a chain and add
// up to the ledger.
func requireBalanced(t *testing.T, dir string, l *ledger.Ledger) {
	t.Helper()
	if found := l.Audit(true); len(found) > 0 || l.OpenCount() > 0 {
		t.Fatalf("mismatches %v, %d entries open, expected none", found, l.OpenCount())
	}
	total := l.Total()
	if total.N[ledger.FrontTaken] != total.Ended() {
		t.Fatalf("%d requests taken, %d ended", total.N[ledger.FrontTaken], total.Ended())
	}
	var stated ledger.Counts
	var chain statement.Chain
	if err := Records(dir, 0, func(_ []byte, r statement.Record) error {
		if err := chain.Next(r); err != nil {
			return err
		}
		if r.Figures != nil {
			stated.Add(r.Figures)
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if stated != total {
		t.Fatalf("the records add up to %d requests taken and %d served, the ledger to %d and %d", stated.N[ledger.FrontTaken],
			stated.N[ledger.FrontServed], total.N[ledger.FrontTaken], total.N[ledger.FrontServed])
	}
}

// TestKillLosesNothing guards against postings that a kill of the process loses or repeats. Each of ten runs is killed 20 times,
// 200 in all: between any two postings, during the write of a record, between staging and commit, and again during the repair. No
// posting may be lost, all open entries are closed, and no record for export appears twice.
func TestKillLosesNothing(t *testing.T) {
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 9))
		dir := t.TempDir()
		l, _ := openTestLedger(t, options(dir))
		if err := l.commitStatement(); err != nil {
			t.Fatal(err)
		}
		var taken uint64
		kill := func(torn bool) {
			copied := copyFolder(t, dir)
			if torn { // the record that was being written is incomplete
				path := filepath.Join(copied, filepath.Base(l.current.path))
				f, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				// The fields of a record are written in order, and the checksum last.
				rec := make([]byte, recordSize)
				encode(rec, l.current.number, uint32(l.current.written), ledger.Posting{Event: ledger.FrontTaken, Ref: 1 << 40, At: 1})
				copy(f[headerSize+l.current.written*recordSize+4:], rec[4:8+r.IntN(recordSize-8+1)])
				os.WriteFile(path, f, 0o600)
			}
			if r.IntN(2) == 0 { // the process is killed again during the repair
				again, _ := openTestLedger(t, options(copied))
				again.stageStatement()
				copied = copyFolder(t, copied)
				again.Close()
			}
			after, found := openTestLedger(t, options(copied))
			defer after.Close()
			if len(found.Notes) > 0 {
				t.Fatalf("seed %d: the repair reported %v, expected nothing", seed, found.Notes)
			}
			total := after.ledger.Total()
			if total.N[ledger.FrontTaken] != taken {
				t.Fatalf("seed %d: the ledger has %d requests taken after the kill, expected %d", seed, total.N[ledger.FrontTaken], taken)
			}
			if err := after.commitStatement(); err != nil {
				t.Fatal(err)
			}
			requireBalanced(t, copied, after.ledger)
		}
		n, kills := 0, 0
		ledgertest.RandomPostings(seed, 400, 30, func(p ledger.Posting) {
			l.waitForSpare()
			l.post(p)
			if p.Event == ledger.FrontTaken {
				taken++
			}
			n++
			switch {
			case r.IntN(90) == 0 && kills < 18:
				kills++
				kill(r.IntN(2) == 0)
			case r.IntN(200) == 0: // killed between staging and commit
				l.stageStatement()
				if kills < 19 {
					kills++
					kill(false)
				}
				if err := l.Commit(names); err != nil {
					t.Fatal(err)
				}
			}
		})
		for ; kills < 20; kills++ {
			kill(kills%2 == 0)
		}
		if err := l.commitStatement(); err != nil {
			t.Fatal(err)
		}
		requireBalanced(t, dir, l.ledger)
		l.Close()
	}
}

// failingFiles can't create files while full is set, as on a full disk.
type failingFiles struct {
	diskFiles
	full atomic.Bool
}

func (f *failingFiles) Create(path string, size int) ([]byte, error) {
	if f.full.Load() {
		return nil, &os.PathError{Op: "create", Path: path, Err: syscall.ENOSPC}
	}
	return f.diskFiles.Create(path, size)
}

// TestDiskFull guards against lost or contradictory figures with a full disk and a bbolt store that a reader has locked. The
// ledger must go on in memory while the log breaks off; a crash in this state must give a ledger that balances and a note on what
// was lost; and once there is room, the log must resume so that a crash loses nothing.
func TestDiskFull(t *testing.T) {
	dir := t.TempDir()
	o := options(dir)
	files := &failingFiles{}
	o.Files = files
	l, _ := openTestLedger(t, o)
	defer l.Close()
	if err := l.commitStatement(); err != nil {
		t.Fatal(err)
	}
	reader, err := bbolt.Open(filepath.Join(dir, dbName), 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	l.waitForSpare()
	files.full.Store(true)
	var taken uint64
	postMany := func(seed uint64) {
		ledgertest.RandomPostings(seed, 400, 30, func(p ledger.Posting) {
			if !files.full.Load() {
				l.waitForSpare()
			}
			p.Ref += seed << 32
			l.post(p)
			if p.Event == ledger.FrontTaken {
				taken++
			}
		})
	}
	postMany(1)
	if l.LogIntact() {
		t.Fatal("the log is reported intact, with more postings than its segments hold")
	}
	if err := l.commitStatement(); !errors.Is(err, bbolterrors.ErrTimeout) {
		t.Fatalf("a statement to a locked store: got error %v, expected a timeout", err)
	}
	postMany(2)
	copied := copyFolder(t, dir)
	after, found := openTestLedger(t, options(copied))
	if notes := strings.Join(found.Notes, "; "); !strings.Contains(notes, "was not kept") {
		t.Errorf("after a crash with a full disk, the notes do not mention the loss: %q", notes)
	}
	if err := after.commitStatement(); err != nil {
		t.Fatal(err)
	}
	requireBalanced(t, copied, after.ledger)
	after.Close()

	files.full.Store(false)
	reader.Close()
	for range 2 { // the first statement makes room for the log, the second resumes it
		if err := l.commitStatement(); err != nil {
			t.Fatal(err)
		}
		l.waitForSpare()
	}
	if !l.LogIntact() {
		t.Fatal("the log did not resume with room on the disk")
	}
	postMany(3)
	copied = copyFolder(t, dir)
	after, found = openTestLedger(t, options(copied))
	defer after.Close()
	if total := after.ledger.Total(); total.N[ledger.FrontTaken] != taken || len(found.Notes) > 0 {
		t.Errorf("the ledger has %d requests taken after the kill, expected %d; notes %v", total.N[ledger.FrontTaken], taken, found.Notes)
	}
	if err := after.commitStatement(); err != nil {
		t.Fatal(err)
	}
	requireBalanced(t, copied, after.ledger)
}

// TestCorruptFilesAreReported guards against corrupt files that are read as figures. Damage to any file must be reported in a
// note, and a corrupt embedded store must be set aside. The restored ledger must balance: it is empty, or contains the postings
// up to the last valid record.
func TestCorruptFilesAreReported(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTestLedger(t, options(dir))
	if err := l.commitStatement(); err != nil {
		t.Fatal(err)
	}
	post := func(p ledger.Posting) {
		l.waitForSpare()
		l.post(p)
	}
	ledgertest.RandomPostings(3, 300, 20, post)
	if err := l.commitStatement(); err != nil {
		t.Fatal(err)
	}
	ledgertest.RandomPostings(4, 100, 20, post)
	total := l.ledger.Total()
	corruptFile := func(dir, name string, at func(size int) int, with string) {
		path := filepath.Join(dir, name)
		f, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if i := at(len(f)); with == "" {
			f = f[:i]
		} else {
			copy(f[i:], with)
		}
		os.WriteFile(path, f, 0o600)
	}
	row := func(dir string) func(int) int { // returns the offset of a byte in the value of a customer's row
		f, _ := os.ReadFile(filepath.Join(dir, dbName))
		i := bytes.LastIndex(f, rowKey(l.ledger.Lines()[9].Key))
		return func(int) int { return i + 14 }
	}
	wal := filepath.Base(l.current.path)
	for what, c := range map[string]struct {
		do       func(dir string)
		setAside bool
		minTaken uint64 // minimum number of requests taken in the restored ledger
	}{
		"a row":             {func(dir string) { corruptFile(dir, dbName, row(dir), "~~~~") }, true, 0},
		"both heads":        {func(dir string) { corruptFile(dir, dbName, func(int) int { return 0 }, strings.Repeat("~", 8192)) }, true, 0},
		"a store cut short": {func(dir string) { corruptFile(dir, dbName, func(int) int { return 9000 }, "") }, true, 0},
		"the middle of a log": {func(dir string) {
			corruptFile(dir, wal, func(int) int { return headerSize + 50*recordSize + 17 }, "~~~")
		}, false, 200},
		"the head of a log":    {func(dir string) { corruptFile(dir, wal, func(int) int { return 3 }, "~~~") }, false, 200},
		"a log cut short":      {func(dir string) { corruptFile(dir, wal, func(int) int { return 20 }, "") }, false, 200},
		"a store of no length": {func(dir string) { corruptFile(dir, dbName, func(int) int { return 100 }, "") }, true, 0},
	} {
		t.Run(what, func(t *testing.T) {
			copied := copyFolder(t, dir)
			c.do(copied)
			after, found := openTestLedger(t, options(copied))
			defer after.Close()
			if len(found.Notes) == 0 {
				t.Error("the damage is not reported in a note")
			}
			bad, _ := filepath.Glob(filepath.Join(copied, dbName+".bad-*"))
			if c.setAside != (len(bad) == 1) {
				t.Errorf("unexpected files set aside: %v", bad)
			}
			got := after.ledger.Total()
			if n := got.N[ledger.FrontTaken]; n < c.minTaken || n > total.N[ledger.FrontTaken] {
				t.Errorf("the ledger has %d requests taken, fewer than minTaken or more than were posted", n)
			}
			if err := after.commitStatement(); err != nil {
				t.Fatal(err)
			}
			requireBalanced(t, copied, after.ledger)
		})
	}
	if _, _, _, _, err := Open(options(dir)); !errors.Is(err, ErrInUse) {
		t.Errorf("a second gateway on the same folder: got error %v, expected ErrInUse", err)
	}
	l.Close()
}

// TestHoleBetweenSegments guards against replaying a segment after a hole. The end of a segment is missing and the next one is
// present, as after a crash of the machine, or for a reader that read the segment before it was full. The next segment must not
// be replayed, and the ledger must balance.
func TestHoleBetweenSegments(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTestLedger(t, options(dir))
	defer l.Close()
	if err := l.commitStatement(); err != nil {
		t.Fatal(err)
	}
	first := filepath.Base(l.current.path)
	n := 0
	ledgertest.RandomPostings(6, 300, 20, func(p ledger.Posting) {
		l.waitForSpare()
		l.post(p)
		n++
	})
	if filepath.Base(l.current.path) == first {
		t.Fatalf("%d postings did not fill a segment", n)
	}
	for _, lost := range []int{1, 7, 100} {
		copied := copyFolder(t, dir)
		path := filepath.Join(copied, first)
		f, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		end := headerSize + l.current.capacity*recordSize // the last record is reserved for the mark of a gap
		clear(f[end-lost*recordSize : end])
		os.WriteFile(path, f, 0o600)
		v, err := Read(copied)
		if err != nil {
			t.Fatal(err)
		}
		if found := v.Ledger.Audit(true); len(found) > 0 {
			t.Errorf("with %d records lost, the ledger has mismatches: %v", lost, found)
		}
		after, found := openTestLedger(t, options(copied))
		if notes := strings.Join(found.Notes, "; "); !strings.Contains(notes, "behind the break were not trusted") {
			t.Errorf("with %d records lost, the notes do not mention the break: %q", lost, notes)
		}
		if err := after.commitStatement(); err != nil {
			t.Fatal(err)
		}
		requireBalanced(t, copied, after.ledger)
		after.Close()
	}
}

// TestReadWhileWriting guards against readers that see a stale or torn state while a gateway writes: Read must return all
// postings so far. The test also checks that only the newest records, up to the limit, remain.
func TestReadWhileWriting(t *testing.T) {
	o := options(t.TempDir())
	o.Records = 50
	l, _ := openTestLedger(t, o)
	defer l.Close()
	if err := l.commitStatement(); err != nil {
		t.Fatal(err)
	}
	n := 0
	ledgertest.RandomPostings(5, 300, 20, func(p ledger.Posting) {
		l.waitForSpare()
		l.post(p)
		if n++; n%200 != 0 {
			return
		}
		v, err := Read(o.Dir)
		if err != nil || v.Ledger.Total() != l.ledger.Total() || v.Ledger.OpenCount() != l.ledger.OpenCount() {
			t.Fatalf("after %d postings, Read returned error %v or a different ledger", n, err)
		}
		if found := v.Ledger.Audit(true); len(found) > 0 {
			t.Fatal(found)
		}
		if err := l.commitStatement(); err != nil {
			t.Fatal(err)
		}
	})
	v, err := Read(o.Dir)
	if err != nil || v.Last-v.First != 49 {
		t.Errorf("the records are %d to %d, expected 50; error %v", v.First, v.Last, err)
	}
	if fmt.Sprint(v.Names) != fmt.Sprint(names) {
		t.Errorf("got the names %v, expected those that were committed", v.Names)
	}
}

// BenchmarkDurablePosting compares ways to make a posting durable, which docs/design/ledger.md discusses.
func BenchmarkDurablePosting(b *testing.B) {
	p := ledger.Posting{Event: ledger.FrontTaken, Key: ledger.Key{Customer: 7}, Ref: 1, Units: 1e6, At: 1}
	b.Run("mapped log", func(b *testing.B) {
		o := options(b.TempDir())
		o.SegmentBytes = 4 << 20
		s, _, _, _, err := Open(o)
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		for i := 0; b.Loop(); i++ {
			if i%80000 == 0 { // often enough that the log does not fill up
				b.StopTimer()
				time.Sleep(5 * time.Millisecond)
				s.EndPeriod()
				s.Stage(ledger.Statement{})
				if err := s.Commit(names); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
			}
			s.Append(p)
		}
	})
	b.Run("written log", func(b *testing.B) {
		f, err := os.Create(filepath.Join(b.TempDir(), "log"))
		if err != nil {
			b.Fatal(err)
		}
		defer f.Close()
		rec := make([]byte, recordSize)
		for i := 0; b.Loop(); i++ {
			encode(rec, 1, uint32(i), p)
			if _, err := f.Write(rec); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("embedded store, a transaction each, unsynced", func(b *testing.B) {
		db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, &bbolt.Options{NoSync: true})
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		rec := make([]byte, recordSize)
		for i := 0; b.Loop(); i++ {
			encode(rec, 1, uint32(i), p)
			if err := db.Update(func(tx *bbolt.Tx) error {
				k, err := tx.CreateBucketIfNotExists(bucketRows)
				if err != nil {
					return err
				}
				return k.Put(rowKey(p.Key), rec)
			}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
