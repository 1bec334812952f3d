package dewhitch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	dw "dewhitch"
)

// fleet plays many gateways of the real module on one virtual clock, with servers that work requests off one by one on
// each core and report on themselves. Ties go by order: same seed, same run.
type fleet struct {
	now         dw.Instant
	rng         *rand.Rand
	queue       fleetEvents
	order       int
	gateways    []*dw.Gateway
	servers     map[dw.ServerID]*fleetServer
	usedServers []map[dw.ServerID]bool // by gateway: the servers it has sent to
	lastID      int
}

// fleetServer is a server: cores that each do one request after another, the reported figures half a second late.
type fleetServer struct {
	dw.Endpoint
	work                     dw.Span // mean
	cores                    []dw.Instant
	inFlight, started, ended int
	report                   dw.Load
}

type fleetEvent struct {
	at    dw.Instant
	order int
	do    func()
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int { return len(q) }
func (q fleetEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q fleetEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetEvents) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetEvents) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// newFleet makes gateways that differ in number and seed alone, and servers of three cores that take 150 ms a request.
func newFleet(t *testing.T, s dw.Settings, servers int) *fleet {
	t.Helper()
	f := &fleet{now: dw.Instant(1000 * second), rng: rand.New(rand.NewPCG(1, 2)), servers: map[dw.ServerID]*fleetServer{}}
	var list []dw.Endpoint
	for i := range servers {
		m := f.add(dw.Endpoint{ID: dw.ServerID(i * 7919), Zone: i % max(1, s.Zones)}, 150*millisecond)
		list = append(list, m.Endpoint)
	}
	for i := range s.Instances {
		s.Self = i
		g, err := dw.New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.gateways = append(f.gateways, g)
		f.usedServers = append(f.usedServers, map[dw.ServerID]bool{})
		f.handle(i, dw.EndpointList{Kind: dw.ListCached, Servers: list})
	}
	return f
}

func (f *fleet) after(d dw.Span, do func()) {
	f.order++
	heap.Push(&f.queue, fleetEvent{max(f.now, f.now+dw.Instant(d)), f.order, do})
}

// add starts a server of three cores.
func (f *fleet) add(e dw.Endpoint, work dw.Span) *fleetServer {
	m := &fleetServer{Endpoint: e, work: work, cores: make([]dw.Instant, 3)}
	f.servers[m.ID] = m
	f.after(0, func() { f.refresh(m) })
	return m
}

// refresh has a server's report tell what it held and answered in the last half second.
func (f *fleet) refresh(m *fleetServer) {
	m.report = dw.Load{Has: dw.HasInflight | dw.HasQueue | dw.HasRate, Rate: float64(m.ended) * 2}
	m.report.Inflight = float64(min(m.inFlight, len(m.cores)))
	m.report.Queue = float64(m.inFlight) - m.report.Inflight
	m.ended = 0
	f.after(second/2, func() { f.refresh(m) })
}

// load has each gateway asked five times a second.
func (f *fleet) load() {
	for gate := range f.gateways {
		var next func()
		next = func() {
			f.request(gate, dw.Arrival{Remaining: 4 * second, Spread: 1})
			f.after(dw.Span(f.rng.ExpFloat64()*float64(second/5)), next)
		}
		f.after(dw.Span(f.rng.Float64()*float64(second)), next)
	}
}

func (f *fleet) run(d dw.Span) {
	for end := f.now + dw.Instant(d); len(f.queue) > 0 && f.queue[0].at <= end; {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.do()
	}
}

// request sends a request to a gateway.
func (f *fleet) request(gate int, a dw.Arrival) {
	f.lastID++
	a.ID, a.Units = dw.RequestID(fmt.Sprint(f.lastID)), max(1, a.Units)
	f.handle(gate, a)
}

func (f *fleet) handle(gate int, e dw.Event) {
	for _, a := range f.gateways[gate].Handle(f.now, e, nil) {
		switch a := a.(type) {
		case dw.SetTimer:
			f.after(dw.Span(a.At-f.now), func() { f.handle(gate, dw.TimerFired{ID: a.ID}) })
		case dw.StartAttempt:
			f.send(gate, a)
		}
	}
}

func (f *fleet) send(gate int, a dw.StartAttempt) {
	m, began := f.servers[a.Server], f.now
	f.usedServers[gate][a.Server] = true
	m.inFlight++
	m.started++
	core := 0 // the one that is free first
	for i, at := range m.cores {
		if at < m.cores[core] {
			core = i
		}
	}
	done := max(f.now, m.cores[core]) + dw.Instant(f.rng.ExpFloat64()*float64(m.work))
	m.cores[core] = done
	f.after(dw.Span(done-f.now), func() {
		m.inFlight--
		m.ended++
		f.handle(gate, dw.AttemptEnded{Request: a.Request, Server: m.ID, Final: true, Latency: dw.Span(f.now - began), Load: m.report})
	})
}

