package operator

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"dewhitch/internal/golden"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/recorder"
)

// fixedSource is a Source with a constant report.
type fixedSource recorder.Report

func (b fixedSource) Report() recorder.Report { return recorder.Report(b) }

// counts returns a count for each event, which is first plus the number of the event, and distinct units.
func counts(first uint64) (c ledger.Counts) {
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		n := first + uint64(e)
		c.Set(e, n, int64(n)*1_000_000+int64(e))
	}
	return c
}

// TestGoldenPages compares the operators' pages of the ledger, the metrics with names, labels and values and the JSON lines of
// /ledger, with golden files. Operators' alerts and scripts read them.
func TestGoldenPages(t *testing.T) {
	report := fixedSource{
		Names: ledger.Names{Plans: []string{"fleet", "basic"}, Classes: []string{"query", "booking"}},
		Lines: []ledger.Line{
			{Key: ledger.Key{Customer: 0xabc, Plan: 0, Class: 1}, Counts: counts(1000)},
			{Key: ledger.Key{Customer: ledger.Others, Plan: 1, Class: 0}, Counts: counts(2000)},
			{Key: ledger.Key{Customer: 0xdef, Plan: 1, Class: ledger.ClassQuery}, Counts: counts(3000)},
			{Key: ledger.Key{Customer: 0xdef, Plan: 1, Class: ledger.ClassAdjust}, Counts: counts(4000)},
			{Key: ledger.Account(0xdef), Counts: counts(5000)},
			{Key: ledger.Key{Customer: 0xdef, Plan: 7, Class: 8}}, // indices without names, and no postings
		},
		Total: counts(6000), Open: 11, Rows: 12, Evictions: 13, Abandoned: 14, Alarms: 15, Raised: 16, Cleared: 17,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- Serve(t.Context(), l, Ledger(report, func() bool { return true })) }()
	for path, name := range map[string]string{"/metrics": "metrics", "/ledger": "ledger.jsonl"} {
		answer, err := http.Get("http://" + l.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Fatalf("%s: got status %d, error %v", path, answer.StatusCode, err)
		}
		kind, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";") // the library determines the parameters after it
		page := strings.Builder{}
		page.WriteString("Content-Type: " + kind + "\n")
		for line := range strings.Lines(string(body)) {
			if !strings.HasPrefix(line, "go_") && !strings.Contains(line, " go_") { // metrics of the Go runtime are not the program's
				page.WriteString(line)
			}
		}
		golden.Compare(t, name, []byte(page.String()))
	}
	select {
	case err := <-served:
		t.Errorf("Serve returned early: %v", err)
	default:
	}
}
