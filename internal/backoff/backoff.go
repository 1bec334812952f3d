// Package backoff computes how long to wait before a failed call is retried. It does not wait, make calls or read a clock.
//
// Callers that start together, or lose the same service together, would retry in the same millisecond every time if they
// waited for fixed times. A service that could serve all of them within a second would then serve none.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff is exponential backoff with full jitter: a wait is uniform between 0 and a bound that doubles with each
// failure in a row (Brooker, "Exponential Backoff And Jitter", 2015). It belongs to one caller and is not safe for
// concurrent use. The exported fields are set before the first Next.
type Backoff struct {
	First     time.Duration // upper bound of the first wait
	Max       time.Duration // upper bound of any wait
	BusyFirst time.Duration // like First, for calls that an overloaded service rejected; First applies if it is greater
	BusyMax   time.Duration // like Max, for calls that an overloaded service rejected
	Rand      *rand.Rand    // source of the jitter; required
	bound     time.Duration // upper bound of the last wait; 0 if no call has failed since the last success
}

// Next returns how long to wait after a failure. busy is true if the service answered and rejected the call because it is
// overloaded.
func (b *Backoff) Next(busy bool) time.Duration {
	first, bound := b.First, b.Max
	if busy {
		first, bound = max(first, b.BusyFirst), b.BusyMax
	}
	b.bound = min(bound, max(first, 2*b.bound))
	return time.Duration(b.Rand.Int64N(int64(b.bound) + 1))
}

// Reset starts a new sequence of waits. It is called after a success.
func (b *Backoff) Reset() { b.bound = 0 }
