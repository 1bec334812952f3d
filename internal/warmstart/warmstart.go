// Package warmstart holds the rules of how far a process trusts the state that the process before it exported. Its
// functions are pure. Ages and latencies are in seconds.
package warmstart

import "math"

const (
	trustDecay = 5.0  // seconds: time constant of the trust in what was known of servers and rates
	maxAge     = 60.0 // seconds: an older state is not used
)

// Trust is the weight, from 0 to 1, of values that are age seconds old. It is 0 for a state that is too old, and for
// one from the future: after a clock was set back every span in it is wrong.
func Trust(age float64) float64 {
	if age >= 0 && age <= maxAge { // false for NaN
		return math.Exp(-age / trustDecay)
	}
	return 0
}

// InitialLatency is what a server's latency is taken to be, where mean is that of all servers. None is taken to be faster than
// the mean: a server that was fast may be slow by now, and a gateway without answers of its own would send everything
// there.
func InitialLatency(exported, mean, trust float64) float64 {
	if exported > mean {
		return mean + trust*(exported-mean)
	}
	return mean
}

// IsQuotaValid tells whether a customer's account is still valid: its counter window, in seconds, may not have ended yet.
func IsQuotaValid(age, window float64) bool { return Trust(age) > 0 && age <= window }
