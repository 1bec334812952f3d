package store

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/zap"

	"dewhitch/internal/golden"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
)

// memoryFiles creates segments in memory.
type memoryFiles struct{}

func (memoryFiles) Create(_ string, size int) ([]byte, error) { return make([]byte, size), nil }
func (memoryFiles) Unmap([]byte) error                        { return nil }

var (
	previousStatement = time.Date(2026, 3, 1, 6, 0, 0, 1000, time.UTC)
	lastStatement     = time.Date(2026, 3, 1, 6, 1, 2, 3000, time.UTC)
	bookingKey        = ledger.Key{Customer: 0xaa, Plan: 1, Class: 2}
	accountKey        = ledger.Key{Customer: 0xbb, Plan: ledger.NoPlan, Class: ledger.ClassAccount}
	storedNames       = ledger.Names{Plans: []string{"basic", "fleet"}, Classes: []string{"space-query", "lookup", "booking"}}

	postings = []ledger.Posting{
		{Event: ledger.FrontIdempotencyKey, Key: ledger.Key{Customer: 0x1122334455667788, Plan: 0x0102, Class: 0x0304}, Ref: 899,
			Units: -0x0a0b0c0d0e0f1011, At: 0x1213141516171819, Wait: 0x2021},
		{Event: ledger.FrontTaken, Key: bookingKey, Ref: 900, Units: 3e6, At: 1772344860000000000, Wait: 60},
		{Event: ledger.PlanTaken, Key: bookingKey, Ref: 900, Units: 4e6, At: 1772344861000000000, Wait: 61},
	}
)

// TestSegmentFormat guards against changes of the segment format, because other versions of the program read segments after a restart
// or with the ledger command. It compares two segments with golden files. Both hold a header, the record that the log resumes after
// a statement, and postings; one also ends with the record that marks a gap in the log.
func TestSegmentFormat(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  bool
	}{{"segment", false}, {"segment-gap", true}} {
		s, err := createSegment(memoryFiles{}, "", 12, headerSize+6*recordSize)
		if err != nil {
			t.Fatal(err)
		}
		s.putResume(21)
		for _, p := range postings {
			s.put(p)
		}
		if c.gap {
			s.putGap()
		}
		golden.Compare(t, c.name, s.mapped)
		var got []ledger.Posting
		found, err := scan(golden.Read(t, c.name), 12, 0, 21, func(p ledger.Posting) { got = append(got, p) })
		if err != nil || found != (scanResult{end: 4, hasGap: c.gap}) || !reflect.DeepEqual(got, postings) {
			t.Errorf("%s: the golden file is read as %+v %+v, error %v", c.name, got, found, err)
		}
	}
	if s := segmentPath("dir", 0xab); s != "dir/wal-00000000000000ab.log" || dbName != "ledger.db" || lockName != "lock" {
		t.Error("the file names have changed:", s, dbName, lockName)
	}
}

// figures returns counts and units that differ for each event.
func figures(from uint64) (c ledger.Counts) {
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		c.Set(e, from+uint64(e), -int64(from)*1e6-int64(e))
	}
	return c
}

// storedRows returns the rows of the golden store, sorted by key.
func storedRows() []ledger.StoredRow {
	return []ledger.StoredRow{{Key: bookingKey, Counts: figures(100), Lost: [4]uint64{1, 2, 3, 400}},
		{Key: accountKey, Counts: figures(20000), Lost: [4]uint64{5, 6, 7, 8}}}
}

