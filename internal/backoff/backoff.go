// Package backoff says how long to wait before a call that failed is made again. It owns the count of failures of one
// caller and its lot. It never waits, calls or reads a clock, and it is not safe for concurrent use.
//
// Danger: callers that start together, or lose the same service together, and wait for fixed times, ask again in the
// same millisecond for ever; a service that bears all of them over a second then serves none.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff waits with full jitter: anything from nothing to a bound that doubles with each failure in a row (Brooker,
// "Exponential Backoff And Jitter", 2015).
type Backoff struct {
	First time.Duration // bound of the first wait
	Max   time.Duration // of the last
	// The same where the service said that it is overloaded: there are more callers than it bears.
	BusyFirst, BusyMax time.Duration
	Rand               *rand.Rand
	bound              time.Duration
}

// Next is the next wait, after a failure; busy: the service answered, and turned the call away.
func (b *Backoff) Next(busy bool) time.Duration {
	first, most := b.First, b.Max
	if busy {
		first, most = max(first, b.BusyFirst), b.BusyMax
	}
	b.bound = min(most, max(first, 2*b.bound))
	return time.Duration(b.Rand.Int64N(int64(b.bound) + 1))
}

// Reset forgets the failures, after a success.
func (b *Backoff) Reset() { b.bound = 0 }
