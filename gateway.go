package dewhitch

import (
	"math/rand/v2"

	"dewhitch/internal/ratelimit"
)

// Gateway is the decision module of one gateway: a state machine that Handle drives. It holds the owners of
// the decisions and routes each event to them. Each owner uses those above it in this list only, and changes
// only its own state and what it documents. A Gateway is owned by one goroutine; none of its methods may run
// beside another.
type Gateway struct {
	ctx     *stepContext
	started bool // the first event has come

	traffic   *trafficStatistics
	endpoints *endpointSet
	aperture  *aperture
	slowStart *slowStart
	outliers  *outlierDetector
	latency   *latencyEstimator
	balancer  *balancer

	requests    *requestTable
	accounts    *accounts
	priorities  *priorities
	counter     *counterSync
	quota       *quotaRules
	retryBudget *retryBudget
	shedder     *loadShedder
	attempts    *attemptController
	shutdown    *shutdown
	admission   *admission
	limits      *limitQueries
}

// New makes a gateway without any state. Seed is that of its random choices: the same settings, seed and
// events lead to the same actions. The error is that of Settings.Check.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	ctx := &stepContext{settings: s, rng: rand.New(rand.NewPCG(seed, 1)),
		timers: timerTable{callbacks: map[TimerID]func(){}}}
	g := &Gateway{ctx: ctx}
	g.newServerOwners()
	g.newRequestOwners()
	return g, nil
}

// newServerOwners makes the owners of what is known of the servers.
func (g *Gateway) newServerOwners() {
	ctx, classes := g.ctx, len(g.ctx.settings.Classes)
	g.traffic = &trafficStatistics{ctx: ctx, zoneFailures: map[int]float64{}}
	g.endpoints = &endpointSet{ctx: ctx, byID: map[ServerID]*server{}}
	g.aperture = &aperture{endpoints: g.endpoints, traffic: g.traffic}
	g.slowStart = &slowStart{ctx: ctx, endpoints: g.endpoints, aperture: g.aperture, traffic: g.traffic}
	g.outliers = &outlierDetector{ctx: ctx, endpoints: g.endpoints, aperture: g.aperture, traffic: g.traffic,
		suspects: map[*server]bool{}, ejectedCounts: make([]int, classes), countedAt: make([]Instant, classes)}
	g.latency = newLatencyEstimator(ctx, g.endpoints, g.aperture, g.slowStart)
	g.balancer = &balancer{ctx: ctx, endpoints: g.endpoints, aperture: g.aperture, traffic: g.traffic,
		slowStart: g.slowStart, outliers: g.outliers, latency: g.latency, rules: attemptRules{ctx}}
}

// newRequestOwners makes the owners of requests and accounts.
func (g *Gateway) newRequestOwners() {
	ctx, set := g.ctx, &g.ctx.settings
	g.requests = &requestTable{ctx: ctx, byID: map[RequestID]*request{}}
	g.accounts = &accounts{ctx: ctx, byID: map[CustomerID]*account{}}
	g.counter = &counterSync{ctx: ctx, calls: map[string]*account{},
		limiter: ratelimit.New(seconds(set.CounterTimeout), set.Instances)}
	g.priorities = &priorities{latency: g.latency, mean: max(set.Classes[0].Weight, minPriority)}
	g.quota = &quotaRules{ctx: ctx, latency: g.latency, counter: g.counter}
	g.retryBudget = &retryBudget{tokens: maxRetryBudget}
	g.shedder = &loadShedder{ctx: ctx, traffic: g.traffic, latency: g.latency, balancer: g.balancer,
		priorities: g.priorities, retryBudget: g.retryBudget}
	g.attempts = &attemptController{ctx: ctx, requests: g.requests, rules: attemptRules{ctx}, traffic: g.traffic,
		slowStart: g.slowStart, outliers: g.outliers, latency: g.latency, balancer: g.balancer, shedder: g.shedder,
		retryBudget: g.retryBudget, counter: g.counter}
	g.shutdown = &shutdown{ctx: ctx, requests: g.requests, attempts: g.attempts}
	g.admission = &admission{ctx: ctx, accounts: g.accounts, requests: g.requests, quota: g.quota,
		counter: g.counter, priorities: g.priorities, shedder: g.shedder, balancer: g.balancer,
		attempts: g.attempts, shutdown: g.shutdown}
	g.limits = &limitQueries{ctx: ctx, accounts: g.accounts, requests: g.requests, counter: g.counter,
		shutdown: g.shutdown}
}

