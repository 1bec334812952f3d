package dewhitch

import (
	"slices"
	"strconv"

	"dewhitch/internal/ratelimit"
)

const (
	earlyPushFraction  = 0.25 // a tally of this fraction of the available units is pushed before its period ends
	counterFirstBursts = 0.5  // bursts beyond the rate in a counterFirst window: few begin with an empty bucket
	counterPrecision   = 0.01 // largest error of a total in units, because totals are sent with seven digits
)

// counterWindow is the state of an account's synchronization with the shared counter, which counts units by
// customer and window.
type counterWindow struct {
	windowNumber  int64   // number of the last call's window
	total         float64 // units of all gateways in this window, as last read
	confirmedOwn  float64 // units of this gateway that the counter's total certainly contains
	tally         float64 // units spent here and not yet pushed; below 0: units returned
	unitsInFlight float64 // units that the call in flight adds
	callInFlight  bool    // a call is in flight; an account never has more than one
	totalWanted   bool    // the next call does not wait for its period
	queued        bool    // the account is in counterSync.queue
	lastCallAt    Instant // time of the last call
	nextCallAt    Instant // time of the next ordinary call

	awaitingCount  []*request // counterFirst requests whose units are on the tally or in the call in flight
	waitingQueries []*request // limit queries and returns of units that wait for the next call
	sentQueries    []*request // limit queries and returns of units of the call in flight, or of the last one
}

// counterSync pushes tallies to the shared counter and reads its totals. The answers to earlier calls
// determine the rate limit of calls, because all gateways share the counter.
type counterSync struct {
	ctx           *stepContext
	limiter       *ratelimit.Limiter
	queue         []*account          // accounts with units to push or a total to read, in order of arrival
	accountByCall map[string]*account // accounts by the name of their call in flight
}

// spend takes units off an account's quota and puts them on its tally.
func (s *counterSync) spend(a *account, units float64) {
	a.consumed += units
	s.addToTally(a, units)
	if a.counterFirst { // pushed with the next checked request: the rate limit leaves no calls to spare
		return
	}
	a.bucket.spend(s.ctx.now, units)
	s.enqueue(a, false)
}

// addToTally puts units on an account's tally and emits a TallyChanged.
func (s *counterSync) addToTally(a *account, units float64) {
	a.sync.tally += units
	s.ctx.emit(TallyChanged{Customer: a.id, Units: units})
}

// available returns how many units of an account's bucket this gateway may admit.
func (s *counterSync) available(a *account) float64 {
	return a.bucket.available(s.ctx.now, s.ctx.settings.CounterTimeout, s.ctx.settings.MaxUnits)
}

// enqueue queues an account for a call by sweep; if its total is wanted, the call does not wait for its
// period. If the last call is more than a period ago, the time of the next one is random within a period, so
// that the gateways' calls do not coincide.
func (s *counterSync) enqueue(a *account, totalWanted bool) {
	a.sync.totalWanted = a.sync.totalWanted || totalWanted
	if a.sync.queued || !s.ctx.settings.Counter || a.plan.Rate <= 0 {
		return
	}
	a.sync.queued = true
	if a.sync.nextCallAt <= s.ctx.now {
		a.sync.nextCallAt = s.ctx.now + Instant(s.ctx.rng.Float64()*float64(a.window)/callsPerWindow)
	}
	s.queue = append(s.queue, a)
}

// sweep makes the calls that the rate limit allows: first for urgent accounts, then for those whose period
// has ended.
func (s *counterSync) sweep() {
	for _, urgentOnly := range []bool{true, false} {
		s.queue = slices.DeleteFunc(s.queue, func(a *account) bool {
			a.sync.queued = a.sync.callInFlight || !s.pushIfDue(a, urgentOnly)
			return !a.sync.queued
		})
	}
}

// pushIfDue makes a call for an account if the rate limit allows one and the account is urgent or, unless
// urgentOnly is set, its period has ended. It returns true if it made the call.
func (s *counterSync) pushIfDue(a *account, urgentOnly bool) bool {
	if !s.mayCall() {
		return false
	}
	if !s.isUrgent(a) && (urgentOnly || s.ctx.now < a.sync.nextCallAt) {
		return false
	}
	s.startCall(a)
	return true
}

