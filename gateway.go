package dewhitch

// This file holds every decision of a gateway and all of its state; api.go has the types, events and
// actions. In order: the tuned values; a request's life; the quota of a customer; the counter; the servers.

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"dewhitch/internal/pace"
)

// The tuned values. Each is relative to something the settings tell.
const (
	windowBursts  = 2.0         // a window lasts so many bursts: a listed customer waits it out, room or not
	maxWindow     = 60 * second // the counter forgets a name after that
	expireEvery   = 5 * second  // idle accounts are looked for so often
	pushesAWindow = 4           // ordinary batches: a quarter of a window apart
	nearShare     = 0.25        // a tally of this share of the room is pushed without waiting for the period
	shareFloor    = 0.125       // of the rate, over all gateways: what a quiet gateway is taken to ask
	blindSigmas   = 0.25        // unseen use of others is reserved up to so many standard deviations
	staleWindows  = 0.5         // a total older than this share of a window no longer tells of others
	askedFade     = 0.7         // of what was asked in earlier windows, in a new one
	keptShare     = 0.7         // of the store, for what earns more than a request that earns next to nothing
	thinBursts    = 0.5         // beyond the rate in a thin customer's window: few stores start empty
	easeUse       = 0.5         // of the rate: a thin customer that asks for less is not checked
	limitSpare    = 8           // the part of a query's time that its answer needs on its way
	countGrain    = 0.01        // units: what a total may be off by, given to seven digits

	aimUse        = 0.25       // of the aim: a first attempt must be expected within it, as work varies
	idleUse       = 2.5        // or within so many times the latency of servers at ease, if that is more
	idleSamples   = 1000.0     // after which that is forgotten
	beyondUse     = 0.4        // of that threshold for what is beyond its quota: the first to go when pressed
	hedgeAt       = 0.5        // share of the aim after which an unanswered attempt gets a second one
	retryShare    = 0.1        // further attempts for each request taken
	retryBurst    = 10.0       // and this many at once
	latencyWeight = 0.1        // of a new sample in a server's latency
	maxWeight     = 0.4        // of one after a while in which there was none
	startLatency  = 0.15       // of the shortest aim: a server's latency before it has answered
	sendSpan      = 5 * second // over which a gateway's own rate is measured
	coldUse       = 0.5        // of what is sent and what asks for a server: a cold one's part, by its capacity
	failures      = 3          // unanswered attempts show that a server hangs; it is avoided for so many turns
	ejectLongest  = 32 * second
	recoverSpan   = second // over which an idle server's latency goes to the mean, and an old mean is forgotten
	recoverGaps   = 3.0    // or over so many times the span between two attempts on it, if that is longer
	reportWeight  = 0.8    // of a server's report in its latency, for a gateway that sees little of it itself
	apertureGap   = 2.0    // seconds between two attempts on a server: servers beyond that many are left out
	leastAperture = 6      // of servers
	minPoints     = 1e-6   // a class that earns nothing still has a place in line
	maxSize       = 4.0    // of the mean: more is a trouble of the server, not the class
	maxStray      = 2.0    // of the mean latency: more counts as this much, as it is one server's trouble
	parallel      = 2.0    // attempts that a server is taken to run side by side
	crossZone     = 0.1    // what a server of another zone must be better by
	maxEjected    = 0.5    // of the ready servers, or of attempts; if more are bad, all are pressed
)

type server struct {
	ServerEntry
	out               int     // attempts out from this gateway
	waiting, answered Instant // since when something is out with no answer; the last answer, of any class
	latency           float64 // smoothed
	measured          Instant // when an answer last told it
	verdicts          []verdict
	budget            bucket // of a cold server
	rank              uint64 // the place in this gateway's order; no two servers of one list share it
}

// verdict is what speaks against a server for a class.
type verdict struct {
	answered Instant // last
	failed   int     // failures since
	at       Instant // of the first of them
	ejected  Instant // until then
}

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

type customer struct {
	id          CustomerID
	plan        *Plan
	spread      float64
	inSet       bool
	window      Span
	level       float64 // the shared store, as far as known: own use at once, others' as predicted
	at          Instant
	predicted   float64 // others' use taken from level since the last total
	own, others float64 // rates of use, units a second
	lastTotal   Instant
	open, begun int // attempts; of those, the ones whose answers have begun
	ceiling     bucket
	listedTill  Instant

	turn           int64      // the window that counts go to
	total          float64    // as last read in this window
	tally, adding  float64    // not yet pushed; on its way
	calling, thin  bool       // thin: a gateway's even share of the store is under one request
	held           []*request // those that wait for the count
	spent          float64    // units, ever
	asks, asking   []*request // queries that wait for the next call, and for the one that is out
	mine           float64    // units that this gateway surely has in the window's count
	asked, askedIn float64    // by all, of late: units and the seconds in which they were asked; faded
	past           float64    // seconds into the window at the last total
	wants, queued  bool
	lastPush, seen Instant // seen: its last request
	period         Instant // next ordinary push
}

