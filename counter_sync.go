package dewhitch

import (
	"slices"
	"strconv"

	"dewhitch/internal/ratelimit"
)

const (
	earlyPushFraction  = 0.25 // of the available units: a tally of that much is pushed before its period ends
	counterFirstBursts = 0.5  // beyond the rate in a counterFirst window: few buckets start empty
	counterPrecision   = 0.01 // units: error of a total, which is sent with seven digits
)

// counterWindow is the synchronisation of an account with the shared counter, which counts units by customer
// and window.
type counterWindow struct {
	windowNumber  int64   // of the window of the last call
	total         float64 // units of all gateways, as last read in this window
	confirmedOwn  float64 // units of this gateway that are surely in the counter's total
	tally         float64 // units spent here and not yet pushed; below 0: given back
	unitsInFlight float64 // units of the call that is out
	callInFlight  bool    // a call is out; never more than one for an account
	totalWanted   bool    // the next call is made without waiting for its period
	queued        bool    // in counterSync.queue
	lastCallAt    Instant
	nextCallAt    Instant // next ordinary call

	awaitingCount  []*request // counterFirst requests whose units are on the tally or on their way
	waitingQueries []*request // limit queries and give-backs that wait for the next call
	sentQueries    []*request // those that wait for the call that is out, or waited for the last one
}

// counterSync pushes tallies to the shared counter and reads its totals. Calls are rate limited by the
// answers to earlier ones, as all gateways share the counter.
type counterSync struct {
	ctx           *stepContext
	limiter       *ratelimit.Limiter
	queue         []*account          // those with something to push or a total to read, in the order they came
	accountByCall map[string]*account // by name: calls that are out
}

// spend takes units off an account's quota and puts them on its tally.
func (s *counterSync) spend(a *account, units float64) {
	a.consumed += units
	s.addToTally(a, units)
	if a.counterFirst { // pushed with the next checked request: there are no calls to spare
		return
	}
	a.bucket.spend(s.ctx.now, units)
	s.enqueue(a, false)
}

// addToTally puts units on an account's tally, and notifies the caller.
func (s *counterSync) addToTally(a *account, units float64) {
	a.sync.tally += units
	s.ctx.emit(TallyChanged{Customer: a.id, Units: units})
}

// available is how many units this gateway may admit of an account's bucket.
func (s *counterSync) available(a *account) float64 {
	return a.bucket.available(s.ctx.now, s.ctx.settings.CounterTimeout, s.ctx.settings.MaxUnits)
}

// enqueue has an account called for by the sweep; if its total is wanted, at the next chance. First calls
// fall at random into the period, so that the gateways' calls do not come together.
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

// sweep makes the calls that may be made now: first for urgent accounts, then, while calls are left, for
// those whose period has ended.
func (s *counterSync) sweep() {
	for _, urgentOnly := range []bool{true, false} {
		s.queue = slices.DeleteFunc(s.queue, func(a *account) bool {
			a.sync.queued = a.sync.callInFlight || !s.pushIfDue(a, urgentOnly)
			return !a.sync.queued
		})
	}
}

// pushIfDue makes a call for an account if one may be made and it is urgent or at its time, and tells whether it
// did.
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

// isUrgent tells whether an account's call should not wait for its period: a total is wanted, its window has
// ended, or much is unpushed; with nothing available, any tally is much. Between two calls a time-out passes
// all the same, unless queries wait.
func (s *counterSync) isUrgent(a *account) bool {
	wanted := a.sync.totalWanted || a.windowNumber(s.ctx.now) != a.sync.windowNumber ||
		a.sync.tally >= earlyPushFraction*max(0, s.available(a))
	spaced := s.ctx.now-a.sync.lastCallAt >= Instant(s.ctx.settings.CounterTimeout)
	return wanted && (spaced || len(a.sync.waitingQueries) > 0)
}

// mayCall tells whether the rate limit has a call left.
func (s *counterSync) mayCall() bool { return s.limiter.Allow(int64(s.ctx.now)) }

// startCall adds an account's tally to the counter. No other call of the account may be out.
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

// startWindow moves an account on to the present window. The bucket's level is carried over: use of the old
// window that was not read is taken to be as predicted.
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

// handleAnswer takes the counter's answer to a call and returns its account; nil if no such call is out. What a
// call did not add goes back on the tally. One that timed out may have been added: the next total shows it.
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
		// Taken as added, so that the next total does not show it as use of the others.
		a.sync.total += a.sync.unitsInFlight
	}
	if !a.counterFirst {
		s.enqueue(a, false)
	}
	return a
}

// applyTotal takes a total that includes the units just added. Gateways give back only what they added: a
// total below this one's own units shows that the counter has lost its state.
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
