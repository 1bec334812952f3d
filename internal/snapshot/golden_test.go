package snapshot_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	dw "dewhitch"
	"dewhitch/internal/golden"
	"dewhitch/internal/snapshot"
)

// goldenGeneration and goldenImage are the content of the golden snapshot. Each field has a distinct value.
var goldenGeneration = snapshot.Generation{Incarnation: 0x0102030405060708, Number: 0x1112131415161718}

func goldenImage() *snapshot.Image {
	return &snapshot.Image{
		Node: "n7", Instances: 5, Self: 3, Zones: 2, Classes: []string{"query", "booking"},
		Plans: []snapshot.Plan{
			{Name: "fleet", Rate: 8.1, Burst: 16.2, Ceiling: 24.3},
			{Name: "basic", Rate: 4.4, Burst: 9.5, Ceiling: 12.6},
		},
		State: dw.State{
			At: 1_790_000_000_000_000_001, SentAttempts: 101.1, EndpointRequests: 102.2, ThrottleRequests: 103.3, ThrottleAccepts: 104.4, RetryBudget: 105.5,
			Latency: 0.061, IdleLatency: 0.052, MeanPriority: 2.3, MeasuredAt: 1_790_000_000_000_000_002,
			CounterCallRate: 106.6, CounterMinLatency: 0.0017, ClassLatencyRatios: []float64{1.25, 3.75}, ZoneFailureShare: []float64{0.125, 0.625},
			Servers: []dw.ServerStatistics{
				{
					Endpoint: dw.Endpoint{ID: 0x5be2a07c, Cell: 11, Zone: 1, Kind: 13, StartedAt: 1_790_000_000_000_000_003,
						Rating: 14.5, State: dw.Draining, FleetSlowStartRate: 15.5, HealthCheck: dw.HealthCheckAny},
					Latency: 0.071, MeasuredAt: 1_790_000_000_000_000_004, SucceededAt: 1_790_000_000_000_000_005, SlowStartBudget: 0.81,
					SlowStartBudgetAt: 1_790_000_000_000_000_006,
					Failures: []dw.FailureStatistics{
						{Count: 21, SucceededAt: 1_790_000_000_000_000_007, FirstFailedAt: 1_790_000_000_000_000_008, EjectedUntil: 1_790_000_000_000_000_009},
						{Count: 22, SucceededAt: 1_790_000_000_000_000_010, FirstFailedAt: 1_790_000_000_000_000_011, EjectedUntil: 1_790_000_000_000_000_012},
					},
				},
				{
					Endpoint: dw.Endpoint{ID: 0x00000009, Cell: 31, Zone: 32, Kind: 33, StartedAt: 1_790_000_000_000_000_013,
						Rating: 34.5, State: dw.Removed, FleetSlowStartRate: 35.5, HealthCheck: dw.HealthCheckIdempotent},
					Latency: 0.072, MeasuredAt: 1_790_000_000_000_000_014, SucceededAt: 1_790_000_000_000_000_015, SlowStartBudget: 0.82,
					SlowStartBudgetAt: 1_790_000_000_000_000_016, Failures: []dw.FailureStatistics{
						{Count: 23, SucceededAt: 1_790_000_000_000_000_017, FirstFailedAt: 1_790_000_000_000_000_018, EjectedUntil: 1_790_000_000_000_000_019},
					},
				},
			},
			Customers: []dw.AccountState{
				{
					ID: 0xfedcba9876543210, Plan: 1, Spread: 4, Assigned: true, Window: 4_000_000_001, Level: 41.1, PredictedUse: 42.2,
					OwnRate: 43.3, OthersRate: 44.4, Demand: 45.5, DemandSpan: 46.6, UpdatedAt: 1_790_000_000_000_000_020,
					LastTotalAt: 1_790_000_000_000_000_021, BlockedUntil: 1_790_000_000_000_000_022, LastRequestAt: 1_790_000_000_000_000_023,
					WindowNumber: 447_500_000, WindowTotal: 47.7, OwnInWindow: 48.8, WindowElapsed: 49.9,
				},
				{
					ID: 0x0000000000000abc, Plan: 0, Spread: 2, Assigned: false, Window: 8_000_000_002, Level: -51.1, PredictedUse: -52.2,
					OwnRate: 53.3, OthersRate: 54.4, Demand: 55.5, DemandSpan: 56.6, UpdatedAt: 1_790_000_000_000_000_024,
					LastTotalAt: 1_790_000_000_000_000_025, BlockedUntil: 1_790_000_000_000_000_000, LastRequestAt: 1_790_000_000_000_000_026,
					WindowNumber: 223_750_000, WindowTotal: 57.7, OwnInWindow: 58.8, WindowElapsed: 59.9,
				},
			},
		},
	}
}

// TestGoldenSnapshot compares the bytes of a snapshot, the header and the CBOR of an image, with the golden file. The next
// process of the gateway, perhaps of another version, depends on the names and the order of fields.
func TestGoldenSnapshot(t *testing.T) {
	b, err := snapshot.Encode(nil, goldenGeneration, goldenImage())
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "image.snapshot", b)
	g, m, err := snapshot.Decode(golden.Read(t, "image.snapshot"))
	if err != nil || g != goldenGeneration || !reflect.DeepEqual(m, goldenImage()) {
		t.Errorf("decoding the golden snapshot: error %v\n got %+v %+v\nwant %+v %+v", err, g, m, goldenGeneration, goldenImage())
	}
	if err := snapshot.Check(m); err != nil {
		t.Error(err)
	}
}

// TestGoldenSnapshotFiles compares the names of a gateway's snapshot files with the golden file. By these names the next process
// finds the newest snapshot and removes the outdated ones with their temporary files.
func TestGoldenSnapshotFiles(t *testing.T) {
	dir := t.TempDir()
	var listing strings.Builder
	list := func(after string) {
		t.Helper()
		files, err := os.ReadDir(dir)
		if err != nil {
			t.Fatal(err)
		}
		listing.WriteString(after + ":")
		for _, f := range files {
			listing.WriteString(" " + f.Name())
		}
		listing.WriteString("\n")
	}
	// The names are literals, so that the test covers names that other versions write.
	const outdated, latest = "dewhitch-n7.0000000000000002.snapshot", "dewhitch-n7.0102030405060708.snapshot"
	for name, content := range map[string][]byte{outdated: nil, outdated + ".part": nil, latest: golden.Read(t, "image.snapshot")} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	list("left")
	f, err := snapshot.Latest(dir, "n7")
	if err != nil || f.Generation != goldenGeneration || !reflect.DeepEqual(f.Image, goldenImage()) || len(f.Rejected) > 0 {
		t.Fatalf("Latest: got %+v, error %v", f, err)
	}
	w, err := snapshot.Claim(dir, "n7", f.Generation)
	if err != nil {
		t.Fatal(err)
	}
	list("claimed")
	if _, err := w.Write(goldenImage()); err != nil {
		t.Fatal(err)
	}
	list("written")
	golden.Compare(t, "files", []byte(listing.String()))
}
