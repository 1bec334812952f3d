// Package ratelimit says when a caller of a shared service may call it, where the callers can't talk to each other and
// none knows the service's capacity: each adapts the rate of its own calls to how they were answered. It never calls
// anything, waits or reads a clock.
package ratelimit

// The limits of a caller's rate are relative to the calls' time-out. The rate grows and shrinks by factors: five good
// answers make up for three bad ones.
const (
	maxCallsPerTimeout      = 8.0    // rate of one caller at most
	maxIntervalTimeouts     = 20     // time-outs between two calls at most, while calls fail
	recoveryCallsPerTimeout = 4.0    // rate of all callers together once a call is answered again
	queueingFraction        = 0.25   // of the time-out: an answer slower than the quickest by more has queued
	increase                = 1.1    // of the rate by a good answer
	decrease                = 0.85   // by one that has queued, or by none
	recoveryIncrease        = 3.0    // by a good answer while the rate is below the sustained one
	outageLosses            = 8      // calls in a row without an answer: the service is out, not overloaded
	sustainedWeight         = 0.2    // of a good answer's rate in the sustained rate
	minLatencyMemory        = 1000.0 // answers, as the time constant of the least latency's rise
	minTimeout              = 1e-3   // seconds: bounds the first rate where the service sets no time-out
)

// Limiter is the rate limit of one caller: a token bucket whose rate follows the answers. Instants are nanoseconds on
// the caller's clock, which must not go back; latencies are seconds. It is not safe for concurrent use.
type Limiter struct {
	timeout    float64 // seconds
	callers    float64 // of the service, this one included
	rate       float64 // calls a second
	sustained  float64 // calls a second that were answered without queueing: moving average, unchanged by an outage
	minLatency float64 // seconds: of the quickest answer of late
	losses     int     // calls in a row without an answer
	tokens     float64 // calls that may be made now
	updatedAt  int64   // of tokens
}

// New makes a limiter that starts at one call for each time-out, in seconds.
func New(timeout float64, callers int) *Limiter {
	return &Limiter{timeout: timeout, callers: float64(callers), rate: 1 / max(minTimeout, timeout), minLatency: timeout}
}

// Allow tells whether a call may be made now. At most a time-out's calls, or one, are saved up.
func (l *Limiter) Allow(now int64) bool {
	l.tokens = min(max(1, l.rate*l.timeout), l.tokens+l.rate*float64(now-l.updatedAt)/1e9)
	l.updatedAt = now
	return l.tokens >= 1
}

// Spend counts a call. It may be called without Allow: a call that could not wait delays those after it.
func (l *Limiter) Spend() { l.tokens-- }

// Observe adapts the rate to the end of a call: ok if it was answered, after latency in seconds.
//
// Only latency above the quickest counts, as the way to the service may be long without any queue at it. After an
// outage the rate is at its minimum, and so are the answers that would raise it: it returns to the sustained rate by a
// larger factor, or recovery would take longer than the outage.
func (l *Limiter) Observe(ok bool, latency float64) {
	l.losses++
	if ok {
		l.minLatency = min(l.minLatency+l.minLatency/minLatencyMemory, latency)
		l.losses = 0
	}
	switch {
	case !ok || latency > l.minLatency+queueingFraction*l.timeout:
		l.rate = max(decrease*l.rate, l.minRate())
		if l.losses < outageLosses {
			l.sustained *= decrease
		}
	case l.rate < l.sustained:
		l.rate = min(recoveryIncrease*l.rate, l.sustained)
	default:
		if l.tokens < 1 { // a rate that is not used up says nothing of the service's capacity
			l.rate = min(l.maxRate(), max(l.rate*increase, recoveryCallsPerTimeout/l.timeout/l.callers))
		}
		l.sustained += sustainedWeight * (l.rate - l.sustained)
	}
}

func (l *Limiter) minRate() float64 { return 1 / (maxIntervalTimeouts * l.timeout) }

func (l *Limiter) maxRate() float64 { return maxCallsPerTimeout / l.timeout }

// Export is the estimates of the limiter, for the process that replaces its own: calls a second, and the quickest
// answer in seconds.
func (l *Limiter) Export() (rate, minLatency float64) { return l.rate, l.minLatency }

// Resume starts from the exported values of another limiter, within the bounds of this one; values that are not
// positive numbers are ignored. Saved-up calls are not taken over: the other process may still run and make them.
func (l *Limiter) Resume(rate, minLatency float64) {
	if rate > 0 && minLatency > 0 {
		l.rate = min(l.maxRate(), max(rate, l.minRate()))
		l.minLatency = min(l.timeout, minLatency)
	}
}
