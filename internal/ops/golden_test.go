package ops

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"dewhitch/internal/golden"
)

// TestGoldenFigures compares the JSON object of the figures, with a distinct value in every field, with the golden file.
// Operators' tools and the drills read it from the answer to the call telemetry.
func TestGoldenFigures(t *testing.T) {
	var f Figures
	f.AddClasses([]string{"lookup", "order"})
	want := map[string]any{}
	replies := map[string]any{}
	n := 0
	for _, class := range []string{"lookup", "order"} {
		counts := map[string]any{}
		for v, name := range []string{"success", "overload", "error"} {
			n++
			for range n {
				f.RequestEnded(class, Result(v))
			}
			counts[name] = float64(n)
		}
		n++
		for range n {
			f.Dispatched(class)
		}
		counts["dispatches"] = float64(n)
		replies[class] = counts
	}
	want["replies"] = replies
	f.AddOpen(13)
	f.Targets(14, 15)
	for range 16 {
		f.CountReload(true)
	}
	for range 17 {
		f.CountReload(false)
	}
	f.SetSnapshots(18, 19, 20*time.Millisecond)
	for name, n := range map[string]float64{"dispatches": 12, "concurrent": 13, "targets": 14, "targets_disabled": 15,
		"reload_success": 16, "reload_failure": 17, "snapshot_loaded": 18, "snapshot_rejected": 19, "snapshot_age_ms": 20,
		"more": 21} {
		want[name] = n
	}
	golden.Compare(t, "figures.json", f.AppendJSON(nil, func(b []byte) []byte { return append(b, `,"more":21`...) }))
	var got map[string]any
	if err := json.Unmarshal(golden.Read(t, "figures.json"), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %v\nwant %v", err, got, want)
	}
}
