package backoff

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A service that serves 25 calls a second and queues 20 rejects most of 80 callers that begin in the same millisecond, and
// rejected them for a day when they retried in step. With jitter all are served soon.
func TestCallersThatStartTogetherAreServed(t *testing.T) {
	const callers, perSecond, waiting = 80, 25, 20
	var nextCallAt [callers]time.Duration
	var all [callers]Backoff
	for i := range all {
		all[i] = Backoff{First: 100 * time.Millisecond, BusyFirst: 2 * time.Second, BusyMax: 8 * time.Second,
			Rand: rand.New(rand.NewPCG(1, uint64(i)))}
	}
	var served []time.Duration
	var free time.Duration
	calls := 0
	for now := time.Duration(0); now < time.Minute && len(served) < callers; now += time.Millisecond {
		for i := range all {
			if nextCallAt[i] != now {
				continue
			}
			calls++
			free = max(free, now)
			if free-now >= waiting*time.Second/perSecond {
				nextCallAt[i] = now + max(time.Millisecond, all[i].Next(true).Truncate(time.Millisecond))
				continue
			}
			free += time.Second / perSecond
			served = append(served, free)
			nextCallAt[i] = -1
		}
	}
	if len(served) < callers {
		t.Fatalf("%d of %d callers served in a minute, with %d calls", len(served), callers, calls)
	}
	slices.Sort(served)
	t.Logf("half are served after %v, all after %v, with %d calls", served[callers/2], served[callers-1], calls)
	if served[callers-1] > 8*time.Second || calls > 5*callers/2 { // without jitter, 14.8 s; with short waits, 343 calls
		t.Errorf("the last of %d callers was served after %v, with %d calls", callers, served[callers-1], calls)
	}
}

func TestBounds(t *testing.T) {
	b := Backoff{First: 100, Max: 400, BusyFirst: 100, BusyMax: 1000, Rand: rand.New(rand.NewPCG(1, 1))}
	longestWait := func(busy bool) (most time.Duration) {
		for range 1000 {
			most = max(most, b.Next(busy))
		}
		return most
	}
	if d := b.Next(false); d > 100 {
		t.Errorf("first wait %d", d)
	}
	if d := longestWait(false); d > 400 || d < 390 {
		t.Errorf("longest wait %d", d)
	}
	if d := longestWait(true); d > 1000 || d < 980 {
		t.Errorf("longest wait for a busy service %d", d)
	}
	if b.Reset(); b.Next(true) > 100 {
		t.Error("failures are not forgotten")
	}
}
