package dewhitch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	dw "dewhitch"
)

// What happens: a keyed request whose first attempt may have run is repeated within the window in which servers drop repeats,
// and the repeat stays open past it. Why: the window bounded when a repeat began, and nothing ended one but the request's own
// deadline, which may be later. What showed it: on every one of these 12 random schedules an attempt was out beyond the window of
// another ("attempt 1 of r189 is out 153 ms after attempt 0 began, and servers forget that after 150 ms"), among them first
// attempts that a hedged one had overtaken. Mended in dedup_window.go.
//
// An attempt that is out must not outlast the window of any other that may have run, whether it is the repeat or the one that was
// repeated.
func TestNoAttemptOutlastsTheWindowOfAnother(t *testing.T) {
	const window = 150 * millisecond
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := settings()
			s.Zones, s.Instances, s.MaxUnits, s.MaxAttempts = 2, 1, 4, 4
			s.ParallelAttempts, s.MayCancel = seed%2 == 0, seed%3 > 0
			s.Classes = []dw.Class{{Objective: 200 * millisecond, Deadline: 800 * millisecond, Weight: 5, Idempotency: dw.IdempotentByKey, DedupWindow: window}}
			s.Plans = []dw.Plan{{Rate: 1000, Burst: 1000, WeightFactor: 1}}
			w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 3)), settings: s, now: 1e9, totals: map[string]float64{},
				ceilings: map[dw.CustomerID]*trueCeiling{}}
			for c := range dw.CustomerID(6) {
				w.ceilings[c] = &trueCeiling{}
			}
			w.gateways = []*simulatedGateway{{}}
			w.startGateway(w.gateways[0])
			repeats := 0
			for range 20_000 {
				w.step()
				repeats += w.outlasting(window)
			}
			if repeats == 0 {
				t.Error("no attempt was out after another that may have run")
			}
		})
	}
}

// outlasting fails the test if an attempt is out beyond the window of another of its request, and counts those that are out
// within one.
func (w *simulation) outlasting(window dw.Span) (within int) {
	for _, g := range w.gateways {
		for id, r := range g.requests {
			for i, open := range r.attempts {
				for j, other := range r.attempts {
					if i == j || open.ended || !other.mayHaveRun() {
						continue
					}
					within++
					// A timer or a time-out is told with the round after it.
					if age := dw.Span(w.now - other.startedAt); age > window+2*w.settings.Tick {
						w.t.Fatalf("attempt %d of %s is out %d ms after attempt %d began, and servers forget that after %d ms",
							i, id, age/millisecond, j, window/millisecond)
					}
				}
			}
		}
	}
	return within
}
