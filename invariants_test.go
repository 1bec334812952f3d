package dewhitch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	dw "dewhitch"
)

// simulation feeds several gateways seeded random legal events and checks the invariants from outside, by its own records.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	settings dw.Settings
	now      dw.Instant
	gateways []*simulatedGateway
	ceilings map[dw.CustomerID]*trueCeiling // the true ceilings
	totals   map[string]float64
	lastID   int
}

type trueCeiling struct {
	level float64
	at    dw.Instant
}

type simulatedGateway struct {
	*dw.Gateway
	self      int
	state     map[dw.ServerID]dw.EndpointState
	drainedAt map[dw.ServerID]dw.Instant // when it was told of a drain
	servers   map[dw.ServerID]dw.Endpoint
	requests  map[dw.RequestID]*simulatedRequest
	pending   []scheduledEvent
	tally     map[dw.CustomerID]float64 // by what it said
	calls     map[string]dw.CounterAdd
}

type scheduledEvent struct {
	at dw.Instant
	e  dw.Event
}

type simulatedRequest struct {
	arrival  dw.Arrival
	deadline dw.Instant
	attempts []*simulatedAttempt
	finished bool
	owed     bool
	final    int
}

type simulatedAttempt struct {
	server    dw.ServerID
	startedAt dw.Instant
	ended     bool
	outcome   dw.Outcome
}

func (a *simulatedAttempt) mayHaveRun() bool {
	switch a.outcome {
	case dw.OutcomeRejected, dw.OutcomeConnectFailed, dw.OutcomeNotSent:
		return !a.ended
	}
	return true
}

func (w *simulation) schedule(g *simulatedGateway, after dw.Span, e dw.Event) {
	g.pending = append(g.pending, scheduledEvent{w.now + dw.Instant(after), e})
}

func (w *simulation) handle(g *simulatedGateway, e dw.Event) {
	acts := g.Handle(w.now, e, nil)
	if e, ok := e.(dw.CounterAnswered); ok { // before what it led to, which may be another call
		if e.Outcome != dw.OutcomeOK && e.Outcome != dw.OutcomeTimeout {
			g.tally[g.calls[e.Name].Customer] += g.calls[e.Name].Add
		}
	}
	for _, a := range acts {
		w.carryOut(g, a)
	}
	for c, announced := range g.tally {
		if len(acts) == 0 {
			break
		}
		if tally, known := g.Tally(c); known && math.Abs(tally-announced) > 1e-6 {
			w.t.Fatalf("customer %d has %v on the tally, after %v was drawn and not told", c, tally, announced)
		} else if !known {
			delete(g.tally, c)
		}
	}
}

func (w *simulation) carryOut(g *simulatedGateway, a dw.Action) {
	t := w.t
	final := func(id dw.RequestID, rejected bool) {
		r := g.requests[id]
		if r == nil || r.final > 0 {
			t.Fatalf("rule 1: %T for %s, which is unknown or had a final answer", a, id)
		}
		r.final++
		if r.finished {
			return
		}
		r.finished, r.owed = true, false
		class := w.settings.Classes[r.arrival.Class]
		for _, k := range r.attempts {
			if rejected && k.mayHaveRun() && (class.Idempotency == dw.NotIdempotent ||
				class.Idempotency == dw.IdempotentByKey && class.DedupScope != dw.DedupAll) {
				t.Fatalf("rule 2: %s rejected though an attempt may have run", id)
			}
		}
	}
	switch a := a.(type) {
	case dw.SetTimer:
		w.schedule(g, dw.Span(max(a.At-w.now, dw.Instant(w.settings.Tick))), dw.TimerFired{ID: a.ID})
	case dw.Reject:
		final(a.Request, true)
	case dw.Fail:
		final(a.Request, false)
	case dw.TallyChanged:
		g.tally[a.Customer] += a.Units
	case dw.CounterAdd:
		if announced := g.tally[a.Customer]; math.Abs(announced-a.Add) > 1e-6 {
			t.Fatalf("customer %d: %v is told, after %v was drawn", a.Customer, a.Add, announced)
		}
		g.tally[a.Customer], g.calls[a.Name] = 0, a
		outcome, total := dw.OutcomeOK, 0.0
		switch w.rng.IntN(10) {
		case 0:
			outcome = dw.OutcomeRejected
		case 1: // timed out, and counted or not
			outcome = dw.OutcomeTimeout
			w.totals[a.Name] += a.Add * float64(w.rng.IntN(2))
		case 2: // forgotten
			w.totals[a.Name] = 0
			fallthrough
		default:
			w.totals[a.Name] += a.Add
			total = w.totals[a.Name]
		}
		w.schedule(g, 1+dw.Span(w.rng.Int64N(int64(w.settings.CounterTimeout))),
			dw.CounterAnswered{Name: a.Name, Outcome: outcome, Total: total})
	case dw.CancelAttempt:
		r := g.requests[a.Request]
		if r == nil || a.Attempt >= len(r.attempts) || !w.settings.MayCancel {
			t.Fatalf("illegal cancel %+v", a)
		}
		if k := r.attempts[a.Attempt]; !k.ended {
			w.endAttempt(g, r, a.Attempt, dw.OutcomeCancelled)
		}
	case dw.StartAttempt:
		w.startAttempt(g, a)
	default:
		t.Fatalf("unexpected action %T", a)
	}
}