// eightyGateways are the settings of 80 gateways.
func eightyGateways() dw.Settings {
	s := manyGateways()
	s.Instances, s.ParallelAttempts = 80, false
	s.Classes = []dw.Class{{Objective: 1500 * millisecond, Deadline: 4 * second, Weight: 1, Idempotency: dw.Idempotent}}
	return s
}

// Of 80 gateways on 60 servers each uses an aperture of a few servers, and their load reports: with all 60, its estimates
// would be 15 s old, and slow servers would get as much as others.
func TestManyGatewaysAvoidSlowServers(t *testing.T) {
	s := eightyGateways()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	f := newFleet(t, s, 60)
	slow := map[dw.ServerID]bool{}
	for id, m := range f.servers {
		if id%(7919*6) == 0 {
			m.work, slow[id] = 1200*millisecond, true
		}
	}
	f.load()
	f.run(10 * second)
	for _, m := range f.servers {
		m.started = 0
	}
	f.run(10 * second)
	bad, all, most := 0, 0, 0
	for id, m := range f.servers {
		if all += m.started; slow[id] {
			bad += m.started
		} else {
			most = max(most, m.started)
		}
	}
	met := 0
	for _, m := range f.usedServers {
		met += len(m)
	}
	fair := float64(all) / 60
	t.Logf("%d attempts; %.2f of a fair share to the %d slow servers, %.2f to the busiest; %.1f servers met by a gateway",
		all, float64(bad)/fair/float64(len(slow)), len(slow), float64(most)/fair, float64(met)/80)
	if float64(bad) > 0.27*fair*float64(len(slow)) { // their own share of the capacity is 0.15
		t.Errorf("slow servers got %d of %d attempts", bad, all)
	}
	if float64(most) > 2.2*fair {
		t.Errorf("one server got %d of %d attempts", most, all)
	}
	if met > 30*80 {
		t.Errorf("a gateway sends to %.1f of 60 servers", float64(met)/80)
	}
}

// Calls are scarce: none is made to check a request that would be served beyond the quota too.
func TestNoCallWhereUseBeyondTheQuotaCostsNothing(t *testing.T) {
	for _, earns := range []float64{0, 0.2} {
		s := eightyGateways()
		s.Plans[0].OverQuotaValue, s.Plans[0].OverQuotaCost = earns, 0.1
		b := newHarness(t, s, dw.Endpoint{ID: 7})
		b.request(dw.Arrival{Customer: 1, Spread: 50})
		if calls, sent := len(b.counterCalls), len(b.attempts); calls+sent != 1 || sent != int(5*earns) {
			t.Errorf("beyond the quota earning %v: %d calls, and sent on %d times, before an answer", earns, calls, sent)
		}
	}
}

// newMixedTraffic is one gateway of many that has seen requests of two priorities, from customers of low demand.
func newMixedTraffic(t *testing.T) *harness {
	t.Helper()
	s := eightyGateways()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Weight = 5
	b := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	for i := range 400 {
		b.serve(1, 20*millisecond, dw.Arrival{Customer: dw.CustomerID(100 + i), Class: i % 2, Remaining: second})
	}
	return b
}

// Of a customer that asks for more than its quota, requests of low priority leave a part of the burst to those of higher
// priority, which would otherwise come beyond the quota.
func TestQuotaIsReservedForHigherPriority(t *testing.T) {
	for _, spread := range []int{1, 50} { // by this gateway's account, and by the count
		b := newMixedTraffic(t)
		in := [2]int{}
		for i := range 200 { // five a second, where the quota is two
			id, ok := b.request(dw.Arrival{Customer: 1, Class: i % 2, Spread: spread, Remaining: second})
			if b.advance(5 * millisecond); ok || b.answers[id] == nil {
				in[i%2]++
				b.handle(dw.AttemptEnded{Request: id, Server: b.attempts[len(b.attempts)-1].Server, Final: true, Latency: 10 * millisecond})
			}
			b.advance(195 * millisecond)
		}
		t.Logf("spread %d: %d queries and %d bookings go on", spread, in[0], in[1])
		if in[1] < 2*in[0] || in[0]+in[1] < 60 {
			t.Errorf("spread %d: %d queries and %d bookings of 100 each go on, where the quota is for 80", spread, in[0], in[1])
		}
	}
}

