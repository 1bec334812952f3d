package dewhitch

import (
	"dewhitch/internal/warmstart"
)

// This file exports the module's state as plain values and imports it in the process that replaces this one.
// It decides nothing on requests; how far old values are trusted is the rule of internal/warmstart. The tags
// of these types, and the order of the fields in those that are stored as arrays, are a stored form.

type (
	// State is what a gateway knew at an instant. Classes and plans are indices into its settings. Rates are per
	// second, latencies in seconds; counts decay over some seconds, as of At.
	State struct {
		At                 Instant            `json:"At"`
		SentAttempts       float64            `json:"Sent"`
		EndpointRequests   float64            `json:"Wanted"` // requests that asked the balancer for a server
		ThrottleRequests   float64            `json:"Tried"`
		ThrottleAccepts    float64            `json:"Good"`
		RetryBudget        float64            `json:"Budget"` // retries
		Latency            float64            `json:"Latency"`
		IdleLatency        float64            `json:"Idle"`
		MeanPriority       float64            `json:"Worth"` // mean priority of requests
		MeasuredAt         Instant            `json:"Measured"`
		CounterCallRate    float64            `json:"CallRate"`     // of the counter
		CounterMinLatency  float64            `json:"CallQuickest"` // of the counter
		ClassLatencyRatios []float64          `json:"Sizes"`        // by class: its latency, by the mean
		ZoneFailureShare   []float64          `json:"Cut"`          // by zone: from 0 to 1
		Servers            []ServerStatistics `json:"Servers"`
		Customers          []AccountState     `json:"Customers"`
	}
	// ServerStatistics is what it knew of a server since the server's last start.
	ServerStatistics struct {
		_ struct{} `cbor:",toarray"` // there are many, and their fields' names would be most of the bytes
		Endpoint
		Latency           float64             `json:"Latency"` // seconds
		MeasuredAt        Instant             `json:"Measured"`
		SucceededAt       Instant             `json:"Answered"`
		SlowStartBudget   float64             `json:"Fed"` // attempts
		SlowStartBudgetAt Instant             `json:"FedAt"`
		Failures          []FailureStatistics `json:"Verdicts"` // by class
	}
	// FailureStatistics is what speaks against a server for a class.
	FailureStatistics struct {
		_             struct{} `cbor:",toarray"`
		Count         int      `json:"Failed"` // consecutive failures
		SucceededAt   Instant  `json:"Answered"`
		FirstFailedAt Instant  `json:"At"`
		EjectedUntil  Instant  `json:"Ejected"`
	}
	// AccountState is a customer's account. Units are those of the customer's quota.
	AccountState struct {
		_             struct{}   `cbor:",toarray"`
		ID            CustomerID `json:"ID"`
		Plan          int        `json:"Plan"`
		Spread        int        `json:"Spread"` // gateways that serve the customer
		Assigned      bool       `json:"InSet"`  // this gateway is one of them
		Window        Span       `json:"Window"`
		Level         float64    `json:"Level"`     // units
		PredictedUse  float64    `json:"Predicted"` // units of the other gateways' use, as predicted
		OwnRate       float64    `json:"Own"`       // units a second
		OthersRate    float64    `json:"Others"`    // units a second
		Demand        float64    `json:"Asked"`     // units
		DemandSpan    float64    `json:"AskedIn"`   // seconds
		UpdatedAt     Instant    `json:"At"`        // of Level
		LastTotalAt   Instant    `json:"LastTotal"`
		BlockedUntil  Instant    `json:"ListedTill"`
		LastRequestAt Instant    `json:"Seen"`
		WindowNumber  int64      `json:"Turn"`
		WindowTotal   float64    `json:"Total"` // units
		OwnInWindow   float64    `json:"Mine"`  // units of this gateway in WindowTotal
		WindowElapsed float64    `json:"Past"`  // seconds of the window at its last total
	}
)

