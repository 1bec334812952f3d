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

// goldenGeneration and goldenImage are what the golden snapshot holds: each field has a value of its own.
var goldenGeneration = snapshot.Generation{Life: 0x0102030405060708, Number: 0x1112131415161718}

func goldenImage() *snapshot.Image {
	return &snapshot.Image{
		Node: "n7", Instances: 5, Self: 3, Zones: 2, Classes: []string{"query", "booking"},
		Plans: []snapshot.Plan{
			{Name: "fleet", Rate: 8.1, Burst: 16.2, Ceiling: 24.3},
			{Name: "basic", Rate: 4.4, Burst: 9.5, Ceiling: 12.6},
		},
		Learnt: dw.Learnt{
			At: 1_790_000_000_000_000_001, Sent: 101.1, Wanted: 102.2, Tried: 103.3, Good: 104.4, Budget: 105.5,
			Latency: 0.061, Idle: 0.052, Worth: 2.3, Measured: 1_790_000_000_000_000_002,
			CallRate: 106.6, CallQuickest: 0.0017, Sizes: []float64{1.25, 3.75}, Cut: []float64{0.125, 0.625},
			Servers: []dw.LearntServer{
				{
					ServerEntry: dw.ServerEntry{ID: 0x5be2a07c, Cell: 11, Zone: 1, Kind: 13, Since: 1_790_000_000_000_000_003,
						Rating: 14.5, State: dw.Draining, Feed: 15.5, Look: dw.LookAny},
					Latency: 0.071, Measured: 1_790_000_000_000_000_004, Answered: 1_790_000_000_000_000_005, Fed: 0.81,
					FedAt: 1_790_000_000_000_000_006,
					Verdicts: []dw.LearntVerdict{
						{Failed: 21, Answered: 1_790_000_000_000_000_007, At: 1_790_000_000_000_000_008, Ejected: 1_790_000_000_000_000_009},
						{Failed: 22, Answered: 1_790_000_000_000_000_010, At: 1_790_000_000_000_000_011, Ejected: 1_790_000_000_000_000_012},
					},
				},
				{
					ServerEntry: dw.ServerEntry{ID: 0x00000009, Cell: 31, Zone: 32, Kind: 33, Since: 1_790_000_000_000_000_013,
						Rating: 34.5, State: dw.Gone, Feed: 35.5, Look: dw.LookSpare},
					Latency: 0.072, Measured: 1_790_000_000_000_000_014, Answered: 1_790_000_000_000_000_015, Fed: 0.82,
					FedAt: 1_790_000_000_000_000_016, Verdicts: []dw.LearntVerdict{
						{Failed: 23, Answered: 1_790_000_000_000_000_017, At: 1_790_000_000_000_000_018, Ejected: 1_790_000_000_000_000_019},
					},
				},
			},
			Customers: []dw.LearntCustomer{
				{
					ID: 0xfedcba9876543210, Plan: 1, Spread: 4, InSet: true, Window: 4_000_000_001, Level: 41.1, Predicted: 42.2,
					Own: 43.3, Others: 44.4, Asked: 45.5, AskedIn: 46.6, At: 1_790_000_000_000_000_020,
					LastTotal: 1_790_000_000_000_000_021, ListedTill: 1_790_000_000_000_000_022, Seen: 1_790_000_000_000_000_023,
					Turn: 447_500_000, Total: 47.7, Mine: 48.8, Past: 49.9,
				},
				{
					ID: 0x0000000000000abc, Plan: 0, Spread: 2, InSet: false, Window: 8_000_000_002, Level: -51.1, Predicted: -52.2,
					Own: 53.3, Others: 54.4, Asked: 55.5, AskedIn: 56.6, At: 1_790_000_000_000_000_024,
					LastTotal: 1_790_000_000_000_000_025, ListedTill: 1_790_000_000_000_000_000, Seen: 1_790_000_000_000_000_026,
					Turn: 223_750_000, Total: 57.7, Mine: 58.8, Past: 59.9,
				},
			},
		},
	}
}

// TestGoldenSnapshot keeps the bytes of a snapshot: the header, and the CBOR of an image, whose names and order of fields
// are read by the next process of the gateway, perhaps of another version.
func TestGoldenSnapshot(t *testing.T) {
	b, err := snapshot.Encode(nil, goldenGeneration, goldenImage())
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "image.snapshot", b)
	g, m, err := snapshot.Decode(golden.Read(t, "image.snapshot"))
	if err != nil || g != goldenGeneration || !reflect.DeepEqual(m, goldenImage()) {
		t.Errorf("read back: %v\n got %+v %+v\nwant %+v %+v", err, g, m, goldenGeneration, goldenImage())
	}
	if err := snapshot.Check(m); err != nil {
		t.Error(err)
	}
}

// TestGoldenSnapshotFiles keeps the names of a gateway's snapshot files, by which the next process finds the newest one
// and removes those that are too old, with their temporary files.
func TestGoldenSnapshotFiles(t *testing.T) {
	dir := t.TempDir()
	var seen strings.Builder
	list := func(after string) {
		t.Helper()
		files, err := os.ReadDir(dir)
		if err != nil {
			t.Fatal(err)
		}
		seen.WriteString(after + ":")
		for _, f := range files {
			seen.WriteString(" " + f.Name())
		}
		seen.WriteString("\n")
	}
	// The names are given here as other versions write them, and not as this one does.
	const old, left = "dewhitch-n7.0000000000000002.snapshot", "dewhitch-n7.0102030405060708.snapshot"
	for name, content := range map[string][]byte{old: nil, old + ".part": nil, left: golden.Read(t, "image.snapshot")} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	list("left")
	f, err := snapshot.Latest(dir, "n7")
	if err != nil || f.Generation != goldenGeneration || !reflect.DeepEqual(f.Image, goldenImage()) || len(f.Rejected) > 0 {
		t.Fatalf("%+v, %v", f, err)
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
	golden.Compare(t, "files", []byte(seen.String()))
}
