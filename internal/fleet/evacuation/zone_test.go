package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewhitch/internal/fleet"
)

// world plays gateways that report what they see of zones, on a virtual clock.
type world struct {
	j        *Detector
	rng      *rand.Rand
	now      time.Duration
	zones    []string
	gateways []string
	home     map[string]string
	region   map[string]string                  // by zone
	rate     float64                            // fetches a second of a gateway, to each zone
	bad      func(gateway, zone string) float64 // share of the fetches that go ill
	slow     func(zone string) float64          // times as long as usual
	turned   func(zone string) float64          // share that servers turn away
	dead     map[string]bool
	v        Statuses
	leaves   int
	sent     map[string]int // to each zone
}

func newWorld(seed uint64, zones, each int, rate float64) *world {
	w := &world{j: New(Defaults), rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, home: map[string]string{}, v: Statuses{},
		bad: func(string, string) float64 { return 0 }, slow: func(string) float64 { return 1 },
		turned: func(string) float64 { return 0 }, dead: map[string]bool{}, sent: map[string]int{}}
	for z := range zones {
		w.zones = append(w.zones, string(rune('a'+z)))
		for i := range each {
			g := fmt.Sprintf("%s%d", w.zones[z], i)
			w.gateways = append(w.gateways, g)
			w.home[g] = w.zones[z]
		}
	}
	return w
}

func (w *world) unix() int64 { return 1_700_000_000_000 + w.now.Milliseconds() }

// run plays for a while, a status of each gateway and a judgement every 200 ms.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 200 * time.Millisecond {
		for _, g := range w.gateways {
			if w.dead[g] {
				continue
			}
			delta := fleet.Report{Zones: map[string]fleet.AttemptCounts{}}
			for _, z := range w.zones {
				n := w.rate / 5
				if v, ok := w.v.For(w.home[g], z); ok && (v.State == Evacuated || v.State == Probing && !slices.Contains(v.Probers, g)) {
					continue
				}
				var c fleet.AttemptCounts
				for ; n > 0 && w.rng.Float64() < n; n-- {
					c.Attempts++
					w.sent[z]++
					if w.rng.Float64() < w.turned(z) {
						c.Rejected++
					} else if w.rng.Float64() < w.bad(g, z) {
						c.TimedOut++
					} else {
						c.Served++
						c.LatencyMicros += uint64(60_000 * w.slow(z) * w.rng.ExpFloat64())
					}
				}
				delta.Zones[z] = c
			}
			w.j.Observe(w.now, g, w.home[g], w.region[w.home[g]], delta)
		}
		next, moved := w.j.Evaluate(w.now, w.unix(), w.v, func(g string) bool { return !w.dead[g] })
		if moved {
			for key, v := range next {
				if old, ok := w.v[key]; v.State == Evacuated && (!ok || old.State == Returning) { // a probe that failed leaves nothing
					w.leaves++
				}
			}
		}
		w.v = next
	}
}

func ill(zone string) func(string, string) float64 {
	return func(_, z string) float64 {
		if z == zone {
			return 1
		}
		return 0.01
	}
}

func TestZoneIsLeftAndReturnedTo(t *testing.T) {
	for _, c := range []struct {
		each int
		rate float64
	}{{2, 24}, {10, 0.67}} {
		w := newWorld(5, 3, c.each, c.rate)
		w.run(10 * time.Second)
		w.bad = ill("b")
		w.run(2 * time.Second)
		if v := w.v["b"]; v.State != Evacuated || len(w.v) != 1 {
			t.Fatalf("%d gateways: after 2 s: %+v", len(w.gateways), w.v)
		}
		before := w.sent["b"]
		w.run(8 * time.Second)
		if n := w.sent["b"] - before; n > 40 {
			t.Errorf("%d gateways: %d sent while it is out", len(w.gateways), n)
		}
		w.bad = ill("")
		w.run(40 * time.Second)
		if v := w.v["b"]; v.State != Returning && v.State != "" {
			t.Errorf("%d gateways: 40 s after it is well: %+v", len(w.gateways), w.v)
		}
		w.run(40 * time.Second)
		if len(w.v) != 0 {
			t.Errorf("%d gateways: it is not in again: %+v", len(w.gateways), w.v)
		}
	}
}

