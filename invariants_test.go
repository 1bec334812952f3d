package dewhitch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	dw "dewhitch"
)

// simulation feeds several gateways random legal events from a seed and checks the invariants from outside, by its own records. Failure
// messages give the number of the violated rule. Rule 1: each request gets exactly one final answer, by its deadline, and is not sent
// after it. Rule 2: a request that must not run twice is not repeated or rejected while an attempt may have run. Rule 3: no attempt
// starts on a server that has drained for longer than DrainGrace. Rule 5: attempts stay within a hard ceiling and its tolerance.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	settings dw.Settings
	now      dw.Instant
	gateways []*simulatedGateway
	ceilings map[dw.CustomerID]*trueCeiling // true state of the ceilings by customer
	totals   map[string]float64
	lastID   int
}

// trueCeiling is a customer's hard ceiling over all gateways.
type trueCeiling struct {
	level float64
	at    dw.Instant
}

// simulatedGateway is a gateway with the simulation's own records of its state.
type simulatedGateway struct {
	*dw.Gateway
	self         int
	serverStates map[dw.ServerID]dw.EndpointState
	drainedAt    map[dw.ServerID]dw.Instant // time at which the gateway learned that the server drains
	servers      map[dw.ServerID]dw.Endpoint
	requests     map[dw.RequestID]*simulatedRequest
	scheduled    []scheduledEvent
	tally        map[dw.CustomerID]float64 // units on the tally by customer, according to the gateway's actions
	counterCalls map[string]dw.CounterAdd
}

type scheduledEvent struct {
	at    dw.Instant
	event dw.Event
}

// simulatedRequest is a request as the client sees it.
type simulatedRequest struct {
	arrival      dw.Arrival
	deadline     dw.Instant
	attempts     []*simulatedAttempt
	finished     bool
	needsAnswer  bool
	finalAnswers int
}

type simulatedAttempt struct {
	server    dw.ServerID
	startedAt dw.Instant
	ended     bool
	outcome   dw.Outcome
}

// mayHaveRun returns true if the attempt may have run or may still run.
func (a *simulatedAttempt) mayHaveRun() bool {
	switch a.outcome {
	case dw.OutcomeRejected, dw.OutcomeConnectFailed, dw.OutcomeNotSent:
		return !a.ended
	}
	return true
}

func (sim *simulation) schedule(g *simulatedGateway, after dw.Span, e dw.Event) {
	g.scheduled = append(g.scheduled, scheduledEvent{sim.now + dw.Instant(after), e})
}

func (sim *simulation) handle(g *simulatedGateway, e dw.Event) {
	actions := g.Handle(sim.now, e, nil)
	if e, ok := e.(dw.CounterAnswered); ok { // before the resulting actions, which may contain another call
		if e.Outcome != dw.OutcomeOK && e.Outcome != dw.OutcomeTimeout {
			g.tally[g.counterCalls[e.Name].Customer] += g.counterCalls[e.Name].Add
		}
	}
	for _, a := range actions {
		sim.carryOut(g, a)
	}
	for c, announced := range g.tally {
		if len(actions) == 0 {
			break
		}
		if tally, known := g.Tally(c); known && math.Abs(tally-announced) > 1e-6 {
			sim.t.Fatalf("customer %d: tally is %v, but %v units were announced and not yet pushed", c, tally, announced)
		} else if !known {
			delete(g.tally, c)
		}
	}
}