// Gateway is one instance of the module.
type Gateway struct {
	set                       Settings
	rng                       *rand.Rand
	now                       Instant
	acts                      []Action
	servers                   []*server // in order of rank
	byID                      map[ServerID]*server
	requests                  map[RequestID]*request
	customers                 map[CustomerID]*customer
	timers                    map[TimerID]func()
	lastTimer                 int64
	pushes                    []*customer // those with something to push or to ask
	started                   bool
	startAt                   Instant
	calls                     *pace.Pacer // of the counter, which all gateways share
	names                     map[string]*customer
	budget                    float64
	latency                   float64 // smoothed, over all servers
	measured                  Instant // when an answer last told a latency
	idle                      float64 // the least latency of late: that of servers at ease
	sent, wanted, tried, good float64 // leaking: attempts, wishes for a server, to go on, attempts in time
	leaked                    Instant
	cut                       map[int]float64 // by zone: share of attempts there that speak against it, of late
	sizes                     []float64       // by class: its latency against the mean of all
	worth                     float64         // mean points of what arrives, for its work
	minAim                    Span
}

// New makes a gateway that knows nothing yet.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	g := &Gateway{set: s, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[ServerID]*server{},
		requests: map[RequestID]*request{}, customers: map[CustomerID]*customer{}, timers: map[TimerID]func(){},
		names: map[string]*customer{}, cut: map[int]float64{}, minAim: s.Classes[0].Aim, budget: retryBurst,
		worth: max(s.Classes[0].Points, minPoints), calls: pace.New(seconds(s.CounterTimeout), s.Instances)}
	for _, c := range s.Classes {
		g.sizes = append(g.sizes, 1)
		g.minAim = min(g.minAim, c.Aim)
	}
	g.latency = startLatency * seconds(g.minAim)
	g.idle = g.latency
	return g, nil
}

// Handle takes one event and appends the actions it leads to.
func (g *Gateway) Handle(now Instant, e Event, acts []Action) []Action {
	g.now, g.acts = now, acts
	if !g.started {
		g.started, g.startAt, g.leaked = true, now, now
		if g.set.ListOnRequest {
			g.acts = append(g.acts, Subscribe{})
		}
		g.after(g.sweepEvery(), g.sweep)
		g.after(expireEvery, g.expire)
	}
	switch e := e.(type) {
	case ServerList:
		g.list(e)
	case Arrival:
		g.arrive(e, false)
	case LimitQuery:
		g.query(e.arrival(0))
	case LimitAdjust:
		if a := e.arrival(e.Units); e.Units > 0 {
			g.arrive(a, true)
		} else {
			g.query(a)
		}
	case Started:
		if r := g.requests[e.Request]; r != nil {
			r.customer.begun += 1 - r.begun
			r.done, r.begun = true, 1 // the client owns the attempt from now on
		}
	case Ended:
		g.ended(e)
	case ClientGone:
		if r := g.requests[e.Request]; r != nil {
			g.finish(r, nil)
		}
	case TimerFired:
		if f := g.timers[e.ID]; f != nil {
			delete(g.timers, e.ID)
			f()
		}
	case Counted:
		g.counted(e)
	}
	acts, g.acts = g.acts, nil
	return acts
}

func (g *Gateway) at(t Instant, f func()) {
	g.lastTimer++
	id := TimerID(strconv.FormatInt(g.lastTimer, 36))
	g.timers[id] = f
	g.acts = append(g.acts, SetTimer{At: t, ID: id})
}

func (g *Gateway) after(d Span, f func()) { g.at(g.now+Instant(d), f) }

