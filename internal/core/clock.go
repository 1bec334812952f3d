package core

import (
	"time"

	dw "dewhitch"
)

// Clock converts between times and the module's instants. It reads Unix time once, when it is created, and is monotonic from
// then on. It is immutable and safe for concurrent use.
//
// Instants are Unix time because gateways derive the names of the shared counter's windows from them: with clocks of
// different origins, each gateway would count on its own. They are monotonic because a step of the system clock would make
// an unchanged start time of a server look like a new start.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the current time.
func NewClock() Clock { return Clock{time.Now()} }

// Instant converts a time to an instant of this clock.
func (c Clock) Instant(t time.Time) dw.Instant {
	return dw.Instant(c.start.UnixNano() + int64(t.Sub(c.start)))
}

// Time converts an instant of this clock to a time.
func (c Clock) Time(i dw.Instant) time.Time {
	return c.start.Add(time.Duration(int64(i) - c.start.UnixNano()))
}

// FromUnixMS converts Unix time in milliseconds to an instant. Values of 0 or less become 0, which stands for a start too long
// ago for slow start.
func FromUnixMS(ms int64) dw.Instant { return dw.Instant(max(0, ms) * 1e6) }
