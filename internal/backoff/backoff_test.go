package backoff

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestCallersThatStartTogetherAreServed guards against callers that retry at the same times. A service that serves 25 calls per
// second and queues 20 rejects most of 80 callers that start in the same millisecond. It rejected 80 gateways for a day when
// they retried without jitter, at most 0.5 s apart, and gave up a queued call after 1 s. The callers of this test do not give
// up queued calls. With jitter, all must be served soon.
func TestCallersThatStartTogetherAreServed(t *testing.T) {
	const callers, perSecond, queueSize = 80, 25, 20
	var nextCallAt [callers]time.Duration
	var backoffs [callers]Backoff
	for i := range backoffs {
		backoffs[i] = Backoff{First: 100 * time.Millisecond, BusyFirst: 2 * time.Second, BusyMax: 8 * time.Second,
			Rand: rand.New(rand.NewPCG(1, uint64(i)))}
	}
	var served []time.Duration
	var freeAt time.Duration
	calls := 0
	for now := time.Duration(0); now < time.Minute && len(served) < callers; now += time.Millisecond {
		for i := range backoffs {
			if nextCallAt[i] != now {
				continue
			}
			calls++
			freeAt = max(freeAt, now)
			if freeAt-now >= queueSize*time.Second/perSecond {
				nextCallAt[i] = now + max(time.Millisecond, backoffs[i].Next(true).Truncate(time.Millisecond))
				continue
			}
			freeAt += time.Second / perSecond
			served = append(served, freeAt)
			nextCallAt[i] = -1
		}
	}
	if len(served) < callers {
		t.Fatalf("only %d of %d callers were served within a minute, with %d calls", len(served), callers, calls)
	}
	slices.Sort(served)
	t.Logf("half of the callers were served after %v, all after %v, with %d calls", served[callers/2], served[callers-1], calls)
	if served[callers-1] > 8*time.Second || calls > 5*callers/2 { // 14.8 s if these callers wait for the bound, without jitter; 343 calls if busy waits are as short as others
		t.Errorf("the last of %d callers was served after %v, with %d calls; expected at most 8 s and 200 calls", callers, served[callers-1], calls)
	}
}

// TestBounds guards against waits beyond the bounds of Backoff, for failures and for rejections by an overloaded service, and
// against a bound that Reset does not restore.
func TestBounds(t *testing.T) {
	b := Backoff{First: 100, Max: 400, BusyFirst: 100, BusyMax: 1000, Rand: rand.New(rand.NewPCG(1, 1))}
	longestWait := func(busy bool) (longest time.Duration) {
		for range 1000 {
			longest = max(longest, b.Next(busy))
		}
		return longest
	}
	if d := b.Next(false); d > 100 {
		t.Errorf("got a first wait of %d, expected at most 100", d)
	}
	if d := longestWait(false); d > 400 || d < 390 {
		t.Errorf("got a longest wait of %d, expected 390 to 400", d)
	}
	if d := longestWait(true); d > 1000 || d < 980 {
		t.Errorf("got a longest wait of %d for an overloaded service, expected 980 to 1000", d)
	}
	if b.Reset(); b.Next(true) > 100 {
		t.Error("the wait after Reset is longer than the bound of the first wait")
	}
}
