package evacuation

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

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
			t.Fatalf("%d gateways: after 2 s: %+v", len(sim.gateways), sim.statuses)
		}
		sentBefore := sim.attemptsByZone["b"]
		sim.runFor(8 * time.Second)
		if n := sim.attemptsByZone["b"] - sentBefore; n > 40 {
			t.Errorf("%d gateways: %d sent while it is out", len(sim.gateways), n)
		}
		sim.failureRate = failZone("")
		sim.runFor(40 * time.Second)
		if v := sim.statuses["b"]; v.State != Returning && v.State != "" {
			t.Errorf("%d gateways: 40 s after it is well: %+v", len(sim.gateways), sim.statuses)
		}
		sim.runFor(40 * time.Second)
		if len(sim.statuses) != 0 {
			t.Errorf("%d gateways: it is not in again: %+v", len(sim.gateways), sim.statuses)
		}
	}
}

// A fault of one gateway, or one that all zones share, evacuates no zone.
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
					t.Fatalf("seed %d: %d evacuations: %+v", seed, sim.evacuations, sim.statuses)
				}
			}
		})
	}
}

func TestPathBetweenTwoZonesIsCut(t *testing.T) {
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
		t.Fatalf("%+v", sim.statuses)
	}
	if _, ok := sim.statuses.For("c", "b"); ok {
		t.Error("c leaves b")
	}
}

func TestSecondUnhealthyZoneStays(t *testing.T) {
	sim := newSimulation(4, 3, 2, 20)
	sim.runFor(5 * time.Second)
	sim.failureRate = func(_, z string) float64 { return map[bool]float64{true: 1, false: 0}[z != "a"] }
	sim.runFor(10 * time.Second)
	if n := sim.statuses.countAvoided("a", sim.zones); n != 1 {
		t.Errorf("%d zones of three are out: %+v", n, sim.statuses)
	}
}

// A zone that becomes five times slower is evacuated; one that becomes twice as slow, all zones together, and one that has always been slow are not.
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
			t.Fatalf("%q %v times slower (long: %v): %d evacuations before any fault", c.slowZones, c.factor, c.always, sim.evacuations)
		}
		sim.latencyFactor = latencyFactor
		sim.runFor(2 * time.Second)
		if n := len(sim.statuses); n != c.evacuated { // a path to it may have been evacuated first
			t.Errorf("%q %v times slower (long: %v): %d evacuations, expected %d; %+v", c.slowZones, c.factor, c.always, sim.evacuations, c.evacuated, sim.statuses)
		}
		if c.evacuated == 0 {
			continue
		}
		sim.runFor(10 * time.Second)
		if v := sim.statuses["b"]; v.State == Returning {
			t.Errorf("returned to while it is slow: %+v", v)
		}
		sim.latencyFactor = func(string) float64 { return 1 }
		sim.runFor(40 * time.Second)
		if len(sim.statuses) != 0 {
			t.Errorf("not in again 40 s after it was as ever: %+v", sim.statuses)
		}
	}
}

// Zones that were slow together recover one after the other: the last one is not evacuated for that.
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
		t.Errorf("%d evacuations: %+v", sim.evacuations, sim.statuses)
	}
}

// Restarted servers are probed at once, and the latency of slow start is not held against them.
func TestRestartedZoneIsProbedAtOnce(t *testing.T) {
	sim := newSimulation(9, 3, 2, 24)
	sim.runFor(10 * time.Second)
	sim.failureRate = failZone("b")
	sim.runFor(20 * time.Second)
	if v := sim.statuses["b"]; v.State != Evacuated && v.State != Probing {
		t.Fatalf("%+v", sim.statuses)
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
		t.Errorf("5 s after its servers began: %+v", v)
	}
}

func TestFlapping(t *testing.T) {
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
		t.Errorf("%d evacuations in 40 s", sim.evacuations)
	}
}

func TestSmallFleets(t *testing.T) {
	for zones := 1; zones <= 2; zones++ {
		sim := newSimulation(7, zones, 1, 20)
		sim.runFor(5 * time.Second)
		sim.failureRate = failZone("a")
		sim.runFor(5 * time.Second)
		if _, out := sim.statuses["a"]; out != (zones == 2) {
			t.Errorf("%d zones of one gateway: %+v", zones, sim.statuses)
		}
	}
}

// Whatever is observed, no gateway is left without a zone, and no more than the limit are evacuated for all.
func TestNeverAllZonesEvacuated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkRandomFaults(t, newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "each"), 10))
	})
}

// checkRandomFaults plays random faults, each gateway with its own, and checks the limits.
func checkRandomFaults(t *rapid.T, sim *simulation) {
	for range rapid.IntRange(1, 6).Draw(t, "spells") {
		failureRates := map[string]float64{}
		for _, g := range sim.gateways {
			for _, z := range sim.zones {
				failureRates[g+z] = []float64{0, 0, 0.5, 1}[sim.rng.IntN(4)]
			}
		}
		for _, z := range sim.zones { // and zones that fail, or serve, for all gateways
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
					t.Fatalf("%s has no zone left: %+v", from, sim.statuses)
				}
				if limit := max(len(sim.zones)/3, min(1, len(sim.zones)-1)); evacuated > limit {
					t.Fatalf("%d zones out, %d at most: %+v", evacuated, limit, sim.statuses)
				}
			}
		}
	}
}

// A slow zone is not evacuated, or returns, while the others reject requests; a silent one is evacuated regardless.
func TestOtherZonesAreSaturated(t *testing.T) {
	for _, c := range []struct {
		silent         bool
		saturatedAfter time.Duration // after the fault begins, when the others start to reject
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
		if c.silent {
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
				t.Fatalf("%+v: not evacuated: %+v", c, v)
			}
			saturateOthers()
			sim.runFor(time.Second)
		}
		if v := sim.statuses["b"]; v.State != c.want {
			t.Errorf("%+v: %+v", c, v)
		}
	}
}

// A region that fails as a whole is evacuated as one, beyond the limit of zones; half of one is not.
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
			t.Errorf("%s lost: %d zones are out, expected %d: %+v", c.failedZones, evacuated, c.want, sim.statuses)
		}
	}
}