// Handle takes one event and appends the actions it leads to, which the caller carries out in that order.
// Now must not go back from one event to the next.
func (g *Gateway) Handle(now Instant, e Event, actions []Action) []Action {
	g.ctx.now = now
	g.ctx.actions = actions
	if !g.started {
		g.start()
	}
	g.route(e)
	actions = g.ctx.actions
	g.ctx.actions = nil
	return actions
}

// start begins the periodic work, with the first event.
func (g *Gateway) start() {
	g.started = true
	g.ctx.startedAt = g.ctx.now
	g.traffic.decayedAt = g.ctx.now
	if g.ctx.settings.ListOnRequest {
		g.ctx.emit(SubscribeEndpoints{})
	}
	g.ctx.setTimerAfter(g.ctx.sweepInterval(), g.sweep)
	g.ctx.setTimerAfter(accountExpiryPeriod, g.accounts.expire)
}

// sweep runs the periodic work.
func (g *Gateway) sweep() {
	g.ctx.setTimerAfter(g.ctx.sweepInterval(), g.sweep)
	g.counter.sweep()
	g.latency.recoverIdle()
}

// route hands an event to the owner that decides on it. HealthChecked and PeerMessage lead to nothing.
func (g *Gateway) route(e Event) {
	switch e := e.(type) {
	case EndpointList:
		g.updateEndpoints(e)
	case Arrival:
		g.admission.arrive(e, false)
	case LimitQuery:
		g.limits.query(e.arrival(0))
	case LimitAdjust:
		if e.Units > 0 {
			g.admission.arrive(e.arrival(e.Units), true)
		} else {
			g.limits.query(e.arrival(e.Units))
		}
	case AnswerStarted:
		g.requests.answerStarted(e.Request)
	case AttemptEnded:
		g.attempts.handleOutcome(e)
	case ClientLeft:
		g.requests.clientDeparted(e.Request)
	case Expedite:
		g.shutdown.expedite(e.Request)
	case Shutdown:
		g.shutdown.begin(e.By)
	case TimerFired:
		g.ctx.fireTimer(e.ID)
	case CounterAnswered:
		g.counterAnswered(e)
	}
}

// updateEndpoints applies an endpoint list and starts the statistics of new and restarted servers anew.
func (g *Gateway) updateEndpoints(e EndpointList) {
	started, forgotten := g.endpoints.update(e)
	for _, s := range started {
		g.latency.reset(s)
		g.outliers.reset(s)
		g.slowStart.reset(s)
	}
	for _, s := range forgotten {
		g.outliers.forget(s)
	}
}

// counterAnswered applies the end of a counter call, then decides on what waited for it.
func (g *Gateway) counterAnswered(e CounterAnswered) {
	a := g.counter.answered(e)
	if a == nil {
		return
	}
	counted := e.Outcome == OutcomeOK
	if counted {
		g.limits.answer(a)
	}
	g.admission.decideCounted(a, counted)
	if len(a.sync.queries) > 0 {
		g.counter.enqueue(a, true)
	}
}

// Tally is how many units a customer's tally holds, for bookkeeping. Known is false if there is no account:
// one that is dropped takes its tally along.
func (g *Gateway) Tally(id CustomerID) (units float64, known bool) {
	a, known := g.accounts.byID[id]
	if known {
		units = a.sync.tally
	}
	return units, known
}

// EjectedServers counts the ready servers that get nothing new because their attempts fail; 0 where so many
// fail that none is left out.
func (g *Gateway) EjectedServers(now Instant) int { return g.outliers.countEjectedForAll(now) }
