package standin

import (
	"testing"

	"dewhitch/internal/golden"
)

// TestGoldenConfig guards against unintended changes of the configuration file that drills and tests write for a gateway. Every value
// is set. The golden tests of the packages that read the configuration fix its keys.
func TestGoldenConfig(t *testing.T) {
	text, err := Config{Name: "node-1", Listen: "10.0.0.1:1001", Discovery: "10.0.0.2:1002", Counter: "10.0.0.3:1003", Admin: "10.0.0.4:1004",
		Seed: 5, Instances: 6, Number: 4, Zones: []string{"lake-a", "lake-b"}, Zone: 1, Cores: 1.5,
		Plans: []Plan{{Name: "wide", QuotaRate: 7.5, Depth: 8.5, CapRate: 9.5, HardBurst: 10.5, Tolerance: 11.5, OverrunCost: 0.25, BeyondEarns: 0.5,
			Pays: 12.5, Open: 13}},
		Classes: []Class{{Name: "order", Effect: "keyed", Group: "zone", Aim: 14, Deadline: 15, DedupWindow: 16, Points: 17.5}}}.JSON()
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "config.json", []byte(text+"\n"))
}