// carryOut executes an action of a gateway and checks the invariants that concern it.
func (sim *simulation) carryOut(g *simulatedGateway, a dw.Action) {
	t := sim.t
	final := func(id dw.RequestID, rejected bool) {
		r := g.requests[id]
		if r == nil || r.finalAnswers > 0 {
			t.Fatalf("rule 1: %T for request %s, which is unknown or already has a final answer", a, id)
		}
		r.finalAnswers++
		if r.finished {
			return
		}
		r.finished, r.needsAnswer = true, false
		class := sim.settings.Classes[r.arrival.Class]
		for _, k := range r.attempts {
			if rejected && k.mayHaveRun() && (class.Idempotency == dw.NotIdempotent ||
				class.Idempotency == dw.IdempotentByKey && class.DedupScope != dw.DedupAll) {
				t.Fatalf("rule 2: request %s was rejected although an attempt may have run", id)
			}
		}
	}
	switch a := a.(type) {
	case dw.SetTimer:
		sim.schedule(g, dw.Span(max(a.At-sim.now, dw.Instant(sim.settings.Tick))), dw.TimerFired{ID: a.ID})
	case dw.Reject:
		final(a.Request, true)
	case dw.Fail:
		final(a.Request, false)
	case dw.TallyChanged:
		g.tally[a.Customer] += a.Units
	case dw.CounterAdd:
		if announced := g.tally[a.Customer]; math.Abs(announced-a.Add) > 1e-6 {
			t.Fatalf("customer %d: CounterAdd pushes %v units, but %v were announced", a.Customer, a.Add, announced)
		}
		g.tally[a.Customer], g.counterCalls[a.Name] = 0, a
		outcome, total := dw.OutcomeOK, 0.0
		switch sim.rng.IntN(10) {
		case 0:
			outcome = dw.OutcomeRejected
		case 1: // timed out; the units may be counted or not
			outcome = dw.OutcomeTimeout
			sim.totals[a.Name] += a.Add * float64(sim.rng.IntN(2))
		case 2: // the counter has lost its state
			sim.totals[a.Name] = 0
			fallthrough
		default:
			sim.totals[a.Name] += a.Add
			total = sim.totals[a.Name]
		}
		sim.schedule(g, 1+dw.Span(sim.rng.Int64N(int64(sim.settings.CounterTimeout))),
			dw.CounterAnswered{Name: a.Name, Outcome: outcome, Total: total})
	case dw.CancelAttempt:
		r := g.requests[a.Request]
		if r == nil || a.Attempt >= len(r.attempts) || !sim.settings.MayCancel {
			t.Fatalf("illegal action %+v: unknown attempt, or the settings forbid cancellation", a)
		}
		if k := r.attempts[a.Attempt]; !k.ended {
			sim.endAttempt(g, r, a.Attempt, dw.OutcomeCancelled)
		}
	case dw.StartAttempt:
		sim.startAttempt(g, a)
	default:
		t.Fatalf("unexpected action %T", a)
	}
}

