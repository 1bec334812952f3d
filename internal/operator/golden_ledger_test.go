package operator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dewhitch/internal/golden"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/recorder"
)

// fixedReport is a Source whose report has a value in every field.
type fixedReport struct{}

func (fixedReport) Report() recorder.Report {
	counts := func(first uint64) (c ledger.Counts) {
		for e := ledger.None + 1; e < ledger.EventCount; e++ {
			c.Set(e, first+uint64(e), -int64(first)*1e5-int64(e))
		}
		return c
	}
	return recorder.Report{Names: ledger.Names{Plans: []string{"basic", "fleet"}, Classes: []string{"space-query", "booking"}},
		Lines: []ledger.Line{{Key: ledger.Key{Customer: ledger.Others, Plan: 1, Class: 1}, Counts: counts(100)},
			{Key: ledger.Key{Customer: ledger.Others, Plan: 0, Class: ledger.ClassQuery}, Counts: counts(200)},
			{Key: ledger.Key{Customer: ledger.Others, Plan: 0, Class: ledger.ClassAdjust}},
			{Key: ledger.Account(ledger.Others), Counts: counts(300)}},
		Total: counts(400), Open: 501, Rows: 502, Evictions: 503, Abandoned: 504, Alarms: 505, Raised: 506, Cleared: 507}
}

// TestGoldenLedgerComponent compares the page /ledger and the ledger's metrics with golden files. Operators' tools read them.
func TestGoldenLedgerComponent(t *testing.T) {
	component := Ledger(fixedReport{}, func() bool { return true })
	mux, registry := http.NewServeMux(), prometheus.NewRegistry()
	registry.MustRegister(component)
	component.Pages(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	for path, c := range map[string]struct{ name, kind string }{
		"/ledger":  {"ledger_page.jsonl", "application/jsonl"},
		"/metrics": {"ledger.metrics", "text/plain; version=0.0.4; charset=utf-8; escaping=underscores"},
	} {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if kind := w.Header().Get("Content-Type"); w.Code != http.StatusOK || kind != c.kind {
			t.Errorf("%s: got status %d, content type %s", path, w.Code, kind)
		}
		golden.Compare(t, c.name, w.Body.Bytes())
	}
}
