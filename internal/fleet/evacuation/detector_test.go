package evacuation

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A zone whose attempts all fail is evacuated within 2 s, gets few attempts while it is out, and is in service again within 80 s of its
// recovery. This holds for few gateways with much traffic and for many gateways with little.
func TestZoneIsEvacuatedAndReturns(t *testing.T) {
	for _, c := range []struct {
		gatewaysPerZone int
		attemptRate     float64
	}{{2, 24}, {10, 0.67}} {
		sim := newSimulation(5, 3, c.gatewaysPerZone, c.attemptRate)
		sim.runFor(10 * time.Second)
		sim.failureRate = failZone("b")
		sim.runFor(2 * time.Second)
		if v := sim.statuses["b"]; v.State != Evacuated || len(sim.statuses) != 1 {
			t.Fatalf("%d gateways: 2 s after the fault: got %+v, expected only zone b evacuated", len(sim.gateways), sim.statuses)
		}
		sentBefore := sim.attemptsByZone["b"]
		sim.runFor(8 * time.Second)
		if n := sim.attemptsByZone["b"] - sentBefore; n > 40 {
			t.Errorf("%d gateways: %d attempts to the evacuated zone in 8 s, expected 40 at most", len(sim.gateways), n)
		}
		sim.failureRate = failZone("")
		sim.runFor(40 * time.Second)
		if v := sim.statuses["b"]; v.State != Returning && v.State != "" {
			t.Errorf("%d gateways: 40 s after recovery: got %+v, expected zone b returning or in service", len(sim.gateways), sim.statuses)
		}
		sim.runFor(40 * time.Second)
		if len(sim.statuses) != 0 {
			t.Errorf("%d gateways: 80 s after recovery: got %+v, expected all zones in service", len(sim.gateways), sim.statuses)
		}
	}
}

// No zone is evacuated for a fault of one gateway, a fault that all zones share, or a fault of a minority of a zone's attempts.
func TestNoFalseEvacuation(t *testing.T) {
	for name, failureRate := range map[string]func(g, z string) float64{
		"one gateway is cut off":   func(g, z string) float64 { return map[bool]float64{true: 1, false: 0.01}[g == "a0"] },
		"one gateway lies":         func(g, z string) float64 { return map[bool]float64{true: 1, false: 0}[g == "c1"] },
		"all zones are slow":       func(g, z string) float64 { return 0.95 },
		"one in five fails":        func(g, z string) float64 { return map[bool]float64{true: 0.2, false: 0}[z == "b"] },
		"a server of four is down": func(g, z string) float64 { return map[bool]float64{true: 0.25, false: 0.01}[z == "b"] },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				sim := newSimulation(seed, 3, 2, 20)
				sim.runFor(5 * time.Second)
				sim.failureRate = failureRate
				sim.runFor(20 * time.Second)
				if sim.evacuations != 0 {
					t.Fatalf("seed %d: got %d evacuations, expected none: %+v", seed, sim.evacuations, sim.statuses)
				}
			}
		})
	}
}

// If only the attempts between two zones fail, each is evacuated for the gateways of the other, and stays in service for a third zone.
func TestCutPathIsEvacuated(t *testing.T) {
	sim := newSimulation(3, 3, 2, 20)
	sim.runFor(5 * time.Second)
	sim.failureRate = func(g, z string) float64 {
		if sim.zoneByGateway[g] == "a" && z == "b" || sim.zoneByGateway[g] == "b" && z == "a" {
			return 1
		}
		return 0
	}
	sim.runFor(3 * time.Second)
	if sim.statuses["a>b"].State != Evacuated || sim.statuses["b>a"].State != Evacuated || len(sim.statuses) != 2 {
		t.Fatalf("got %+v, expected the paths a>b and b>a evacuated", sim.statuses)
	}
	if _, ok := sim.statuses.For("c", "b"); ok {
		t.Error("zone b has a status for the gateways of zone c, expected none")
	}
}

// If two zones of three fail, only one is evacuated.
func TestSecondUnhealthyZoneStaysInService(t *testing.T) {
	sim := newSimulation(4, 3, 2, 20)
	sim.runFor(5 * time.Second)
	sim.failureRate = func(_, z string) float64 { return map[bool]float64{true: 1, false: 0}[z != "a"] }
	sim.runFor(10 * time.Second)
	if n := sim.statuses.countAvoided("a", sim.zones); n != 1 {
		t.Errorf("%d zones of three are evacuated, expected 1: %+v", n, sim.statuses)
	}
}