func (sim *simulation) startAttempt(g *simulatedGateway, a dw.StartAttempt) {
	t, r := sim.t, g.requests[a.Request]
	if r == nil || r.finished || r.finalAnswers > 0 {
		t.Fatalf("rule 1: request %s was sent after its end", a.Request)
	}
	s, known := g.servers[a.Server]
	if !known {
		t.Fatalf("server %d was never listed", a.Server)
	}
	if g.serverStates[a.Server] != dw.Ready && sim.now-g.drainedAt[a.Server] > dw.Instant(sim.settings.DrainGrace) {
		t.Fatalf("rule 3: an attempt was sent to server %d, %d ns after it started to drain", a.Server, sim.now-g.drainedAt[a.Server])
	}
	class, plan := sim.settings.Classes[r.arrival.Class], sim.settings.Plans[r.arrival.Plan]
	inFlight := 0
	for _, k := range r.attempts {
		if !k.ended {
			inFlight++
		}
		if !k.mayHaveRun() {
			continue
		}
		first := g.servers[k.server]
		switch {
		case class.Idempotency == dw.NotIdempotent:
			t.Fatalf("rule 2: request %s is not idempotent and was sent again although it may have run", a.Request)
		case class.Idempotency == dw.IdempotentByKey && (class.DedupScope == dw.DedupCell && first.Cell != s.Cell ||
			class.DedupScope == dw.DedupZone && first.Zone != s.Zone || a.StartWithin <= 0 || sim.now+dw.Instant(a.StartWithin)-k.startedAt > dw.Instant(class.DedupWindow)):
			t.Fatalf("rule 2: request %s with a key was repeated outside its deduplication scope or window", a.Request)
		}
	}
	if inFlight > 0 && !sim.settings.ParallelAttempts {
		t.Fatalf("rule 2: request %s has two attempts in flight", a.Request)
	}
	if len(r.attempts) >= sim.settings.MaxAttempts {
		t.Fatalf("request %s has more than MaxAttempts attempts", a.Request)
	}
	if len(r.attempts) == 0 && plan.CeilingRate > 0 {
		ceiling := sim.ceilings[r.arrival.Customer]
		ceiling.level = min(plan.CeilingBurst, ceiling.level+plan.CeilingRate*float64(sim.now-ceiling.at)/1e9) - r.arrival.Units
		ceiling.at = sim.now
		if ceiling.level < -plan.Tolerance-1e-6 {
			t.Fatalf("rule 5: the bucket of the hard ceiling is at %.2f, below the tolerance", ceiling.level)
		}
	}
	r.attempts = append(r.attempts, &simulatedAttempt{server: a.Server, startedAt: sim.now})
	limit := dw.Span(r.deadline - sim.now)
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	duration, outcome := dw.Span(sim.rng.ExpFloat64()*80e6)+1e6, dw.OutcomeOK
	if a.Server%4 == 0 && sim.now/1e9%7 < 3 { // the server hangs periodically
		duration = 1 << 40
	} else if sim.rng.IntN(8) == 0 {
		outcome = []dw.Outcome{dw.OutcomeError, dw.OutcomeRejected, dw.OutcomeConnectFailed, dw.OutcomeReset,
			dw.OutcomeNotSent}[sim.rng.IntN(5)]
	}
	if duration > limit {
		duration, outcome = limit, dw.OutcomeTimeout
	}
	sim.schedule(g, duration, pendingOutcome{request: r, attempt: len(r.attempts) - 1, outcome: outcome})
}

// pendingOutcome is the scheduled end of an attempt. It is queued with the events, but never delivered to a gateway.
type pendingOutcome struct {
	dw.Event
	request *simulatedRequest
	attempt int
	outcome dw.Outcome
}

func (sim *simulation) endAttempt(g *simulatedGateway, r *simulatedRequest, attempt int, outcome dw.Outcome) {
	k := r.attempts[attempt]
	if k.ended {
		return
	}
	k.ended, k.outcome = true, outcome
	sim.schedule(g, dw.Span(sim.settings.Tick), dw.AttemptEnded{Request: r.arrival.ID, Attempt: attempt, Server: k.server,
		Outcome: outcome, Latency: dw.Span(sim.now - k.startedAt), TrueUnits: float64(1 + sim.rng.IntN(4))})
}

func (sim *simulation) startGateway(g *simulatedGateway) {
	gw, err := dw.New(func() dw.Settings { s := sim.settings; s.Self = g.self; return s }(), sim.rng.Uint64())
	if err != nil {
		sim.t.Fatal(err)
	}
	*g = simulatedGateway{Gateway: gw, self: g.self, serverStates: map[dw.ServerID]dw.EndpointState{},
		drainedAt: map[dw.ServerID]dw.Instant{}, servers: map[dw.ServerID]dw.Endpoint{}, requests: map[dw.RequestID]*simulatedRequest{},
		tally: map[dw.CustomerID]float64{}, counterCalls: map[string]dw.CounterAdd{}}
	list := dw.EndpointList{Kind: dw.ListCached}
	for id := dw.ServerID(1); id <= 9; id++ {
		list.Servers = append(list.Servers, dw.Endpoint{ID: id, Cell: int(id) / 3, Zone: int(id) % 2})
	}
	sim.updateEndpoints(g, list)
}

func (sim *simulation) updateEndpoints(g *simulatedGateway, l dw.EndpointList) {
	for _, s := range l.Servers {
		if s.State != dw.Ready && g.serverStates[s.ID] == dw.Ready {
			g.drainedAt[s.ID] = sim.now
		}
		g.servers[s.ID], g.serverStates[s.ID] = s, s.State
	}
	sim.handle(g, l)
}

