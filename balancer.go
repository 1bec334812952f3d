package dewhitch

import "math"

const (
	maxCompared      = 64   // servers that a request is decided between; of more, by random start
	maxVisited       = 1024 // servers that are looked at to find them
	crossZonePenalty = 0.1  // what a server of another zone must be cheaper by
)

// balancer chooses the server of an attempt. The cost of a choice does not grow with the list: maxCompared
// and maxVisited bound it. It changes nothing but warming servers' budgets, which fill.
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

// candidate is a server that the request may go to; without a server, none was found.
type candidate struct {
	*server
	cost     float64 // by which candidates are compared
	expected float64 // seconds that a new attempt should take
}

// selection is the choice of a server for one request.
type selection struct {
	*balancer
	request           *request
	maxExpected       float64 // seconds: a candidate beyond it comes after those within it
	sparsity          float64 // of the aperture
	ejecting          bool    // outliers are left out
	evenSlowStartRate float64 // attempts a second of a warming server, times its warmth

	best      candidate
	remaining int  // servers that may still be compared
	decided   bool // best was chosen without comparison
}

// pick chooses the server that should finish r first and returns how long that takes, in seconds: more than
// maxExpected if no server is within it. It returns nil if there is none.
func (b *balancer) pick(r *request, maxExpected float64) (*server, float64) {
	ready := b.endpoints.ready
	if len(ready) == 0 || !b.rules.attemptsLeft(r) {
		return nil, 0
	}
	aperture := b.aperture.size()
	c := &selection{balancer: b, request: r, maxExpected: maxExpected, sparsity: b.aperture.sparsity(),
		ejecting:          b.outliers.ejectionApplies(r.classIndex),
		evenSlowStartRate: b.slowStart.evenRate(aperture),
		remaining:         min(aperture, maxCompared)}
	within, start := len(ready), 0
	if aperture > maxCompared {
		within = min(aperture, len(ready))
		start = b.ctx.rng.IntN(within)
	}
	for i := 0; i < min(within, maxVisited) && !c.complete(); i++ {
		c.visit(ready[(start+i)%within])
	}
	return c.best.server, c.best.expected
}

// complete tells whether no further server is visited. Servers with a slow-start rate from the fleet are
// visited beyond the number that is compared, as their attempts are assigned to this gateway.
func (c *selection) complete() bool {
	return c.decided || c.remaining <= 0 && c.endpoints.fleetRated == 0
}

// eligible decides whether the request may go to s at all.
func (c *selection) eligible(s *server) bool {
	if c.remaining <= 0 && s.FleetSlowStartRate == 0 {
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

// visit compares a server, if the request may go there. A server under health check is taken at once: its
// budget bounds how many requests that are.
func (c *selection) visit(s *server) {
	if !c.eligible(s) {
		return
	}
	warmth := c.slowStart.warmth(s)
	if !c.slowStart.admits(s, warmth, c.evenSlowStartRate) {
		return
	}
	c.remaining--
	if s.HealthCheck != HealthCheckOff {
		c.best = candidate{server: s}
		c.decided = true
		return
	}
	c.compare(c.weigh(s, warmth))
}

// weigh estimates the cost of s. The estimate of a server that is seen seldom is of an older load, and among
// many there is always one that looks idle: all gateways would send there together. So the less this gateway
// sees of a server, the more the choice is random, weighted by the square of speed (the least of exponential
// draws), and the more the mean latency counts in place of the server's own.
func (c *selection) weigh(s *server, warmth float64) candidate {
	r := c.request
	expected := c.latency.expected(s)
	cost := expected * math.Pow(expected*warmth*c.ctx.rng.ExpFloat64(), c.sparsity)
	expected = (expected + c.sparsity*max(0, c.latency.mean-expected)) * c.latency.classLatencyRatio[r.classIndex]
	if n := len(r.attempts); n > 0 && r.attempts[n-1].server == s {
		cost += seconds(r.class.Objective)
	}
	// A lost zone would otherwise be found out server by server, at the price of an attempt each.
	cost /= 1 - c.traffic.zoneFailures[s.Zone]
	if s.Zone != c.ctx.settings.Zone {
		cost *= 1 + crossZonePenalty
	}
	return candidate{s, cost, expected}
}

// compare keeps the better of a candidate and the best so far: one within maxExpected before one beyond it,
// then the cheaper.
func (c *selection) compare(x candidate) {
	late, bestLate := x.expected > c.maxExpected, c.best.expected > c.maxExpected
	if c.best.server == nil || late == bestLate && x.cost < c.best.cost || bestLate && !late {
		c.best = x
	}
}
