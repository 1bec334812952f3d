package dewhitch

import "math"

const (
	objectiveFraction    = 0.25 // of the latency objective: a first attempt must be expected within it
	idleLatencyMultiple  = 2.5  // or within so many times the latency of idle servers, if that is more
	beyondQuotaFraction  = 0.4  // of that threshold for requests beyond their quota, which are shed first
	throttleFreeRequests = 3.0  // requests that the throttle never counts against the servers
	throttleAcceptRatio  = 0.5  // accepts per request below which the throttle starts to reject
	minRetryAfterLatency = 0.5  // of the mean latency: least advice to a request that is shed; at most 1 more
)

// loadShedder rejects requests that the servers should not get, those of low priority first.
type loadShedder struct {
	ctx         *stepContext
	traffic     *trafficStatistics
	latency     *latencyEstimator
	balancer    *balancer
	priorities  *priorities
	retryBudget *retryBudget
}

// latencyThreshold is the expected latency, in seconds, from which on r is shed: a fraction of its objective
// or a multiple of what idle servers take, which is no sign of load, scaled by the root of its priority.
func (l *loadShedder) latencyThreshold(r *request, withinQuota bool) float64 {
	byObjective := objectiveFraction * seconds(r.objective-l.ctx.now)
	byIdle := idleLatencyMultiple * l.latency.idle * l.latency.classSize[r.classIndex]
	threshold := max(byObjective, byIdle) * math.Sqrt(l.priorities.priorityOf(r)/l.priorities.mean)
	if !withinQuota {
		threshold *= beyondQuotaFraction
	}
	return threshold
}

// checkCapacity finds the server for the first attempt of r, or sheds r: if no server may take it, if the
// best one is expected to be too slow, or by the throttle.
func (l *loadShedder) checkCapacity(r *request, withinQuota bool) (*server, verdict) {
	l.priorities.observe(r)
	threshold := l.latencyThreshold(r, withinQuota)
	l.traffic.endpointRequests++
	s, expected := l.balancer.pick(r, threshold)
	if s == nil || expected > threshold || l.throttled() {
		return nil, deny(ReasonOverload, l.retryAfter(r, expected/threshold))
	}
	l.retryBudget.deposit()
	return s, admit()
}

// throttled is adaptive throttling at the client (Beyer et al., "Site Reliability Engineering", 2016,
// chapter 21): where most attempts fail or are late, a random part of the requests is rejected, as only less
// load lets servers recover.
func (l *loadShedder) throttled() bool {
	t := l.traffic
	t.decay()
	t.throttleRequests++
	return l.ctx.rng.Float64()*t.throttleRequests > throttleFreeRequests+t.throttleAccepts/throttleAcceptRatio
}

// retryAfter is the advice to a client whose request is shed: about the mean latency, more under pressure
// (the expected latency by its threshold), but early enough for the objective. The random part spreads the
// retries.
func (l *loadShedder) retryAfter(r *request, pressure float64) Span {
	wait := (minRetryAfterLatency + l.ctx.rng.Float64()) * l.latency.mean * max(1, pressure)
	return Span(max(0, min(wait, seconds(r.objective-l.ctx.now)-l.latency.mean)) * 1e9)
}