// step advances the clock by a tick, delivers the events that are due and generates new ones at random.
func (sim *simulation) step() {
	sim.now += dw.Instant(sim.settings.Tick)
	for _, g := range sim.gateways {
		var due []scheduledEvent
		later := g.scheduled[:0]
		for _, d := range g.scheduled {
			if d.at <= sim.now {
				due = append(due, d)
			} else {
				later = append(later, d)
			}
		}
		g.scheduled = later
		for _, d := range due {
			if p, ok := d.event.(pendingOutcome); ok {
				sim.endAttempt(g, p.request, p.attempt, p.outcome)
				continue
			}
			if e, ok := d.event.(dw.AttemptEnded); ok { // the first successful answer finishes a request and is reported as final
				r := g.requests[e.Request]
				if e.Outcome == dw.OutcomeOK {
					r.finished, r.needsAnswer = true, false
				}
				e.Final = r.finished
				d.event = e
			}
			sim.handle(g, d.event)
		}
		for _, r := range g.requests {
			if r.needsAnswer && sim.now > r.deadline+dw.Instant(sim.settings.AnswerSlack) {
				sim.t.Fatalf("rule 1: request %s has no answer after its deadline", r.arrival.ID)
			}
		}
	}
	if sim.rng.IntN(4) == 0 {
		sim.lastID++
		c := dw.CustomerID(sim.rng.IntN(6))
		a := dw.Arrival{ID: dw.RequestID(fmt.Sprint("r", sim.lastID)), Class: sim.rng.IntN(len(sim.settings.Classes)),
			Plan: int(c) % len(sim.settings.Plans), Customer: c, Remaining: dw.Span(sim.rng.Int64N(900e6)) - 5e6,
			Units: float64(1 + sim.rng.IntN(4)), Spread: len(sim.gateways)}
		g := sim.gateways[sim.rng.IntN(len(sim.gateways))]
		g.requests[a.ID] = &simulatedRequest{arrival: a, deadline: sim.now + dw.Instant(a.Remaining), needsAnswer: true}
		sim.handle(g, a)
		if sim.rng.IntN(20) == 0 {
			g.requests[a.ID].finished, g.requests[a.ID].needsAnswer = true, false
			sim.handle(g, dw.ClientDeparted{Request: a.ID})
		}
	}
	switch g := sim.gateways[sim.rng.IntN(len(sim.gateways))]; sim.rng.IntN(400) {
	case 0:
		id := dw.ServerID(1 + sim.rng.IntN(9))
		s := g.servers[id]
		s.State = dw.EndpointState(sim.rng.IntN(3))
		if s.State == dw.Ready {
			s.StartedAt = sim.now
		}
		sim.updateEndpoints(g, dw.EndpointList{Kind: dw.ListDelta, Servers: []dw.Endpoint{s}})
	case 1:
		sim.handle(g, dw.EndpointList{Kind: dw.ListFailed})
	case 2:
		if sim.rng.IntN(10) == 0 {
			sim.startGateway(g) // killed and restarted
		}
	}
}

// The invariants must hold on random schedules with restarted gateways, hanging servers and a counter that loses its state.
func TestInvariantsHold(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := settings()
			s.Zones, s.Instances, s.MaxUnits, s.UnitsCorrected = 2, 3, 4, true
			if seed >= 12 { // many gateways with few requests each: requests are counted before they are admitted
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
			sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 2)), settings: s, now: 1e9, totals: map[string]float64{},
				ceilings: map[dw.CustomerID]*trueCeiling{}}
			for c := range dw.CustomerID(6) {
				sim.ceilings[c] = &trueCeiling{level: 60, at: sim.now}
			}
			for i := range s.Instances {
				sim.gateways = append(sim.gateways, &simulatedGateway{self: i})
				sim.startGateway(sim.gateways[i])
			}
			for range 20_000 {
				sim.step()
			}
		})
	}
}
