package dewhitch

import (
	"dewhitch/internal/warmstart"
)

// This file exports the module's state as plain values and imports it in the process that replaces this one.
// It makes no decisions on requests. Package internal/warmstart defines how far old values are trusted. The
// tags of these types, and the order of the fields of types stored as arrays, are part of a stored format.

type (
	// State is the state of a gateway at the time At. Classes and plans are indices into its settings. Rates
	// are per second and latencies in seconds. Counts decay over some seconds and are those at the time At.
	State struct {
		At                 Instant            `json:"At"`
		SentAttempts       float64            `json:"Sent"`
		EndpointRequests   float64            `json:"Wanted"` // requests that needed a server
		ThrottleRequests   float64            `json:"Tried"`
		ThrottleAccepts    float64            `json:"Good"`
		RetryBudget        float64            `json:"Budget"` // retries in the budget
		Latency            float64            `json:"Latency"`
		IdleLatency        float64            `json:"Idle"`
		MeanPriority       float64            `json:"Worth"` // mean priority of the requests
		MeasuredAt         Instant            `json:"Measured"`
		CounterCallRate    float64            `json:"CallRate"`     // rate limit of counter calls
		CounterMinLatency  float64            `json:"CallQuickest"` // lowest latency of counter calls
		ClassLatencyRatios []float64          `json:"Sizes"`        // by class: latency as a multiple of the mean
		ZoneFailureShare   []float64          `json:"Cut"`          // by zone: failed attempts, from 0 to 1
		Servers            []ServerStatistics `json:"Servers"`
		Customers          []AccountState     `json:"Customers"`
	}
	// ServerStatistics is what a gateway knows of a server since the server's last start.
	ServerStatistics struct {
		_ struct{} `cbor:",toarray"` // field names would be most of the bytes, as servers are many
		Endpoint
		Latency           float64             `json:"Latency"` // expected latency of a lone attempt, in seconds
		MeasuredAt        Instant             `json:"Measured"`
		SucceededAt       Instant             `json:"Answered"`
		SlowStartBudget   float64             `json:"Fed"` // attempts that the server may get in slow start
		SlowStartBudgetAt Instant             `json:"FedAt"`
		Failures          []FailureStatistics `json:"Verdicts"` // failures by class
	}
	// FailureStatistics holds the failures of a server for a class since its last success of the class.
	FailureStatistics struct {
		_             struct{} `cbor:",toarray"`
		Count         int      `json:"Failed"` // number of consecutive failures
		SucceededAt   Instant  `json:"Answered"`
		FirstFailedAt Instant  `json:"At"`
		EjectedUntil  Instant  `json:"Ejected"`
	}
	// AccountState is the state of a customer's account. Units are those of the customer's quota.
	AccountState struct {
		_             struct{}   `cbor:",toarray"`
		ID            CustomerID `json:"ID"`
		Plan          int        `json:"Plan"`
		Spread        int        `json:"Spread"` // number of gateways that serve the customer
		Assigned      bool       `json:"InSet"`  // this gateway serves the customer
		Window        Span       `json:"Window"`
		Level         float64    `json:"Level"`     // units in the quota's bucket
		PredictedUse  float64    `json:"Predicted"` // predicted use of the other gateways, in units
		OwnRate       float64    `json:"Own"`       // use of this gateway, in units a second
		OthersRate    float64    `json:"Others"`    // use of the other gateways, in units a second
		Demand        float64    `json:"Asked"`     // units requested at all gateways
		DemandSpan    float64    `json:"AskedIn"`   // seconds in which Demand was requested
		UpdatedAt     Instant    `json:"At"`        // time at which Level was valid
		LastTotalAt   Instant    `json:"LastTotal"`
		BlockedUntil  Instant    `json:"ListedTill"`
		LastRequestAt Instant    `json:"Seen"`
		WindowNumber  int64      `json:"Turn"`
		WindowTotal   float64    `json:"Total"` // units of all gateways in the window
		OwnInWindow   float64    `json:"Mine"`  // units of this gateway in WindowTotal
		WindowElapsed float64    `json:"Past"`  // seconds of the window that had passed at its last total
	}
)

