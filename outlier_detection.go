package dewhitch

// The servers: what speaks for and against each.

import (
	"math"
)

type server struct {
	Endpoint
	out               int     // attempts out from this gateway
	waiting, answered Instant // since when something is out with no answer; the last answer, of any class
	latency           float64 // smoothed, as of a warm one
	measured          Instant // when an answer last told it
	verdicts          []verdict
	budget            bucket // of a cold server
	rank              uint64 // the place in this gateway's order; no two servers of one list share it
}

// verdict is what speaks against a server for a class.
type verdict struct {
	answered Instant // last
	failed   int     // failures since
	at       Instant // of the first of them
	ejected  Instant // until then
}

// throttled tells, by lot, to hold back: where most attempts end badly, only less work brings servers back.
func (g *Gateway) throttled() bool {
	g.leak()
	g.tried++
	return g.rng.Float64()*g.tried > failures+g.good/maxEjected
}

// leak lets what is old count less.
func (g *Gateway) leak() {
	part := math.Exp(-seconds(g.now-g.leaked) / seconds(sendSpan))
	g.sent, g.tried, g.good, g.wanted, g.leaked = g.sent*part, g.tried*part, g.good*part, g.wanted*part, g.now
	for zone := range g.cut { // in any order
		g.cut[zone] *= part
	}
}

func (g *Gateway) sendRate() float64 { g.leak(); return g.sent / seconds(sendSpan) } // own, attempts a second

// judge learns from an outcome.
func (g *Gateway) judge(r *request, a *attempt, e AttemptEnded) {
	s := a.server
	s.out--
	if e.Outcome == OutcomeNotSent || e.Outcome == OutcomeCancelled {
		return
	}
	sample := seconds(e.Latency)
	if e.Outcome == OutcomeOK {
		if g.leak(); e.Latency <= r.class.Objective {
			g.good++
		}
		s.waiting, s.answered = g.now, g.now
		s.verdicts[r.kind] = verdict{answered: g.now}
		g.cut[s.Zone] *= 1 - latencyWeight
		size := min(sample/crowd(a.beside)/g.latency, maxSize)
		g.sized[r.kind]++
		g.sizes[r.kind] += max(latencyWeight/4, 1/g.sized[r.kind]) * (size - g.sizes[r.kind])
	} else {
		// Danger: silence is one server's trouble; as slowness of all a few dead servers would have all refused.
		if g.suspect(r, a) && e.Outcome != OutcomeRejected {
			return
		}
		sample = max(2*sample, seconds(g.minAim))
	}
	sample /= crowd(a.beside)
	g.latency += g.weight(g.measured, latencyWeight/4) * (min(sample, maxStray*g.latency) - g.latency)
	s.latency += g.weight(s.measured, latencyWeight) * (sample*g.warmth(s)/g.sizes[r.kind] - s.latency)
	if l := e.Load; l.Has&HasInflight != 0 && l.Has&HasRate != 0 { // Little's law, with one more of the mean
		told := (l.Inflight + l.Queue + 1) / (l.Rate + 1/g.latency)
		s.latency += reportWeight * g.blind() * g.blind() * (told - s.latency)
	}
	g.idle = min(g.latency, g.idle*(1+1/idleSamples))
	g.measured, s.measured = g.now, g.now
}

// weight is that of a new sample: the less was measured of late, the more it says.
func (g *Gateway) weight(last Instant, least float64) float64 {
	return max(least, maxWeight*(1-math.Exp(-seconds(g.now-last)/seconds(recoverSpan))))
}

// aperture is how many servers this gateway uses, in its own order: of more it would learn too little.
func (g *Gateway) aperture() int {
	return min(len(g.servers), max(leastAperture, int(g.sendRate()*apertureGap)))
}

// gap is the mean time between two attempts of this gateway on a server.
func (g *Gateway) gap() float64 { return float64(g.aperture()) / max(1e-3, g.sendRate()) }

// suspect holds an attempt that failed or is unanswered against its server, if that answered no other since.
// A server that is seen seldom is avoided for longer: of few attempts each costs much.
func (g *Gateway) suspect(r *request, a *attempt) bool {
	v := &a.server.verdicts[r.kind]
	if v.answered > a.at {
		return false
	}
	if !a.failed {
		a.failed = true
		g.suspects[a.server] = true
		g.cut[a.server.Zone] += (1 - g.cut[a.server.Zone]) * latencyWeight
		span := max(seconds(recoverSpan), failures*g.gap()) * math.Pow(2, float64(v.failed))
		if v.failed++; v.failed == 1 {
			v.at = g.now
		}
		v.ejected = g.now + Instant(min(span, seconds(ejectLongest))*1e9)
	}
	return true
}

// warmth is the least share of its capacity that a server has reached.
func (g *Gateway) warmth(s *server) float64 {
	if s.StartedAt <= 0 || g.now-s.StartedAt >= Instant(g.set.SlowStartSpan) {
		return 1
	}
	return g.set.StartCapacity + (1-g.set.StartCapacity)*seconds(g.now-s.StartedAt)/seconds(g.set.SlowStartSpan)
}

// expect is how long a new attempt on s should take.
func (g *Gateway) expect(s *server) float64 {
	latency := s.latency * crowd(s.out)
	if s.out > 0 { // or for so long as it has owed an answer without giving any
		latency = max(latency, seconds(g.now-s.waiting))
	}
	return latency / g.warmth(s)
}

// crowd is how much longer an attempt takes beside n others from this gateway.
func crowd(n int) float64 { return (float64(n) + parallel) / parallel }

// isOut tells that evidence speaks against s.
func (g *Gateway) isOut(s *server, r *request) bool {
	for k, v := range s.verdicts { // one class's failures speak for all until the server answers another
		speaks := v.failed > 0 && (k == r.kind || s.answered <= v.at)
		if speaks && (g.now < v.ejected || s.out > 0) { // then one request at a time, until one is answered
			return true
		}
	}
	return false
}

// blind is how little this gateway sees of a server: near 1 if it seldom sends there, 0 if all the time.
func (g *Gateway) blind() float64 { return 1 / (1 + math.Pow(seconds(recoverSpan)/g.gap(), 2)) }
