package dewhitch

const (
	answerTimeDivisor = 8           // a query's time divided by this is reserved for delivering the answer
	maxAnswerTime     = second / 10 // longest time reserved for delivering an answer
)

// limitQueries answers customers' limit queries and takes back units that they return. An answer is exact
// according to the counter: it waits for a call that pushes the units spent before.
type limitQueries struct {
	ctx      *stepContext
	accounts *accounts
	requests *requestTable
	counter  *counterSync
	shutdown *shutdown
}

// enqueue lets a limit query or a return of units wait for the next call. A query without an answer in
// time fails.
func (q *limitQueries) enqueue(e Arrival) {
	set := &q.ctx.settings
	e.Remaining = q.shutdown.capWait(e.Remaining)
	limited := e.Plan >= 0 && e.Plan < len(set.Plans) && set.Plans[e.Plan].Rate > 0
	if !set.Counter || !limited || e.Remaining <= 0 {
		q.ctx.emit(Fail{Request: e.ID, Reason: ReasonCounterUnavailable})
		return
	}
	a := q.accounts.get(e, &set.Plans[e.Plan])
	if a == nil {
		q.ctx.emit(Fail{Request: e.ID, Reason: ReasonCounterUnavailable})
		return
	}
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

// fail ends a query for which no total was read.
func (q *limitQueries) fail(r *request) {
	q.requests.finish(r, Fail{Request: r.id, Reason: ReasonCounterUnavailable})
}

// answerQueries answers the queries of the call whose total has just been read.
func (q *limitQueries) answerQueries(a *account) {
	for _, r := range a.sync.sentQueries {
		if r.units == 0 {
			q.requests.finish(r, q.limitAnswer(a, a.consumed-r.consumedBefore, r.id))
		} else {
			q.returnUnits(a, r)
		}
	}
}

// returnUnits returns units to the quota, at most those that this gateway has certainly added in this window:
// a lower count would admit more than the quota. A customer that is blocked stays blocked, and the ceiling
// does not change.
func (q *limitQueries) returnUnits(a *account, r *request) {
	units := max(0, min(-r.units, a.sync.confirmedOwn, a.sync.total))
	if r.done {
		return
	}
	a.sync.confirmedOwn -= units
	q.counter.spend(a, -units)
	q.counter.enqueue(a, true) // so that the other gateways soon see the units in the total
	q.requests.finish(r, AdjustAnswer{Request: r.id, Units: -units})
}

// limitAnswer returns the units that a's bucket and window both hold according to the total just read,
// without deducting the units that were spent after the query arrived (spentLater), and the time until they
// hold more.
func (q *limitQueries) limitAnswer(a *account, spentLater float64, id RequestID) LimitAnswer {
	now, burst := q.ctx.now, a.plan.Burst
	a.bucket.advance(now)
	inWindow := a.plan.Rate*seconds(a.window) - a.sync.total - a.sync.tally + spentLater
	inBucket := a.bucket.level + spentLater
	if a.counterFirst {
		inWindow += counterFirstBursts * burst
		inBucket = inWindow
	} else {
		inWindow += burst
	}
	if now < a.blockedUntil {
		inWindow = 0
	}
	result := LimitAnswer{Request: id, Limit: burst, Remaining: max(0, min(inBucket, inWindow, burst))}
	switch {
	case result.Remaining >= burst:
	case result.Remaining == max(0, inWindow): // the window is the tighter limit
		result.ReplenishedAfter = Span(a.windowEnd() - now)
	default:
		result.ReplenishedAfter = Span(max(1, 1-inBucket) / a.plan.Rate * 1e9)
	}
	return result
}
