package dewhitch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	dw "dewhitch"
)

// world feeds several gateways seeded random legal events and checks the rules from outside, by its own books.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	set   dw.Settings
	now   dw.Instant
	gates []*gate
	store map[dw.CustomerID]*store // the true ceilings
	count map[string]float64
	fresh int
}

type store struct {
	level float64
	at    dw.Instant
}

type gate struct {
	*dw.Gateway
	self    int
	state   map[dw.ServerID]dw.EndpointState
	told    map[dw.ServerID]dw.Instant // when it was told of a drain
	servers map[dw.ServerID]dw.Endpoint
	reqs    map[dw.RequestID]*req
	due     []due
	tally   map[dw.CustomerID]float64 // by what it said
	calls   map[string]dw.CounterAdd
}

type due struct {
	at dw.Instant
	e  dw.Event
}

type req struct {
	arrival  dw.Arrival
	due      dw.Instant
	attempts []*try
	finished bool
	owed     bool
	final    int
}

type try struct {
	server  dw.ServerID
	at      dw.Instant
	ended   bool
	outcome dw.Outcome
}

func (a *try) mayHaveRun() bool {
	switch a.outcome {
	case dw.OutcomeRejected, dw.OutcomeConnectFailed, dw.OutcomeNotSent:
		return !a.ended
	}
	return true
}

func (w *world) schedule(g *gate, after dw.Span, e dw.Event) {
	g.due = append(g.due, due{w.now + dw.Instant(after), e})
}

func (w *world) handle(g *gate, e dw.Event) {
	acts := g.Handle(w.now, e, nil)
	if e, ok := e.(dw.CounterAnswered); ok { // before what it led to, which may be another call
		if e.Outcome != dw.OutcomeOK && e.Outcome != dw.OutcomeTimeout {
			g.tally[g.calls[e.Name].Customer] += g.calls[e.Name].Add
		}
	}
	for _, a := range acts {
		w.act(g, a)
	}
	for c, said := range g.tally {
		if len(acts) == 0 {
			break
		}
		if held, known := g.Tally(c); known && math.Abs(held-said) > 1e-6 {
			w.t.Fatalf("customer %d has %v on the tally, after %v was drawn and not told", c, held, said)
		} else if !known {
			delete(g.tally, c)
		}
	}
}

func (w *world) act(g *gate, a dw.Action) {
	t := w.t
	final := func(id dw.RequestID, refused bool) {
		r := g.reqs[id]
		if r == nil || r.final > 0 {
			t.Fatalf("rule 1: %T for %s, which is unknown or had a final answer", a, id)
		}
		r.final++
		if r.finished {
			return
		}
		r.finished, r.owed = true, false
		class := w.set.Classes[r.arrival.Class]
		for _, k := range r.attempts {
			if refused && k.mayHaveRun() && (class.Idempotency == dw.NotIdempotent ||
				class.Idempotency == dw.IdempotentByKey && class.DedupScope != dw.DedupAll) {
				t.Fatalf("rule 2: %s refused though an attempt may have run", id)
			}
		}
	}
	switch a := a.(type) {
	case dw.SetTimer:
		w.schedule(g, dw.Span(max(a.At-w.now, dw.Instant(w.set.Tick))), dw.TimerFired{ID: a.ID})
	case dw.Reject:
		final(a.Request, true)
	case dw.Fail:
		final(a.Request, false)
	case dw.TallyChanged:
		g.tally[a.Customer] += a.Units
	case dw.CounterAdd:
		if said := g.tally[a.Customer]; math.Abs(said-a.Add) > 1e-6 {
			t.Fatalf("customer %d: %v is told, after %v was drawn", a.Customer, a.Add, said)
		}
		g.tally[a.Customer], g.calls[a.Name] = 0, a
		outcome, total := dw.OutcomeOK, 0.0
		switch w.rng.IntN(10) {
		case 0:
			outcome = dw.OutcomeRejected
		case 1: // timed out, and counted or not
			outcome = dw.OutcomeTimeout
			w.count[a.Name] += a.Add * float64(w.rng.IntN(2))
		case 2: // forgotten
			w.count[a.Name] = 0
			fallthrough
		default:
			w.count[a.Name] += a.Add
			total = w.count[a.Name]
		}
		w.schedule(g, 1+dw.Span(w.rng.Int64N(int64(w.set.CounterTimeout))),
			dw.CounterAnswered{Name: a.Name, Outcome: outcome, Total: total})
	case dw.CancelAttempt:
		r := g.reqs[a.Request]
		if r == nil || a.Attempt >= len(r.attempts) || !w.set.MayCancel {
			t.Fatalf("illegal cancel %+v", a)
		}
		if k := r.attempts[a.Attempt]; !k.ended {
			w.end(g, r, a.Attempt, dw.OutcomeCancelled)
		}
	case dw.StartAttempt:
		w.send(g, a)
	default:
		t.Fatalf("unexpected action %T", a)
	}
}

