package dewhitch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	dw "dewhitch"
)

// Guards against attempts of a keyed request that stay in flight beyond the deduplication window of another attempt that may have
// run, so that the request runs twice. If the window limits only the start of a repeat, and the request's deadline its end, this
// happens on each of these 12 random schedules, also to first attempts overtaken by a hedged one: attempt 1 of request r189 was in
// flight 153 ms after the start of attempt 0, which servers forget after 150 ms. dedup_window.go bounds both attempts.
func TestNoAttemptOutlastsTheWindowOfAnother(t *testing.T) {
	const window = 150 * millisecond
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := settings()
			s.Zones, s.Instances, s.MaxUnits, s.MaxAttempts = 2, 1, 4, 4
			s.ParallelAttempts, s.MayCancel = seed%2 == 0, seed%3 > 0
			s.Classes = []dw.Class{{Objective: 200 * millisecond, Deadline: 800 * millisecond, Weight: 5, Idempotency: dw.IdempotentByKey, DedupWindow: window}}
			s.Plans = []dw.Plan{{Rate: 1000, Burst: 1000, WeightFactor: 1}}
			sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 3)), settings: s, now: 1e9, totals: map[string]float64{},
				ceilings: map[dw.CustomerID]*trueCeiling{}}
			for c := range dw.CustomerID(6) {
				sim.ceilings[c] = &trueCeiling{}
			}
			sim.gateways = []*simulatedGateway{{}}
			sim.startGateway(sim.gateways[0])
			overlaps := 0
			for range 20_000 {
				sim.step()
				overlaps += sim.checkWindowOverrun(window)
			}
			if overlaps == 0 {
				t.Error("no attempt was in flight together with another that may have run: the schedule tests nothing")
			}
		})
	}
}

// checkWindowOverrun fails the test if an attempt is in flight beyond the window of another attempt of its request that may
// have run. It returns the number of pairs of attempts that it has checked.
func (sim *simulation) checkWindowOverrun(window dw.Span) (pairs int) {
	for _, g := range sim.gateways {
		for id, r := range g.requests {
			for i, open := range r.attempts {
				for j, other := range r.attempts {
					if i == j || open.ended || !other.mayHaveRun() {
						continue
					}
					pairs++
					// The gateway learns of a timer or a timeout in the round after it.
					if age := dw.Span(sim.now - other.startedAt); age > window+2*sim.settings.Tick {
						sim.t.Fatalf("attempt %d of request %s is in flight %d ms after attempt %d started; servers forget that one after %d ms",
							i, id, age/millisecond, j, window/millisecond)
					}
				}
			}
		}
	}
	return pairs
}
