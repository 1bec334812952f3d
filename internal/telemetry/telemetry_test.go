package telemetry

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/ledger"
)

// TestMeasurementsAreExported checks that measurements appear in the operators' JSON line and in the metrics, under the names
// that alerts use.
func TestMeasurementsAreExported(t *testing.T) {
	m := New()
	prometheus.NewPedanticRegistry().MustRegister(m)
	m.ListRead(7, 450_000, 20*time.Millisecond)
	m.ListApplied(6, 30*time.Millisecond)
	m.ListApplied(7, 25*time.Millisecond)
	m.ListInterrupted("too_long")
	m.Waited(core.QueueEndpoints, 3*time.Millisecond)
	m.Waited(core.QueueEndpoints, time.Millisecond)
	m.Answered(ledger.PlanRejectedQuota)
	m.Answered(ledger.FrontTaken) // not an event of the planner
	m.Retried(dw.OutcomeNotSent)
	m.ConnectionClosed("drained")
	m.ConnectionEndedOwed("evicted")
	m.CommandsRefused("evicted", 3)
	m.ConnectionsOverdue(2)
	var got map[string]int64
	if err := json.Unmarshal(append(m.AppendFields([]byte(`{"a":1`)), '}'), &got); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int64{"list_version_read": 7, "list_version_applied": 7, "list_age_applied_ms": 25,
		"list_age_applied_max_ms": 30, "wait_news_max_ms": 3, "wait_arrival_max_ms": 0} {
		if got[name] != want {
			t.Errorf("%s: got %d, want %d", name, got[name], want)
		}
	}
	want := `
# HELP dewhitch_list_version Version of the list of servers, by how far it has come.
# TYPE dewhitch_list_version gauge
dewhitch_list_version{stage="applied"} 7
dewhitch_list_version{stage="read"} 7
# HELP dewhitch_list_breaks_total Ends of the list's connection, by reason.
# TYPE dewhitch_list_breaks_total counter
dewhitch_list_breaks_total{reason="too_long"} 1
# HELP dewhitch_connections_overdue_total Client connections held past the time of a drain or an ending.
# TYPE dewhitch_connections_overdue_total counter
dewhitch_connections_overdue_total 2
`
	if err := testutil.CollectAndCompare(m, strings.NewReader(want), "dewhitch_list_version", "dewhitch_list_breaks_total",
		"dewhitch_connections_overdue_total"); err != nil {
		t.Error(err)
	}
}