// openEntries returns an entry with all fields and, as it would not show two flags that are swapped, an entry for each flag.
func openEntries() []ledger.OpenEntry {
	return []ledger.OpenEntry{
		{Ref: 500, Entry: ledger.Entry{Key: bookingKey, Units: 11, Since: 12, Wait: 13, HasIdempotencyKey: true, Hash: 14, IsCall: true,
			FrontTaken: true, FrontEnded: true, NeverTaken: true, AnswerLost: true, PlanTaken: true, PlanVerdict: 2, AttemptsOrdered: 15, AttemptsNotified: 16,
			AttemptsStarted: 17, AttemptsEnded: 18, Pushed: true, CallStarted: true, CallEnded: true, CallRejected: true, UnitsReturned: true}},
		{Ref: 501, Entry: ledger.Entry{Key: bookingKey, HasIdempotencyKey: true}},
		{Ref: 502, Entry: ledger.Entry{Key: accountKey, IsCall: true}},
		{Ref: 503, Entry: ledger.Entry{Key: bookingKey, FrontTaken: true}},
		{Ref: 504, Entry: ledger.Entry{Key: bookingKey, FrontEnded: true}},
		{Ref: 505, Entry: ledger.Entry{Key: bookingKey, NeverTaken: true}},
		{Ref: 506, Entry: ledger.Entry{Key: bookingKey, AnswerLost: true}},
		{Ref: 507, Entry: ledger.Entry{Key: bookingKey, PlanTaken: true}},
		{Ref: 508, Entry: ledger.Entry{Key: accountKey, Pushed: true}},
		{Ref: 509, Entry: ledger.Entry{Key: accountKey, CallStarted: true}},
		{Ref: 510, Entry: ledger.Entry{Key: accountKey, CallEnded: true}},
		{Ref: 511, Entry: ledger.Entry{Key: accountKey, CallRejected: true}},
		{Ref: 512, Entry: ledger.Entry{Key: accountKey, UnitsReturned: true}},
	}
}

// storedMeta is the meta of the golden store.
var storedMeta = meta{Version: 1, Node: "n3", Role: statement.Forwarder, Incarnation: 7, Statements: 21, Seq: 45, First: 41,
	Chain: "5ec34aeb5874f821", Segment: 12, Position: 2, Names: storedNames, Stated: lastStatement}

// storedRecords returns the records for export of the golden store.
func storedRecords() []statement.Record {
	booking, account := figures(1000), figures(3000)
	return []statement.Record{
		{Seq: 41, Node: "n3", Role: statement.Forwarder, Incarnation: 7, Kind: statement.StartRecord, From: previousStatement, To: lastStatement,
			Note: "2 postings replayed", Chain: "f702399a79ebd510"},
		{Seq: 42, Node: "n3", Role: statement.Forwarder, Incarnation: 7, Kind: statement.Gap, From: lastStatement, To: previousStatement,
			Note: "<torn> & \"odd\" späť", Chain: "1f4080a6434d221a"},
		{Seq: 43, Node: "n3", Role: statement.Forwarder, Incarnation: 7, Kind: statement.Figures, From: previousStatement, To: lastStatement,
			Customer: "00000000000000aa", Plan: "fleet", Class: "booking", Figures: &booking, Chain: "2f7c2839b197afb5"},
		{Seq: 44, Node: "n3", Role: statement.Forwarder, Incarnation: 7, Kind: statement.Figures, From: previousStatement, To: lastStatement,
			Customer: "00000000000000bb", Plan: "-", Class: "account", Figures: &account, Chain: "9c77eae1d67da865"},
		{Seq: 45, Node: "n3", Role: statement.Forwarder, Incarnation: 7, Kind: statement.AttemptRecord, From: time.Unix(1772344800, 5).UTC(),
			To: time.Unix(1772344801, 6).UTC(), Customer: "00000000000000aa", Plan: "fleet", Class: "booking",
			Key: "00000000deadbeef", End: "refused", Chain: "5ec34aeb5874f821"},
	}
}

// dump returns a line for each value of an embedded store: the bucket, the key in hexadecimal, and the quoted value.
func dump(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var lines strings.Builder
	if err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&lines, "%s %x %+q\n", name, k, v)
				return err
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return lines.String()
}

