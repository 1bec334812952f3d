package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dewhitch/internal/fleet"
)

// simulation runs a Detector with simulated gateways, which send attempts to all zones and report the outcomes, on a virtual clock.
type simulation struct {
	detector       *Detector
	rng            *rand.Rand
	now            time.Duration
	zones          []string
	gateways       []string
	zoneByGateway  map[string]string
	regionByZone   map[string]string                  // empty: gateways report no region
	attemptRate    float64                            // attempts a second of each gateway to each zone
	failureRate    func(gateway, zone string) float64 // fraction of a gateway's attempts to a zone that time out
	latencyFactor  func(zone string) float64          // factor on the mean latency of a zone, which is 60 ms
	rejectionRate  func(zone string) float64          // fraction of the attempts to a zone that its servers reject
	stopped        map[string]bool                    // gateways that neither report nor probe
	statuses       Statuses
	evacuations    int            // number of evacuations so far; a failed probe does not count as one
	attemptsByZone map[string]int // number of attempts so far
}

// newSimulation returns a simulation of healthy zones "a", "b" and so on, whose gateways have names such as "a0".
func newSimulation(seed uint64, zones, gatewaysPerZone int, attemptRate float64) *simulation {
	sim := &simulation{detector: New(Defaults), rng: rand.New(rand.NewPCG(seed, 1)), attemptRate: attemptRate, zoneByGateway: map[string]string{}, statuses: Statuses{},
		failureRate: func(string, string) float64 { return 0 }, latencyFactor: func(string) float64 { return 1 },
		rejectionRate: func(string) float64 { return 0 }, stopped: map[string]bool{}, attemptsByZone: map[string]int{}}
	for z := range zones {
		sim.zones = append(sim.zones, string(rune('a'+z)))
		for i := range gatewaysPerZone {
			g := fmt.Sprintf("%s%d", sim.zones[z], i)
			sim.gateways = append(sim.gateways, g)
			sim.zoneByGateway[g] = sim.zones[z]
		}
	}
	return sim
}

// unixMS returns the virtual time in Unix ms.
func (sim *simulation) unixMS() int64 { return 1_700_000_000_000 + sim.now.Milliseconds() }

// runFor runs the simulation for a duration, with a report of each gateway and an evaluation every 200 ms.
func (sim *simulation) runFor(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += 200 * time.Millisecond {
		for _, g := range sim.gateways {
			if sim.stopped[g] {
				continue
			}
			delta := fleet.Report{Zones: map[string]fleet.AttemptCounts{}}
			for _, z := range sim.zones {
				n := sim.attemptRate / 5
				if v, ok := sim.statuses.For(sim.zoneByGateway[g], z); ok && (v.State == Evacuated || v.State == Probing && !slices.Contains(v.Probers, g)) {
					continue
				}
				var c fleet.AttemptCounts
				for ; n > 0 && sim.rng.Float64() < n; n-- {
					c.Attempts++
					sim.attemptsByZone[z]++
					if sim.rng.Float64() < sim.rejectionRate(z) {
						c.Rejected++
					} else if sim.rng.Float64() < sim.failureRate(g, z) {
						c.TimedOut++
					} else {
						c.Served++
						c.LatencyMicros += uint64(60_000 * sim.latencyFactor(z) * sim.rng.ExpFloat64())
					}
				}
				delta.Zones[z] = c
			}
			sim.detector.Observe(sim.now, g, sim.zoneByGateway[g], sim.regionByZone[sim.zoneByGateway[g]], delta)
		}
		next, changed := sim.detector.Evaluate(sim.now, sim.unixMS(), sim.statuses, func(g string) bool { return !sim.stopped[g] })
		if changed {
			for key, v := range next {
				if old, ok := sim.statuses[key]; v.State == Evacuated && (!ok || old.State == Returning) { // a failed probe does not count as an evacuation
					sim.evacuations++
				}
			}
		}
		sim.statuses = next
	}
}

// failZone returns failure rates at which all attempts to one zone fail, and one in a hundred elsewhere.
func failZone(zone string) func(string, string) float64 {
	return func(_, z string) float64 {
		if z == zone {
			return 1
		}
		return 0.01
	}
}
