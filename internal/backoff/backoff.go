// Package backoff says how long to wait before a call that failed is made again. It never waits, calls or reads a clock.
//
// Callers that start together, or lose the same service together, and wait for fixed times would retry in the same
// millisecond every time: a service that could bear all of them within a second then serves none.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff is exponential backoff with full jitter: a wait is uniform between 0 and a bound that doubles with each
// failure in a row (Brooker, "Exponential Backoff And Jitter", 2015). It belongs to one caller and is not safe for
// concurrent use. The exported fields are set before the first Next.
type Backoff struct {
	First     time.Duration // bound of the first wait
	Max       time.Duration // bound of any wait
	BusyFirst time.Duration // like First, where the service rejected the call as overloaded; First if less
	BusyMax   time.Duration // like Max, where it did
	Rand      *rand.Rand    // of the jitter; required
	bound     time.Duration // of the last wait; 0: no failure since the last success
}

// Next is the wait after a failure. Busy: the service answered, and rejected the call as overloaded.
func (b *Backoff) Next(busy bool) time.Duration {
	first, bound := b.First, b.Max
	if busy {
		first, bound = max(first, b.BusyFirst), b.BusyMax
	}
	b.bound = min(bound, max(first, 2*b.bound))
	return time.Duration(b.Rand.Int64N(int64(b.bound) + 1))
}

// Reset forgets the failures, after a success.
func (b *Backoff) Reset() { b.bound = 0 }
