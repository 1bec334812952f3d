package dewhitch

import "math"

const (
	objectiveFraction    = 0.25 // threshold of expected latency, as a fraction of the latency objective
	idleLatencyMultiple  = 2.5  // least threshold of expected latency, as a multiple of idle servers' latency
	beyondQuotaFraction  = 0.4  // fraction of the latency threshold left to requests beyond quota: shed first
	throttleFreeRequests = 3.0  // requests that the throttle never counts against the servers
	throttleAcceptRatio  = 0.5  // accepts per request below which the throttle starts to reject
	scantTimeMultiple    = 4.0  // time, in mean latencies, below which a healthy server may answer too late
	scantTimeFraction    = 0.1  // fraction of the latency objective from which an attempt always counts
	minRetryAfterLatency = 0.5  // least Retry-After of shed requests in mean latencies; at most 1 more at random
)

// loadShedder rejects requests that the servers should not receive, those of low priority first.
type loadShedder struct {
	ctx         *stepContext
	traffic     *trafficStatistics
	latency     *latencyEstimator
	balancer    *balancer
	priorities  *priorities
	retryBudget *retryBudget
}

// latencyThreshold returns the expected latency, in seconds, above which r is shed: a fraction of its
// objective or, if that is more, a multiple of the idle servers' latency, because less than that is no sign
// of load. The threshold is scaled by the square root of r's priority relative to the mean.
func (l *loadShedder) latencyThreshold(r *request, withinQuota bool) float64 {
	byObjective := objectiveFraction * seconds(r.objective-l.ctx.now)
	byIdle := idleLatencyMultiple * l.latency.idle * l.latency.classLatencyRatio[r.classIndex]
	threshold := max(byObjective, byIdle) * math.Sqrt(l.priorities.priorityOf(r)/l.priorities.mean)
	if !withinQuota {
		threshold *= beyondQuotaFraction
	}
	return threshold
}

// checkCapacity returns the server for the first attempt of r, or sheds r: if no server may take it, if the
// best server is expected to be too slow, or by the throttle.
func (l *loadShedder) checkCapacity(r *request, withinQuota bool) (*server, verdict) {
	l.priorities.observe(r)
	threshold := l.latencyThreshold(r, withinQuota)
	l.traffic.endpointRequests++
	s, expected := l.balancer.pick(r, threshold)
	if s == nil || expected > threshold || l.throttled(r) {
		return nil, deny(ReasonOverload, l.retryAfter(r, expected/threshold))
	}
	l.retryBudget.deposit()
	return s, admit()
}

// throttled returns true if client-side adaptive throttling rejects a request (Beyer et al., "Site
// Reliability Engineering", 2016, chapter 21): while most attempts fail or are late, a random fraction of
// the requests is rejected, because servers recover only under less load.
func (l *loadShedder) throttled(r *request) bool {
	t := l.traffic
	t.decay()
	t.throttleRequests += r.evidence
	return l.ctx.rng.Float64()*t.throttleRequests > throttleFreeRequests+t.throttleAccepts/throttleAcceptRatio
}

// evidenceOf returns how much the outcome of a request with the remaining time says about the servers, from 0
// to 1. Clients that leave little time are the reason if their requests fail, and those of others must not be
// rejected for it.
func evidenceOf(class *Class, remaining Span) float64 {
	return max(0, min(1, seconds(remaining)/seconds(class.Objective)))
}

// isScant returns true if an attempt of r that starts now and ends at endsBy has so little time that its
// failure says nothing about a server.
func (l *loadShedder) isScant(r *request, endsBy Instant) bool {
	usual := scantTimeMultiple * l.latency.mean * l.latency.classLatencyRatio[r.classIndex]
	return seconds(endsBy-l.ctx.now) < min(usual, scantTimeFraction*seconds(r.class.Objective))
}

// retryAfter returns the Retry-After of a request that is shed: about the mean latency, more under pressure
// (expected latency divided by the threshold), but early enough for the objective. The random part spreads
// the clients' retries.
func (l *loadShedder) retryAfter(r *request, pressure float64) Span {
	wait := (minRetryAfterLatency + l.ctx.rng.Float64()) * l.latency.mean * max(1, pressure)
	return Span(max(0, min(wait, seconds(r.objective-l.ctx.now)-l.latency.mean)) * 1e9)
}
