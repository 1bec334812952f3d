package dewhitch_test

import (
	"math/rand/v2"
	"testing"

	dw "dewhitch"
)

// Guards against classes that are rejected permanently because their latency is overestimated. A gateway with few samples of each
// class must soon estimate the latency of a class, whatever the latencies and deadlines of the classes are. A class with a short
// deadline was served a fifth of the time when its initial estimate came from the shortest objective and the idle latency was the
// lowest of a few scattered samples.
func TestClassLatencyRatioFromFewSamples(t *testing.T) {
	type class struct {
		objective, work, deadline float64 // seconds: latency objective, mean work, and time until the client gives up
	}
	for name, c := range map[string]struct {
		classes  []class
		minShare float64 // smallest share of the requests of each class that must be admitted
	}{
		"short among long": {[]class{{0.2, 0.1, 0.3}, {0.8, 0.3, 2}, {1, 0.5, 3}, {3, 0.7, 10}, {1.2, 0.45, 4}}, 0.55},
		"two alike":        {[]class{{1.5, 0.25, 4}, {2, 0.25, 5}}, 0.9},
		"one":              {[]class{{3, 0.3, 10}}, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings()
			s.Classes, s.Plans[0] = nil, dw.Plan{WeightFactor: 1}
			for _, k := range c.classes {
				s.Classes = append(s.Classes, dw.Class{Objective: dw.Span(k.objective * 1e9), Deadline: dw.Span(k.deadline * 1e9), Weight: 30 * k.work})
			}
			var servers []dw.Endpoint
			for i := range dw.ServerID(12) {
				servers = append(servers, dw.Endpoint{ID: i + 1})
			}
			submitted, admitted := make([]float64, len(c.classes)), make([]float64, len(c.classes))
			const seeds = 20
			for seed := range uint64(seeds) {
				h, rng := newHarness(t, s, servers...), rand.New(rand.NewPCG(seed, 1))
				for range 60 {
					k := rng.IntN(len(c.classes))
					submitted[k]++
					if id, ok := h.request(dw.Arrival{Class: k}); ok {
						admitted[k]++
						h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[len(h.attempts)-1].Server, Final: true,
							Latency: dw.Span(c.classes[k].work * (0.3 + 0.7*rng.ExpFloat64()) * 1e9)})
					}
					h.advance(200 * millisecond)
				}
			}
			for k := range c.classes {
				if share := admitted[k] / submitted[k]; share < c.minShare {
					t.Errorf("class %d: share %.2f of requests admitted over %d seeds, want at least %.2f", k, share, seeds, c.minShare)
				} else {
					t.Logf("class %d: share %.2f of requests admitted", k, share)
				}
			}
		})
	}
}
