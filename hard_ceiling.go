package dewhitch

// hardCeiling is the token bucket that no customer may exceed, whatever the counter's total is. Each gateway
// enforces an equal share of the ceiling's rate, burst and tolerance, and needs no counter call for it.
type hardCeiling struct {
	bucket
	plan     *Plan
	gateways float64 // number of gateways that serve the customer
	assigned bool    // this gateway is one of those that serve the customer
}

// refill brings the level up to date.
func (h *hardCeiling) refill(now Instant) {
	h.fill(now, h.plan.CeilingRate/h.gateways, h.plan.CeilingBurst/h.gateways)
}

// check decides whether units may be spent. Retry-After is the time until there are enough.
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

// isFull returns true if the ceiling, after a refill, equals that of a new account.
func (h *hardCeiling) isFull() bool {
	return h.plan.CeilingRate <= 0 || h.level >= h.plan.CeilingBurst/h.gateways
}