// arrive decides on a new request, or on units to take alone: served from here on, or refused at once.
func (g *Gateway) arrive(e Arrival, take bool) {
	known := e.Class >= 0 && e.Class < len(g.set.Classes) && e.Plan >= 0 && e.Plan < len(g.set.Plans)
	if !known || e.Remaining <= 0 {
		g.acts = append(g.acts, Refuse{Request: e.ID, Why: WhyUnusable})
		return
	}
	class, plan := &g.set.Classes[e.Class], &g.set.Plans[e.Plan]
	c := g.customer(e, plan)
	r := &request{id: e.ID, kind: e.Class, class: class, customer: c,
		units: max(0, e.Units), take: take, aim: g.now + Instant(class.Aim), due: g.now + Instant(e.Remaining)}
	// Beyond the quota nothing goes on, but where the plan earns more by it than it costs, the ceiling has room
	// and the servers are at ease.
	wait, inside := g.quota(c, r.units, g.kept(r))
	sure := !c.thin || plan.BeyondEarns > plan.OverrunCost || g.atEase(c) // what harms nobody takes no call
	ask := inside && !sure && (c.calling || g.mayCall())
	sure = sure || ask
	if inside && !sure && !g.chance(c) {
		inside = false
		g.draw(c, r.units) // the count of a thin customer is of what was asked for
	}
	full, under := g.underCeiling(c, r.units)
	if !inside && (take || plan.BeyondEarns <= plan.OverrunCost) || !under {
		why := WhyQuota
		if !under {
			why = WhyCeiling
		}
		g.refuse(r, why, max(wait, full))
		return
	}
	var s *server
	if !take { // on units alone the servers do not bear
		if s = g.fit(r, inside && sure); s == nil {
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
		g.finish(r, Adjusted{Request: r.id, Units: r.units})
	} else {
		g.send(r, s)
	}
}

// worthOf is what r earns for the work it takes.
func (g *Gateway) worthOf(r *request) float64 {
	return max(r.class.Points, minPoints) / g.sizes[r.kind]
}

// fit finds the server for a request that its quota lets in, or refuses it for the servers' sake.
func (g *Gateway) fit(r *request, sure bool) *server {
	// While the servers are pressed, what earns little gives way to what earns more.
	worth := g.worthOf(r)
	g.worth += latencyWeight / 4 * (worth - g.worth)
	// What the work takes anyway is no sign of pressure.
	limit := max(aimUse*seconds(r.aim-g.now), idleUse*g.idle*g.sizes[r.kind]) * math.Sqrt(worth/g.worth)
	if !sure {
		limit *= beyondUse
	}
	g.wanted++
	s, expect := g.pick(r, limit)
	if s == nil || expect > limit || g.throttled() {
		g.refuse(r, WhyServers, g.comeBack(r, expect/limit))
		return nil
	}
	g.budget = min(retryBurst, g.budget+retryShare) // by what goes on: the refused come again
	return s
}

// query has a query, or a give-back, wait for a call that pushes what came before: without one it is a guess.
func (g *Gateway) query(e Arrival) {
	known := e.Plan >= 0 && e.Plan < len(g.set.Plans) && g.set.Plans[e.Plan].Rate > 0
	if !g.set.Counter || !known || e.Remaining <= 0 {
		g.acts = append(g.acts, Fail{Request: e.ID, Why: WhyUnread})
		return
	}
	c := g.customer(e, &g.set.Plans[e.Plan])
	r := &request{id: e.ID, units: e.Units, customer: c, spent: c.spent}
	g.requests[r.id] = r
	spare := min(e.Remaining/limitSpare, second/10)
	g.after(e.Remaining-spare, func() { g.finish(r, Fail{Request: r.id, Why: WhyUnread}) })
	c.asks = append(c.asks, r)
	if g.queue(c, true); !c.calling && g.mayCall() {
		g.count(c)
	}
}

// answer gives the queries that waited for the total their answers.
func (g *Gateway) answer(c *customer) {
	for _, r := range c.asking {
		if r.units == 0 {
			g.finish(r, g.left(c, c.spent-r.spent, r.id))
		} else if back := max(0, min(-r.units, c.mine, c.total)); !r.done {
			// Danger: use below nothing lets in more than the quota; no list and no ceiling gains by this.
			c.mine -= back
			g.spend(c, -back)
			g.queue(c, true) // the others shall know
			g.finish(r, Adjusted{Request: r.id, Units: -back})
		}
	}
}

// throttled tells, by lot, to hold back. Danger: where most attempts end badly, not one server is in trouble
// but all, and only less work brings them back. It clears as what is let through is answered in time.
func (g *Gateway) throttled() bool {
	g.leak()
	g.tried++
	return g.rng.Float64()*g.tried > failures+g.good/maxEjected
}

// leak lets what is old count less.
func (g *Gateway) leak() {
	part := math.Exp(-seconds(g.now-g.leaked) / seconds(sendSpan))
	g.sent, g.tried, g.good, g.wanted, g.leaked = g.sent*part, g.tried*part, g.good*part, g.wanted*part, g.now
	for zone := range g.cut { // in any order
		g.cut[zone] *= part
	}
}

func (g *Gateway) sendRate() float64 { g.leak(); return g.sent / seconds(sendSpan) } // own, attempts a second

// atEase tells that all gateways together have asked for little of c's rate of late.
func (g *Gateway) atEase(c *customer) bool {
	return c.askedIn > seconds(c.window) && c.asked < easeUse*c.plan.Rate*c.askedIn
}

// chance lets through what the rate is of the use that was asked for, where the count cannot be checked.
func (g *Gateway) chance(c *customer) bool {
	return !c.thin || g.rng.Float64()*c.asked <= c.plan.Rate*c.askedIn
}

// release decides on the requests that waited for the count of c: they go on while the count of the window,
// in which every request was counted that was asked about, is within what the rate brings in a window.
func (g *Gateway) release(c *customer, told bool) {
	for _, r := range c.held {
		kept := g.kept(r)
		spent := told && kept > 0 && c.total > (1-kept)*c.plan.Rate*seconds(c.window)
		if s, _ := g.pick(r, math.Inf(1)); spent || g.now < c.listedTill {
			g.refuse(r, WhyQuota, Span(c.edge()-g.now))
		} else if r.take && (told || g.chance(c)) {
			g.finish(r, Adjusted{Request: r.id, Units: r.units})
		} else if s == nil || !told && !g.chance(c) {
			g.refuse(r, WhyServers, g.comeBack(r, 1))
		} else {
			g.send(r, s)
		}
	}
	c.held = c.held[:0]
}

// comeBack is when one refused for the servers' sake should try again: the later the more they are pressed,
// but so that the answer can still be in time. Danger: a flood of repeats, and all in step.
func (g *Gateway) comeBack(r *request, pressure float64) Span {
	wait := (0.5 + g.rng.Float64()) * g.latency * max(1, pressure)
	return Span(max(0, min(wait, seconds(r.aim-g.now)-g.latency)) * 1e9)
}

func (g *Gateway) refuse(r *request, why Why, wait Span) {
	g.finish(r, Refuse{Request: r.id, Why: why, RetryAfter: max(0, min(wait, g.set.MaxRetryAfter))})
}

// send starts an attempt. The rules that bear on it have been asked by usable and mayTry.
func (g *Gateway) send(r *request, s *server) {
	half := Instant(hedgeAt * float64(r.class.Aim))
	if n := len(r.attempts) + 1; g.now+half < r.aim {
		g.at(g.now+half, func() { g.hedge(r, n) })
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
	r.attempts = append(r.attempts, attempt{server: s, at: g.now, beside: s.out - 1})
	g.acts = append(g.acts, Send{Request: r.id, Server: s.ID, Timeout: Span(r.due - g.now)})
}

// Rule 2 is one table: for each outcome, whether the attempt may have run, and, for each effect, what may
// follow once one may have.
var (
	mayRun = [Outcomes]bool{OutcomeOK: true, OutcomeError: true, OutcomeTimeout: true, OutcomeReset: true,
		OutcomeCancelled: true}
	again = [...]struct{ send, inGroup, refuse bool }{
		Safe:   {send: true, refuse: true},
		Keyed:  {send: true, inGroup: true, refuse: true}, // refuse: if the group is all servers
		Unsafe: {},
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
	if r.done || len(r.attempts) >= g.set.MaxAttempts || r.out > 0 && !g.set.ParallelTries {
		return false
	}
	a := r.live()
	if a == nil {
		return true
	}
	rule := again[r.class.Effect]
	same := r.class.Group.same(s.ServerEntry, a.server.ServerEntry)
	if rule.inGroup && (!same || g.now-a.at >= Instant(r.class.DedupWindow)) {
		return false
	}
	return rule.send
}

// ended takes the outcome of an attempt: a request that is owed an answer goes elsewhere or is given up.
func (g *Gateway) ended(e Ended) {
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
	if e.Outcome == OutcomeOK && g.set.TruedUp && e.TrueUnits > 0 && r.inside {
		g.spend(r.customer, e.TrueUnits-r.units)
		r.units = e.TrueUnits
	}
	if e.Final || e.Outcome == OutcomeOK {
		g.finish(r, nil)
	}
	if r.out > 0 {
		return
	}
	if r.done {
		delete(g.requests, r.id)
	} else if !g.retry(r) {
		g.giveUp(r)
	}
}

// retry sends r once more if the budget of further attempts, the rules and the aim allow it.
func (g *Gateway) retry(r *request) bool {
	left := seconds(r.aim - g.now)
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
//
// Danger: of many gateways each sends a server so little that nothing else was to be answered, and where all
// servers are slow every wait looks like silence: copies then make the slowness that asks for more of them.
// So copies stop, as what is beyond a quota does, when a mean attempt takes more than the least threshold.
func (g *Gateway) hedge(r *request, n int) {
	if r.done || r.attempts[n-1].ended || !g.suspect(r, &r.attempts[n-1]) || !again[r.class.Effect].send ||
		len(r.attempts) != n || n >= g.set.MaxAttempts ||
		g.latency*g.sizes[r.kind] > beyondUse*aimUse*seconds(r.class.Aim) {
		return
	}
	if g.set.ParallelTries {
		g.retry(r)
	} else if g.set.MayCancel && g.budget >= 1 {
		g.acts = append(g.acts, Cancel{Request: r.id, Attempt: n - 1})
	}
}

// giveUp ends r in the kindest way that rule 2 allows.
func (g *Gateway) giveUp(r *request) {
	rule := again[r.class.Effect]
	if r.live() == nil || rule.refuse && (!rule.inGroup || r.class.Group == GroupAll) {
		g.refuse(r, WhyGaveUp, g.comeBack(r, 1))
	} else {
		g.finish(r, Fail{Request: r.id, Why: WhyGaveUp})
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
			g.acts = append(g.acts, Cancel{Request: r.id, Attempt: i})
		}
	}
	if r.out == 0 {
		delete(g.requests, r.id)
	}
}

// customer finds or makes the account of a customer.
func (g *Gateway) customer(e Arrival, plan *Plan) *customer {
	c := g.customers[e.Customer]
	if c == nil {
		n := min(max(1, e.Spread), g.set.Instances)
		c = &customer{id: e.Customer, plan: plan, spread: float64(n), level: plan.Burst, at: g.now}
		c.inSet = (g.set.Self-e.First%g.set.Instances+g.set.Instances)%g.set.Instances < n
		// Danger: with many gateways a share of the store is less than one request, and whoever goes by what
		// it saw last either refuses all or lets all in. There the push comes before the request goes on.
		c.thin = g.set.Counter && plan.Rate > 0 && plan.Burst < c.spread*max(1, g.set.MaxUnits)
		if c.thin {
			c.window = min(maxWindow/2, Span(plan.Burst/plan.Rate*1e9))
		} else if plan.Rate > 0 {
			c.window = min(maxWindow/2, Span(windowBursts*plan.Burst/plan.Rate*1e9))
		}
		c.window = max(c.window, pushesAWindow*g.set.CounterTimeout, second)
		// Danger: an earlier life of this gateway may have spent all of its share, up to the start of this one.
		c.ceiling = bucket{level: -plan.Tolerance / c.spread, at: g.startAt}
		c.turn = g.turn(c)
		c.lastTotal, c.wants, c.others = g.now-Instant(c.memory()*1e9), true, plan.Rate*(1-1/c.spread)
		g.customers[e.Customer] = c
	}
	c.seen = g.now
	return c
}

// othersRate is what the customer's other gateways are taken to use. When totals are missing or old, each
// gateway takes the others to use their even share, and so falls back on its own share of the rate.
func (g *Gateway) othersRate(c *customer) float64 {
	even := c.plan.Rate * (1 - 1/c.spread)
	if seconds(g.now-c.lastTotal) > staleWindows*seconds(c.window) {
		return max(c.others, even)
	}
	return c.others
}

// advance brings the account to the present: the store fills at the rate, less what others are taken to use.
func (g *Gateway) advance(c *customer) {
	dt := seconds(g.now - c.at)
	o := g.othersRate(c)
	gain := c.plan.Rate * dt
	loss := min(o*dt, max(0, c.level)+gain) // an empty store gives nothing, whoever asks
	c.level = min(c.plan.Burst, c.level+gain-loss)
	c.predicted += loss
	c.own *= math.Exp(-dt / c.memory())
	c.at = g.now
}

func (c *customer) memory() float64 { return seconds(c.window) / windowBursts } // of rates of use

// room is what this gateway may still admit: its share of the store by recent use, with a floor for the
// quiet gateway; or all of it but what the others may have used unseen, if that is more.
func (g *Gateway) room(c *customer) float64 {
	g.advance(c)
	o, floor := g.othersRate(c), shareFloor*c.plan.Rate/c.spread
	share := (c.own + floor) / (c.own + o + c.spread*floor)
	blind := o * (seconds(g.now-c.lastTotal) + seconds(g.set.CounterTimeout))
	unseen := o*seconds(g.set.CounterTimeout) + blindSigmas*math.Sqrt(blind*max(1, g.set.MaxUnits/2))
	return max(share*c.level, c.level-unseen)
}

// kept is the share of a customer's store that r leaves to others. Danger: who asks for more than its quota
// spends it on whatever comes first, and what earns most is then beyond it.
// Units that are taken alone are for work unknown, and have all that a query says is left.
func (g *Gateway) kept(r *request) float64 {
	if r.take {
		return 0
	}
	return keptShare * max(0, 1-g.worthOf(r)/g.worth)
}

// quota decides whether a request is within the quota, and else when to ask again.
func (g *Gateway) quota(c *customer, units, kept float64) (wait Span, ok bool) {
	p := c.plan
	if g.now < c.listedTill {
		return Span(c.listedTill - g.now), false
	}
	if p.Rate > 0 && !c.thin {
		if room := g.room(c); room < units || c.level-units < kept*p.Burst {
			if g.now-c.lastTotal > Instant(c.window)/(pushesAWindow*pushesAWindow) {
				g.queue(c, true)
			}
			return Span((units - room) / p.Rate * 1e9), false
		}
	}
	others := g.othersRate(c)
	if c.thin && c.askedIn > 0 { // Danger: early in a window all let in what is asked, far over the rate
		others = max(others, c.asked/c.askedIn*(1-1/c.spread))
	}
	// Those that they have out: by Little's law, or as many as this one, for slow servers keep more out; but not
	// those that are out for their clients' sake.
	others = max(others*g.latency/max(1, g.set.MaxUnits/2), (c.spread-1)*float64(c.open-c.begun))
	if p.Open > 0 && float64(c.open+1)+others > float64(p.Open) {
		return Span(g.latency * 1e9), false
	}
	return 0, true
}

// underCeiling keeps rule 5 alone, with an even share of rate, burst and slack; it tells when there is room.
func (g *Gateway) underCeiling(c *customer, units float64) (wait Span, ok bool) {
	p := c.plan
	if p.CeilingRate <= 0 {
		return 0, true
	}
	c.ceiling.fill(g.now, p.CeilingRate/c.spread, p.CeilingBurst/c.spread)
	missing := units - p.Tolerance/c.spread - c.ceiling.level
	return Span(missing * c.spread / p.CeilingRate * 1e9), c.inSet && missing <= 0
}

// spend takes units from the account and puts them on the tally.
func (g *Gateway) spend(c *customer, units float64) {
	c.spent += units
	if g.draw(c, units); c.thin { // goes along with the next call: there are none to spare
		return
	}
	g.advance(c)
	c.level = min(c.plan.Burst, c.level-units)
	c.own = max(0, c.own+units/c.memory())
	g.queue(c, false)
}

// draw puts units on the tally, and says so.
func (g *Gateway) draw(c *customer, units float64) {
	c.tally += units
	g.acts = append(g.acts, Drawn{Customer: c.id, Units: units})
}

// queue has c looked at by the sweep; if it wants, for its total at the next chance.
func (g *Gateway) queue(c *customer, wants bool) {
	c.wants = c.wants || wants
	if !c.queued && g.set.Counter && c.plan.Rate > 0 {
		c.queued = true
		if c.period <= g.now { // spread over the period, so that pushes do not come in step
			c.period = g.now + Instant(g.rng.Float64()*float64(c.window)/pushesAWindow)
		}
		g.pushes = append(g.pushes, c)
	}
}

// sweepEvery is how often the periodic work is looked at: a fraction of the counter's time-out.
func (g *Gateway) sweepEvery() Span { return max(2*g.set.Tick, g.set.CounterTimeout/5, second/100) }

// sweep runs the periodic work.
func (g *Gateway) sweep() {
	g.after(g.sweepEvery(), g.sweep)
	for _, near := range []bool{true, false} { // where calls are short, those whose store is go first
		g.pushes = slices.DeleteFunc(g.pushes, func(c *customer) bool {
			c.queued = c.calling || !g.push(c, near)
			return !c.queued
		})
	}
	// Danger: of many stray estimates the best lets everything in, and who refuses all does not learn that
	// things are better. An idle server's estimate goes to that of servers at ease, or, the less this gateway
	// sees of one, to the mean, which a few slow ones may make; with none measured, the mean fades.
	part, seen := seconds(g.sweepEvery())/seconds(recoverSpan), 1-g.blind()
	if g.now-g.measured > Instant(recoverSpan) {
		g.latency *= 1 - part
	} else {
		part /= max(1, recoverGaps*g.gap()/seconds(recoverSpan))
	}
	for _, s := range g.servers {
		if s.out == 0 {
			s.latency += (g.latency + seen*seen*(g.idle-g.latency) - s.latency) * part
		}
	}
}

// expire drops the accounts that have been idle for so long that they stand as a new one would: by window, as
// many customers come only once.
func (g *Gateway) expire() {
	g.after(expireEvery, g.expire)
	for id, c := range g.customers { // in any order: nothing is sent
		c.ceiling.fill(g.now, c.plan.CeilingRate/c.spread, c.plan.CeilingBurst/c.spread)
		idle := g.now-c.seen > Instant(2*c.window) && c.open == 0 && !c.queued && !c.calling
		if idle && (c.plan.CeilingRate <= 0 || c.ceiling.level >= c.plan.CeilingBurst/c.spread) {
			delete(g.customers, id)
		}
	}
}

// push sends the tally of c to the counter if it is due, early or in its period, and tells whether it did.
func (g *Gateway) push(c *customer, early bool) bool {
	if !g.mayCall() {
		return false
	}
	near := c.wants || g.turn(c) != c.turn || c.tally >= nearShare*max(0, g.room(c))
	near = near && (g.now-c.lastPush >= Instant(g.set.CounterTimeout) || len(c.asks) > 0)
	if !near && (early || g.now < c.period) {
		return false
	}
	g.count(c)
	return true
}

// turn is the window that counts of c go to now. Windows of customers turn at different times.
func (g *Gateway) turn(c *customer) int64 {
	return int64(g.now+c.phase()) / int64(c.window)
}

// edge is when the window of the last count turns.
func (c *customer) edge() Instant { return Instant(c.turn+1)*Instant(c.window) - c.phase() }

func (c *customer) phase() Instant { return Instant(uint64(c.id) % uint64(c.window)) }

// mayCall paces the calls to the counter, which all gateways share.
func (g *Gateway) mayCall() bool { return g.calls.Ready(int64(g.now)) }

// count makes a call that adds the tally of c to the counter.
func (g *Gateway) count(c *customer) {
	if turn := g.turn(c); turn != c.turn {
		// The store's level is carried over; what was not read of the old window is taken to be as predicted.
		c.turn, c.total, c.past, c.predicted, c.mine = turn, 0, 0, 0, 0
		c.asked, c.askedIn = c.asked*askedFade, c.askedIn*askedFade
	}
	name := strconv.FormatUint(uint64(c.id), 36) + "." + strconv.FormatInt(c.turn, 36)
	c.adding, c.tally, c.calling, c.wants = c.tally, 0, true, false
	c.asking, c.asks = c.asks, nil
	c.lastPush = g.now
	c.period = g.now + Instant(c.window)/pushesAWindow
	g.names[name] = c
	g.calls.Called()
	g.acts = append(g.acts, Count{Name: name, Customer: c.id, Add: c.adding, TTL: min(maxWindow, 2*c.window)})
}

// counted takes the counter's answer.
func (g *Gateway) counted(e Counted) {
	c := g.names[e.Name]
	if c == nil || !c.calling {
		return
	}
	delete(g.names, e.Name)
	c.calling = false
	if e.Outcome == OutcomeOK {
		g.total(c, c.adding, e.Total)
		g.answer(c)
	} else {
		c.asks = append(c.asking, c.asks...) // until their time is up
		if e.Outcome != OutcomeTimeout {
			c.tally += c.adding
		} else if !c.thin {
			c.total += c.adding // it may have counted; if not, the next total puts it right
		}
		if !c.thin {
			g.queue(c, false)
		}
	}
	g.calls.Answered(e.Outcome == OutcomeOK, seconds(e.Latency))
	g.release(c, e.Outcome == OutcomeOK)
	if len(c.asks) > 0 {
		g.queue(c, true)
	}
}

// total settles what was predicted of the others against what the counter says.
func (g *Gateway) total(c *customer, add, total float64) {
	g.advance(c)
	before := c.total
	// Gateways give back only what they added: with less left than this one's, the counter has forgotten.
	if total-add < c.mine-countGrain {
		before, c.mine = 0, 0
	}
	others := total - add - before
	c.mine += max(0, add)
	c.total = total
	w, edge := seconds(c.window), c.edge()
	if c.thin {
		past := seconds(g.now-edge) + w
		c.asked += max(0, total-before)
		c.askedIn += max(0, past-c.past)
		c.past = past
		if total > c.plan.Rate*w+thinBursts*c.plan.Burst {
			c.listedTill = edge
		}
		return
	}
	dt := max(seconds(g.now-c.lastTotal), seconds(g.set.Tick))
	c.level = min(c.plan.Burst, max(min(c.level, 0), c.level-(others-c.predicted)))
	c.others += (max(0, others)/dt - c.others) * (1 - math.Exp(-dt/c.memory()))
	c.predicted, c.lastTotal = 0, g.now
	if total+c.tally > c.plan.Rate*w+c.plan.Burst {
		c.listedTill = edge
	}
}

// list follows the server list. Rule 3: what drains or is gone gets nothing new from this moment on.
func (g *Gateway) list(e ServerList) {
	if e.Kind == ListFailed {
		if g.set.ListOnRequest {
			g.after(second, func() { g.acts = append(g.acts, Subscribe{}) })
		}
		return
	}
	if e.Kind != ListDelta {
		for _, s := range g.servers {
			s.State = Gone
		}
	}
	for _, entry := range e.Servers {
		s := g.byID[entry.ID]
		if s == nil {
			s = &server{ServerEntry: ServerEntry{Since: -1}, rank: entry.ID.rank(g.set.Self)}
			g.byID[entry.ID] = s
			i, _ := slices.BinarySearchFunc(g.servers, s.rank, func(s *server, r uint64) int {
				return cmp.Compare(s.rank, r)
			})
			g.servers = slices.Insert(g.servers, i, s)
		}
		if entry.Since != s.Since { // it has started anew
			s.latency, s.verdicts = g.latency, make([]verdict, len(g.set.Classes))
			s.budget = bucket{level: g.rng.Float64(), at: g.now}
		}
		s.ServerEntry = entry
	}
	gone := func(s *server) bool { return s.State == Gone && s.out == 0 } // and owes nothing
	maps.DeleteFunc(g.byID, func(_ ServerID, s *server) bool { return gone(s) })
	g.servers = slices.DeleteFunc(g.servers, gone)
}

// judge learns from an outcome.
func (g *Gateway) judge(r *request, a *attempt, e Ended) {
	s := a.server
	s.out--
	if e.Outcome == OutcomeNotSent || e.Outcome == OutcomeCancelled {
		return
	}
	sample := seconds(e.Latency)
	if e.Outcome == OutcomeOK {
		if g.leak(); e.Latency <= r.class.Aim {
			g.good++
		}
		s.waiting, s.answered = g.now, g.now
		s.verdicts[r.kind] = verdict{answered: g.now}
		g.cut[s.Zone] *= 1 - latencyWeight
		g.sizes[r.kind] += latencyWeight / 4 * (min(sample/crowd(a.beside)/g.latency, maxSize) - g.sizes[r.kind])
	} else {
		// Danger: a failure says that a server is in trouble, or that all are pressed. Silence is the first
		// and must not count as slowness of all, or a few dead servers make gateways refuse everything.
		if g.suspect(r, a) && e.Outcome != OutcomeRejected {
			return
		}
		sample = max(2*sample, seconds(g.minAim))
	}
	sample /= crowd(a.beside)
	g.latency += g.weight(g.measured, latencyWeight/4) * (min(sample, maxStray*g.latency) - g.latency)
	s.latency += g.weight(s.measured, latencyWeight) * (sample/g.sizes[r.kind] - s.latency)
	if l := e.Load; l.Has&HasInflight != 0 && l.Has&HasRate != 0 { // Little's law, with one more of the mean
		told := (l.Inflight + l.Queue + 1) / (l.Rate + 1/g.latency)
		s.latency += reportWeight * g.blind() * g.blind() * (told - s.latency)
	}
	g.idle = min(g.latency, g.idle*(1+1/idleSamples))
	g.measured, s.measured = g.now, g.now
}

// weight is that of a new sample: the less was measured of late, the more it says.
func (g *Gateway) weight(last Instant, least float64) float64 {
	return max(least, maxWeight*(1-math.Exp(-seconds(g.now-last)/seconds(recoverSpan))))
}

// aperture is how many servers this gateway uses: the first ones in its own order. Danger: of many gateways
// each would see a server too seldom to learn anything in time, and would hold a connection to every one.
func (g *Gateway) aperture() int {
	return min(len(g.servers), max(leastAperture, int(g.sendRate()*apertureGap)))
}

// gap is the mean time between two attempts of this gateway on a server.
func (g *Gateway) gap() float64 { return float64(g.aperture()) / max(1e-3, g.sendRate()) }

// suspect holds an attempt that failed or is unanswered against its server, unless that has answered others
// of the class since. A server that is seen seldom is avoided for longer: of few attempts each costs much.
func (g *Gateway) suspect(r *request, a *attempt) bool {
	v := &a.server.verdicts[r.kind]
	if v.answered > a.at {
		return false
	}
	if !a.failed {
		a.failed = true
		g.cut[a.server.Zone] += (1 - g.cut[a.server.Zone]) * latencyWeight
		span := max(seconds(recoverSpan), failures*g.gap()) * math.Pow(2, float64(v.failed))
		if v.failed++; v.failed == 1 {
			v.at = g.now
		}
		v.ejected = g.now + Instant(min(span, seconds(ejectLongest))*1e9)
	}
	return true
}

// warmth is the least share of its capacity that a server has reached.
func (g *Gateway) warmth(s *server) float64 {
	if s.Since <= 0 || g.now-s.Since >= Instant(g.set.ColdSpan) {
		return 1
	}
	return g.set.StartCapacity + (1-g.set.StartCapacity)*seconds(g.now-s.Since)/seconds(g.set.ColdSpan)
}

// expect is how long a new attempt on s should take.
func (g *Gateway) expect(s *server) float64 {
	latency := s.latency * crowd(s.out)
	if s.out > 0 { // or for so long as it has owed an answer without giving any
		latency = max(latency, seconds(g.now-s.waiting))
	}
	return latency / g.warmth(s)
}

// crowd is how much longer an attempt takes beside n others from this gateway.
func crowd(n int) float64 { return (float64(n) + parallel) / parallel }

// isOut tells that evidence speaks against s.
func (g *Gateway) isOut(s *server, r *request) bool {
	for k, v := range s.verdicts { // one class's failures speak for all until the server answers another
		speaks := v.failed > 0 && (k == r.kind || s.answered <= v.at)
		if speaks && (g.now < v.ejected || s.out > 0) { // then one request at a time, until one is answered
			return true
		}
	}
	return false
}

// blind is how little this gateway sees of a server: near 1 if it seldom sends there, 0 if all the time.
func (g *Gateway) blind() float64 { return 1 / (1 + math.Pow(seconds(recoverSpan)/g.gap(), 2)) }

// pick chooses the server that should finish r first and tells how long that takes: over limit if it must be.
func (g *Gateway) pick(r *request, limit float64) (*server, float64) {
	ready, out := 0, 0
	for _, s := range g.servers {
		if s.State == Ready {
			ready++
			if g.isOut(s, r) {
				out++
			}
		}
	}
	trust := float64(out) <= maxEjected*float64(ready)
	// Danger: of many gateways, each sees a server too seldom to know how crowded it is, and all would rush to
	// those that looked best last. The less a gateway sees of a server, the more it draws by lot, by the square
	// of speed (the least of exponential draws); with much traffic of its own it takes the best. A server too
	// slow for limit, on which the lot may fall, says nothing against the others: they come first.
	blind := g.blind()
	var best *server
	least, soonest := math.Inf(1), 0.0
	most := g.aperture()
	for _, s := range g.servers {
		if most <= 0 && s.Feed == 0 || s.State != Ready || trust && g.isOut(s, r) || !g.mayTry(r, s) ||
			s.Look == LookSpare && r.class.Effect == Unsafe {
			continue
		}
		// Rule 4; budgets start at a random level, so that gateways do not come in step. Danger: fed by what was
		// sent alone, cold servers get the less the more is refused for want of them, and stay so.
		if g.warmth(s) < 1 {
			fed := coldUse * (g.sendRate() + g.wanted/seconds(sendSpan)) / float64(min(ready, g.aperture()))
			// What all gateways together have settled goes before this one's guess.
			if s.budget.fill(g.now, cmp.Or(s.Feed, g.warmth(s)*fed), 1); s.budget.level < 1 {
				continue
			}
		}
		if most--; s.Look != NoLook { // by as few as its budget allows
			return s, 0
		}
		// Danger: the estimate of a server that is seen seldom is of an older load, and among many there is always
		// one that looks idle. The less is seen of it, the more the latency of all speaks against it.
		expect := g.expect(s)
		cost := expect * math.Pow(expect*g.warmth(s)*g.rng.ExpFloat64(), blind)
		expect = (expect + blind*max(0, g.latency-expect)) * g.sizes[r.kind]
		if n := len(r.attempts); n > 0 && r.attempts[n-1].server == s {
			cost += seconds(r.class.Aim)
		}
		// Danger: a cut-off zone, found out server by server, one loss each
		if cost /= 1 - g.cut[s.Zone]; s.Zone != g.set.Zone {
			cost *= 1 + crossZone
		}
		late, was := expect > limit, soonest > limit
		if best == nil || late == was && cost < least || was && !late {
			best, least, soonest = s, cost, expect
		}
	}
	return best, soonest
}
