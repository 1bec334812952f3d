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
		sim.runFor(8 * time.Second)
		if len(sim.statuses) != 0 {
			t.Fatalf("%d gateways: %+v before any fault", n, sim.statuses)
		}
		sim.failureRate = failZone("b")
		sentBefore, faultAt, wallStart := sim.attemptsByZone["b"], sim.now, time.Now()
		for sim.statuses["b"].State != Evacuated && sim.now < faultAt+10*time.Second {
			sim.runFor(200 * time.Millisecond)
		}
		detectionTime := sim.now - faultAt
		if detectionTime > 2*time.Second {
			t.Errorf("%d gateways: evacuated after %v", n, detectionTime)
		}
		sim.runFor(5*time.Second - detectionTime)
		t.Logf("%5d gateways in 12 zones, 900 requests a second: evacuated after %v, %d sent there in 5 s, %v an evaluation", n, detectionTime, sim.attemptsByZone["b"]-sentBefore,
			time.Since(wallStart)/25)
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
