// Package ratelimit limits the rate at which a caller calls a shared service. The callers can't communicate and don't know the
// service's capacity, so each adapts its own rate to the answers to its calls. The package doesn't make calls, wait or read
// a clock.
package ratelimit

// The parameters of the rate control. Bounds of the rate are relative to the calls' timeout. The rate changes by factors: five
// good answers compensate for three bad ones.
const (
	maxCallsPerTimeout      = 8.0    // maximum rate of one caller, in calls per timeout
	maxIntervalTimeouts     = 20     // maximum interval between two calls while calls fail, in timeouts
	recoveryCallsPerTimeout = 4.0    // minimum rate of all callers together after a good answer, in calls per timeout
	queueingFraction        = 0.25   // latency above the minimum, as a fraction of the timeout, from which a call counts as queued
	increase                = 1.1    // factor of the rate for a good answer
	decrease                = 0.85   // factor of the rate for an answer to a queued call or for a missing answer
	recoveryIncrease        = 3.0    // factor of the rate for a good answer while the rate is below the sustained rate
	outageLosses            = 8      // number of consecutive calls without an answer that indicates an outage instead of overload
	sustainedWeight         = 0.2    // weight of the rate at a good answer in the moving average of the sustained rate
	minLatencyMemory        = 1000.0 // time constant, in answers, with which the minimum latency rises
	minTimeout              = 1e-3   // minimum timeout in seconds for the initial rate, for services that set no timeout
)

// Limiter is the rate limiter of one caller: a token bucket whose rate adapts to the answers. Points in time are nanoseconds on
// the caller's clock, which must not go backwards; latencies are in seconds. It is not safe for concurrent use.
type Limiter struct {
	timeout    float64 // timeout of a call in seconds
	callers    float64 // number of callers of the service, including this one
	rate       float64 // current rate in calls per second
	sustained  float64 // moving average of the rate at which calls did not queue, in calls per second; unchanged by an outage
	minLatency float64 // minimum latency of recent answers in seconds
	losses     int     // number of consecutive calls without an answer
	tokens     float64 // number of calls that may be made now; negative after calls that Allow did not permit
	updatedAt  int64   // time of the last update of tokens
}

// New returns a limiter that starts at one call per timeout. The timeout is in seconds.
func New(timeout float64, callers int) *Limiter {
	return &Limiter{timeout: timeout, callers: float64(callers), rate: 1 / max(minTimeout, timeout), minLatency: timeout}
}

// Allow returns true if a call may be made now. Unused calls accumulate up to the number of calls per timeout, and at least to
// one.
func (l *Limiter) Allow(now int64) bool {
	l.tokens = min(max(1, l.rate*l.timeout), l.tokens+l.rate*float64(now-l.updatedAt)/1e9)
	l.updatedAt = now
	return l.tokens >= 1
}

// Spend counts a call. It may be called without Allow for a call that can't wait; such a call delays later ones.
func (l *Limiter) Spend() { l.tokens-- }

// Observe adapts the rate to the end of a call. ok is true if the call was answered, with the given latency in seconds.
//
// Only latency above the minimum indicates queueing, as the network latency may be high without a queue at the service. After an
// outage, the rate is at its minimum, and the few answers raise it only slowly. So the rate returns to the sustained rate by
// a larger factor; otherwise recovery would take longer than the outage.
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
		if l.tokens < 1 { // unless the rate was used up, the answer doesn't show that the service has capacity for more
			l.rate = min(l.maxRate(), max(l.rate*increase, recoveryCallsPerTimeout/l.timeout/l.callers))
		}
		l.sustained += sustainedWeight * (l.rate - l.sustained)
	}
}

// minRate returns the minimum rate in calls per second.
func (l *Limiter) minRate() float64 { return 1 / (maxIntervalTimeouts * l.timeout) }

// maxRate returns the maximum rate in calls per second.
func (l *Limiter) maxRate() float64 { return maxCallsPerTimeout / l.timeout }

// Export returns the limiter's estimates for the process that replaces this one: the rate in calls per second, and the minimum
// latency in seconds.
func (l *Limiter) Export() (rate, minLatency float64) { return l.rate, l.minLatency }

// Resume starts from the exported values of another limiter, within the bounds of this one. It ignores them unless both are
// positive. Accumulated tokens are not transferred, as the other process may still be running and use them.
func (l *Limiter) Resume(rate, minLatency float64) {
	if rate > 0 && minLatency > 0 {
		l.rate = min(l.maxRate(), max(rate, l.minRate()))
		l.minLatency = min(l.timeout, minLatency)
	}
}
