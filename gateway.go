package dewhitch

import (
	"math/rand/v2"

	"dewhitch/internal/ratelimit"
)

// Gateway is the decision module of one gateway: a state machine that Handle advances. It holds the
// components that make the decisions and routes each event to one of them. A component uses only the
// components above it in this list, and changes only its own state and the state that its comments name. One
// goroutine owns a Gateway; its methods must not run concurrently.
type Gateway struct {
	ctx     *stepContext
	started bool // true once Handle has received its first event

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

// New returns a gateway without any state. The seed initializes its random choices: the same settings, seed
// and events lead to the same actions. New returns the error of Settings.Check.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	ctx := &stepContext{settings: s, rng: rand.New(rand.NewPCG(seed, 1)),
		timers: timerTable{callbacks: map[TimerID]func(){}}}
	g := &Gateway{ctx: ctx}
	g.newServerComponents()
	g.newRequestComponents()
	return g, nil
}

// newServerComponents creates the components that keep statistics of the servers and choose among them.
func (g *Gateway) newServerComponents() {
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

// newRequestComponents creates the components that hold requests and accounts and decide on requests.
func (g *Gateway) newRequestComponents() {
	ctx, set := g.ctx, &g.ctx.settings
	g.requests = &requestTable{ctx: ctx, byID: map[RequestID]*request{}}
	g.accounts = newAccounts(ctx)
	g.counter = &counterSync{ctx: ctx, accountByCall: map[string]*account{},
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

// Handle processes one event, appends the resulting actions to actions and returns the extended slice; the
// caller carries them out in that order. Now must not go back from one event to the next.
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

// start begins the periodic work. Handle calls it before it routes the first event.
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

// sweep runs the periodic work and schedules its next run.
func (g *Gateway) sweep() {
	g.ctx.setTimerAfter(g.ctx.sweepInterval(), g.sweep)
	g.counter.sweep()
	g.latency.recoverIdle()
}

// route passes an event to the component that handles it. HealthChecked and PeerMessage are ignored.
func (g *Gateway) route(e Event) {
	switch e := e.(type) {
	case EndpointList:
		g.updateEndpoints(e)
	case Arrival:
		g.admission.handleArrival(e, false)
	case LimitQuery:
		g.limits.enqueue(e.arrival(0))
	case LimitAdjust:
		if e.Units > 0 {
			g.admission.handleArrival(e.arrival(e.Units), true)
		} else {
			g.limits.enqueue(e.arrival(e.Units))
		}
	case AnswerStarted:
		g.attempts.handleAnswerStarted(e)
	case AttemptEnded:
		g.attempts.handleOutcome(e)
	case ClientDeparted:
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

// updateEndpoints applies an endpoint list and resets the statistics of servers that are new or have
// restarted.
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

// counterAnswered applies the outcome of a counter call, then decides on the requests that waited for it.
func (g *Gateway) counterAnswered(e CounterAnswered) {
	a := g.counter.handleAnswer(e)
	if a == nil {
		return
	}
	counted := e.Outcome == OutcomeOK
	if counted {
		g.limits.answerQueries(a)
	}
	g.admission.decideCounted(a, counted)
	if len(a.sync.waitingQueries) > 0 {
		g.counter.enqueue(a, true)
	}
}

// Tally returns the number of units on a customer's tally, for bookkeeping. Known is false if the customer
// has no account: dropping an account discards its tally.
func (g *Gateway) Tally(id CustomerID) (units float64, known bool) {
	a, known := g.accounts.byID[id]
	if known {
		units = a.sync.tally
	}
	return units, known
}

// EjectedServers returns the number of ready servers that get no new attempts because their attempts fail, or
// 0 if so many servers fail that none is excluded.
func (g *Gateway) EjectedServers(now Instant) int { return g.outliers.countEjectedForAll(now) }
