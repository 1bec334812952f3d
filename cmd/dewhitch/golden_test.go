package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/admin"
	"dewhitch/internal/discovery"
	"dewhitch/internal/exclusions"
	"dewhitch/internal/golden"
	"dewhitch/internal/handover"
	"dewhitch/internal/ops"
	"dewhitch/internal/snapshot"
	"dewhitch/internal/telemetry"
)

// goldenTime is the time of the golden snapshot.
const goldenTime = dw.Instant(1_790_000_000_000_000_000)

// goldenSnapshot returns a snapshot in which each field has a different value.
func goldenSnapshot() (snapshot.Generation, *snapshot.Image) {
	return snapshot.Generation{Incarnation: 71, Number: 72}, &snapshot.Image{
		Node: "n7", Instances: 5, Self: 3, Zones: 2, Classes: []string{"query", "booking"},
		Plans: []snapshot.Plan{{Name: "fleet", Rate: 8.1, Burst: 16.2, Ceiling: 24.3}, {Name: "basic", Rate: 4.4, Burst: 9.5, Ceiling: 12.6}},
		State: dw.State{
			At: goldenTime, SentAttempts: 101.1, EndpointRequests: 102.2, ThrottleRequests: 103.3, ThrottleAccepts: 104.4, RetryBudget: 105.5, Latency: 0.061, IdleLatency: 0.052,
			MeanPriority: 2.3, MeasuredAt: goldenTime - 1e9, CounterCallRate: 106.6, CounterMinLatency: 0.0017, ClassLatencyRatios: []float64{1.25, 3.75},
			ZoneFailureShare: []float64{0.125, 0.625},
			Servers: []dw.ServerStatistics{
				{
					Endpoint: dw.Endpoint{ID: 0x5be2a07c, Cell: 11, Zone: 1, Kind: 13, StartedAt: goldenTime - 2e9, Rating: 14.5,
						State: dw.Draining, FleetSlowStartRate: 15.5, HealthCheck: dw.HealthCheckAny},
					Latency: 0.071, MeasuredAt: goldenTime - 3e9, SucceededAt: goldenTime - 4e9, SlowStartBudget: 0.81, SlowStartBudgetAt: goldenTime - 5e9,
					Failures: []dw.FailureStatistics{{Count: 21, SucceededAt: goldenTime - 6e9, FirstFailedAt: goldenTime - 7e9, EjectedUntil: goldenTime + 8e9}, {}},
				},
				{
					Endpoint: dw.Endpoint{ID: 9, Cell: 31, Zone: 32, Kind: 33, Rating: 34.5, State: dw.Removed, FleetSlowStartRate: 35.5, HealthCheck: dw.HealthCheckIdempotent},
					Latency:  0.072, Failures: []dw.FailureStatistics{},
				},
			},
			Customers: []dw.AccountState{
				{
					ID: 0xfedcba9876543210, Plan: 1, Spread: 4, Assigned: true, Window: 4e9, Level: 41.1, PredictedUse: 42.2, OwnRate: 43.3,
					OthersRate: 44.4, Demand: 45.5, DemandSpan: 46.6, UpdatedAt: goldenTime - 9e9, LastTotalAt: goldenTime - 10e9,
					BlockedUntil: goldenTime + 11e9, LastRequestAt: goldenTime - 12e9, WindowNumber: 447_500_000, WindowTotal: 47.7, OwnInWindow: 48.8, WindowElapsed: 49.9,
				},
				{ID: 0xabc, Plan: 9, Spread: 2, Window: 8e9, Level: -51.1},
			},
		},
	}
}

// TestGoldenSnapshotShow guards against changes in what the command snapshot show prints, as JSON and as tables. Operators'
// scripts read the JSON, whose keys are the field names of the snapshot's struct types, so that renaming a field would break
// them.
func TestGoldenSnapshotShow(t *testing.T) {
	generation, image := goldenSnapshot()
	text, err := snapshot.Encode(nil, generation, image)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "a.snapshot")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "show.json", captureStdout(t, func() error { return snapshotShow{File: file, JSON: true}.Run() }))
	now := time.Unix(0, int64(goldenTime)).Add(1500 * time.Millisecond)
	golden.Compare(t, "show", captureStdout(t, func() error { return printSnapshot(generation, image, now) }))

	var got struct {
		Generation snapshot.Generation
		snapshot.Image
	}
	generation, image = goldenSnapshot() // again, as printSnapshot has sorted the customers
	d := json.NewDecoder(bytes.NewReader(golden.Read(t, "show.json")))
	d.DisallowUnknownFields()
	if err := d.Decode(&got); err != nil || got.Generation != generation || !reflect.DeepEqual(&got.Image, image) {
		t.Errorf("the JSON decodes with error %v\n     got %+v %+v\nexpected %+v %+v", err, got.Generation, got.Image, generation, *image)
	}
}

// captureStdout returns what f writes to the standard output.
func captureStdout(t *testing.T, f func() error) []byte {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	defer func(stdout *os.File) { os.Stdout = stdout }(os.Stdout)
	os.Stdout = out
	if err := f(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(out.Name())
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestGoldenCalls guards against changes in the answers to operators' calls, which operators' scripts read: the keys of the
// figures of a gateway that has just started, and the answer for a server that was never listed.
func TestGoldenCalls(t *testing.T) {
	calls := &adminCalls{state: &ops.State{}, figures: &ops.Figures{}, metrics: telemetry.New(),
		log: zap.NewNop()}
	decoder := discovery.NewDecoder(discovery.Names{})
	calls.exclusions = exclusions.New(handover.Path(t.TempDir(), "n0"), nil, decoder.Lookup, nil, calls.log)
	calls.figures.AddClasses([]string{"lookup"})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() {
		served <- (&admin.Server{Listener: listener, Gateway: calls, Log: calls.log}).Serve(t.Context())
	}()
	var answers bytes.Buffer
	for _, line := range []string{"readyz", "telemetry", "exclude none", "include none", "evacuate", "activate"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, line+"\n")
		answer, err := io.ReadAll(conn)
		conn.Close()
		if err != nil {
			t.Fatal(err)
		}
		answers.WriteString("> " + line + "\n")
		answers.Write(answer)
	}
	golden.Compare(t, "calls", answers.Bytes())
	select {
	case err := <-served:
		t.Errorf("the admin server ended with %v before the test did", err)
	default:
	}
}