// A zone that becomes five times slower is evacuated and returns after its recovery. No zone is evacuated if one becomes only twice as
// slow, if all become slow together, or if one has always been slow.
func TestSlowZone(t *testing.T) {
	for _, c := range []struct {
		slowZones string
		factor    float64
		always    bool
		evacuated int
	}{{"b", 5, false, 1}, {"b", 2, false, 0}, {"abc", 4, false, 0}, {"b", 6, true, 0}} {
		sim := newSimulation(8, 3, 2, 24)
		latencyFactor := func(z string) float64 {
			if strings.Contains(c.slowZones, z) {
				return c.factor
			}
			return 1
		}
		if c.always {
			sim.latencyFactor = latencyFactor
		}
		sim.runFor(30 * time.Second)
		if sim.evacuations > 0 {
			t.Fatalf("zones %q %v times slower (always: %v): %d evacuations before any fault", c.slowZones, c.factor, c.always, sim.evacuations)
		}
		sim.latencyFactor = latencyFactor
		sim.runFor(2 * time.Second)
		if n := len(sim.statuses); n != c.evacuated { // a path to the zone may have been evacuated first
			t.Errorf("zones %q %v times slower (always: %v): %d evacuations, expected %d; %+v", c.slowZones, c.factor, c.always, sim.evacuations,
				c.evacuated, sim.statuses)
		}
		if c.evacuated == 0 {
			continue
		}
		sim.runFor(10 * time.Second)
		if v := sim.statuses["b"]; v.State == Returning {
			t.Errorf("zone b returns while it is slow: %+v", v)
		}
		sim.latencyFactor = func(string) float64 { return 1 }
		sim.runFor(40 * time.Second)
		if len(sim.statuses) != 0 {
			t.Errorf("40 s after recovery: got %+v, expected all zones in service", sim.statuses)
		}
	}
}

// Zones that were slow together recover one after the other. The last one to recover is then the only slow one, and must not be evacuated
// for that.
func TestZonesSlowTogetherRecoverOneByOne(t *testing.T) {
	sim := newSimulation(14, 3, 2, 24)
	sim.runFor(30 * time.Second)
	factors := map[string]float64{"a": 4, "b": 4, "c": 4}
	sim.latencyFactor = func(z string) float64 { return factors[z] }
	sim.runFor(5 * time.Second)
	for _, z := range []string{"a", "c", "b"} {
		factors[z] = 1
		sim.runFor(1500 * time.Millisecond)
	}
	sim.runFor(5 * time.Second)
	if sim.evacuations > 0 {
		t.Errorf("got %d evacuations, expected none: %+v", sim.evacuations, sim.statuses)
	}
}

// A zone whose servers have restarted is probed without waiting for the backoff, and returns although its servers are slow in slow start.
func TestRestartedZoneIsProbedAtOnce(t *testing.T) {
	sim := newSimulation(9, 3, 2, 24)
	sim.runFor(10 * time.Second)
	sim.failureRate = failZone("b")
	sim.runFor(20 * time.Second)
	if v := sim.statuses["b"]; v.State != Evacuated && v.State != Probing {
		t.Fatalf("20 s after the fault: got %+v, expected zone b evacuated or probing", sim.statuses)
	}
	sim.failureRate, sim.latencyFactor = failZone(""), func(z string) float64 {
		if z == "b" {
			return 4.5
		}
		return 1
	}
	sim.detector.SetServerStarts(map[string]int64{"b": sim.unixMS()})
	sim.runFor(5 * time.Second)
	if v := sim.statuses["b"]; v.State != Returning {
		t.Errorf("5 s after the restart of its servers: got %+v, expected zone b returning", v)
	}
}

// A zone that fails for 2 s in every 4 s is evacuated at most 3 times in 40 s.
func TestFlappingZoneIsSeldomEvacuated(t *testing.T) {
	sim := newSimulation(6, 3, 2, 20)
	sim.runFor(5 * time.Second)
	for i := range 10 {
		sim.failureRate = failZone("b")
		sim.runFor(2 * time.Second)
		sim.failureRate = failZone("")
		sim.runFor(2 * time.Second)
		_ = i
	}
	if sim.evacuations > 3 {
		t.Errorf("%d evacuations in 40 s, expected 3 at most", sim.evacuations)
	}
}

// A failing zone is evacuated if there is a second zone, but not if it is the only one. Each zone has one gateway.
func TestOutageInFleetOfOneOrTwoZones(t *testing.T) {
	for zones := 1; zones <= 2; zones++ {
		sim := newSimulation(7, zones, 1, 20)
		sim.runFor(5 * time.Second)
		sim.failureRate = failZone("a")
		sim.runFor(5 * time.Second)
		if _, out := sim.statuses["a"]; out != (zones == 2) {
			t.Errorf("%d zones of one gateway: got %+v, expected zone a evacuated only if there are two zones", zones, sim.statuses)
		}
	}
}

