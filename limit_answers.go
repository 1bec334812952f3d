package dewhitch

const (
	answerTimeDivisor = 8           // of the time that a query has: the answer needs that part of it on its way
	maxAnswerTime     = second / 10 // bounds that part
)

// limitQueries answers what customers ask of their limits, and takes units that they give back. An answer is
// exact by the counter: it waits for a call that pushes what was spent before.
type limitQueries struct {
	ctx      *stepContext
	accounts *accounts
	requests *requestTable
	counter  *counterSync
	shutdown *shutdown
}

// enqueue has a limit query, or units to give back, wait for the next call; without an answer in time it fails.
func (q *limitQueries) enqueue(e Arrival) {
	set := &q.ctx.settings
	e.Remaining = q.shutdown.capWait(e.Remaining)
	limited := e.Plan >= 0 && e.Plan < len(set.Plans) && set.Plans[e.Plan].Rate > 0
	if !set.Counter || !limited || e.Remaining <= 0 {
		q.ctx.emit(Fail{Request: e.ID, Reason: ReasonCounterUnavailable})
		return
	}
	a := q.accounts.get(e, &set.Plans[e.Plan])
	r := &request{id: e.ID, units: e.Units, account: a, consumedBefore: a.consumed}
	q.requests.byID[r.id] = r
	answerTime := min(e.Remaining/answerTimeDivisor, maxAnswerTime)
	q.ctx.setTimerAfter(e.Remaining-answerTime, func() { q.fail(r) })
	a.sync.waitingQueries = append(a.sync.waitingQueries, r)
	q.counter.enqueue(a, true)
	if !a.sync.callInFlight && q.counter.mayCall() {
		q.counter.startCall(a)
	}
}

// fail ends a query that got no total.
func (q *limitQueries) fail(r *request) {
	q.requests.finish(r, Fail{Request: r.id, Reason: ReasonCounterUnavailable})
}

// answerQueries answers the queries that waited for the call that a total has just come for.
func (q *limitQueries) answerQueries(a *account) {
	for _, r := range a.sync.sentQueries {
		if r.units == 0 {
			q.requests.finish(r, q.limitAnswer(a, a.consumed-r.consumedBefore, r.id))
		} else {
			q.returnUnits(a, r)
		}
	}
}

// returnUnits returns units to the quota, at most what this gateway has surely added to the window: a count
// below that would admit more than the quota. Blocks and the ceiling stay as they are.
func (q *limitQueries) returnUnits(a *account, r *request) {
	units := max(0, min(-r.units, a.sync.confirmedOwn, a.sync.total))
	if r.done {
		return
	}
	a.sync.confirmedOwn -= units
	q.counter.spend(a, -units)
	q.counter.enqueue(a, true) // so that the other gateways see it soon
	q.requests.finish(r, AdjustAnswer{Request: r.id, Units: -units})
}

// limitAnswer is what a's quota held by the total just read, before the units that were spent later, and when it
// holds more: what its bucket and its window both hold.
func (q *limitQueries) limitAnswer(a *account, spentLater float64, id RequestID) LimitAnswer {
	now, burst := q.ctx.now, a.plan.Burst
	a.bucket.advance(now)
	window := a.plan.Rate*seconds(a.window) - a.sync.total - a.sync.tally + spentLater
	level := a.bucket.level + spentLater
	if a.counterFirst {
		window += counterFirstBursts * burst
		level = window
	} else {
		window += burst
	}
	if now < a.blockedUntil {
		window = 0
	}
	result := LimitAnswer{Request: id, Limit: burst, Remaining: max(0, min(level, window, burst))}
	switch {
	case result.Remaining >= burst:
	case result.Remaining == max(0, window): // the window binds
		result.ReplenishedAfter = Span(a.windowEnd() - now)
	default:
		result.ReplenishedAfter = Span(max(1, 1-level) / a.plan.Rate * 1e9)
	}
	return result
}
