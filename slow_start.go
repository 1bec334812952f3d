package dewhitch

import "cmp"

const (
	slowStartFraction = 0.5 // of an even part of the attempts: a warming server's budget, times its warmth
	slowStartBurst    = 1.0 // attempts that a warming server's budget holds at most
)

// slowStart limits what a server gets while it warms up.
type slowStart struct {
	ctx       *stepContext
	endpoints *endpointSet
	aperture  *aperture
	traffic   *trafficStatistics
}

// reset starts a server's budget at a random level, so that gateways do not send their first attempts
// together.
func (w *slowStart) reset(s *server) {
	s.slowStartBudget = bucket{level: w.ctx.rng.Float64(), updatedAt: w.ctx.now}
}

// warmth is the fraction of its capacity that a server has reached at least: it grows linearly from
// StartCapacity to 1 over SlowStartSpan.
func (w *slowStart) warmth(s *server) float64 {
	set, age := &w.ctx.settings, w.ctx.now-s.StartedAt
	if s.StartedAt <= 0 || age >= Instant(set.SlowStartSpan) {
		return 1
	}
	return set.StartCapacity + (1-set.StartCapacity)*seconds(age)/seconds(set.SlowStartSpan)
}

// evenRate is how many attempts a second a warming server may get, to be multiplied by its warmth. It counts
// requests that found no server as well as attempts: by attempts alone a set of warming servers gets the
// less the more is rejected for want of them.
func (w *slowStart) evenRate(aperture int) float64 {
	wanted := w.traffic.attemptRate() + w.traffic.endpointRequests/seconds(trafficMemory)
	return slowStartFraction * wanted / float64(min(len(w.endpoints.ready), aperture))
}

// admits decides whether a server may get an attempt now. A warming server's budget fills at the rate that
// the fleet set, which knows all gateways' traffic, or else at this gateway's own guess.
func (w *slowStart) admits(s *server, warmth, evenRate float64) bool {
	if warmth >= 1 {
		return true
	}
	s.slowStartBudget.fill(w.ctx.now, cmp.Or(s.FleetSlowStartRate, warmth*evenRate), slowStartBurst)
	return s.slowStartBudget.level >= 1
}

// spend takes an attempt that starts now off a warming server's budget.
func (w *slowStart) spend(s *server) {
	if w.warmth(s) < 1 {
		s.slowStartBudget.level--
	}
}
