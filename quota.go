package dewhitch

// quotaRules decides whether a request is within its customer's quota. check applies the other methods in a
// fixed order.
type quotaRules struct {
	ctx     *stepContext
	latency *latencyEstimator
	counter *counterSync
}

// check decides whether units are within the quota while a fraction of the burst is left to requests of
// higher priority. It spends nothing.
func (q *quotaRules) check(a *account, units, reserved float64) verdict {
	if v := q.checkBlocked(a); !v.admitted {
		return v
	}
	if v := q.checkBucket(a, units, reserved); !v.admitted {
		return v
	}
	return q.checkInFlight(a)
}

// checkBlocked rejects requests in a window whose quota is used up. Retry-After is the time until the window
// ends.
func (q *quotaRules) checkBlocked(a *account) verdict {
	if q.ctx.now < a.blockedUntil {
		return deny(ReasonQuota, Span(a.blockedUntil-q.ctx.now))
	}
	return admit()
}

// checkBucket rejects units that the shared bucket does not hold for this gateway, and requests a new total
// if the last one is not recent. Retry-After is the time until the bucket has refilled. For counterFirst
// customers, the counter's total decides instead.
func (q *quotaRules) checkBucket(a *account, units, reserved float64) verdict {
	if a.plan.Rate <= 0 || a.counterFirst {
		return admit()
	}
	available := q.counter.available(a)
	if available >= units && a.bucket.level-units >= reserved*a.plan.Burst {
		return admit()
	}
	if q.ctx.now-a.bucket.lastTotalAt > Instant(a.window)/(callsPerWindow*callsPerWindow) {
		q.counter.enqueue(a, true)
	}
	return deny(ReasonQuota, Span((units-available)/a.plan.Rate*1e9))
}

// checkInFlight rejects attempts beyond the plan's limit in flight. Retry-After is the mean latency. The
// attempts in flight of the other gateways are estimated from their rate by Little's law or, if that is more,
// from those of this gateway, as if all gateways had equally many. The latter estimate excludes attempts with
// streamed answers, because the client determines how long these last.
func (q *quotaRules) checkInFlight(a *account) verdict {
	othersRate := a.bucket.assumedOthersRate(q.ctx.now)
	if a.counterFirst && a.demand.elapsed > 0 {
		// Before a window's first total, gateways admit any demand, even one far over the rate.
		othersRate = max(othersRate, a.demand.units/a.demand.elapsed*(1-1/a.gateways))
	}
	others := max(othersRate*q.latency.mean/max(1, q.ctx.settings.MaxUnits/2),
		(a.gateways-1)*float64(a.openAttempts-a.streamingAttempts))
	if a.plan.MaxInFlight > 0 && float64(a.openAttempts+1)+others > float64(a.plan.MaxInFlight) {
		return deny(ReasonQuota, Span(q.latency.mean*1e9))
	}
	return admit()
}
