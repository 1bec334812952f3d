package dewhitch

import "container/list"

const (
	maxCounterTTL       = 60 * second // longest time after which the counter forgets a name
	windowBursts        = 2.0         // bursts that refill in a window; a blocked customer waits for its end
	callsPerWindow      = 4           // ordinary calls in a window, which lasts at least as many call timeouts
	accountExpiryPeriod = 5 * second  // interval between two searches for idle accounts
	dropCandidates      = 8           // accounts that are considered if one has to make room for another
)

// account is the state that this gateway keeps of one customer.
type account struct {
	id           CustomerID
	plan         *Plan
	gateways     float64 // number of gateways that serve the customer, including this one; at least 1
	counterFirst bool    // requests are counted before they are admitted; see newAccount
	window       Span    // length of a window of the shared counter

	bucket  sharedBucket // token bucket of the quota
	ceiling hardCeiling
	demand  demandStatistics
	sync    counterWindow

	blockedUntil      Instant // end of the window whose quota all gateways together have used up
	openAttempts      int     // attempts of this gateway in flight
	streamingAttempts int     // attempts of this gateway in flight whose answers have begun
	consumed          float64 // units that this gateway has ever spent or reserved
	lastRequestAt     Instant
	recency           *list.Element // element in accounts.byRecency
}

// accounts holds the accounts of the customers that this gateway has seen recently.
type accounts struct {
	ctx       *stepContext
	byID      map[CustomerID]*account
	byRecency *list.List // all accounts (*account), the one whose last request is the longest ago first
}

// newAccounts returns an empty table.
func newAccounts(ctx *stepContext) *accounts {
	return &accounts{ctx: ctx, byID: map[CustomerID]*account{}, byRecency: list.New()}
}

// get returns the account of a request's customer, creates it if needed, and records that it is in use. It
// returns nil if the customer is new and there are MaxAccounts accounts that are all needed.
func (t *accounts) get(e Arrival, plan *Plan) *account {
	a := t.byID[e.Customer]
	if a == nil {
		if !t.makeRoom() {
			return nil
		}
		a = t.newAccount(e, plan)
		t.byID[e.Customer] = a
		a.recency = t.byRecency.PushBack(a)
	}
	a.lastRequestAt = t.ctx.now
	t.byRecency.MoveToBack(a.recency)
	return a
}

// makeRoom returns true if there is room for another account. If there are MaxAccounts, it drops one of the
// few accounts whose last request is the longest ago, unless they are all needed. The counter has what a
// dropped customer has used of its quota.
func (t *accounts) makeRoom() bool {
	limit := t.ctx.settings.MaxAccounts
	if limit == 0 || len(t.byID) < limit {
		return true
	}
	e := t.byRecency.Front()
	for range dropCandidates {
		if e == nil {
			return false
		}
		a := e.Value.(*account)
		a.ceiling.refill(t.ctx.now)
		if !a.isNeeded() && a.ceiling.isFull() {
			t.drop(a)
			return true
		}
		e = e.Next()
	}
	return false
}

// drop removes an account.
func (t *accounts) drop(a *account) {
	delete(t.byID, a.id)
	t.byRecency.Remove(a.recency)
}

// newAccount returns an account with a full bucket. Its ceiling is used up when this gateway starts,
// because a previous incarnation may have spent its whole share just before.
//
// If an equal share of the burst is smaller than the largest permitted request, max(1, MaxUnits), a gateway
// that decides by the counter's last total either rejects everything or admits everything. Requests of such
// customers are therefore counted before they are admitted (counterFirst), if the settings have a counter and
// the plan has a rate.
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

// counterWindowLength returns the length of a customer's windows: the time in which its bucket fills once
// (counterFirst) or windowBursts times, but long enough for callsPerWindow calls, and short enough for the
// counter to remember the window.
func counterWindowLength(set *Settings, plan *Plan, counterFirst bool) (window Span) {
	if counterFirst {
		window = min(maxCounterTTL/2, Span(plan.Burst/plan.Rate*1e9))
	} else if plan.Rate > 0 {
		window = min(maxCounterTTL/2, Span(windowBursts*plan.Burst/plan.Rate*1e9))
	}
	return max(window, callsPerWindow*set.CounterTimeout, second)
}

// windowNumber returns the number of the window that contains now.
func (a *account) windowNumber(now Instant) int64 {
	return int64(now+a.windowPhase()) / int64(a.window)
}

// windowEnd returns the end of the last call's window.
func (a *account) windowEnd() Instant {
	return Instant(a.sync.windowNumber+1)*Instant(a.window) - a.windowPhase()
}

// windowPhase returns an offset that makes the windows of customers start at different times.
func (a *account) windowPhase() Instant { return Instant(uint64(a.id) % uint64(a.window)) }

// expire drops idle accounts that no longer differ from new ones.
func (t *accounts) expire() {
	t.ctx.setTimerAfter(accountExpiryPeriod, t.expire)
	for _, a := range t.byID { // in any order: no action is emitted
		a.ceiling.refill(t.ctx.now)
		if a.isIdle(t.ctx.now) && a.ceiling.isFull() {
			t.drop(a)
		}
	}
}

// isIdle returns true if an account has had no request for two windows and nothing is in flight or queued.
func (a *account) isIdle(now Instant) bool {
	return a.unusedForWindows(now) && !a.isNeeded()
}

// isNeeded returns true if attempts of an account are in flight, or calls for it are queued or in flight.
func (a *account) isNeeded() bool { return a.openAttempts > 0 || a.sync.queued || a.sync.callInFlight }

// unusedForWindows returns true if the last request is more than two windows ago.
func (a *account) unusedForWindows(now Instant) bool {
	return now-a.lastRequestAt > Instant(2*a.window)
}