func (w *simulation) startAttempt(g *simulatedGateway, a dw.StartAttempt) {
	t, r := w.t, g.requests[a.Request]
	if r == nil || r.finished || r.final > 0 {
		t.Fatalf("rule 1: %s sent after its end", a.Request)
	}
	s, known := g.servers[a.Server]
	if !known {
		t.Fatalf("server %d was never listed", a.Server)
	}
	if g.state[a.Server] != dw.Ready && w.now-g.drainedAt[a.Server] > dw.Instant(w.settings.DrainGrace) {
		t.Fatalf("rule 3: sent to %d, %d ns after its drain", a.Server, w.now-g.drainedAt[a.Server])
	}
	class, plan := w.settings.Classes[r.arrival.Class], w.settings.Plans[r.arrival.Plan]
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
			class.DedupScope == dw.DedupZone && first.Zone != s.Zone || a.StartWithin <= 0 || w.now+dw.Instant(a.StartWithin)-k.startedAt > dw.Instant(class.DedupWindow)):
			t.Fatalf("rule 2: keyed %s sent outside its group or window", a.Request)
		}
	}
	if out > 0 && !w.settings.ParallelAttempts {
		t.Fatalf("rule 2: %s has two attempts out", a.Request)
	}
	if len(r.attempts) >= w.settings.MaxAttempts {
		t.Fatalf("%s has too many attempts", a.Request)
	}
	if len(r.attempts) == 0 && plan.CeilingRate > 0 {
		st := w.ceilings[r.arrival.Customer]
		st.level = min(plan.CeilingBurst, st.level+plan.CeilingRate*float64(w.now-st.at)/1e9) - r.arrival.Units
		st.at = w.now
		if st.level < -plan.Tolerance-1e-6 {
			t.Fatalf("rule 5: the ceiling's store stands at %.2f", st.level)
		}
	}
	r.attempts = append(r.attempts, &simulatedAttempt{server: a.Server, startedAt: w.now})
	limit := dw.Span(r.deadline - w.now)
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	duration, outcome := dw.Span(w.rng.ExpFloat64()*80e6)+1e6, dw.OutcomeOK
	if a.Server%4 == 0 && w.now/1e9%7 < 3 { // hangs now and then
		duration = 1 << 40
	} else if w.rng.IntN(8) == 0 {
		outcome = []dw.Outcome{dw.OutcomeError, dw.OutcomeRejected, dw.OutcomeConnectFailed, dw.OutcomeReset,
			dw.OutcomeNotSent}[w.rng.IntN(5)]
	}
	if duration > limit {
		duration, outcome = limit, dw.OutcomeTimeout
	}
	w.schedule(g, duration, pendingOutcome{request: r, attempt: len(r.attempts) - 1, outcome: outcome})
}

// pendingOutcome is an outcome under way. It travels with the events, but is never handed to a gateway.
type pendingOutcome struct {
	dw.Event
	request *simulatedRequest
	attempt int
	outcome dw.Outcome
}

func (w *simulation) endAttempt(g *simulatedGateway, r *simulatedRequest, attempt int, outcome dw.Outcome) {
	k := r.attempts[attempt]
	if k.ended {
		return
	}
	k.ended, k.outcome = true, outcome
	w.schedule(g, dw.Span(w.settings.Tick), dw.AttemptEnded{Request: r.arrival.ID, Attempt: attempt, Server: k.server,
		Outcome: outcome, Latency: dw.Span(w.now - k.startedAt), TrueUnits: float64(1 + w.rng.IntN(4))})
}

