package dewhitch

// A request from its arrival to its one final answer: what goes on, what is tried again, what is turned away.

import "math"

type attempt struct {
	server        *server
	at            Instant
	beside        int // attempts out there when it was sent
	failed, ended bool
	outcome       Outcome
}

type request struct {
	id         RequestID
	kind       int // index of the class
	class      *Class
	customer   *customer
	units      float64
	inside     bool // sent on within the quota
	aim, due   Instant
	attempts   []attempt
	out        int     // of them
	done, take bool    // take: only units, with nothing sent
	begun      int     // 1: the attempt is out for as long as its answer is on its way
	spent      float64 // by the customer when this came: a query sees nothing of what is spent later
}

// arrive decides on a new request, or on units to take alone: served from here on, or refused at once.
func (g *Gateway) arrive(e Arrival, take bool) {
	e.Remaining = g.untilEnd(e.Remaining)
	known := e.Class >= 0 && e.Class < len(g.set.Classes) && e.Plan >= 0 && e.Plan < len(g.set.Plans)
	if !known || e.Remaining <= 0 {
		g.acts = append(g.acts, Reject{Request: e.ID, Reason: ReasonInvalid})
		return
	}
	class, plan := &g.set.Classes[e.Class], &g.set.Plans[e.Plan]
	c := g.customer(e, plan)
	r := &request{id: e.ID, kind: e.Class, class: class, customer: c,
		units: max(0, e.Units), take: take, aim: g.now + Instant(class.Objective), due: g.now + Instant(e.Remaining)}
	// Beyond the quota goes on what earns more than it costs, if the ceiling has room and servers are at ease.
	wait, inside := g.quota(c, r.units, g.kept(r))
	sure := !c.thin || plan.OverQuotaValue > plan.OverQuotaCost || g.atEase(c) // what harms nobody takes no call
	ask := inside && !sure && (c.calling || g.mayCall())
	if inside && !sure && !ask && !g.chance(c) {
		inside = false
		g.draw(c, r.units) // the count of a thin customer is of what was asked for
	}
	full, under := g.underCeiling(c, r.units)
	if !inside && (take || plan.OverQuotaValue <= plan.OverQuotaCost) || !under {
		why := ReasonQuota
		if !under {
			why = ReasonCeiling
		}
		g.refuse(r, why, max(wait, full))
		return
	}
	var s *server
	if !take { // on units alone the servers do not bear
		if s = g.fit(r, inside && (sure || ask)); s == nil {
			return
		}
	}
	g.requests[r.id] = r
	c.ceiling.level -= r.units
	r.inside = inside
	// Rule 1: whatever happens to its attempts, a request is answered before its client gives up.
	g.at(r.due-Instant(g.set.Tick), func() {
		if !r.done {
			g.giveUp(r)
		}
	})
	if ask {
		c.held = append(c.held, r)
		c.spent += r.units
		if g.draw(c, r.units); c.calling {
			g.queue(c, false)
		} else {
			g.count(c)
		}
		return
	}
	if inside {
		g.spend(c, r.units)
	}
	if take {
		g.finish(r, AdjustAnswer{Request: r.id, Units: r.units})
	} else {
		g.send(r, s)
	}
}

// worthOf is what r earns for the work it takes.
func (g *Gateway) worthOf(r *request) float64 {
	return max(r.class.Weight, minPoints) / g.sizes[r.kind]
}

// fit finds the server for a request that its quota lets in, or refuses it for the servers' sake.
func (g *Gateway) fit(r *request, sure bool) *server {
	worth := g.worthOf(r) // while the servers are pressed, what earns little gives way to what earns more
	g.worth += latencyWeight / 4 * (worth - g.worth)
	// What the work takes anyway is no sign of pressure.
	limit := max(aimUse*seconds(r.aim-g.now), idleUse*g.idle*g.sizes[r.kind]) * math.Sqrt(worth/g.worth)
	if !sure {
		limit *= beyondUse
	}
	g.wanted++
	s, expect := g.pick(r, limit)
	if s == nil || expect > limit || g.throttled() {
		g.refuse(r, ReasonOverload, g.comeBack(r, expect/limit))
		return nil
	}
	g.budget = min(retryBurst, g.budget+retryShare) // by what goes on: the refused come again
	return s
}

// comeBack is when one refused for the servers' sake should try again: later if pressed, but in time.
func (g *Gateway) comeBack(r *request, pressure float64) Span {
	wait := (0.5 + g.rng.Float64()) * g.latency * max(1, pressure)
	return Span(max(0, min(wait, seconds(r.aim-g.now)-g.latency)) * 1e9)
}

func (g *Gateway) refuse(r *request, why Reason, wait Span) {
	g.finish(r, Reject{Request: r.id, Reason: why, RetryAfter: max(0, min(wait, g.set.MaxRetryAfter))})
}

