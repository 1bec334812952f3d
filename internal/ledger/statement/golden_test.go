package statement

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"dewhitch/internal/golden"
	"dewhitch/internal/ledger"
)

// figuresFrom returns counts and units that differ for each event.
func figuresFrom(from uint64) *ledger.Counts {
	c := &ledger.Counts{}
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		c.Set(e, from+uint64(e), -int64(from)*1e5-int64(e))
	}
	return c
}

// chainedRecords returns a record of each kind and one with all fields, in the chain of one node.
func chainedRecords() []Record {
	from, to := time.Date(2026, 3, 1, 6, 0, 0, 1000, time.UTC), time.Date(2026, 3, 1, 6, 1, 2, 30, time.UTC)
	return []Record{
		{Seq: 1, Node: "f1", Role: Forwarder, Incarnation: 2, Kind: StartRecord, From: from, To: to, Note: "3 postings replayed",
			Chain: "87b8e99b56c5e4d2"},
		{Seq: 2, Node: "f1", Role: Forwarder, Incarnation: 2, Kind: Gap, From: to, To: from,
			Note: "späť <torn> & \"odd\" \\ \n", Chain: "f2a4f37589367be9"},
		{Seq: 3, Node: "f1", Role: Forwarder, Incarnation: 2, Kind: AttemptRecord, From: from, To: to, Customer: "00000000000000aa",
			Plan: "fleet", Class: "booking", Key: "00000000deadbeef", End: "served", Chain: "4093a5561d376168"},
		{Seq: 4, Node: "f1", Role: Forwarder, Incarnation: 2, Kind: Figures, From: from, To: to, Customer: "others",
			Plan: "-", Class: "account", Figures: figuresFrom(300), Chain: "4bbfce1f718065eb"},
		{Seq: 5, Node: "f1", Role: Gateway, Incarnation: 4, Kind: Figures, From: from, To: to, Customer: "00000000000000bb",
			Plan: "basic", Class: "space-query", Figures: figuresFrom(5000), Key: "00000000feedbeef", End: "refused",
			Note: "all fields", Chain: "0c0700360b99a8cb"},
	}
}

// TestRecordForm compares the JSON lines of records of each kind, and their chain, with a golden file. Other versions of the program
// read them on other machines, to merge and verify them.
func TestRecordForm(t *testing.T) {
	var lines []byte
	before := ""
	for _, want := range chainedRecords() {
		r := want
		r.Chain = ""
		lines = append(r.Seal(lines, before), '\n')
		if before = r.Chain; r.Chain != want.Chain {
			t.Errorf("record %d has the unexpected chain %s", r.Seq, r.Chain)
		}
	}
	golden.Compare(t, "records.jsonl", lines)
	var got []Record
	var chain Chain
	if err := Read(bytes.NewReader(golden.Read(t, "records.jsonl")), func(r Record) error {
		got = append(got, r)
		return chain.Next(r)
	}); err != nil || !reflect.DeepEqual(got, chainedRecords()) {
		t.Errorf("the golden file is parsed as %+v, error %v", got, err)
	}
}

// TestCSVForm compares the header and the rows of the CSV form with a golden file. Accounting software reads it.
func TestCSVForm(t *testing.T) {
	var out bytes.Buffer
	c, err := NewCSV(&out)
	for _, r := range chainedRecords() {
		err = errors.Join(err, c.Write(r))
	}
	if err = errors.Join(err, c.Flush()); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "records.csv", out.Bytes())
}

// TestTableForm compares the table of sums with a golden file.
func TestTableForm(t *testing.T) {
	var out bytes.Buffer
	if err := WriteTable(&out, []Sum{
		{RowName: RowName{Customer: "00000000000000aa", Plan: "fleet", Class: "booking"}, Counts: *figuresFrom(100), Forwarded: 7, ClientAttempts: 8},
		{RowName: RowName{Plan: "basic", Class: "space-query"}, Counts: *figuresFrom(9000), Forwarded: 10, ClientAttempts: 11},
		{RowName: RowName{Customer: "left out", Plan: "-", Class: "account"}, Counts: *figuresFrom(200), Forwarded: 12, ClientAttempts: 13},
	}); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "table", out.Bytes())
}

// TestMergedForm compares the result of merging and verifying the golden records with a golden file: sums, gaps, and the messages
// for rows with contradictory figures and for records that are missing, changed or duplicates.
func TestMergedForm(t *testing.T) {
	records := chainedRecords()
	changed := records[3]
	changed.Seq = 8
	m := NewMerged()
	for _, r := range append(records, records[4], changed) {
		m.Add(r)
	}
	changed.Seq, changed.Incarnation = 9, 6
	m.Add(changed)
	m.Add(record(7, "g1", func(r *Record) {
		setCounts(r, ledger.FrontTaken, 1, ledger.FrontServed, 1, ledger.PlanServed, 2, ledger.PlanRejectedQuota, 3)
		r.Figures.Set(ledger.PlanTaken, 1, 4e6)
	}))
	m.Add(record(8, "g2", func(r *Record) {
		r.Class = "account"
		setCounts(r, ledger.UnitsPushed, 1, ledger.CallStarted, 1)
		r.Figures.Set(ledger.CallAdded, 1, 3e6)
	}))
	var out bytes.Buffer
	for _, byCustomer := range []bool{false, true} {
		if err := WriteTable(&out, m.Sums(byCustomer)); err != nil {
			t.Fatal(err)
		}
	}
	for _, err := range m.Verify() {
		out.WriteString(err.Error() + "\n")
	}
	n := m.Nodes["f1"]
	if n.Name != "f1" || n.Role != Forwarder || n.Incarnations != 6 || n.First != 1 || !reflect.DeepEqual(n.Gaps, []string{records[1].Note}) {
		t.Errorf("the merged node is %+v", n)
	}
	golden.Compare(t, "merged", out.Bytes())
}
