// Package warmstart defines how far a process trusts the state that the previous process exported. Its functions are pure. Ages
// and latencies are in seconds.
package warmstart

import "math"

const (
	trustDecay = 5.0  // time constant in seconds with which the trust in servers' statistics and rates decays
	maxAge     = 60.0 // greatest age of a state that is used, in seconds
)

// Trust returns the weight, from 0 to 1, of values that are age seconds old. It returns 0 for a state that is too old, and for
// one from the future, because after the clock was set back every duration in the state is wrong.
func Trust(age float64) float64 {
	if age >= 0 && age <= maxAge { // false for NaN
		return math.Exp(-age / trustDecay)
	}
	return 0
}

// InitialLatency returns the latency that a process assumes for a server at its start. mean is the mean latency of all servers.
// No server is assumed to be faster than the mean: a server that was fast may be slow by now, and a gateway that has no answers
// of its own yet would send all requests to it.
func InitialLatency(exported, mean, trust float64) float64 {
	if exported > mean {
		return mean + trust*(exported-mean)
	}
	return mean
}

// IsQuotaValid returns true if an exported customer account is still valid: the state is trusted, and its age does not exceed the
// account's counter window, in seconds.
func IsQuotaValid(age, window float64) bool { return Trust(age) > 0 && age <= window }