// send starts an attempt. The rules that bear on it have been asked by usable and mayTry.
func (g *Gateway) send(r *request, s *server) {
	half := Instant(hedgeAt * float64(r.class.Objective))
	if n := len(r.attempts) + 1; g.now+half < r.aim {
		g.at(g.now+half, func() { g.hedge(r, n) })
	}
	until := r.due
	if end, repeats := r.windowEnd(); repeats {
		until = min(until, end)
		g.endOthers(r)
	}
	if s.out == 0 {
		s.waiting = g.now
	}
	s.out++
	r.out++
	r.customer.open++
	g.leak()
	g.sent++
	if g.warmth(s) < 1 {
		s.budget.level--
	}
	left := Span(until - g.now)
	r.attempts = append(r.attempts, attempt{server: s, at: g.now, beside: s.out - 1})
	g.acts = append(g.acts, StartAttempt{Request: r.id, Server: s.ID, Timeout: left, StartWithin: left})
}

// Rule 2 in one table: by outcome, whether an attempt may have run; by effect, what may follow if one may.
var (
	mayRun = [OutcomeCount]bool{OutcomeOK: true, OutcomeError: true, OutcomeTimeout: true, OutcomeReset: true,
		OutcomeCancelled: true}
	again = [...]struct{ send, inGroup, refuse bool }{
		Idempotent:      {send: true, refuse: true},
		IdempotentByKey: {send: true, inGroup: true, refuse: true}, // refuse: if the group is all servers
		NotIdempotent:   {},
	}
)

// live is the first attempt that may have run or may yet run, or nil.
func (r *request) live() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended || mayRun[a.outcome] {
			return a
		}
	}
	return nil
}

// mayTry keeps rule 2 for a further attempt of r on s.
func (g *Gateway) mayTry(r *request, s *server) bool {
	if r.done || len(r.attempts) >= g.set.MaxAttempts || r.out > 0 && !g.set.ParallelAttempts {
		return false
	}
	a := r.live()
	if a == nil {
		return true
	}
	rule := again[r.class.Idempotency]
	known := r.class.DedupScope.same(s.Endpoint, a.server.Endpoint) &&
		g.now-a.at < Instant(r.class.DedupWindow) && g.canEndOthers(r)
	return rule.send && (known || !rule.inGroup)
}

// ended takes the outcome of an attempt: a request that is owed an answer goes elsewhere or is given up.
func (g *Gateway) ended(e AttemptEnded) {
	r := g.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.outcome = true, e.Outcome
	r.out--
	r.customer.open--
	r.customer.begun, r.begun = r.customer.begun-r.begun, 0
	g.judge(r, a, e)
	if e.Outcome == OutcomeOK && g.set.UnitsCorrected && e.TrueUnits > 0 && r.inside {
		g.spend(r.customer, e.TrueUnits-r.units)
		r.units = e.TrueUnits
	}
	if e.Final || e.Outcome == OutcomeOK {
		g.finish(r, nil)
	}
	if r.out == 0 && r.done {
		delete(g.requests, r.id)
	} else if r.out == 0 && !g.retry(r) {
		g.giveUp(r)
	}
}

// retry sends r once more if the budget of further attempts, the rules and the aim allow it.
func (g *Gateway) retry(r *request) bool {
	by := r.aim
	if end, repeats := r.windowEnd(); repeats {
		by = min(by, end)
	}
	left := seconds(by - g.now)
	s, expect := g.pick(r, left)
	if g.budget < 1 || s == nil || expect > left {
		return false
	}
	g.budget--
	g.send(r, s)
	return true
}

// hedge moves a request on when its n-th attempt is unanswered and the server has answered nothing else of
// the class since. A slow request on a server that answers is left alone: more would add to an overload.
// Danger: where all servers are slow, and a gateway sends each of them little, every wait looks like silence,
// and copies make it worse. So they stop when a mean attempt takes more than the least threshold.
func (g *Gateway) hedge(r *request, n int) {
	if r.done || r.attempts[n-1].ended || !g.suspect(r, &r.attempts[n-1]) || !again[r.class.Idempotency].send ||
		len(r.attempts) != n || n >= g.set.MaxAttempts ||
		g.latency*g.sizes[r.kind] > beyondUse*aimUse*seconds(r.class.Objective) {
		return
	}
	if g.set.ParallelAttempts {
		g.retry(r)
	} else if g.set.MayCancel && g.budget >= 1 {
		g.acts = append(g.acts, CancelAttempt{Request: r.id, Attempt: n - 1})
	}
}

// giveUp ends r in the kindest way that rule 2 allows.
func (g *Gateway) giveUp(r *request) {
	rule := again[r.class.Idempotency]
	if r.live() == nil || rule.refuse && (!rule.inGroup || r.class.DedupScope == DedupAll) {
		g.refuse(r, ReasonExhausted, g.comeBack(r, 1))
	} else {
		g.finish(r, Fail{Request: r.id, Reason: ReasonExhausted})
	}
}

// finish ends r with a final answer, or none if it had one, and takes back what is still out.
func (g *Gateway) finish(r *request, answer Action) {
	if r.done {
		return
	}
	r.done = true
	if answer != nil {
		g.acts = append(g.acts, answer)
	}
	for i := range r.attempts {
		if !r.attempts[i].ended && g.set.MayCancel {
			g.acts = append(g.acts, CancelAttempt{Request: r.id, Attempt: i})
		}
	}
	if r.out == 0 {
		delete(g.requests, r.id)
	}
}
