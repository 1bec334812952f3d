// Package warmstart says how far a process believes what the process before it had learnt. It is pure: no I/O, no clock.
package warmstart

import "math"

const (
	memory  = 5.0  // seconds, over which what was known of servers and rates fades
	longest = 60.0 // seconds, after which a snapshot tells nothing
)

// Trust is the part that is believed of what was known age seconds ago: 1 for now, 0 for what is too old, and for what
// was not yet to be known: a clock that was set back makes every span in it wrong.
func Trust(age float64) float64 {
	if age >= 0 && age <= longest { // not so for what is no number
		return math.Exp(-age / memory)
	}
	return 0
}

// Latency is what a server's latency is taken to be, where mean is that of all. Danger: a server that was fast may crawl
// by now, and whoever has no answers of its own yet sends everything there; so none is taken for faster than the mean.
func Latency(was, mean, trust float64) float64 {
	if was > mean {
		return mean + trust*(was-mean)
	}
	return mean
}

// Quota tells whether what was known of a customer still says what its store holds: while its window may not have passed.
func Quota(age, window float64) bool { return Trust(age) > 0 && age <= window }
