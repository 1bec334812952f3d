package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dewhitch/internal/fleet"
)

// simulation plays gateways that report what they see of zones, on a virtual clock.
type simulation struct {
	detector    *Detector
	rng         *rand.Rand
	now         time.Duration
	zones       []string
	gateways    []string
	homes       map[string]string
	regions     map[string]string                  // by zone
	rate        float64                            // attempts a second of a gateway, to each zone
	failing     func(gateway, zone string) float64 // fraction of the attempts that fail
	slow        func(zone string) float64          // factor of the baseline latency
	rejecting   func(zone string) float64          // fraction of the attempts that servers reject
	lost        map[string]bool
	statuses    Statuses
	evacuations int
	sent        map[string]int // to each zone
}

func newSimulation(seed uint64, zones, each int, rate float64) *simulation {
	sim := &simulation{detector: New(Defaults), rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, homes: map[string]string{}, statuses: Statuses{},
		failing: func(string, string) float64 { return 0 }, slow: func(string) float64 { return 1 },
		rejecting: func(string) float64 { return 0 }, lost: map[string]bool{}, sent: map[string]int{}}
	for z := range zones {
		sim.zones = append(sim.zones, string(rune('a'+z)))
		for i := range each {
			g := fmt.Sprintf("%s%d", sim.zones[z], i)
			sim.gateways = append(sim.gateways, g)
			sim.homes[g] = sim.zones[z]
		}
	}
	return sim
}

func (sim *simulation) unix() int64 { return 1_700_000_000_000 + sim.now.Milliseconds() }

// run plays for a duration, with a report of each gateway and an evaluation every 200 ms.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += 200 * time.Millisecond {
		for _, g := range sim.gateways {
			if sim.lost[g] {
				continue
			}
			delta := fleet.Report{Zones: map[string]fleet.AttemptCounts{}}
			for _, z := range sim.zones {
				n := sim.rate / 5
				if v, ok := sim.statuses.For(sim.homes[g], z); ok && (v.State == Evacuated || v.State == Probing && !slices.Contains(v.Probers, g)) {
					continue
				}
				var c fleet.AttemptCounts
				for ; n > 0 && sim.rng.Float64() < n; n-- {
					c.Attempts++
					sim.sent[z]++
					if sim.rng.Float64() < sim.rejecting(z) {
						c.Rejected++
					} else if sim.rng.Float64() < sim.failing(g, z) {
						c.TimedOut++
					} else {
						c.Served++
						c.LatencyMicros += uint64(60_000 * sim.slow(z) * sim.rng.ExpFloat64())
					}
				}
				delta.Zones[z] = c
			}
			sim.detector.Observe(sim.now, g, sim.homes[g], sim.regions[sim.homes[g]], delta)
		}
		next, changed := sim.detector.Evaluate(sim.now, sim.unix(), sim.statuses, func(g string) bool { return !sim.lost[g] })
		if changed {
			for key, v := range next {
				if old, ok := sim.statuses[key]; v.State == Evacuated && (!ok || old.State == Returning) { // a failed probe is no evacuation
					sim.evacuations++
				}
			}
		}
		sim.statuses = next
	}
}

// unhealthyZone fails all attempts to one zone, and one in a hundred elsewhere.
func unhealthyZone(zone string) func(string, string) float64 {
	return func(_, z string) float64 {
		if z == zone {
			return 1
		}
		return 0.01
	}
}