func (w *simulation) startGateway(g *simulatedGateway) {
	gw, err := dw.New(func() dw.Settings { s := w.settings; s.Self = g.self; return s }(), w.rng.Uint64())
	if err != nil {
		w.t.Fatal(err)
	}
	*g = simulatedGateway{Gateway: gw, self: g.self, state: map[dw.ServerID]dw.EndpointState{},
		drainedAt: map[dw.ServerID]dw.Instant{}, servers: map[dw.ServerID]dw.Endpoint{}, requests: map[dw.RequestID]*simulatedRequest{},
		tally: map[dw.CustomerID]float64{}, calls: map[string]dw.CounterAdd{}}
	list := dw.EndpointList{Kind: dw.ListCached}
	for id := dw.ServerID(1); id <= 9; id++ {
		list.Servers = append(list.Servers, dw.Endpoint{ID: id, Cell: int(id) / 3, Zone: int(id) % 2})
	}
	w.updateEndpoints(g, list)
}

func (w *simulation) updateEndpoints(g *simulatedGateway, l dw.EndpointList) {
	for _, s := range l.Servers {
		if s.State != dw.Ready && g.state[s.ID] == dw.Ready {
			g.drainedAt[s.ID] = w.now
		}
		g.servers[s.ID], g.state[s.ID] = s, s.State
	}
	w.handle(g, l)
}

func (w *simulation) step() {
	w.now += dw.Instant(w.settings.Tick)
	for _, g := range w.gateways {
		var ready []scheduledEvent
		keep := g.pending[:0]
		for _, d := range g.pending {
			if d.at <= w.now {
				ready = append(ready, d)
			} else {
				keep = append(keep, d)
			}
		}
		g.pending = keep
		for _, d := range ready {
			if p, ok := d.e.(pendingOutcome); ok {
				w.endAttempt(g, p.request, p.attempt, p.outcome)
				continue
			}
			if e, ok := d.e.(dw.AttemptEnded); ok { // the first good answer finishes a request, and this tells of it
				r := g.requests[e.Request]
				if e.Outcome == dw.OutcomeOK {
					r.finished, r.owed = true, false
				}
				e.Final = r.finished
				d.e = e
			}
			w.handle(g, d.e)
		}
		for _, r := range g.requests {
			if r.owed && w.now > r.deadline+dw.Instant(w.settings.AnswerSlack) {
				w.t.Fatalf("rule 1: %s is not answered", r.arrival.ID)
			}
		}
	}
	if w.rng.IntN(4) == 0 {
		w.lastID++
		c := dw.CustomerID(w.rng.IntN(6))
		a := dw.Arrival{ID: dw.RequestID(fmt.Sprint("r", w.lastID)), Class: w.rng.IntN(len(w.settings.Classes)),
			Plan: int(c) % len(w.settings.Plans), Customer: c, Remaining: dw.Span(w.rng.Int64N(900e6)) - 5e6,
			Units: float64(1 + w.rng.IntN(4)), Spread: len(w.gateways)}
		g := w.gateways[w.rng.IntN(len(w.gateways))]
		g.requests[a.ID] = &simulatedRequest{arrival: a, deadline: w.now + dw.Instant(a.Remaining), owed: true}
		w.handle(g, a)
		if w.rng.IntN(20) == 0 {
			g.requests[a.ID].finished, g.requests[a.ID].owed = true, false
			w.handle(g, dw.ClientDeparted{Request: a.ID})
		}
	}
	switch g := w.gateways[w.rng.IntN(len(w.gateways))]; w.rng.IntN(400) {
	case 0:
		id := dw.ServerID(1 + w.rng.IntN(9))
		s := g.servers[id]
		s.State = dw.EndpointState(w.rng.IntN(3))
		if s.State == dw.Ready {
			s.StartedAt = w.now
		}
		w.updateEndpoints(g, dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{s}})
	case 1:
		w.handle(g, dw.EndpointList{Kind: dw.ListFailed})
	case 2:
		if w.rng.IntN(10) == 0 {
			w.startGateway(g) // killed, and started again
		}
	}
}

func TestInvariantsHold(t *testing.T) {
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
			w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 2)), settings: s, now: 1e9, totals: map[string]float64{},
				ceilings: map[dw.CustomerID]*trueCeiling{}}
			for c := range dw.CustomerID(6) {
				w.ceilings[c] = &trueCeiling{level: 60, at: w.now}
			}
			for i := range s.Instances {
				w.gateways = append(w.gateways, &simulatedGateway{self: i})
				w.startGateway(w.gateways[i])
			}
			for range 20_000 {
				w.step()
			}
		})
	}
}