// Nobody leaves for what is one gateway's trouble, or everybody's.
func TestNoFalseLeave(t *testing.T) {
	for name, bad := range map[string]func(g, z string) float64{
		"one gateway is cut off":   func(g, z string) float64 { return map[bool]float64{true: 1, false: 0.01}[g == "a0"] },
		"one gateway lies":         func(g, z string) float64 { return map[bool]float64{true: 1, false: 0}[g == "c1"] },
		"all zones are slow":       func(g, z string) float64 { return 0.95 },
		"one in five fails":        func(g, z string) float64 { return map[bool]float64{true: 0.2, false: 0}[z == "b"] },
		"a server of four is down": func(g, z string) float64 { return map[bool]float64{true: 0.25, false: 0.01}[z == "b"] },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				w := newWorld(seed, 3, 2, 20)
				w.run(5 * time.Second)
				w.bad = bad
				w.run(20 * time.Second)
				if w.leaves != 0 {
					t.Fatalf("seed %d: %d leaves: %+v", seed, w.leaves, w.v)
				}
			}
		})
	}
}

func TestCutBetweenTwoZones(t *testing.T) {
	w := newWorld(3, 3, 2, 20)
	w.run(5 * time.Second)
	w.bad = func(g, z string) float64 {
		if w.home[g] == "a" && z == "b" || w.home[g] == "b" && z == "a" {
			return 1
		}
		return 0
	}
	w.run(3 * time.Second)
	if w.v["a>b"].State != Evacuated || w.v["b>a"].State != Evacuated || len(w.v) != 2 {
		t.Fatalf("%+v", w.v)
	}
	if _, ok := w.v.For("c", "b"); ok {
		t.Error("c leaves b")
	}
}

func TestSecondZone(t *testing.T) {
	w := newWorld(4, 3, 2, 20)
	w.run(5 * time.Second)
	w.bad = func(_, z string) float64 { return map[bool]float64{true: 1, false: 0}[z != "a"] }
	w.run(10 * time.Second)
	if n := left(w.v, "a", w.zones); n != 1 {
		t.Errorf("%d zones of three are out: %+v", n, w.v)
	}
}

// A zone that has become five times slower is left; one of twice, or all together, or one that has long been so, is not.
func TestSlowZone(t *testing.T) {
	for _, c := range []struct {
		zones string
		times float64
		long  bool
		left  int
	}{{"b", 5, false, 1}, {"b", 2, false, 0}, {"abc", 4, false, 0}, {"b", 6, true, 0}} {
		w := newWorld(8, 3, 2, 24)
		slow := func(z string) float64 {
			if strings.Contains(c.zones, z) {
				return c.times
			}
			return 1
		}
		if c.long {
			w.slow = slow
		}
		w.run(30 * time.Second)
		if w.leaves > 0 {
			t.Fatalf("%q %v times slower (long: %v): %d leaves before any trouble", c.zones, c.times, c.long, w.leaves)
		}
		w.slow = slow
		w.run(2 * time.Second)
		if n := len(w.v); n != c.left { // a way to it may have been left a moment before
			t.Errorf("%q %v times slower (long: %v): %d leaves, expected %d; %+v", c.zones, c.times, c.long, w.leaves, c.left, w.v)
		}
		if c.left == 0 {
			continue
		}
		w.run(10 * time.Second)
		if v := w.v["b"]; v.State == Returning {
			t.Errorf("returned to while it is slow: %+v", v)
		}
		w.slow = func(string) float64 { return 1 }
		w.run(40 * time.Second)
		if len(w.v) != 0 {
			t.Errorf("not in again 40 s after it was as ever: %+v", w.v)
		}
	}
}

// Zones that were slow together are well again one after the other: the last one is not left for that.
func TestSlowTogetherThenOneByOne(t *testing.T) {
	w := newWorld(14, 3, 2, 24)
	w.run(30 * time.Second)
	times := map[string]float64{"a": 4, "b": 4, "c": 4}
	w.slow = func(z string) float64 { return times[z] }
	w.run(5 * time.Second)
	for _, z := range []string{"a", "c", "b"} {
		times[z] = 1
		w.run(1500 * time.Millisecond)
	}
	w.run(5 * time.Second)
	if w.leaves > 0 {
		t.Errorf("%d leaves: %+v", w.leaves, w.v)
	}
}

// Servers that began anew are looked at at once, and being slow as cold ones are is nothing against them.
func TestColdZoneReturns(t *testing.T) {
	w := newWorld(9, 3, 2, 24)
	w.run(10 * time.Second)
	w.bad = ill("b")
	w.run(20 * time.Second)
	if v := w.v["b"]; v.State != Evacuated && v.State != Probing {
		t.Fatalf("%+v", w.v)
	}
	w.bad, w.slow = ill(""), func(z string) float64 {
		if z == "b" {
			return 4.5
		}
		return 1
	}
	w.j.SetServerStarts(map[string]int64{"b": w.unix()})
	w.run(5 * time.Second)
	if v := w.v["b"]; v.State != Returning {
		t.Errorf("5 s after its servers began: %+v", v)
	}
}