// isUrgent returns true if an account's call should not wait for its period: a total is wanted, its window
// has ended, or the tally is a large part of the available units (any tally is, if none are available). Two
// calls are at least a timeout apart, unless queries wait.
func (s *counterSync) isUrgent(a *account) bool {
	wanted := a.sync.totalWanted || a.windowNumber(s.ctx.now) != a.sync.windowNumber ||
		a.sync.tally >= earlyPushFraction*max(0, s.available(a))
	spaced := s.ctx.now-a.sync.lastCallAt >= Instant(s.ctx.settings.CounterTimeout)
	return wanted && (spaced || len(a.sync.waitingQueries) > 0)
}

// mayCall returns true if the rate limit allows a call now.
func (s *counterSync) mayCall() bool { return s.limiter.Allow(int64(s.ctx.now)) }

// startCall adds an account's tally to the counter. No other call of the account may be in flight.
func (s *counterSync) startCall(a *account) {
	s.startWindow(a)
	w := &a.sync
	name := strconv.FormatUint(uint64(a.id), 36) + "." + strconv.FormatInt(w.windowNumber, 36)
	w.unitsInFlight, w.tally = w.tally, 0
	w.sentQueries, w.waitingQueries = w.waitingQueries, nil
	w.callInFlight = true
	w.totalWanted = false
	w.lastCallAt = s.ctx.now
	w.nextCallAt = s.ctx.now + Instant(a.window)/callsPerWindow
	s.accountByCall[name] = a
	s.limiter.Spend()
	s.ctx.emit(CounterAdd{Name: name, Customer: a.id, Add: w.unitsInFlight, TTL: min(maxCounterTTL, 2*a.window)})
}

// startWindow moves an account to the current window. The bucket's level is kept. It already includes the
// predicted use by other gateways since the last total of the old window, which no later total corrects.
func (s *counterSync) startWindow(a *account) {
	number := a.windowNumber(s.ctx.now)
	if number == a.sync.windowNumber {
		return
	}
	a.sync.windowNumber = number
	a.sync.total = 0
	a.sync.confirmedOwn = 0
	a.bucket.predicted = 0
	a.demand.startWindow()
}

// handleAnswer applies the outcome of a call and returns its account, or nil if no such call is in flight.
// Units that a call did not add return to the tally. A call that timed out may have added its units: the next
// total shows it.
func (s *counterSync) handleAnswer(e CounterAnswered) *account {
	a := s.accountByCall[e.Name]
	if a == nil || !a.sync.callInFlight {
		return nil
	}
	delete(s.accountByCall, e.Name)
	a.sync.callInFlight = false
	s.limiter.Observe(e.Outcome == OutcomeOK, seconds(e.Latency))
	if e.Outcome == OutcomeOK {
		s.applyTotal(a, a.sync.unitsInFlight, e.Total)
		return a
	}
	a.sync.waitingQueries = append(a.sync.sentQueries, a.sync.waitingQueries...)
	if e.Outcome != OutcomeTimeout {
		a.sync.tally += a.sync.unitsInFlight
	} else if !a.counterFirst {
		// Counted as added, so that the next total does not show these units as use by others.
		a.sync.total += a.sync.unitsInFlight
	}
	if !a.counterFirst {
		s.enqueue(a, false)
	}
	return a
}

// applyTotal applies a total that includes the units just added. Gateways return only units that they have
// added, so a total below this gateway's own units shows that the counter has lost its state.
func (s *counterSync) applyTotal(a *account, added, total float64) {
	w, now := &a.sync, s.ctx.now
	a.bucket.advance(now)
	before := w.total
	if total-added < w.confirmedOwn-counterPrecision {
		before = 0
		w.confirmedOwn = 0
	}
	othersUse := total - added - before
	w.confirmedOwn += max(0, added)
	w.total = total
	quota := a.plan.Rate * seconds(a.window)
	if a.counterFirst {
		a.demand.observe(total-before, seconds(now-a.windowEnd())+seconds(a.window))
		if total > quota+counterFirstBursts*a.plan.Burst {
			a.blockedUntil = a.windowEnd()
		}
		return
	}
	a.bucket.applyTotal(now, othersUse, s.ctx.settings.Tick)
	if total+w.tally > quota+a.plan.Burst {
		a.blockedUntil = a.windowEnd()
	}
}
