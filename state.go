package dewhitch

import (
	"dewhitch/internal/warmstart"
)

// This file gives the module's state out as plain values, and takes them in at the start of another process. It decides
// nothing on requests; how far old values are believed is internal/warm's.

type (
	// State is what a gateway has learnt by an instant. Classes and plans are indices into its settings.
	State struct {
		At                Instant            `json:"At"`
		SentAttempts      float64            `json:"Sent"`
		EndpointRequests  float64            `json:"Wanted"`
		ThrottleRequests  float64            `json:"Tried"`
		ThrottleAccepts   float64            `json:"Good"`
		RetryBudget       float64            `json:"Budget"`
		Latency           float64            `json:"Latency"`
		IdleLatency       float64            `json:"Idle"`
		MeanWeight        float64            `json:"Worth"`
		Measured          Instant            `json:"Measured"`
		CounterCallRate   float64            `json:"CallRate"`     // of the counter
		CounterMinLatency float64            `json:"CallQuickest"` // of the counter
		ClassSizes        []float64          `json:"Sizes"`
		ZoneFailureShare  []float64          `json:"Cut"` // by zone
		Servers           []ServerStatistics `json:"Servers"`
		Customers         []AccountState     `json:"Customers"`
	}
	// ServerStatistics is what it has learnt of a server since that one's last start.
	ServerStatistics struct {
		_ struct{} `cbor:",toarray"` // there are many, and their fields' names would be most of them
		Endpoint
		Latency           float64             `json:"Latency"`
		Measured          Instant             `json:"Measured"`
		Answered          Instant             `json:"Answered"`
		SlowStartBudget   float64             `json:"Fed"` // budget of a cold one
		SlowStartBudgetAt Instant             `json:"FedAt"`
		Failures          []FailureStatistics `json:"Verdicts"` // by class
	}
	// FailureStatistics is what speaks against a server for a class.
	FailureStatistics struct {
		_            struct{} `cbor:",toarray"`
		Count        int      `json:"Failed"`
		AnsweredAt   Instant  `json:"Answered"`
		FirstAt      Instant  `json:"At"`
		EjectedUntil Instant  `json:"Ejected"`
	}
	// AccountState is a customer's account.
	AccountState struct {
		_             struct{}   `cbor:",toarray"`
		ID            CustomerID `json:"ID"`
		Plan          int        `json:"Plan"`
		Spread        int        `json:"Spread"`
		InSet         bool       `json:"InSet"`
		Window        Span       `json:"Window"`
		Level         float64    `json:"Level"`
		Predicted     float64    `json:"Predicted"`
		OwnRate       float64    `json:"Own"`
		OthersRate    float64    `json:"Others"`
		Demand        float64    `json:"Asked"`
		DemandSpan    float64    `json:"AskedIn"`
		UpdatedAt     Instant    `json:"At"`
		LastTotalAt   Instant    `json:"LastTotal"`
		BlockedUntil  Instant    `json:"ListedTill"`
		LastRequestAt Instant    `json:"Seen"`
		WindowNumber  int64      `json:"Turn"`
		WindowTotal   float64    `json:"Total"`
		OwnInWindow   float64    `json:"Mine"`
		WindowElapsed float64    `json:"Past"`
	}
)

// Export fills s, whose slices are used again, with the state by the last event, and with most customers at most: more
// of them cost the caller more than their replacement gains. Accounts that stand as new ones would are left out.
func (g *Gateway) Export(s *State, most int) {
	g.leak()
	rate, quickest := g.calls.Export()
	*s = State{At: g.now, SentAttempts: g.sent, EndpointRequests: g.wanted, ThrottleRequests: g.tried, ThrottleAccepts: g.good, RetryBudget: g.budget,
		Latency: g.latency, IdleLatency: g.idle, MeanWeight: g.worth, Measured: g.measured, CounterCallRate: rate, CounterMinLatency: quickest,
		ClassSizes: append(s.ClassSizes[:0], g.sizes...), ZoneFailureShare: s.ZoneFailureShare[:0], Servers: s.Servers[:0], Customers: s.Customers[:0]}
	for zone := range g.set.Zones {
		s.ZoneFailureShare = append(s.ZoneFailureShare, g.cut[zone])
	}
	for _, v := range g.servers {
		if v.State == Removed || !g.knows(v) {
			continue
		}
		e := ServerStatistics{Endpoint: v.Endpoint, Latency: v.latency, Measured: v.measured, Answered: v.answered,
			SlowStartBudget: v.budget.level, SlowStartBudgetAt: v.budget.at}
		for _, d := range v.verdicts {
			e.Failures = append(e.Failures, FailureStatistics{Count: d.failed, AnsweredAt: d.answered, FirstAt: d.at, EjectedUntil: d.ejected})
		}
		s.Servers = append(s.Servers, e)
	}
	for _, c := range g.customers { // in any order
		if len(s.Customers) >= most || g.now-c.seen > Instant(2*c.window) {
			continue
		}
		e := AccountState{ID: c.id, Spread: int(c.spread), InSet: c.inSet, Window: c.window, Level: c.level,
			Predicted: c.predicted + c.tally, OwnRate: c.own, OthersRate: c.others, Demand: c.asked, DemandSpan: c.askedIn, UpdatedAt: c.at,
			LastTotalAt: c.lastTotal, BlockedUntil: c.listedTill, LastRequestAt: c.seen, WindowNumber: c.turn, WindowTotal: c.total, OwnInWindow: c.mine,
			WindowElapsed: c.past}
		// What this process has still to push is off the store already, and comes back to its successor as use of others.
		if c.calling {
			e.Predicted += c.adding
		}
		for i := range g.set.Plans {
			if c.plan == &g.set.Plans[i] {
				e.Plan = i
			}
		}
		s.Customers = append(s.Customers, e)
	}
}

