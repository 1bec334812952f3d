package dewhitch

const (
	maxCounterTTL       = 60 * second // the counter forgets a name after that
	windowBursts        = 2.0         // a window fills so many bursts: a blocked customer waits for its end
	callsPerWindow      = 4           // ordinary calls in a window, which lasts as many time-outs at least
	accountExpiryPeriod = 5 * second  // between two searches for idle accounts
)

// account is what this gateway knows and holds of one customer.
type account struct {
	id           CustomerID
	plan         *Plan
	gateways     float64 // that serve the customer, this one included; at least 1
	counterFirst bool    // a gateway's even part of the burst is below one request: see newAccount
	window       Span    // of the shared counter

	bucket  sharedBucket // the quota
	ceiling hardCeiling
	demand  demandStatistics
	sync    counterWindow

	blockedUntil      Instant // all gateways together have used up the window's quota: its end
	openAttempts      int     // of this gateway
	streamingAttempts int     // of them, those whose answers have begun
	consumed          float64 // units that this gateway has spent or reserved, ever
	lastRequestAt     Instant
}

// accounts holds the accounts of the customers that this gateway has seen of late.
type accounts struct {
	ctx  *stepContext
	byID map[CustomerID]*account
}

// get finds or makes the account of a request's customer, and notes that it is in use.
func (t *accounts) get(e Arrival, plan *Plan) *account {
	a := t.byID[e.Customer]
	if a == nil {
		a = t.newAccount(e, plan)
		t.byID[e.Customer] = a
	}
	a.lastRequestAt = t.ctx.now
	return a
}

// newAccount makes an account with a full bucket. Its ceiling is empty: a previous incarnation of this
// gateway may have spent all of its part, up to the start of this one.
//
// Where an even part of the burst is below one request, a gateway that goes by the last total either rejects
// everything or admits everything. There a request's units are counted before it is admitted (counterFirst).
func (t *accounts) newAccount(e Arrival, plan *Plan) *account {
	ctx, set := t.ctx, &t.ctx.settings
	n := min(max(1, e.Spread), set.Instances)
	gateways := float64(n)
	a := &account{id: e.Customer, plan: plan, gateways: gateways}
	a.counterFirst = set.Counter && plan.Rate > 0 && plan.Burst < gateways*max(1, set.MaxUnits)
	a.window = counterWindowLength(set, plan, a.counterFirst)
	a.ceiling = hardCeiling{bucket: bucket{level: -plan.Tolerance / gateways, updatedAt: ctx.startedAt},
		plan: plan, gateways: gateways,
		assigned: (set.Self-e.FirstGateway%set.Instances+set.Instances)%set.Instances < n}
	a.bucket = sharedBucket{rate: plan.Rate, burst: plan.Burst, gateways: gateways, window: a.window,
		level: plan.Burst, updatedAt: ctx.now}
	a.bucket.lastTotalAt = ctx.now - Instant(a.bucket.rateMemory()*1e9)
	a.bucket.othersRate = a.bucket.evenOthersRate()
	a.sync.windowNumber = a.windowNumber(ctx.now)
	a.sync.totalWanted = true
	return a
}

// counterWindowLength is the length of a customer's windows: the time in which its bucket fills, once or
// windowBursts times, but long enough for callsPerWindow calls, and short enough for the counter to remember
// it.
func counterWindowLength(set *Settings, plan *Plan, counterFirst bool) (window Span) {
	if counterFirst {
		window = min(maxCounterTTL/2, Span(plan.Burst/plan.Rate*1e9))
	} else if plan.Rate > 0 {
		window = min(maxCounterTTL/2, Span(windowBursts*plan.Burst/plan.Rate*1e9))
	}
	return max(window, callsPerWindow*set.CounterTimeout, second)
}

// windowNumber is the number of the window that now is in. Windows of customers start at different times.
func (a *account) windowNumber(now Instant) int64 {
	return int64(now+a.windowPhase()) / int64(a.window)
}

// windowEnd is when the window of the last call ends.
func (a *account) windowEnd() Instant {
	return Instant(a.sync.windowNumber+1)*Instant(a.window) - a.windowPhase()
}

// windowPhase spreads the starts of customers' windows.
func (a *account) windowPhase() Instant { return Instant(uint64(a.id) % uint64(a.window)) }

// expire drops the accounts that have been idle for so long that they are as new ones would be.
func (t *accounts) expire() {
	t.ctx.setTimerAfter(accountExpiryPeriod, t.expire)
	for id, a := range t.byID { // in any order: nothing is sent
		a.ceiling.refill(t.ctx.now)
		if a.isIdle(t.ctx.now) && a.ceiling.isFull() {
			delete(t.byID, id)
		}
	}
}

// isIdle tells whether an account has had no request for two windows and has nothing open.
func (a *account) isIdle(now Instant) bool {
	return a.unusedForWindows(now) && a.openAttempts == 0 && !a.sync.queued && !a.sync.callInFlight
}

// unusedForWindows tells whether the last request is two windows ago.
func (a *account) unusedForWindows(now Instant) bool {
	return now-a.lastRequestAt > Instant(2*a.window)
}