// restore creates an embedded store from the lines that dump returned.
func restore(t *testing.T, path, lines string) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Update(func(tx *bbolt.Tx) error {
		for line := range strings.Lines(lines) {
			part := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", 3)
			key, err := hex.DecodeString(part[1])
			if err != nil {
				return err
			}
			value, err := strconv.Unquote(part[2])
			if err != nil {
				return err
			}
			b, err := tx.CreateBucketIfNotExists([]byte(part[0]))
			if err != nil {
				return err
			}
			if err := b.Put(key, []byte(value)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
}

// TestStoreForm compares the embedded store with a golden file: the meta and the open entries (JSON), the rows (binary) and the
// records for export, under their keys. Other versions of the program read it after a restart. The statement has fixed times, so
// that no value needs to be masked.
func TestStoreForm(t *testing.T) {
	dir := t.TempDir()
	s := &Store{options: Options{Dir: dir, OpenTimeout: time.Second, Records: 5}, meta: meta{Version: 1, Node: "n3", Role: statement.Forwarder,
		Incarnation: 7, Statements: 20, Seq: 40, First: 38, Chain: "00112233445566ff", Segment: 11, Position: 1, Stated: previousStatement}}
	p := newStagedStatement()
	for _, k := range append(storedRows(), ledger.StoredRow{Key: ledger.Key{Customer: 9}, RolledUp: true}) {
		p.rows[k.Key] = k
	}
	booking, account := figures(1000), figures(3000)
	p.deltas[bookingKey], p.deltas[accountKey] = &booking, &account
	p.open, p.segment, p.position, p.end = openEntries(), 12, 2, lastStatement
	p.idempotentRequests = []ledger.IdempotentRequest{{Key: bookingKey, Hash: 0xdeadbeef, Taken: 1772344800000000005, Ended: 1772344801000000006,
		End: ledger.FrontRejected}}
	p.notes = []statement.Record{{Kind: statement.StartRecord, From: previousStatement, To: lastStatement, Note: "2 postings replayed"},
		{Kind: statement.Gap, From: lastStatement, To: previousStatement, Note: "<torn> & \"odd\" späť"}}
	got, err := s.write(p, storedNames)
	if err != nil || !reflect.DeepEqual(got, storedMeta) {
		t.Errorf("write returned the meta %+v, error %v", got, err)
	}
	golden.Compare(t, "store", []byte(dump(t, filepath.Join(dir, dbName))))
}

// TestStoreRead reads the golden store and the golden segment after it with each reader of the program: the start of a process,
// the commands that show a ledger, and the export.
func TestStoreRead(t *testing.T) {
	dir := t.TempDir()
	restore(t, filepath.Join(dir, dbName), string(golden.Read(t, "store")))
	if err := os.WriteFile(segmentPath(dir, 12), golden.Read(t, "segment"), 0o600); err != nil {
		t.Fatal(err)
	}
	m, c, err := loadStore(filepath.Join(dir, dbName))
	if err != nil || !reflect.DeepEqual(m, storedMeta) || !reflect.DeepEqual(c, storedLedger{storedRows(), openEntries()}) {
		t.Errorf("the golden store is loaded as %+v %+v, error %v", m, c, err)
	}

	lines := []ledger.Line{{Key: bookingKey, Counts: figures(100)}, {Key: accountKey, Counts: figures(20000)}}
	lines[0].Counts.Record(ledger.FrontTaken, 3e6) // the log from record 2 on
	lines[0].Counts.Record(ledger.PlanTaken, 4e6)
	v, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if got := v.Ledger.Lines(); !reflect.DeepEqual(got, lines) || v.Ledger.OpenCount() != len(openEntries())+1 {
		t.Errorf("the ledger is read as %+v, with %d open entries", got, v.Ledger.OpenCount())
	}
	v.Ledger = nil
	if want := (&View{Node: "n3", Role: statement.Forwarder, Incarnation: 7, Names: storedNames, Replayed: 2, First: 41, Last: 45}); !reflect.DeepEqual(v, want) {
		t.Errorf("Read returned %+v", v)
	}

	var records []statement.Record
	if err := Records(dir, 0, func(_ []byte, r statement.Record) error {
		records = append(records, r)
		return nil
	}); err != nil || !reflect.DeepEqual(records, storedRecords()) {
		t.Errorf("the records are read as %+v, error %v", records, err)
	}

	s, _, known, found, err := Open(Options{Dir: dir, Node: "n3", Role: statement.Forwarder, SegmentBytes: 16 << 10, Segments: 8,
		Records: 5, Limits: ledger.Limits{Rows: 100, Open: 100, RecentPostings: 64}, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(known, storedNames) || found.Incarnation != 8 || found.Replayed != 2 || len(found.Notes) != 0 {
		t.Errorf("Open returned the names %+v and %+v", known, found)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
