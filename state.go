package dewhitch

import (
	"dewhitch/internal/warm"
)

// This file gives the module's state out as plain values, and takes them in at the start of another process. It decides
// nothing on requests; how far old values are believed is internal/warm's.

type (
	// Learnt is what a gateway has learnt by an instant. Classes and plans are indices into its settings.
	Learnt struct {
		At           Instant          `json:"At"`
		Sent         float64          `json:"Sent"`
		Wanted       float64          `json:"Wanted"`
		Tried        float64          `json:"Tried"`
		Good         float64          `json:"Good"`
		Budget       float64          `json:"Budget"`
		Latency      float64          `json:"Latency"`
		Idle         float64          `json:"Idle"`
		Worth        float64          `json:"Worth"`
		Measured     Instant          `json:"Measured"`
		CallRate     float64          `json:"CallRate"`     // of the counter
		CallQuickest float64          `json:"CallQuickest"` // of the counter
		Sizes        []float64        `json:"Sizes"`
		Cut          []float64        `json:"Cut"` // by zone
		Servers      []LearntServer   `json:"Servers"`
		Customers    []LearntCustomer `json:"Customers"`
	}
	// LearntServer is what it has learnt of a server since that one's last start.
	LearntServer struct {
		_ struct{} `cbor:",toarray"` // there are many, and their fields' names would be most of them
		ServerEntry
		Latency  float64         `json:"Latency"`
		Measured Instant         `json:"Measured"`
		Answered Instant         `json:"Answered"`
		Fed      float64         `json:"Fed"` // budget of a cold one
		FedAt    Instant         `json:"FedAt"`
		Verdicts []LearntVerdict `json:"Verdicts"` // by class
	}
	// LearntVerdict is what speaks against a server for a class.
	LearntVerdict struct {
		_        struct{} `cbor:",toarray"`
		Failed   int      `json:"Failed"`
		Answered Instant  `json:"Answered"`
		At       Instant  `json:"At"`
		Ejected  Instant  `json:"Ejected"`
	}
	// LearntCustomer is a customer's account.
	LearntCustomer struct {
		_          struct{}   `cbor:",toarray"`
		ID         CustomerID `json:"ID"`
		Plan       int        `json:"Plan"`
		Spread     int        `json:"Spread"`
		InSet      bool       `json:"InSet"`
		Window     Span       `json:"Window"`
		Level      float64    `json:"Level"`
		Predicted  float64    `json:"Predicted"`
		Own        float64    `json:"Own"`
		Others     float64    `json:"Others"`
		Asked      float64    `json:"Asked"`
		AskedIn    float64    `json:"AskedIn"`
		At         Instant    `json:"At"`
		LastTotal  Instant    `json:"LastTotal"`
		ListedTill Instant    `json:"ListedTill"`
		Seen       Instant    `json:"Seen"`
		Turn       int64      `json:"Turn"`
		Total      float64    `json:"Total"`
		Mine       float64    `json:"Mine"`
		Past       float64    `json:"Past"`
	}
)

