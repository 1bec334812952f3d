package evacuation

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Large fleets: the time to detection, what was sent to the zone until then, and what an evaluation costs the leader.
func TestLargeFleets(t *testing.T) {
	sizes := []int{24, 300}
	if os.Getenv("LARGE") != "" {
		sizes = append(sizes, 1000)
	}
	for _, n := range sizes {
		sim := newSimulation(11, 12, n/12, 900/float64(n)/12) // 900 requests a second over all
		sim.run(8 * time.Second)
		if len(sim.statuses) != 0 {
			t.Fatalf("%d gateways: %+v before any fault", n, sim.statuses)
		}
		sim.failing = unhealthyZone("b")
		before, began, real := sim.sent["b"], sim.now, time.Now()
		for sim.statuses["b"].State != Evacuated && sim.now < began+10*time.Second {
			sim.run(200 * time.Millisecond)
		}
		left := sim.now - began
		if left > 2*time.Second {
			t.Errorf("%d gateways: evacuated after %v", n, left)
		}
		sim.run(5*time.Second - left)
		t.Logf("%5d gateways in 12 zones, 900 requests a second: evacuated after %v, %d sent there in 5 s, %v an evaluation", n, left, sim.sent["b"]-before,
			time.Since(real)/25)
	}
}

// The random faults at large size, by command: LARGE=1 go test ./internal/fleet/evacuation -run LargeRandomFaults -rapid.checks=100
func TestLargeRandomFaults(t *testing.T) {
	if os.Getenv("LARGE") == "" {
		t.Skip("LARGE is not set")
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{300, 300, 300, 1000}).Draw(t, "gateways")
		checkRandomFaults(t, newSimulation(rapid.Uint64().Draw(t, "seed"), 12, n/12, 900/float64(n)/12))
	})
}