// Export fills s with the state after the last event and reuses its slices. It exports at most maxCustomers
// accounts, because more would cost the caller more than the next process gains from them. Accounts that
// have been unused for more than two windows are omitted. It must be called between two events, on the
// goroutine that owns the gateway.
func (g *Gateway) Export(s *State, maxCustomers int) {
	g.traffic.decay()
	callRate, minLatency := g.counter.limiter.Export()
	*s = State{
		At:                 g.ctx.now,
		SentAttempts:       g.traffic.sentAttempts,
		EndpointRequests:   g.traffic.endpointRequests,
		ThrottleRequests:   g.traffic.throttleRequests,
		ThrottleAccepts:    g.traffic.throttleAccepts,
		RetryBudget:        g.retryBudget.tokens,
		Latency:            g.latency.mean,
		IdleLatency:        g.latency.idle,
		MeanPriority:       g.priorities.mean,
		MeasuredAt:         g.latency.measuredAt,
		CounterCallRate:    callRate,
		CounterMinLatency:  minLatency,
		ClassLatencyRatios: append(s.ClassLatencyRatios[:0], g.latency.classLatencyRatio...),
		ZoneFailureShare:   s.ZoneFailureShare[:0],
		Servers:            s.Servers[:0],
		Customers:          s.Customers[:0],
	}
	for zone := range g.ctx.settings.Zones {
		s.ZoneFailureShare = append(s.ZoneFailureShare, g.traffic.zoneFailures[zone])
	}
	for _, srv := range g.endpoints.servers {
		if srv.State != Removed && g.hasStatistics(srv) {
			s.Servers = append(s.Servers, srv.export())
		}
	}
	for _, a := range g.accounts.byID { // the order has no effect
		if len(s.Customers) < maxCustomers && !a.unusedForWindows(g.ctx.now) {
			s.Customers = append(s.Customers, a.export(g.ctx.settings.Plans))
		}
	}
}

// hasStatistics returns true if this gateway has statistics of a server. Of many servers, it uses only a few.
func (g *Gateway) hasStatistics(s *server) bool {
	return s.measuredAt > 0 || s.inFlight > 0 || s.hasFailures() || g.slowStart.warmth(s) < 1
}

// export returns the statistics of a server.
func (s *server) export() ServerStatistics {
	e := ServerStatistics{
		Endpoint:          s.Endpoint,
		Latency:           s.latency,
		MeasuredAt:        s.measuredAt,
		SucceededAt:       s.succeededAt,
		SlowStartBudget:   s.slowStartBudget.level,
		SlowStartBudgetAt: s.slowStartBudget.updatedAt,
	}
	for _, f := range s.failures {
		e.Failures = append(e.Failures, FailureStatistics{Count: f.consecutiveFailures, SucceededAt: f.succeededAt,
			FirstFailedAt: f.firstFailedAt, EjectedUntil: f.ejectedUntil})
	}
	return e
}

// export returns the state of an account for the process that replaces this one. Units that this process has
// not pushed yet are already deducted from the level. The counter shows them to the next process as use by
// other gateways, so they are part of the predicted use.
func (a *account) export(plans []Plan) AccountState {
	e := AccountState{
		ID:            a.id,
		Spread:        int(a.gateways),
		Assigned:      a.ceiling.assigned,
		Window:        a.window,
		Level:         a.bucket.level,
		PredictedUse:  a.bucket.predicted + a.sync.tally,
		OwnRate:       a.bucket.ownRate,
		OthersRate:    a.bucket.othersRate,
		Demand:        a.demand.units,
		DemandSpan:    a.demand.elapsed,
		UpdatedAt:     a.bucket.updatedAt,
		LastTotalAt:   a.bucket.lastTotalAt,
		BlockedUntil:  a.blockedUntil,
		LastRequestAt: a.lastRequestAt,
		WindowNumber:  a.sync.windowNumber,
		WindowTotal:   a.sync.total,
		OwnInWindow:   a.sync.confirmedOwn,
		WindowElapsed: a.demand.windowElapsed,
	}
	if a.sync.callInFlight {
		e.PredictedUse += a.sync.unitsInFlight
	}
	for i := range plans {
		if a.plan == &plans[i] {
			e.Plan = i
		}
	}
	return e
}

// Import restores the state that another process of this gateway exported. It must be called before the
// first event. It returns the numbers of restored servers and customers: 0 and 0 if s is too old or an event
// has already been handled. The values of s must be numbers and fit this gateway's settings.
func (g *Gateway) Import(now Instant, s *State) (servers, customers int) {
	age := seconds(now - s.At)
	trust := warmstart.Trust(age)
	if trust == 0 || g.started {
		return 0, 0
	}
	g.ctx.now = now
	g.ctx.startedAt = now
	g.importTraffic(s, trust)
	g.importLatency(s)
	g.importServers(s, trust)
	for i := range s.Customers {
		if e := &s.Customers[i]; warmstart.IsQuotaValid(age, seconds(e.Window)) && g.importAccount(e) {
			customers++
		}
	}
	return len(s.Servers), customers
}

