package dewhitch

import "math"

// admission decides on new requests. It applies the rules of the other components in a fixed order, each
// once.
type admission struct {
	ctx        *stepContext
	accounts   *accounts
	requests   *requestTable
	quota      *quotaRules
	counter    *counterSync
	priorities *priorities
	shedder    *loadShedder
	balancer   *balancer
	attempts   *attemptController
	shutdown   *shutdown
}

// counterCheck states whether a request within its quota must be checked with the counter, and whether that
// is possible.
type counterCheck int

const (
	counterCheckNotNeeded  counterCheck = iota // the request is admitted without a counter call
	counterCheckFirst                          // the request is admitted once its units are counted
	counterCheckImpossible                     // the request needs a check, but no call can be made now
)

// quotaVerdict is the decision of the quota's rules.
type quotaVerdict struct {
	verdict
	check counterCheck // valid if the request is within the quota according to local state
}

// certain returns true if the request is within the quota according to local state, or if the counter decides
// on that before the request is forwarded.
func (v quotaVerdict) certain() bool { return v.admitted && v.check != counterCheckImpossible }

// handleArrival decides on a new request, or on a LimitAdjust that takes units (unitsOnly): it rejects the
// request or starts to serve it. The rules apply in this order:
//
//  1. validity (checkValid);
//  2. the quota, less what is reserved for higher priorities; with the counter if needed (checkQuota);
//  3. the hard ceiling (hardCeiling.check), and whether the request may go beyond the quota (combine);
//  4. the capacity of the servers (loadShedder.checkCapacity), unless unitsOnly is set.
//
// A rejection spends nothing of the account.
func (ad *admission) handleArrival(e Arrival, unitsOnly bool) {
	e.Remaining = ad.shutdown.capWait(e.Remaining)
	if v := ad.checkValid(e); !v.admitted {
		ad.ctx.emit(Reject{Request: e.ID, Reason: v.reason})
		return
	}
	account := ad.accounts.get(e, &ad.ctx.settings.Plans[e.Plan])
	if account == nil {
		ad.ctx.emit(Reject{Request: e.ID, Reason: ReasonOverload, RetryAfter: ad.ctx.settings.MaxRetryAfter})
		return
	}
	r := ad.newRequest(e, account, unitsOnly)
	quota := ad.checkQuota(r)
	ceiling := account.ceiling.check(ad.ctx.now, r.units)
	if v := ad.combine(r, quota.verdict, ceiling); !v.admitted {
		ad.requests.reject(r, v)
		return
	}
	var s *server
	if !unitsOnly {
		var v verdict
		if s, v = ad.shedder.checkCapacity(r, quota.certain()); !v.admitted {
			ad.requests.reject(r, v)
			return
		}
	}
	r.withinQuota = quota.admitted
	ad.open(r)
	if quota.check == counterCheckFirst {
		ad.awaitCount(r)
	} else {
		ad.serve(r, s)
	}
}

// checkValid rejects a request whose class or plan is not in the settings, or that has no time left.
func (ad *admission) checkValid(e Arrival) verdict {
	set := &ad.ctx.settings
	known := e.Class >= 0 && e.Class < len(set.Classes) && e.Plan >= 0 && e.Plan < len(set.Plans)
	if !known || e.Remaining <= 0 {
		return deny(ReasonInvalid, 0)
	}
	return admit()
}

// newRequest returns the request of a valid arrival.
func (ad *admission) newRequest(e Arrival, a *account, unitsOnly bool) *request {
	class := &ad.ctx.settings.Classes[e.Class]
	return &request{
		id:         e.ID,
		classIndex: e.Class,
		class:      class,
		account:    a,
		units:      max(0, e.Units),
		unitsOnly:  unitsOnly,
		evidence:   evidenceOf(class, e.Remaining),
		arrivedAt:  ad.ctx.now,
		objective:  ad.ctx.now + Instant(class.Objective),
		deadline:   ad.ctx.now + Instant(e.Remaining),
	}
}

// checkQuota decides whether r is within its quota: according to local state, or at random by demand if the
// counter must be called first and cannot be.
func (ad *admission) checkQuota(r *request) quotaVerdict {
	v := quotaVerdict{verdict: ad.quota.check(r.account, r.units, ad.priorities.reservedFor(r))}
	if !v.admitted {
		return v
	}
	v.check = ad.counterCheckOf(r.account)
	if v.check == counterCheckImpossible {
		v.verdict = ad.admitByDemand(r.account, r.units)
	}
	return v
}

