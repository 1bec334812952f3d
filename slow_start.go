package dewhitch

import "cmp"

const (
	slowStartFraction = 0.5 // fraction of an even share of attempts that a warming server gets, times warmth
	slowStartBurst    = 1.0 // largest number of attempts in a warming server's budget
)

// slowStart limits the attempts on a server while it warms up.
type slowStart struct {
	ctx       *stepContext
	endpoints *endpointSet
	aperture  *aperture
	traffic   *trafficStatistics
}

// reset sets a server's budget to a random level, so that the gateways do not send their first attempts at
// the same time.
func (w *slowStart) reset(s *server) {
	s.slowStartBudget = bucket{level: w.ctx.rng.Float64(), updatedAt: w.ctx.now}
}

// warmth returns the fraction of its full capacity that a server is assumed to have. The fraction grows
// linearly from StartCapacity to 1 over SlowStartSpan.
func (w *slowStart) warmth(s *server) float64 {
	settings, age := &w.ctx.settings, w.ctx.now-s.StartedAt
	if s.StartedAt <= 0 || age >= Instant(settings.SlowStartSpan) {
		return 1
	}
	return settings.StartCapacity + (1-settings.StartCapacity)*seconds(age)/seconds(settings.SlowStartSpan)
}

// baseRate returns the attempts a second that a warming server may get, before the factor of its warmth. It
// counts requests that found no server as well as attempts. With attempts alone, a set of warming servers
// would get less traffic the more requests are rejected for lack of servers.
func (w *slowStart) baseRate(aperture int) float64 {
	wantedRate := w.traffic.attemptRate() + w.traffic.endpointRequests/seconds(trafficMemory)
	return slowStartFraction * wantedRate / float64(min(len(w.endpoints.ready), aperture))
}

// admits returns true if a server may get an attempt now. The budget of a warming server fills at the rate
// set by the fleet, which knows the traffic of all gateways, or otherwise at this gateway's own estimate.
func (w *slowStart) admits(s *server, warmth, baseRate float64) bool {
	if warmth >= 1 {
		return true
	}
	s.slowStartBudget.fill(w.ctx.now, cmp.Or(s.FleetSlowStartRate, warmth*baseRate), slowStartBurst)
	return s.slowStartBudget.level >= 1
}

// spend deducts an attempt that starts now from the budget of a warming server.
func (w *slowStart) spend(s *server) {
	if w.warmth(s) < 1 {
		s.slowStartBudget.level--
	}
}
