package dewhitch

// hardCeiling is the token bucket that no customer may exceed, whatever the counter says: each gateway keeps
// an even part of the plan's rate, burst and tolerance by itself, so that no call can be lost.
type hardCeiling struct {
	bucket
	plan     *Plan
	gateways float64 // that serve the customer
	assigned bool    // this gateway is one of them
}

// refill brings the ceiling to the present.
func (h *hardCeiling) refill(now Instant) {
	h.fill(now, h.plan.CeilingRate/h.gateways, h.plan.CeilingBurst/h.gateways)
}

// check decides whether units may be spent. Retry-After is when there are enough.
func (h *hardCeiling) check(now Instant, units float64) verdict {
	if h.plan.CeilingRate <= 0 {
		return admit()
	}
	h.refill(now)
	missing := units - h.plan.Tolerance/h.gateways - h.level
	return verdict{admitted: h.assigned && missing <= 0, reason: ReasonCeiling,
		retryAfter: Span(missing * h.gateways / h.plan.CeilingRate * 1e9)}
}

// spend takes the units of an admitted request.
func (h *hardCeiling) spend(units float64) { h.level -= units }

// isFull tells whether the ceiling, refilled, is that of a new account.
func (h *hardCeiling) isFull() bool {
	return h.plan.CeilingRate <= 0 || h.level >= h.plan.CeilingBurst/h.gateways
}