// importTraffic restores the counts of requests and attempts, weighted by trust.
func (g *Gateway) importTraffic(s *State, trust float64) {
	t := g.traffic
	t.decayedAt = g.ctx.now
	t.sentAttempts = s.SentAttempts * trust
	t.endpointRequests = s.EndpointRequests * trust
	t.throttleRequests = s.ThrottleRequests * trust
	t.throttleAccepts = s.ThrottleAccepts * trust
	for zone, failures := range s.ZoneFailureShare {
		t.zoneFailures[zone] = failures * trust
	}
	g.retryBudget.tokens = min(maxRetryBudget, s.RetryBudget)
	g.priorities.mean = s.MeanPriority
	g.counter.limiter.Resume(s.CounterCallRate, s.CounterMinLatency)
}

// importLatency restores the averages over all servers.
func (g *Gateway) importLatency(s *State) {
	l := g.latency
	l.mean = s.Latency
	l.idle = s.IdleLatency
	l.measuredAt = s.MeasuredAt
	copy(l.classLatencyRatio, s.ClassLatencyRatios)
	for i, ratio := range l.classLatencyRatio {
		if ratio != 1 { // the ratio was measured
			l.classSamples[i] = importedRatioSamples
		}
	}
}

// importServers restores the statistics of the servers. Only the endpoint list decides which of them may get
// attempts: until it arrives they are draining, and a server that has restarted since is treated as new.
func (g *Gateway) importServers(s *State, trust float64) {
	entries := make([]Endpoint, len(s.Servers))
	for i, e := range s.Servers {
		entries[i] = e.Endpoint
		entries[i].State = Draining
	}
	g.updateEndpoints(EndpointList{Kind: ListDelta, Servers: entries})
	for _, e := range s.Servers {
		srv := g.endpoints.byID[e.ID]
		srv.latency = warmstart.InitialLatency(e.Latency, g.latency.mean, trust)
		srv.measuredAt = e.MeasuredAt
		srv.succeededAt = e.SucceededAt
		srv.slowStartBudget.level = min(slowStartBurst, e.SlowStartBudget)
		srv.slowStartBudget.updatedAt = max(e.SlowStartBudgetAt, s.At)
		for k, f := range e.Failures[:min(len(e.Failures), len(srv.failures))] {
			srv.failures[k] = failureRecord{succeededAt: f.SucceededAt, consecutiveFailures: f.Count,
				firstFailedAt: f.FirstFailedAt, ejectedUntil: f.EjectedUntil}
			if f.Count > 0 {
				g.outliers.suspects[srv] = true
			}
		}
	}
}

// importAccount restores a customer's account. It returns false and restores nothing if the account has
// another window length or number of gateways here. If its window has ended since, the totals of that window
// and the predicted use are not restored.
func (g *Gateway) importAccount(e *AccountState) bool {
	now := g.ctx.now
	a := g.accounts.get(Arrival{Customer: e.ID, Spread: e.Spread, FirstGateway: g.ctx.settings.Self},
		&g.ctx.settings.Plans[e.Plan])
	if a == nil {
		return false
	}
	if a.window != e.Window || a.gateways != float64(e.Spread) {
		g.accounts.drop(a)
		return false
	}
	a.ceiling.assigned = e.Assigned
	a.lastRequestAt = min(e.LastRequestAt, now)
	a.blockedUntil = min(e.BlockedUntil, now+Instant(a.window))
	a.bucket.level = min(e.Level, a.plan.Burst)
	a.bucket.ownRate = e.OwnRate
	a.bucket.othersRate = e.OthersRate
	a.bucket.updatedAt = min(e.UpdatedAt, now)
	a.bucket.lastTotalAt = min(e.LastTotalAt, now)
	a.demand.units = e.Demand
	a.demand.elapsed = e.DemandSpan
	if a.sync.windowNumber == e.WindowNumber {
		a.sync.total = e.WindowTotal
		a.sync.confirmedOwn = e.OwnInWindow
		a.demand.windowElapsed = e.WindowElapsed
		a.bucket.predicted = e.PredictedUse
	}
	return true
}