// knows tells whether this gateway has learnt anything of a server: of very many it uses few.
func (g *Gateway) knows(s *server) bool {
	return s.measured > 0 || s.out > 0 || !s.clear() || g.warmth(s) < 1
}

// Import takes over what another process of this gateway had learnt, before the first event, and tells how many servers
// and customers it took; 0 and 0 if s is too old. The values must be numbers, and of this gateway's settings.
func (g *Gateway) Import(now Instant, s *State) (servers, customers int) {
	age := seconds(now - s.At)
	trust := warmstart.Trust(age)
	if trust == 0 || g.started {
		return 0, 0
	}
	g.now, g.startAt, g.leaked = now, now, now
	g.sent, g.wanted, g.tried, g.good = s.SentAttempts*trust, s.EndpointRequests*trust, s.ThrottleRequests*trust, s.ThrottleAccepts*trust
	g.budget, g.latency, g.idle, g.worth = min(retryBurst, s.RetryBudget), s.Latency, s.IdleLatency, s.MeanWeight
	g.measured = s.Measured
	g.calls.Resume(s.CounterCallRate, s.CounterMinLatency)
	copy(g.sizes, s.ClassSizes)
	for i, size := range g.sizes {
		if size != 1 { // it has shown its size
			g.sized[i] = 4 / latencyWeight
		}
	}
	for zone, cut := range s.ZoneFailureShare {
		g.cut[zone] = cut * trust
	}
	// Danger: of the servers only the list says what may be sent to. Until it does, these take nothing new, and one that
	// has started anew since is a new one to it.
	entries := make([]Endpoint, len(s.Servers))
	for i, v := range s.Servers {
		entries[i] = v.Endpoint
		entries[i].State = Draining
	}
	g.list(EndpointList{Kind: ListDelta, Servers: entries})
	for _, e := range s.Servers {
		v := g.byID[e.ID]
		v.latency = warmstart.Latency(e.Latency, g.latency, trust)
		v.measured, v.answered = e.Measured, e.Answered
		v.budget = bucket{level: min(1, e.SlowStartBudget), at: max(e.SlowStartBudgetAt, s.At)}
		for k, d := range e.Failures[:min(len(e.Failures), len(v.verdicts))] {
			v.verdicts[k] = verdict{answered: d.AnsweredAt, failed: d.Count, at: d.FirstAt, ejected: d.EjectedUntil}
			if d.Count > 0 {
				g.suspects[v] = true
			}
		}
	}
	for i := range s.Customers {
		if e := &s.Customers[i]; warmstart.Quota(age, seconds(e.Window)) {
			customers += g.account(e)
		}
	}
	return len(s.Servers), customers
}

// account takes over a customer's, if it has the same window here; 1 if it did.
func (g *Gateway) account(e *AccountState) int {
	c := g.customer(Arrival{Customer: e.ID, Spread: e.Spread, First: g.set.Self}, &g.set.Plans[e.Plan])
	if c.window != e.Window || c.spread != float64(e.Spread) {
		delete(g.customers, e.ID)
		return 0
	}
	c.inSet, c.seen, c.listedTill = e.InSet, min(e.LastRequestAt, g.now), min(e.BlockedUntil, g.now+Instant(c.window))
	c.level, c.own, c.others = min(e.Level, c.plan.Burst), e.OwnRate, e.OthersRate
	c.at, c.lastTotal = min(e.UpdatedAt, g.now), min(e.LastTotalAt, g.now)
	c.asked, c.askedIn = e.Demand, e.DemandSpan
	if c.turn == e.WindowNumber { // else the window has turned, and its count is a new one
		c.total, c.mine, c.past, c.predicted = e.WindowTotal, e.OwnInWindow, e.WindowElapsed, e.Predicted
	}
	return 1
}

// EjectedServers counts the ready servers that this gateway sends nothing new for what speaks against them; as with pick, none
// where that would be more than the module leaves out.
func (g *Gateway) EjectedServers(now Instant) int {
	out := 0
	for s := range g.suspects { // in any order
		if s.State != Ready {
			continue
		}
		for _, v := range s.verdicts {
			if v.failed > 0 && now < v.ejected && s.answered <= v.at {
				out++
				break
			}
		}
	}
	if float64(out) > maxEjected*float64(len(g.ready)) {
		return 0
	}
	return out
}
