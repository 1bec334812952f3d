package core

import (
	"time"

	dw "dewhitch"
)

// Clock is the planner's time: Unix time, read once at the start and monotonic from there on. It is immutable and safe for
// any goroutine.
//
// It is Unix time because gateways name the counter's windows by their time: clocks of different origins would have every
// gateway count alone. It is monotonic because a step of the system's clock would make the same start of a server look like
// a new one.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Instant converts a time to an instant of this clock.
func (c Clock) Instant(t time.Time) dw.Instant {
	return dw.Instant(c.start.UnixNano() + int64(t.Sub(c.start)))
}

// Time converts an instant of this clock to a time.
func (c Clock) Time(i dw.Instant) time.Time {
	return c.start.Add(time.Duration(int64(i) - c.start.UnixNano()))
}

// FromUnixMS converts Unix time in milliseconds to an instant; 0 and less become 0, which stands for long ago.
func FromUnixMS(ms int64) dw.Instant { return dw.Instant(max(0, ms) * 1e6) }