// The units that a limit query reports as left can be taken, whatever the priorities of classes are.
func TestRemainingUnitsCanBeTaken(t *testing.T) {
	for _, spread := range []int{1, 50} {
		b := newMixedTraffic(t)
		q := dw.LimitQuery{Customer: 1, Remaining: second, Spread: spread}
		for i := range 20 { // until nothing is left
			q.ID = dw.RequestID(fmt.Sprint("ask", i))
			b.handle(q)
			b.advance(10 * millisecond)
			left := b.answers[q.ID].(dw.LimitAnswer).Remaining
			take := dw.LimitAdjust{LimitQuery: q, Units: 1}
			take.ID = dw.RequestID(fmt.Sprint("take", i))
			b.handle(take)
			b.advance(10 * millisecond)
			if _, taken := b.answers[take.ID].(dw.AdjustAnswer); taken != (left >= 1) {
				t.Errorf("spread %d: %.2f are left, and one can be taken: %v", spread, left, taken)
			}
		}
	}
}

// Six in ten servers are replaced by warming ones, of which all 80 gateways are told at once. No warming server may be sent
// more than a multiple of what it can do then, in any window in which that would push it over (rule 4).
func TestManyGatewaysSpareWarmingServers(t *testing.T) {
	s := eightyGateways()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	f := newFleet(t, s, 60)
	f.load()
	f.run(10 * second)
	var news []dw.Endpoint
	var warming []*fleetServer
	for i := range 36 {
		news = append(news, dw.Endpoint{ID: dw.ServerID(i * 7919), State: dw.Removed})
		m := f.add(dw.Endpoint{ID: dw.ServerID(1e6 + i), StartedAt: f.now}, 600*millisecond)
		warming, news = append(warming, m), append(news, m.Endpoint)
	}
	for gate := range f.gateways {
		f.handle(gate, dw.EndpointList{Kind: dw.ListDelta, Servers: news})
	}
	begins := s.StartCapacity * 3 / 0.15 // requests a second
	limit := s.OverloadMultiple * begins * float64(s.OverloadSpan) / float64(second)
	all, most := 0, 0
	for range 3 { // windows from the start, each taken to bear no more than the first
		f.run(s.OverloadSpan)
		for _, m := range warming {
			all, most, m.started = all+m.started, max(most, m.started), 0
		}
	}
	t.Logf("%d attempts to warming servers in 6 s; %d to one in 2 s, where %.0f push it over", all, most, limit)
	if float64(most) > limit || all < 36 {
		t.Errorf("%d attempts to warming servers in 6 s, %d to one in 2 s, where %.0f push it over", all, most, limit)
	}
}

// Six in nine servers are replaced by warming ones, which warm up from a fifth of what they can do. Two gateways that see them
// all the time must use them: their answers, long as they are warming, say nothing against what they will be once warm, and
// count once, not in what was learnt and in the warmth by which that is divided.
func TestWarmingServersAreUsedByBusyGateways(t *testing.T) {
	s := eightyGateways()
	s.Instances, s.Plans[0] = 2, dw.Plan{WeightFactor: 1}
	s.Classes[0].Objective = second
	asked, begun := 0, 0
	const seeds = 12
	for seed := range uint64(seeds) {
		f := newFleet(t, s, 9)
		f.rng = rand.New(rand.NewPCG(seed, 2))
		for _, m := range f.servers {
			m.work = 100 * millisecond
		}
		counts := false
		for gate := range f.gateways {
			var next func()
			next = func() {
				if counts {
					asked++
				}
				f.request(gate, dw.Arrival{Remaining: 4 * second, Spread: 1})
				f.after(dw.Span(f.rng.ExpFloat64()*float64(second/65)), next)
			}
			f.after(0, next)
		}
		f.run(10 * second)
		var news []dw.Endpoint
		for i := range 6 {
			news = append(news, dw.Endpoint{ID: dw.ServerID(i * 7919), State: dw.Removed})
			m := f.add(dw.Endpoint{ID: dw.ServerID(1e6 + i), StartedAt: f.now}, 0)
			var warm func()
			warm = func() {
				part := min(1, s.StartCapacity+(1-s.StartCapacity)*float64(f.now-m.StartedAt)/float64(s.SlowStartSpan))
				m.work = dw.Span(float64(100*millisecond) / part)
				f.after(second/4, warm)
			}
			warm()
			news = append(news, m.Endpoint)
		}
		for gate := range f.gateways {
			f.handle(gate, dw.EndpointList{Kind: dw.ListDelta, Servers: news})
		}
		for _, m := range f.servers {
			m.started = 0
		}
		counts = true
		f.run(s.SlowStartSpan)
		for _, m := range f.servers {
			begun += m.started
		}
	}
	share := float64(begun) / float64(asked)
	t.Logf("%d asked over %d seeds, %.3f of them sent", asked, seeds, share)
	if share < 0.865 {
		t.Errorf("of %d requests %.3f were sent", asked, share)
	}
}
