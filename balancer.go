package dewhitch

import "math"

const (
	maxComparedServers = 64   // servers compared for a request; a search among more starts at random
	maxVisitedServers  = 1024 // servers visited for a request to find those to compare
	crossZonePenalty   = 0.1  // fraction added to the cost of a server in another zone
)

// balancer selects the server of an attempt. maxComparedServers and maxVisitedServers bound the work of a
// selection, so that it does not grow with the endpoint list. Of the servers, a selection changes only the
// slow-start budgets of warming ones, which it refills.
type balancer struct {
	ctx       *stepContext
	endpoints *endpointSet
	aperture  *aperture
	traffic   *trafficStatistics
	slowStart *slowStart
	outliers  *outlierDetector
	latency   *latencyEstimator
	rules     attemptRules
}

// candidate is a server that the request may be sent to. The server is nil if none was found.
type candidate struct {
	*server
	cost     float64 // estimated cost; the candidate with the lowest is selected
	expected float64 // expected latency of a new attempt, in seconds
}

// selection is the state of selecting a server for one request.
type selection struct {
	*balancer
	request           *request
	latencyLimit      float64 // seconds; a candidate whose expected latency is higher ranks last
	sparsity          float64 // sparsity of the aperture
	ejecting          bool    // outliers are excluded
	slowStartBaseRate float64 // attempts a second of a warming server, before the factor of its warmth

	best                 candidate // best candidate so far
	remainingComparisons int       // number of servers that may still be compared
	decided              bool      // best was selected without comparison
}

// pick selects the server that is expected to answer r first and returns its expected latency in seconds.
// The latency exceeds latencyLimit only if no server is within it. The server is nil if none may take r.
func (b *balancer) pick(r *request, latencyLimit float64) (*server, float64) {
	ready := b.endpoints.ready
	if len(ready) == 0 || !b.rules.attemptsRemaining(r) {
		return nil, 0
	}
	aperture := b.aperture.size()
	c := &selection{balancer: b, request: r, latencyLimit: latencyLimit, sparsity: b.aperture.sparsity(),
		ejecting:             b.outliers.ejectionApplies(r.classIndex),
		slowStartBaseRate:    b.slowStart.baseRate(aperture),
		remainingComparisons: min(aperture, maxComparedServers)}
	searched, start := len(ready), 0
	if aperture > maxComparedServers {
		searched = min(aperture, len(ready))
		start = b.ctx.rng.IntN(searched)
	}
	for i := 0; i < min(searched, maxVisitedServers) && !c.complete(); i++ {
		c.consider(ready[(start+i)%searched])
	}
	return c.best.server, c.best.expected
}

// complete returns true if no further server has to be visited. Servers whose slow-start rate the fleet has
// set are visited beyond the number that is compared, because their attempts are assigned to this gateway.
func (c *selection) complete() bool {
	return c.decided || c.remainingComparisons <= 0 && c.endpoints.fleetRatedCount == 0
}

// eligible returns true if the request may be sent to s, apart from the limits of slow start.
func (c *selection) eligible(s *server) bool {
	if c.remainingComparisons <= 0 && s.FleetSlowStartRate == 0 {
		return false
	}
	if c.ejecting && c.outliers.isEjected(s, c.request.classIndex) {
		return false
	}
	if s.HealthCheck == HealthCheckIdempotent && c.request.class.Idempotency == NotIdempotent {
		return false
	}
	return c.rules.mayAttempt(c.request, s)
}

// consider compares s with the best candidate if the request may be sent there. A server under health check
// is selected without comparison; its slow-start budget limits the number of such requests.
func (c *selection) consider(s *server) {
	if !c.eligible(s) {
		return
	}
	warmth := c.slowStart.warmth(s)
	if !c.slowStart.admits(s, warmth, c.slowStartBaseRate) {
		return
	}
	c.remainingComparisons--
	if s.HealthCheck != HealthCheckOff {
		c.best = candidate{server: s}
		c.decided = true
		return
	}
	c.compare(c.estimateCost(s, warmth))
}

// estimateCost estimates the cost of s. The estimate of a rarely used server reflects an older load, and
// among many servers one always looks idle: all gateways would send there together. So the more rarely this
// gateway sends to a server, the more the choice is random, weighted by the square of the speed (the least of
// exponential draws), and the more the mean latency replaces the server's own.
func (c *selection) estimateCost(s *server, warmth float64) candidate {
	r := c.request
	expected := c.latency.expected(s)
	cost := expected * math.Pow(expected*warmth*c.ctx.rng.ExpFloat64(), c.sparsity)
	expected = (expected + c.sparsity*max(0, c.latency.mean-expected)) *
		c.latency.classLatencyRatio[r.classIndex]
	if n := len(r.attempts); n > 0 && r.attempts[n-1].server == s {
		cost += seconds(r.class.Objective)
	}
	// Without this, the loss of a zone would be detected one server at a time, by a failed attempt on each.
	cost /= 1 - c.traffic.zoneFailures[s.Zone]
	if s.Zone != c.ctx.settings.Zone {
		cost *= 1 + crossZonePenalty
	}
	return candidate{s, cost, expected}
}

// compare keeps the better of x and the best candidate so far. A candidate within latencyLimit is better
// than one beyond it; otherwise the one with the lower cost is better.
func (c *selection) compare(x candidate) {
	overLimit, bestOverLimit := x.expected > c.latencyLimit, c.best.expected > c.latencyLimit
	if c.best.server == nil || overLimit == bestOverLimit && x.cost < c.best.cost ||
		bestOverLimit && !overLimit {
		c.best = x
	}
}