// Under random faults, every gateway keeps at least one zone, and no more zones than the limit are evacuated for all gateways.
func TestNeverAllZonesEvacuated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkRandomFaults(t, newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "each"), 10))
	})
}

// checkRandomFaults simulates random faults, in which each gateway sees its own failure rates, and checks the limits every second.
func checkRandomFaults(t *rapid.T, sim *simulation) {
	for range rapid.IntRange(1, 6).Draw(t, "spells") {
		failureRates := map[string]float64{}
		for _, g := range sim.gateways {
			for _, z := range sim.zones {
				failureRates[g+z] = []float64{0, 0, 0.5, 1}[sim.rng.IntN(4)]
			}
		}
		for _, z := range sim.zones { // some zones fail entirely, or serve everything, for all gateways
			if failureRate := rapid.SampledFrom([]float64{-1, -1, 0, 1}).Draw(t, "bad"); failureRate >= 0 {
				for _, g := range sim.gateways {
					failureRates[g+z] = failureRate
				}
			}
		}
		sim.failureRate = func(g, z string) float64 { return failureRates[g+z] }
		for range rapid.IntRange(1, 20).Draw(t, "length") {
			sim.runFor(time.Second)
			for _, from := range sim.zones {
				avoided, evacuated := 0, 0
				for _, to := range sim.zones {
					if v, ok := sim.statuses.For(from, to); ok && v.State != Returning {
						avoided++
					}
					if v, ok := sim.statuses[to]; ok && v.State != Returning {
						evacuated++
					}
				}
				if avoided >= len(sim.zones) {
					t.Fatalf("the gateways of zone %s have no zone to send to: %+v", from, sim.statuses)
				}
				if limit := max(len(sim.zones)/3, min(1, len(sim.zones)-1)); evacuated > limit {
					t.Fatalf("%d zones are evacuated, expected %d at most: %+v", evacuated, limit, sim.statuses)
				}
			}
		}
	}
}

// While the other zones reject requests, a slow zone is not evacuated, or returns if it already was; a zone that does not answer is
// evacuated in any case.
func TestOtherZonesAreSaturated(t *testing.T) {
	for _, c := range []struct {
		down           bool
		saturatedAfter time.Duration // time from the fault until the other zones reject requests; 0: they reject before it
		want           State
	}{{false, 0, ""}, {false, 5 * time.Second, Returning}, {true, 0, Evacuated}, {true, 5 * time.Second, Evacuated}} {
		sim := newSimulation(10, 3, 2, 24)
		sim.runFor(30 * time.Second)
		saturateOthers := func() {
			sim.rejectionRate = func(z string) float64 {
				if z == "b" && sim.statuses["b"].State == Evacuated {
					return 0
				}
				return 0.2
			}
		}
		if c.saturatedAfter == 0 {
			saturateOthers()
			sim.runFor(3 * time.Second)
		}
		if c.down {
			sim.failureRate = failZone("b")
		} else {
			sim.latencyFactor = func(z string) float64 {
				if z == "b" {
					return 6
				}
				return 1
			}
		}
		sim.runFor(2500 * time.Millisecond)
		if c.saturatedAfter > 0 {
			if v := sim.statuses["b"]; v.State != Evacuated {
				t.Fatalf("case %+v: got status %+v of zone b before the others are saturated, expected it evacuated", c, v)
			}
			saturateOthers()
			sim.runFor(time.Second)
		}
		if v := sim.statuses["b"]; v.State != c.want {
			t.Errorf("case %+v: got status %+v of zone b, expected the state in want", c, v)
		}
	}
}

// A region whose zones all fail is evacuated as a whole, beyond the limit on evacuated zones. If only half of a region fails, the limit
// applies.
func TestRegionIsEvacuatedWhole(t *testing.T) {
	for _, c := range []struct {
		failedZones string
		want        int
	}{{"bc", 2}, {"bd", 1}, {"bcd", 2}, {"b", 1}} {
		sim := newSimulation(12, 6, 2, 20)
		sim.detector.cfg.MaxEvacuated = 1
		sim.regionByZone = map[string]string{"a": "north", "b": "south", "c": "south", "d": "west", "e": "west", "f": "north"}
		sim.runFor(10 * time.Second)
		sim.failureRate = func(_, z string) float64 {
			if strings.Contains(c.failedZones, z) {
				return 1
			}
			return 0.01
		}
		sim.runFor(3 * time.Second)
		evacuated := 0
		for _, z := range sim.zones {
			if v, ok := sim.statuses[z]; ok && v.State != Returning {
				evacuated++
			}
		}
		if evacuated != c.want {
			t.Errorf("zones %q fail: %d zones are evacuated, expected %d: %+v", c.failedZones, evacuated, c.want, sim.statuses)
		}
	}
}