// counterCheckOf decides whether a request within the quota is counted before it is admitted. The check takes
// a call, so it is omitted where the request would be served beyond the quota too, or while demand is low.
// While a call is in flight, a request waits for the next one.
func (ad *admission) counterCheckOf(a *account) counterCheck {
	if !a.counterFirst || a.plan.servesBeyondQuota() || a.demand.isLow(a.plan.Rate, a.window) {
		return counterCheckNotNeeded
	}
	if a.sync.callInFlight || ad.counter.mayCall() {
		return counterCheckFirst
	}
	return counterCheckImpossible
}

// admitByDemand decides at random on a request that cannot be counted first. The units of a denied request
// still go onto the tally, because the totals of such customers count their demand.
func (ad *admission) admitByDemand(a *account, units float64) verdict {
	if ad.sampleByDemand(a) {
		return admit()
	}
	ad.counter.addToTally(a, units)
	return deny(ReasonQuota, 0)
}

// sampleByDemand returns true for a random fraction, rate divided by demand, of the requests that should be
// counted first and cannot be, and for all other requests.
func (ad *admission) sampleByDemand(a *account) bool {
	return !a.counterFirst || ad.ctx.rng.Float64()*a.demand.units <= a.plan.Rate*a.demand.elapsed
}

// servesBeyondQuota returns true if requests beyond the quota earn more than they cost.
func (p *Plan) servesBeyondQuota() bool { return p.OverQuotaValue > p.OverQuotaCost }

// combine decides by quota and ceiling: the ceiling always applies, the quota only if the request may not be
// forwarded beyond it. Retry-After is the longer of the two.
func (ad *admission) combine(r *request, quota, ceiling verdict) verdict {
	retryAfter := max(quota.retryAfter, ceiling.retryAfter)
	switch {
	case !ceiling.admitted:
		return deny(ReasonCeiling, retryAfter)
	case !quota.admitted && (r.unitsOnly || !r.account.plan.servesBeyondQuota()):
		return deny(ReasonQuota, retryAfter)
	}
	return admit()
}

// open registers r as an open request and charges the ceiling. Invariant: whatever happens to its attempts,
// an open request gets its answer no later than a tick before its deadline.
func (ad *admission) open(r *request) {
	ad.requests.byID[r.id] = r
	r.account.ceiling.spend(r.units)
	ad.ctx.setTimer(r.deadline-Instant(ad.ctx.settings.Tick), func() {
		if !r.done {
			ad.attempts.giveUp(r)
		}
	})
}

// awaitCount lets r wait until its units are counted; decideCounted then decides on it.
func (ad *admission) awaitCount(r *request) {
	a := r.account
	a.sync.awaitingCount = append(a.sync.awaitingCount, r)
	a.consumed += r.units
	ad.counter.addToTally(a, r.units)
	if a.sync.callInFlight {
		ad.counter.enqueue(a, false)
	} else {
		ad.counter.startCall(a)
	}
}

// serve spends the units of r, then sends it to s, or answers it if it only takes units.
func (ad *admission) serve(r *request, s *server) {
	if r.withinQuota {
		ad.counter.spend(r.account, r.units)
	}
	if r.unitsOnly {
		ad.requests.finish(r, AdjustAnswer{Request: r.id, Units: r.units})
	} else {
		ad.attempts.start(r, s)
	}
}

// decideCounted decides on the requests that waited for a call of a; counted is true if the call was
// answered. A request is rejected if its window is blocked or if the total has reached the part of the
// window's quota that is reserved for higher priorities. Without an answer, as many requests are admitted as
// the demand allows. Requests that ended while they waited are not affected, because balancer and
// requestTable skip requests that are done.
func (ad *admission) decideCounted(a *account, counted bool) {
	for _, r := range a.sync.awaitingCount {
		reserved := ad.priorities.reservedFor(r)
		reserveUsed := counted && reserved > 0 && a.sync.total > (1-reserved)*a.plan.Rate*seconds(a.window)
		s, _ := ad.balancer.pick(r, math.Inf(1))
		switch {
		case reserveUsed || ad.ctx.now < a.blockedUntil:
			ad.requests.reject(r, deny(ReasonQuota, Span(a.windowEnd()-ad.ctx.now)))
		case r.unitsOnly && (counted || ad.sampleByDemand(a)):
			ad.requests.finish(r, AdjustAnswer{Request: r.id, Units: r.units})
		case s == nil || !counted && !ad.sampleByDemand(a):
			ad.requests.reject(r, deny(ReasonOverload, ad.shedder.retryAfter(r, 1)))
		default:
			ad.attempts.start(r, s)
		}
	}
	a.sync.awaitingCount = a.sync.awaitingCount[:0]
}