func (w *world) send(g *gate, a dw.StartAttempt) {
	t, r := w.t, g.reqs[a.Request]
	if r == nil || r.finished || r.final > 0 {
		t.Fatalf("rule 1: %s sent after its end", a.Request)
	}
	s, known := g.servers[a.Server]
	if !known {
		t.Fatalf("server %d was never listed", a.Server)
	}
	if g.state[a.Server] != dw.Ready && w.now-g.told[a.Server] > dw.Instant(w.set.DrainGrace) {
		t.Fatalf("rule 3: sent to %d, %d ns after its drain", a.Server, w.now-g.told[a.Server])
	}
	class, plan := w.set.Classes[r.arrival.Class], w.set.Plans[r.arrival.Plan]
	out := 0
	for _, k := range r.attempts {
		if !k.ended {
			out++
		}
		if !k.mayHaveRun() {
			continue
		}
		first := g.servers[k.server]
		switch {
		case class.Idempotency == dw.NotIdempotent:
			t.Fatalf("rule 2: unsafe %s sent again though it may have run", a.Request)
		case class.Idempotency == dw.IdempotentByKey && (class.DedupScope == dw.DedupCell && first.Cell != s.Cell ||
			class.DedupScope == dw.DedupZone && first.Zone != s.Zone || a.StartWithin <= 0 || w.now+dw.Instant(a.StartWithin)-k.at > dw.Instant(class.DedupWindow)):
			t.Fatalf("rule 2: keyed %s sent outside its group or window", a.Request)
		}
	}
	if out > 0 && !w.set.ParallelAttempts {
		t.Fatalf("rule 2: %s has two attempts out", a.Request)
	}
	if len(r.attempts) >= w.set.MaxAttempts {
		t.Fatalf("%s has too many attempts", a.Request)
	}
	if len(r.attempts) == 0 && plan.CeilingRate > 0 {
		st := w.store[r.arrival.Customer]
		st.level = min(plan.CeilingBurst, st.level+plan.CeilingRate*float64(w.now-st.at)/1e9) - r.arrival.Units
		st.at = w.now
		if st.level < -plan.Tolerance-1e-6 {
			t.Fatalf("rule 5: the ceiling's store stands at %.2f", st.level)
		}
	}
	r.attempts = append(r.attempts, &try{server: a.Server, at: w.now})
	limit := dw.Span(r.due - w.now)
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	took, outcome := dw.Span(w.rng.ExpFloat64()*80e6)+1e6, dw.OutcomeOK
	if a.Server%4 == 0 && w.now/1e9%7 < 3 { // hangs now and then
		took = 1 << 40
	} else if w.rng.IntN(8) == 0 {
		outcome = []dw.Outcome{dw.OutcomeError, dw.OutcomeRejected, dw.OutcomeConnectFailed, dw.OutcomeReset,
			dw.OutcomeNotSent}[w.rng.IntN(5)]
	}
	if took > limit {
		took, outcome = limit, dw.OutcomeTimeout
	}
	w.schedule(g, took, pending{r: r, attempt: len(r.attempts) - 1, outcome: outcome})
}

// pending is an outcome under way. It travels with the events, but is never handed to a gateway.
type pending struct {
	dw.Event
	r       *req
	attempt int
	outcome dw.Outcome
}

func (w *world) end(g *gate, r *req, attempt int, outcome dw.Outcome) {
	k := r.attempts[attempt]
	if k.ended {
		return
	}
	k.ended, k.outcome = true, outcome
	w.schedule(g, dw.Span(w.set.Tick), dw.AttemptEnded{Request: r.arrival.ID, Attempt: attempt, Server: k.server,
		Outcome: outcome, Latency: dw.Span(w.now - k.at), TrueUnits: float64(1 + w.rng.IntN(4))})
}

func (w *world) start(g *gate) {
	gw, err := dw.New(func() dw.Settings { s := w.set; s.Self = g.self; return s }(), w.rng.Uint64())
	if err != nil {
		w.t.Fatal(err)
	}
	*g = gate{Gateway: gw, self: g.self, state: map[dw.ServerID]dw.EndpointState{},
		told: map[dw.ServerID]dw.Instant{}, servers: map[dw.ServerID]dw.Endpoint{}, reqs: map[dw.RequestID]*req{},
		tally: map[dw.CustomerID]float64{}, calls: map[string]dw.CounterAdd{}}
	list := dw.EndpointList{Kind: dw.ListCached}
	for id := dw.ServerID(1); id <= 9; id++ {
		list.Servers = append(list.Servers, dw.Endpoint{ID: id, Cell: int(id) / 3, Zone: int(id) % 2})
	}
	w.tell(g, list)
}

