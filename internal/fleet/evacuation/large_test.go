package evacuation

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In large fleets an outage is detected within 2 s. The test logs the time to detection, the attempts to the failed zone in the first 5 s,
// and the cost of an evaluation on the leader.
func TestLargeFleets(t *testing.T) {
	sizes := []int{24, 300}
	if os.Getenv("LARGE") != "" {
		sizes = append(sizes, 1000)
	}
	for _, n := range sizes {
		sim := newSimulation(11, 12, n/12, 900/float64(n)/12) // 900 requests a second in total
		sim.runFor(8 * time.Second)
		if len(sim.statuses) != 0 {
			t.Fatalf("%d gateways: got %+v before any fault, expected all zones in service", n, sim.statuses)
		}
		sim.failureRate = failZone("b")
		sentBefore, faultAt, wallStart := sim.attemptsByZone["b"], sim.now, time.Now()
		for sim.statuses["b"].State != Evacuated && sim.now < faultAt+10*time.Second {
			sim.runFor(200 * time.Millisecond)
		}
		detectionTime := sim.now - faultAt
		if detectionTime > 2*time.Second {
			t.Errorf("%d gateways: evacuated after %v, expected 2 s at most", n, detectionTime)
		}
		sim.runFor(5*time.Second - detectionTime)
		t.Logf("%5d gateways in 12 zones, 900 requests a second: evacuated after %v, %d attempts to the failed zone in 5 s, %v per evaluation",
			n, detectionTime, sim.attemptsByZone["b"]-sentBefore, time.Since(wallStart)/25)
	}
}

// Under random faults in fleets of 300 or 1000 gateways the limits of TestNeverAllZonesEvacuated hold. The test runs only on demand:
// LARGE=1 go test ./internal/fleet/evacuation -run LargeRandomFaults -rapid.checks=100
func TestLargeRandomFaults(t *testing.T) {
	if os.Getenv("LARGE") == "" {
		t.Skip("LARGE is not set")
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{300, 300, 300, 1000}).Draw(t, "gateways")
		checkRandomFaults(t, newSimulation(rapid.Uint64().Draw(t, "seed"), 12, n/12, 900/float64(n)/12))
	})
}