func TestFlapping(t *testing.T) {
	w := newWorld(6, 3, 2, 20)
	w.run(5 * time.Second)
	for i := range 10 {
		w.bad = ill("b")
		w.run(2 * time.Second)
		w.bad = ill("")
		w.run(2 * time.Second)
		_ = i
	}
	if w.leaves > 3 {
		t.Errorf("%d leaves in 40 s", w.leaves)
	}
}

func TestSmallFleets(t *testing.T) {
	for zones := 1; zones <= 2; zones++ {
		w := newWorld(7, zones, 1, 20)
		w.run(5 * time.Second)
		w.bad = ill("a")
		w.run(5 * time.Second)
		if _, out := w.v["a"]; out != (zones == 2) {
			t.Errorf("%d zones of one gateway: %+v", zones, w.v)
		}
	}
}

// Whatever is seen, never are all zones out for anybody, nor more than may be for all.
func TestNeverAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule(t, newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "each"), 10))
	})
}

// schedule plays random spells of trouble, each gateway with its own.
func schedule(t *rapid.T, w *world) {
	for range rapid.IntRange(1, 6).Draw(t, "spells") {
		shares := map[string]float64{}
		for _, g := range w.gateways {
			for _, z := range w.zones {
				shares[g+z] = []float64{0, 0, 0.5, 1}[w.rng.IntN(4)]
			}
		}
		for _, z := range w.zones { // and zones that are ill, or well, for all
			if share := rapid.SampledFrom([]float64{-1, -1, 0, 1}).Draw(t, "bad"); share >= 0 {
				for _, g := range w.gateways {
					shares[g+z] = share
				}
			}
		}
		w.bad = func(g, z string) float64 { return shares[g+z] }
		for range rapid.IntRange(1, 20).Draw(t, "length") {
			w.run(time.Second)
			for _, from := range w.zones {
				left, everywhere := 0, 0
				for _, to := range w.zones {
					if v, ok := w.v.For(from, to); ok && v.State != Returning {
						left++
					}
					if v, ok := w.v[to]; ok && v.State != Returning {
						everywhere++
					}
				}
				if left >= len(w.zones) {
					t.Fatalf("%s has no zone left: %+v", from, w.v)
				}
				if most := max(len(w.zones)/3, min(1, len(w.zones)-1)); everywhere > most {
					t.Fatalf("%d zones out, %d at most: %+v", everywhere, most, w.v)
				}
			}
		}
	}
}

// A slow zone is not left, or is returned to, where the others turn reqs away; a silent one is left all the same.
func TestTheRestIsFull(t *testing.T) {
	for _, c := range []struct {
		silent bool
		full   time.Duration // of the trouble, when the others are full
		want   State
	}{{false, 0, ""}, {false, 5 * time.Second, Returning}, {true, 0, Evacuated}, {true, 5 * time.Second, Evacuated}} {
		w := newWorld(10, 3, 2, 24)
		w.run(30 * time.Second)
		full := func() {
			w.turned = func(z string) float64 {
				if z == "b" && w.v["b"].State == Evacuated {
					return 0
				}
				return 0.2
			}
		}
		if c.full == 0 {
			full()
			w.run(3 * time.Second)
		}
		if c.silent {
			w.bad = ill("b")
		} else {
			w.slow = func(z string) float64 {
				if z == "b" {
					return 6
				}
				return 1
			}
		}
		w.run(2500 * time.Millisecond)
		if c.full > 0 {
			if v := w.v["b"]; v.State != Evacuated {
				t.Fatalf("%+v: not left: %+v", c, v)
			}
			full()
			w.run(time.Second)
		}
		if v := w.v["b"]; v.State != c.want {
			t.Errorf("%+v: %+v", c, v)
		}
	}
}

// A region that is lost whole is left as one, though it is more zones than may be out; half of one is not.
func TestRegion(t *testing.T) {
	for _, c := range []struct {
		lost string
		want int
	}{{"bc", 2}, {"bd", 1}, {"bcd", 2}, {"b", 1}} {
		w := newWorld(12, 6, 2, 20)
		w.j.cfg.MaxEvacuated = 1
		w.region = map[string]string{"a": "north", "b": "south", "c": "south", "d": "west", "e": "west", "f": "north"}
		w.run(10 * time.Second)
		w.bad = func(_, z string) float64 {
			if strings.Contains(c.lost, z) {
				return 1
			}
			return 0.01
		}
		w.run(3 * time.Second)
		n := 0
		for _, z := range w.zones {
			if v, ok := w.v[z]; ok && v.State != Returning {
				n++
			}
		}
		if n != c.want {
			t.Errorf("%s lost: %d zones are out, expected %d: %+v", c.lost, n, c.want, w.v)
		}
	}
}
