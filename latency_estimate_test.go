package dewhitch_test

import (
	"math/rand/v2"
	"testing"

	dw "dewhitch"
)

// Sites differ in how long their classes take and wait. A gateway that sees little of each must soon find out what a class
// takes, and must not reject for good what it has taken for larger than it is: a class of short waits was served a fifth
// of the time where it was begun with a guess from the shortest aim, and servers at ease passed for as fast as the least
// that a few scattered answers had ever told.
func TestClassSizeFromFewSamples(t *testing.T) {
	type class struct {
		aim, work, wait float64 // seconds; wait: until its client gives up
	}
	for name, c := range map[string]struct {
		classes []class
		served  float64 // at least, of each class
	}{
		"short among long": {[]class{{0.2, 0.1, 0.3}, {0.8, 0.3, 2}, {1, 0.5, 3}, {3, 0.7, 10}, {1.2, 0.45, 4}}, 0.55},
		"two alike":        {[]class{{1.5, 0.25, 4}, {2, 0.25, 5}}, 0.9},
		"one":              {[]class{{3, 0.3, 10}}, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings()
			s.Classes, s.Plans[0] = nil, dw.Plan{WeightFactor: 1}
			for _, k := range c.classes {
				s.Classes = append(s.Classes, dw.Class{Objective: dw.Span(k.aim * 1e9), Deadline: dw.Span(k.wait * 1e9), Weight: 30 * k.work})
			}
			var servers []dw.Endpoint
			for i := range dw.ServerID(12) {
				servers = append(servers, dw.Endpoint{ID: i + 1})
			}
			asked, in := make([]float64, len(c.classes)), make([]float64, len(c.classes))
			const seeds = 20
			for seed := range uint64(seeds) {
				b, rng := newHarness(t, s, servers...), rand.New(rand.NewPCG(seed, 1))
				for range 60 {
					k := rng.IntN(len(c.classes))
					asked[k]++
					if id, ok := b.request(dw.Arrival{Class: k}); ok {
						in[k]++
						b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[len(b.attempts)-1].Server, Final: true,
							Latency: dw.Span(c.classes[k].work * (0.3 + 0.7*rng.ExpFloat64()) * 1e9)})
					}
					b.advance(200 * millisecond)
				}
			}
			for k := range c.classes {
				if share := in[k] / asked[k]; share < c.served {
					t.Errorf("class %d is served %.2f of the time, over %d seeds, want %.2f", k, share, seeds, c.served)
				} else {
					t.Logf("class %d: %.2f", k, share)
				}
			}
		})
	}
}