// Export fills s, whose slices are used again, with the state after the last event, and with maxCustomers at
// most: more of them cost the caller more than their replacement gains. Accounts that are as new ones would
// be are left out. It is called between two events, on the goroutine that owns the gateway.
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
	for _, v := range g.endpoints.servers {
		if v.State != Removed && g.hasStatistics(v) {
			s.Servers = append(s.Servers, v.export())
		}
	}
	for _, a := range g.accounts.byID { // in any order
		if len(s.Customers) < maxCustomers && !a.unusedForWindows(g.ctx.now) {
			s.Customers = append(s.Customers, a.export(g.ctx.settings.Plans))
		}
	}
}

// hasStatistics tells whether this gateway knows anything of a server: of very many it uses few.
func (g *Gateway) hasStatistics(s *server) bool {
	return s.measuredAt > 0 || s.inFlight > 0 || s.hasFailures() || g.slowStart.warmth(s) < 1
}

// export is what is known of a server.
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
		e.Failures = append(e.Failures, FailureStatistics{Count: f.count, SucceededAt: f.succeededAt,
			FirstFailedAt: f.firstAt, EjectedUntil: f.ejectedUntil})
	}
	return e
}

// export is an account for the process that replaces this one. What this one has still to push is off the
// level already, and will come to the other by the counter, as use of others.
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

// Import takes over what another process of this gateway knew, before the first event, and returns how many
// servers and customers it took: 0 and 0 if s is too old or an event has come already. The values must be
// numbers, and of this gateway's settings.
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
		if e := &s.Customers[i]; warmstart.Quota(age, seconds(e.Window)) && g.importAccount(e) {
			customers++
		}
	}
	return len(s.Servers), customers
}

// importTraffic takes over the counts of requests and attempts, as far as they are trusted.
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

// importLatency takes over the averages over all servers.
func (g *Gateway) importLatency(s *State) {
	l := g.latency
	l.mean = s.Latency
	l.idle = s.IdleLatency
	l.measuredAt = s.MeasuredAt
	copy(l.classLatencyRatio, s.ClassLatencyRatios)
	for i, size := range l.classLatencyRatio {
		if size != 1 { // it was measured
			l.classSamples[i] = importedSizeSamples
		}
	}
}

// importServers takes over what was known of the servers. Only the endpoint list says which of them may be
// sent to: until it does, they are draining, and one that has restarted since is a new one to it.
func (g *Gateway) importServers(s *State, trust float64) {
	entries := make([]Endpoint, len(s.Servers))
	for i, e := range s.Servers {
		entries[i] = e.Endpoint
		entries[i].State = Draining
	}
	g.updateEndpoints(EndpointList{Kind: ListDelta, Servers: entries})
	for _, e := range s.Servers {
		v := g.endpoints.byID[e.ID]
		v.latency = warmstart.Latency(e.Latency, g.latency.mean, trust)
		v.measuredAt = e.MeasuredAt
		v.succeededAt = e.SucceededAt
		v.slowStartBudget.level = min(slowStartBurst, e.SlowStartBudget)
		v.slowStartBudget.updatedAt = max(e.SlowStartBudgetAt, s.At)
		for k, f := range e.Failures[:min(len(e.Failures), len(v.failures))] {
			v.failures[k] = failureRecord{succeededAt: f.SucceededAt, count: f.Count, firstAt: f.FirstFailedAt,
				ejectedUntil: f.EjectedUntil}
			if f.Count > 0 {
				g.outliers.suspects[v] = true
			}
		}
	}
}

// importAccount takes over a customer's account, if it has the same windows and gateways here, and tells
// whether it did. Of a window that has ended since, nothing is taken but the level.
func (g *Gateway) importAccount(e *AccountState) bool {
	now := g.ctx.now
	a := g.accounts.get(Arrival{Customer: e.ID, Spread: e.Spread, FirstGateway: g.ctx.settings.Self},
		&g.ctx.settings.Plans[e.Plan])
	if a.window != e.Window || a.gateways != float64(e.Spread) {
		delete(g.accounts.byID, e.ID)
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
