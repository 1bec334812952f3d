package evacuation

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Large fleets: how long until a zone is left, what went there, and what a judgement costs the leader.
func TestLargeFleets(t *testing.T) {
	sizes := []int{24, 300}
	if os.Getenv("LARGE") != "" {
		sizes = append(sizes, 1000)
	}
	for _, n := range sizes {
		w := newWorld(11, 12, n/12, 900/float64(n)/12) // 900 reqs a second over all
		w.run(8 * time.Second)
		if len(w.v) != 0 {
			t.Fatalf("%d gateways: %+v before any trouble", n, w.v)
		}
		w.bad = ill("b")
		before, began, real := w.sent["b"], w.now, time.Now()
		for w.v["b"].State != Evacuated && w.now < began+10*time.Second {
			w.run(200 * time.Millisecond)
		}
		left := w.now - began
		if left > 2*time.Second {
			t.Errorf("%d gateways: left after %v", n, left)
		}
		w.run(5*time.Second - left)
		t.Logf("%5d gateways in 12 zones, 900 reqs a second: left after %v, %d sent there in 5 s, %v a judgement", n, left, w.sent["b"]-before,
			time.Since(real)/25)
	}
}

// The random schedules at large size, by command: LARGE=1 go test ./internal/fleet/zone -run Schedules -rapid.checks=100
func TestLargeSchedules(t *testing.T) {
	if os.Getenv("LARGE") == "" {
		t.Skip("LARGE is not set")
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{300, 300, 300, 1000}).Draw(t, "gateways")
		schedule(t, newWorld(rapid.Uint64().Draw(t, "seed"), 12, n/12, 900/float64(n)/12))
	})
}
