package dewhitch

// Which server a request goes to. What a decision costs does not grow with the servers that are listed: of
// many that this gateway uses, so many are looked at.

import (
	"cmp"
	"math"
)

const (
	mostCompared = 64   // servers that a request is decided between; of more that are in use, by lot
	mostVisited  = 1024 // servers that are looked at to find them
	mostSuspects = 256  // servers that evidence speaks against, of which each request is asked anew
)

// candidate is a server that r may go to.
type candidate struct {
	*server
	cost   float64 // by which it is compared
	expect float64 // how long a new attempt should take
}

// selection is the choice of a server for one request.
type selection struct {
	g     *Gateway
	r     *request
	limit float64 // of the expected time
	blind float64 // how little this gateway sees of a server
	trust bool    // evidence against servers counts
	feed  float64 // attempts a second that a cold server may get, by its warmth

	best    candidate
	room    int // for servers to be compared
	decided bool
}

// pick chooses the server that should finish r first and tells how long that takes: over limit if it must be.
func (g *Gateway) pick(r *request, limit float64) (*server, float64) {
	if len(g.ready) == 0 || r.done || len(r.attempts) >= g.set.MaxAttempts {
		return nil, 0
	}
	aperture := g.aperture()
	// Danger: of many gateways, each sees a server too seldom to know how crowded it is, and all would rush to
	// those that looked best last. The less a gateway sees of a server, the more it draws by lot, by the square
	// of speed (the least of exponential draws); with much traffic of its own it takes the best. A server too
	// slow for limit, on which the lot may fall, says nothing against the others: they come first.
	c := &selection{g: g, r: r, limit: limit, blind: g.blind(),
		trust: float64(g.out(r)) <= maxEjected*float64(len(g.ready)),
		feed:  coldUse * (g.sendRate() + g.wanted/seconds(sendSpan)) / float64(min(len(g.ready), aperture)),
		room:  min(aperture, mostCompared)}
	within, start := len(g.ready), 0
	if aperture > mostCompared {
		within = min(aperture, len(g.ready))
		start = g.rng.IntN(within)
	}
	for i := 0; i < min(within, mostVisited) && !c.over(); i++ {
		c.visit(g.ready[(start+i)%within])
	}
	return c.best.server, c.best.expect
}

// over tells whether no other server is looked at: what the fleet feeds is, whatever its place.
func (c *selection) over() bool { return c.decided || c.room <= 0 && c.g.fed == 0 }

// visit compares a server, if r may go there.
func (c *selection) visit(s *server) {
	g, r := c.g, c.r
	if c.room <= 0 && s.SlowStartRate == 0 || c.trust && g.isOut(s, r) || !g.mayTry(r, s) ||
		s.HealthCheck == HealthCheckIdempotent && r.class.Idempotency == NotIdempotent {
		return
	}
	warmth := g.warmth(s)
	// Rule 4; budgets start at a random level, so that gateways do not come in step. Fed by what was sent
	// alone, cold servers get the less the more is refused for want of them, and stay so.
	if warmth < 1 {
		// What all gateways together have settled goes before this one's guess.
		if s.budget.fill(g.now, cmp.Or(s.SlowStartRate, warmth*c.feed), 1); s.budget.level < 1 {
			return
		}
	}
	if c.room--; s.HealthCheck != HealthCheckOff { // by as few as its budget allows
		c.best, c.decided = candidate{server: s}, true
		return
	}
	c.compare(c.weigh(s, warmth))
}

// weigh tells what speaks for and against a server.
func (c *selection) weigh(s *server, warmth float64) candidate {
	g, r := c.g, c.r
	// Danger: the estimate of a server that is seen seldom is of an older load, and among many there is always
	// one that looks idle. The less is seen of it, the more the latency of all speaks against it.
	expect := g.expect(s)
	cost := expect * math.Pow(expect*warmth*g.rng.ExpFloat64(), c.blind)
	expect = (expect + c.blind*max(0, g.latency-expect)) * g.sizes[r.kind]
	if n := len(r.attempts); n > 0 && r.attempts[n-1].server == s {
		cost += seconds(r.class.Objective)
	}
	// Danger: a cut-off zone, found out server by server, one loss each
	if cost /= 1 - g.cut[s.Zone]; s.Zone != g.set.Zone {
		cost *= 1 + crossZone
	}
	return candidate{s, cost, expect}
}

// compare keeps the better of a candidate and the best so far.
func (c *selection) compare(x candidate) {
	late, was := x.expect > c.limit, c.best.expect > c.limit
	if c.best.server == nil || late == was && x.cost < c.best.cost || was && !late {
		c.best = x
	}
}

// out counts the ready servers that evidence speaks against, for r. Of very many, as counted of late for its
// class.
func (g *Gateway) out(r *request) int {
	recent := g.outAt[r.kind] != 0 && g.now-g.outAt[r.kind] < Instant(g.sweepEvery())
	if len(g.suspects) > mostSuspects && recent {
		return g.outs[r.kind]
	}
	n := 0
	for s := range g.suspects { // in any order
		if s.clear() {
			delete(g.suspects, s)
		} else if s.State == Ready && g.isOut(s, r) {
			n++
		}
	}
	g.outs[r.kind], g.outAt[r.kind] = n, g.now
	return n
}

// clear tells whether nothing speaks against s.
func (s *server) clear() bool {
	for _, v := range s.verdicts {
		if v.failed > 0 {
			return false
		}
	}
	return true
}
