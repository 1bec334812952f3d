package statement

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"dewhitch/internal/ledger"
)

// record returns a record of figures of a gateway, after changing it with f.
func record(seq uint64, node string, f func(*Record)) Record {
	at := time.Date(2026, 3, 1, 6, 0, int(seq), 0, time.UTC)
	r := Record{Seq: seq, Node: node, Role: Gateway, Incarnation: 1, Kind: Figures, From: at, To: at.Add(time.Second),
		Customer: "00000000000000aa", Plan: "fleet", Class: "booking", Figures: &ledger.Counts{}}
	f(&r)
	if r.Kind != Figures {
		r.Figures = nil
	}
	return r
}

// setCounts sets counts, given as pairs of an event and its count. The units are a million times the count.
func setCounts(r *Record, eventsAndCounts ...any) {
	for i := 0; i < len(eventsAndCounts); i += 2 {
		r.Figures.Set(eventsAndCounts[i].(ledger.Event), uint64(eventsAndCounts[i+1].(int)), int64(eventsAndCounts[i+1].(int))*1e6)
	}
}

// FuzzRecord guards against records whose chain can't be verified after parsing. Any record that parses must be written in a form
// that parses again, with the same chain.
func FuzzRecord(f *testing.F) {
	for _, r := range []Record{record(1, "n0", func(r *Record) { setCounts(r, ledger.FrontTaken, 2, ledger.FrontServed, 2) }),
		record(9, "n\"0\n", func(r *Record) { r.Kind, r.Note = Gap, "späť <&> \\ \x00" })} {
		f.Add(r.Seal(nil, "before"))
	}
	f.Add([]byte(`{"seq":1,"node":"n0","kind":"figures","counts":{"taken":18446744073709551615},"units_millionths":{"taken":-5}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		r, err := Parse(line)
		if err != nil {
			return
		}
		if r.From.Year() < 0 || r.From.Year() > 9999 || r.To.Year() < 0 || r.To.Year() > 9999 {
			return
		}
		again, err := Parse(r.Seal(nil, "before"))
		if err != nil {
			t.Fatalf("%q is written again in a form that does not parse: %v", line, err)
		}
		stated := again.Chain
		if again.Seal(nil, "before"); again.Chain != stated || stated != r.Chain {
			t.Fatalf("%q has a different chain when it is written again", line)
		}
	})
}

// addSealed seals records in a chain for each node, writes them and adds them as they are read.
func addSealed(t *testing.T, m *Merged, records ...Record) {
	t.Helper()
	var b []byte
	chain := map[string]string{}
	for i := range records {
		b = append(records[i].Seal(b, chain[records[i].Node]), '\n')
		chain[records[i].Node] = records[i].Chain
	}
	if err := Read(bytes.NewReader(b), func(r Record) error { m.Add(r); return nil }); err != nil {
		t.Fatal(err)
	}
}

// TestMerge guards against requests that are counted twice: with two gateways and a forwarder, a request that the forwarder
// received and a gateway received again must count as one attempt of a client.
func TestMerge(t *testing.T) {
	m := NewMerged()
	served := func(n int) func(*Record) {
		return func(r *Record) {
			setCounts(r, ledger.FrontTaken, n, ledger.FrontServed, n, ledger.PlanTaken, n, ledger.PlanServed, n, ledger.PlanSent, n,
				ledger.PlanNotified, n, ledger.AttemptStarted, n, ledger.AttemptOK, n)
		}
	}
	forwarder := record(1, "forwarder", func(r *Record) {
		r.Role = Forwarder
		setCounts(r, ledger.FrontTaken, 9, ledger.FrontServed, 6, ledger.FrontFailed, 2, ledger.FrontClientDeparted, 1, ledger.PlanTaken, 9,
			ledger.PlanServed, 6, ledger.PlanFailedExhausted, 3, ledger.PlanSent, 9, ledger.PlanNotified, 9, ledger.AttemptStarted, 9,
			ledger.AttemptOK, 6, ledger.AttemptRejected, 1, ledger.AttemptNotSent, 2)
	})
	addSealed(t, m, record(1, "n0", served(4)), record(2, "n0", served(5)), record(1, "n1", served(3)), forwarder)
	if wrong := m.Verify(); len(wrong) > 0 {
		t.Fatal(wrong)
	}
	sums := m.Sums(false)
	if len(sums) != 1 || sums[0].ClientAttempts != 12+9-6 || sums[0].Forwarded != 6 || sums[0].N[ledger.FrontTaken] != 21 {
		t.Errorf("unexpected sums: %+v", sums)
	}
	var out bytes.Buffer
	if err := WriteTable(&out, sums); err != nil || !bytes.Contains(out.Bytes(), []byte("client tries")) {
		t.Error(out.String(), err)
	}
}

// TestVerify guards against contradictory figures of a row that Verify does not report.
func TestVerify(t *testing.T) {
	for i, c := range [][]any{
		{ledger.FrontTaken, 1, ledger.FrontServed, 2, ledger.PlanTaken, 1},
		{ledger.FrontTaken, 1, ledger.FrontServed, 1, ledger.PlanTaken, 2, ledger.PlanServed, 1},
		{ledger.FrontTaken, 3, ledger.FrontServed, 3, ledger.PlanTaken, 3, ledger.PlanServed, 2},
		{ledger.FrontTaken, 1, ledger.FrontRejected, 1, ledger.PlanTaken, 1, ledger.PlanRejectedQuota, 1, ledger.AttemptOK, 1},
		{ledger.PlanSent, 1, ledger.AttemptStarted, 2, ledger.AttemptOK, 2},
	} {
		m := NewMerged()
		addSealed(t, m, record(1, "n0", func(r *Record) { setCounts(r, c...) }))
		if wrong := m.Verify(); len(wrong) == 0 {
			t.Errorf("case %d: Verify returned no error", i)
		}
	}
	m := NewMerged()
	addSealed(t, m, record(1, "n0", func(r *Record) {
		r.Class = "account"
		setCounts(r, ledger.UnitsPushed, 1, ledger.CallStarted, 1, ledger.CallAdded, 1)
		r.Figures.Set(ledger.CallAdded, 1, 3e6)
	}))
	if wrong := m.Verify(); len(wrong) != 1 {
		t.Error("a call with different units at its start and end: expected one error, got", wrong)
	}
}

// TestBookings guards against attempts that are not linked to their booking. The records hold three bookings: one with
// overlapping attempts through two gateways, one with attempts through two gateways one after the other, and one with a single
// attempt.
func TestBookings(t *testing.T) {
	m := NewMerged()
	attempt := func(seq uint64, node, key string, from, to int, end ledger.Event) Record {
		return record(seq, node, func(r *Record) {
			r.Kind, r.Key, r.End = AttemptRecord, key, end.String()
			r.From, r.To = time.Unix(int64(from), 0), time.Unix(int64(to), 0)
		})
	}
	addSealed(t, m, attempt(1, "n0", "k1", 10, 14, ledger.FrontServed), attempt(1, "n1", "k1", 12, 15, ledger.FrontServed),
		attempt(2, "n0", "k2", 10, 11, ledger.FrontRejected), attempt(2, "n1", "k2", 13, 15, ledger.FrontServed),
		attempt(3, "n0", "k3", 10, 11, ledger.FrontServed))
	if got := fmt.Sprint(m.Bookings()); got != "3 2 1 1" {
		t.Errorf("bookings, those across nodes, overlapping, served twice: got %s, expected 3 2 1 1", got)
	}
}