// Export fills s, whose slices are used again, with the state by the last event, and with most customers at most: more
// of them cost the caller more than their replacement gains. Accounts that stand as new ones would are left out.
func (g *Gateway) Export(s *Learnt, most int) {
	g.leak()
	rate, quickest := g.calls.Learnt()
	*s = Learnt{At: g.now, Sent: g.sent, Wanted: g.wanted, Tried: g.tried, Good: g.good, Budget: g.budget,
		Latency: g.latency, Idle: g.idle, Worth: g.worth, Measured: g.measured, CallRate: rate, CallQuickest: quickest,
		Sizes: append(s.Sizes[:0], g.sizes...), Cut: s.Cut[:0], Servers: s.Servers[:0], Customers: s.Customers[:0]}
	for zone := range g.set.Zones {
		s.Cut = append(s.Cut, g.cut[zone])
	}
	for _, v := range g.servers {
		if v.State == Gone || !g.knows(v) {
			continue
		}
		e := LearntServer{ServerEntry: v.ServerEntry, Latency: v.latency, Measured: v.measured, Answered: v.answered,
			Fed: v.budget.level, FedAt: v.budget.at}
		for _, d := range v.verdicts {
			e.Verdicts = append(e.Verdicts, LearntVerdict{Failed: d.failed, Answered: d.answered, At: d.at, Ejected: d.ejected})
		}
		s.Servers = append(s.Servers, e)
	}
	for _, c := range g.customers { // in any order
		if len(s.Customers) >= most || g.now-c.seen > Instant(2*c.window) {
			continue
		}
		e := LearntCustomer{ID: c.id, Spread: int(c.spread), InSet: c.inSet, Window: c.window, Level: c.level,
			Predicted: c.predicted + c.tally, Own: c.own, Others: c.others, Asked: c.asked, AskedIn: c.askedIn, At: c.at,
			LastTotal: c.lastTotal, ListedTill: c.listedTill, Seen: c.seen, Turn: c.turn, Total: c.total, Mine: c.mine,
			Past: c.past}
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
func (g *Gateway) Import(now Instant, s *Learnt) (servers, customers int) {
	age := seconds(now - s.At)
	trust := warm.Trust(age)
	if trust == 0 || g.started {
		return 0, 0
	}
	g.now, g.startAt, g.leaked = now, now, now
	g.sent, g.wanted, g.tried, g.good = s.Sent*trust, s.Wanted*trust, s.Tried*trust, s.Good*trust
	g.budget, g.latency, g.idle, g.worth = min(retryBurst, s.Budget), s.Latency, s.Idle, s.Worth
	g.measured = s.Measured
	g.calls.Resume(s.CallRate, s.CallQuickest)
	copy(g.sizes, s.Sizes)
	for i, size := range g.sizes {
		if size != 1 { // it has shown its size
			g.sized[i] = 4 / latencyWeight
		}
	}
	for zone, cut := range s.Cut {
		g.cut[zone] = cut * trust
	}
	// Danger: of the servers only the list says what may be sent to. Until it does, these take nothing new, and one that
	// has started anew since is a new one to it.
	entries := make([]ServerEntry, len(s.Servers))
	for i, v := range s.Servers {
		entries[i] = v.ServerEntry
		entries[i].State = Draining
	}
	g.list(ServerList{Kind: ListDelta, Servers: entries})
	for _, e := range s.Servers {
		v := g.byID[e.ID]
		v.latency = warm.Latency(e.Latency, g.latency, trust)
		v.measured, v.answered = e.Measured, e.Answered
		v.budget = bucket{level: min(1, e.Fed), at: max(e.FedAt, s.At)}
		for k, d := range e.Verdicts[:min(len(e.Verdicts), len(v.verdicts))] {
			v.verdicts[k] = verdict{answered: d.Answered, failed: d.Failed, at: d.At, ejected: d.Ejected}
			if d.Failed > 0 {
				g.suspects[v] = true
			}
		}
	}
	for i := range s.Customers {
		if e := &s.Customers[i]; warm.Quota(age, seconds(e.Window)) {
			customers += g.account(e)
		}
	}
	return len(s.Servers), customers
}

// account takes over a customer's, if it has the same window here; 1 if it did.
func (g *Gateway) account(e *LearntCustomer) int {
	c := g.customer(Arrival{Customer: e.ID, Spread: e.Spread, First: g.set.Self}, &g.set.Plans[e.Plan])
	if c.window != e.Window || c.spread != float64(e.Spread) {
		delete(g.customers, e.ID)
		return 0
	}
	c.inSet, c.seen, c.listedTill = e.InSet, min(e.Seen, g.now), min(e.ListedTill, g.now+Instant(c.window))
	c.level, c.own, c.others = min(e.Level, c.plan.Burst), e.Own, e.Others
	c.at, c.lastTotal = min(e.At, g.now), min(e.LastTotal, g.now)
	c.asked, c.askedIn = e.Asked, e.AskedIn
	if c.turn == e.Turn { // else the window has turned, and its count is a new one
		c.total, c.mine, c.past, c.predicted = e.Total, e.Mine, e.Past, e.Predicted
	}
	return 1
}

// Avoided counts the ready servers that this gateway sends nothing new for what speaks against them; as with pick, none
// where that would be more than the module leaves out.
func (g *Gateway) Avoided(now Instant) int {
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
