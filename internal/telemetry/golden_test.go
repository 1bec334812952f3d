package telemetry

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/golden"
	"dewhitch/internal/ledger"
)

// goldenMetrics returns metrics with a distinct value in each figure.
func goldenMetrics() *Metrics {
	m := New()
	m.ListRead(101, 450_000, 102*time.Millisecond)
	m.ListRead(103, 460_000, 104*time.Millisecond)
	m.ListRead(105, 470_000, 23*time.Millisecond)
	m.ListApplied(106, 107*time.Millisecond)
	m.ListApplied(108, 24*time.Millisecond)
	for q := range core.QueueCount {
		m.Waited(q, time.Duration(201+int(q))*time.Millisecond)
	}
	m.Late("reader", 205*time.Millisecond)
	m.ListInterrupted("too_long")
	m.ConnectionClosed("drained")
	m.ConnectionEndedOwed("evicted")
	m.CommandsRefused("evicted", 3)
	m.ConnectionsOverdue(2)
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		m.Answered(e)
	}
	for o := range dw.OutcomeCount {
		m.Retried(o)
	}
	return m
}

// TestGoldenMetrics compares the names, types and labels of the metrics with the golden file. Operators' alerts depend on them.
func TestGoldenMetrics(t *testing.T) {
	golden.Compare(t, "metrics", golden.Metrics(t, goldenMetrics()))
}

// TestGoldenFields compares the fields that follow the figures in the answer to the operators' call telemetry with the golden
// file.
func TestGoldenFields(t *testing.T) {
	golden.Compare(t, "fields.json", append(goldenMetrics().AppendFields([]byte(`{"first":1`)), '}'))
	want := map[string]int64{"first": 1, "list_version_read": 105, "list_age_read_ms": 23, "list_age_read_max_ms": 104,
		"list_version_applied": 108, "list_age_applied_ms": 24, "list_age_applied_max_ms": 107, "wait_news_max_ms": 201,
		"wait_control_max_ms": 202, "wait_outcome_max_ms": 203, "wait_arrival_max_ms": 204}
	var got map[string]int64
	if err := json.Unmarshal(golden.Read(t, "fields.json"), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %v\nwant %v", err, got, want)
	}
}