func (w *world) tell(g *gate, l dw.EndpointList) {
	for _, s := range l.Servers {
		if s.State != dw.Ready && g.state[s.ID] == dw.Ready {
			g.told[s.ID] = w.now
		}
		g.servers[s.ID], g.state[s.ID] = s, s.State
	}
	w.handle(g, l)
}

func (w *world) step() {
	w.now += dw.Instant(w.set.Tick)
	for _, g := range w.gates {
		var ready []due
		keep := g.due[:0]
		for _, d := range g.due {
			if d.at <= w.now {
				ready = append(ready, d)
			} else {
				keep = append(keep, d)
			}
		}
		g.due = keep
		for _, d := range ready {
			if p, ok := d.e.(pending); ok {
				w.end(g, p.r, p.attempt, p.outcome)
				continue
			}
			if e, ok := d.e.(dw.AttemptEnded); ok { // the first good answer finishes a request, and this tells of it
				r := g.reqs[e.Request]
				if e.Outcome == dw.OutcomeOK {
					r.finished, r.owed = true, false
				}
				e.Final = r.finished
				d.e = e
			}
			w.handle(g, d.e)
		}
		for _, r := range g.reqs {
			if r.owed && w.now > r.due+dw.Instant(w.set.AnswerSlack) {
				w.t.Fatalf("rule 1: %s is not answered", r.arrival.ID)
			}
		}
	}
	if w.rng.IntN(4) == 0 {
		w.fresh++
		c := dw.CustomerID(w.rng.IntN(6))
		a := dw.Arrival{ID: dw.RequestID(fmt.Sprint("r", w.fresh)), Class: w.rng.IntN(len(w.set.Classes)),
			Plan: int(c) % len(w.set.Plans), Customer: c, Remaining: dw.Span(w.rng.Int64N(900e6)) - 5e6,
			Units: float64(1 + w.rng.IntN(4)), Spread: len(w.gates)}
		g := w.gates[w.rng.IntN(len(w.gates))]
		g.reqs[a.ID] = &req{arrival: a, due: w.now + dw.Instant(a.Remaining), owed: true}
		w.handle(g, a)
		if w.rng.IntN(20) == 0 {
			g.reqs[a.ID].finished, g.reqs[a.ID].owed = true, false
			w.handle(g, dw.ClientLeft{Request: a.ID})
		}
	}
	switch g := w.gates[w.rng.IntN(len(w.gates))]; w.rng.IntN(400) {
	case 0:
		id := dw.ServerID(1 + w.rng.IntN(9))
		s := g.servers[id]
		s.State = dw.EndpointState(w.rng.IntN(3))
		if s.State == dw.Ready {
			s.StartedAt = w.now
		}
		w.tell(g, dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{s}})
	case 1:
		w.handle(g, dw.EndpointList{Kind: dw.ListFailed})
	case 2:
		if w.rng.IntN(10) == 0 {
			w.start(g) // killed, and started again
		}
	}
}

func TestRulesHold(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := settings()
			s.Zones, s.Instances, s.MaxUnits, s.UnitsCorrected = 2, 3, 4, true
			if seed >= 12 { // many gateways with few requests each: the count comes first
				s.Instances = 40
			}
			s.ParallelAttempts, s.MayCancel = seed%2 == 0, seed%3 > 0
			s.Classes = []dw.Class{{Objective: 400e6, Deadline: 800e6, Weight: 3, Idempotency: dw.Idempotent},
				{Objective: 400e6, Deadline: 800e6, Weight: 5, Idempotency: dw.NotIdempotent},
				{Objective: 400e6, Deadline: 800e6, Weight: 5, Idempotency: dw.IdempotentByKey, DedupWindow: 300e6},
				{Objective: 400e6, Deadline: 800e6, Weight: 5, Idempotency: dw.IdempotentByKey, DedupScope: dw.DedupCell, DedupWindow: 5e9}}
			s.Plans = []dw.Plan{{Rate: 20, Burst: 40, WeightFactor: 1},
				{Rate: 20, Burst: 60, CeilingRate: 30, CeilingBurst: 60, Tolerance: 6, WeightFactor: 1},
				{Rate: 20, Burst: 40, MaxInFlight: 3, OverQuotaValue: 0.3, OverQuotaCost: 0.1, WeightFactor: 1}}
			w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 2)), set: s, now: 1e9, count: map[string]float64{},
				store: map[dw.CustomerID]*store{}}
			for c := range dw.CustomerID(6) {
				w.store[c] = &store{level: 60, at: w.now}
			}
			for i := range s.Instances {
				w.gates = append(w.gates, &gate{self: i})
				w.start(w.gates[i])
			}
			for range 20_000 {
				w.step()
			}
		})
	}
}
