package dewhitch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	dw "dewhitch"
)

// fleet runs many gateways of the real module on one virtual clock, with simulated servers that process one request at a time on
// each core and report their load. Simultaneous events run in the order in which they were scheduled: the same seed leads to the
// same run.
type fleet struct {
	now         dw.Instant
	rng         *rand.Rand
	queue       fleetEvents
	order       int
	gateways    []*dw.Gateway
	servers     map[dw.ServerID]*fleetServer
	usedServers []map[dw.ServerID]bool // by gateway: the servers that it has sent attempts to
	lastID      int
}

// fleetServer is a simulated server: each core processes one request after another. Its load report is up to half a second old.
type fleetServer struct {
	dw.Endpoint
	work                     dw.Span // mean time on a core per request
	cores                    []dw.Instant
	inFlight, started, ended int
	report                   dw.Load
}

type fleetEvent struct {
	at    dw.Instant
	order int
	run   func()
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

// newFleet returns gateways that differ only in index and seed, and servers of three cores that take 150 ms a request.
func newFleet(t *testing.T, s dw.Settings, servers int) *fleet {
	t.Helper()
	f := &fleet{now: dw.Instant(1000 * second), rng: rand.New(rand.NewPCG(1, 2)), servers: map[dw.ServerID]*fleetServer{}}
	var list []dw.Endpoint
	for i := range servers {
		server := f.add(dw.Endpoint{ID: dw.ServerID(i * 7919), Zone: i % max(1, s.Zones)}, 150*millisecond)
		list = append(list, server.Endpoint)
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

// schedule runs a function after d.
func (f *fleet) schedule(d dw.Span, run func()) {
	f.order++
	heap.Push(&f.queue, fleetEvent{max(f.now, f.now+dw.Instant(d)), f.order, run})
}

// add starts a server of three cores.
func (f *fleet) add(e dw.Endpoint, work dw.Span) *fleetServer {
	server := &fleetServer{Endpoint: e, work: work, cores: make([]dw.Instant, 3)}
	f.servers[server.ID] = server
	f.schedule(0, func() { f.refresh(server) })
	return server
}

// refresh sets a server's load report to its present load and its answers in the last half second, and schedules the next one.
func (f *fleet) refresh(server *fleetServer) {
	server.report = dw.Load{Has: dw.HasInflight | dw.HasQueue | dw.HasRate, Rate: float64(server.ended) * 2}
	server.report.Inflight = float64(min(server.inFlight, len(server.cores)))
	server.report.Queue = float64(server.inFlight) - server.report.Inflight
	server.ended = 0
	f.schedule(second/2, func() { f.refresh(server) })
}

// load submits five requests a second to each gateway.
func (f *fleet) load() {
	for gateway := range f.gateways {
		var next func()
		next = func() {
			f.request(gateway, dw.Arrival{Remaining: 4 * second, Spread: 1})
			f.schedule(dw.Span(f.rng.ExpFloat64()*float64(second/5)), next)
		}
		f.schedule(dw.Span(f.rng.Float64()*float64(second)), next)
	}
}

func (f *fleet) run(d dw.Span) {
	for end := f.now + dw.Instant(d); len(f.queue) > 0 && f.queue[0].at <= end; {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.run()
	}
}

// request submits a request to a gateway.
func (f *fleet) request(gateway int, a dw.Arrival) {
	f.lastID++
	a.ID, a.Units = dw.RequestID(fmt.Sprint(f.lastID)), max(1, a.Units)
	f.handle(gateway, a)
}

func (f *fleet) handle(gateway int, e dw.Event) {
	for _, a := range f.gateways[gateway].Handle(f.now, e, nil) {
		switch a := a.(type) {
		case dw.SetTimer:
			f.schedule(dw.Span(a.At-f.now), func() { f.handle(gateway, dw.TimerFired{ID: a.ID}) })
		case dw.StartAttempt:
			f.send(gateway, a)
		}
	}
}

// send starts an attempt on a server and schedules its outcome.
func (f *fleet) send(gateway int, a dw.StartAttempt) {
	server, startedAt := f.servers[a.Server], f.now
	f.usedServers[gateway][a.Server] = true
	server.inFlight++
	server.started++
	core := 0 // index of the core that is free first
	for i, at := range server.cores {
		if at < server.cores[core] {
			core = i
		}
	}
	done := max(f.now, server.cores[core]) + dw.Instant(f.rng.ExpFloat64()*float64(server.work))
	server.cores[core] = done
	f.schedule(dw.Span(done-f.now), func() {
		server.inFlight--
		server.ended++
		f.handle(gateway, dw.AttemptEnded{Request: a.Request, Server: server.ID, Final: true, Latency: dw.Span(f.now - startedAt), Load: server.report})
	})
}

// eightyGateways returns the settings of 80 gateways.
func eightyGateways() dw.Settings {
	s := manyGateways()
	s.Instances, s.ParallelAttempts = 80, false
	s.Classes = []dw.Class{{Objective: 1500 * millisecond, Deadline: 4 * second, Weight: 1, Idempotency: dw.Idempotent}}
	return s
}

// Guards against many gateways that send as much to slow servers as to others. With 80 gateways and 60 servers, each gateway must
// use an aperture of a few servers and their load reports: with all 60 servers, its estimates would be 15 s old.
func TestManyGatewaysAvoidSlowServers(t *testing.T) {
	s := eightyGateways()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	f := newFleet(t, s, 60)
	slow := map[dw.ServerID]bool{}
	for id, server := range f.servers {
		if id%(7919*6) == 0 {
			server.work, slow[id] = 1200*millisecond, true
		}
	}
	f.load()
	f.run(10 * second)
	for _, server := range f.servers {
		server.started = 0
	}
	f.run(10 * second)
	toSlow, all, most := 0, 0, 0
	for id, server := range f.servers {
		if all += server.started; slow[id] {
			toSlow += server.started
		} else {
			most = max(most, server.started)
		}
	}
	serversUsed := 0
	for _, servers := range f.usedServers {
		serversUsed += len(servers)
	}
	fair := float64(all) / 60
	t.Logf("%d attempts; %.2f of a fair share to each of the %d slow servers, %.2f to the busiest server; %.1f used by a gateway",
		all, float64(toSlow)/fair/float64(len(slow)), len(slow), float64(most)/fair, float64(serversUsed)/80)
	if float64(toSlow) > 0.27*fair*float64(len(slow)) { // the share of a slow server by its capacity is 0.15
		t.Errorf("slow servers got %d of %d attempts, want at most 0.27 of a fair share each", toSlow, all)
	}
	if float64(most) > 2.2*fair {
		t.Errorf("the busiest server got %d of %d attempts, want at most 2.2 times a fair share", most, all)
	}
	if serversUsed > 30*80 {
		t.Errorf("a gateway uses %.1f of 60 servers in the mean, want at most 30", float64(serversUsed)/80)
	}
}

// Counter calls are scarce: a request that would be served beyond the quota too must not cause one.
func TestNoCounterCallIfServedBeyondQuota(t *testing.T) {
	for _, value := range []float64{0, 0.2} {
		s := eightyGateways()
		s.Plans[0].OverQuotaValue, s.Plans[0].OverQuotaCost = value, 0.1
		h := newHarness(t, s, dw.Endpoint{ID: 7})
		h.request(dw.Arrival{Customer: 1, Spread: 50})
		if calls, sent := len(h.counterCalls), len(h.attempts); calls+sent != 1 || sent != int(5*value) {
			t.Errorf("beyond the quota earning %v: %d counter calls and %d attempts before an answer; want one call if it earns 0, else one attempt",
				value, calls, sent)
		}
	}
}

// newMixedTraffic returns one of many gateways after requests of two priorities from customers of low demand.
func newMixedTraffic(t *testing.T) *harness {
	t.Helper()
	s := eightyGateways()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Weight = 5
	h := newHarness(t, s, dw.Endpoint{ID: 7}, dw.Endpoint{ID: 8})
	for i := range 400 {
		h.serve(1, 20*millisecond, dw.Arrival{Customer: dw.CustomerID(100 + i), Class: i % 2, Remaining: second})
	}
	return h
}

// Guards against low-priority requests that use up the quota of a customer whose demand exceeds it: they must leave a part of the
// burst to requests of higher priority.
func TestQuotaIsReservedForHigherPriority(t *testing.T) {
	for _, spread := range []int{1, 50} { // decided by this gateway's account, and by the counter
		h := newMixedTraffic(t)
		admitted := [2]int{}
		for i := range 200 { // five a second, with a quota of two
			id, ok := h.request(dw.Arrival{Customer: 1, Class: i % 2, Spread: spread, Remaining: second})
			if h.advance(5 * millisecond); ok || h.answers[id] == nil {
				admitted[i%2]++
				h.handle(dw.AttemptEnded{Request: id, Server: h.attempts[len(h.attempts)-1].Server, Final: true, Latency: 10 * millisecond})
			}
			h.advance(195 * millisecond)
		}
		t.Logf("spread %d: %d queries and %d bookings admitted", spread, admitted[0], admitted[1])
		if admitted[1] < 2*admitted[0] || admitted[0]+admitted[1] < 60 {
			t.Errorf("spread %d: %d queries and %d bookings of 100 each admitted; want twice as many bookings, and at least 60 of a quota of 80",
				spread, admitted[0], admitted[1])
		}
	}
}

// The units that a limit query reports as remaining can be taken, whatever the priorities of the classes are.
func TestRemainingUnitsCanBeTaken(t *testing.T) {
	for _, spread := range []int{1, 50} {
		h := newMixedTraffic(t)
		q := dw.LimitQuery{Customer: 1, Remaining: second, Spread: spread}
		for i := range 20 { // more queries than units remain
			q.ID = dw.RequestID(fmt.Sprint("ask", i))
			h.handle(q)
			h.advance(10 * millisecond)
			remaining := h.answers[q.ID].(dw.LimitAnswer).Remaining
			take := dw.LimitAdjust{LimitQuery: q, Units: 1}
			take.ID = dw.RequestID(fmt.Sprint("take", i))
			h.handle(take)
			h.advance(10 * millisecond)
			if _, taken := h.answers[take.ID].(dw.AdjustAnswer); taken != (remaining >= 1) {
				t.Errorf("spread %d: %.2f units remain, but taking one succeeded: %v", spread, remaining, taken)
			}
		}
	}
}

// Guards against the overload of warming servers when six in ten servers are replaced and all 80 gateways learn of it at the same
// time. No warming server may get more than a multiple of its present capacity in a time that would overload it (rule 4).
func TestManyGatewaysSpareWarmingServers(t *testing.T) {
	s := eightyGateways()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	f := newFleet(t, s, 60)
	f.load()
	f.run(10 * second)
	var changes []dw.Endpoint
	var warming []*fleetServer
	for i := range 36 {
		changes = append(changes, dw.Endpoint{ID: dw.ServerID(i * 7919), State: dw.Removed})
		server := f.add(dw.Endpoint{ID: dw.ServerID(1e6 + i), StartedAt: f.now}, 600*millisecond)
		warming, changes = append(warming, server), append(changes, server.Endpoint)
	}
	for gateway := range f.gateways {
		f.handle(gateway, dw.EndpointList{Kind: dw.ListDelta, Servers: changes})
	}
	startRate := s.StartCapacity * 3 / 0.15 // requests a second
	limit := s.OverloadMultiple * startRate * float64(s.OverloadSpan) / float64(second)
	all, most := 0, 0
	for range 3 { // windows from the start; the limit is that of the first window
		f.run(s.OverloadSpan)
		for _, server := range warming {
			all, most, server.started = all+server.started, max(most, server.started), 0
		}
	}
	t.Logf("%d attempts to warming servers in 6 s; at most %d to one in 2 s, and %.0f overload it", all, most, limit)
	if float64(most) > limit || all < 36 {
		t.Errorf("%d attempts to warming servers in 6 s, want at least 36; at most %d to one in 2 s, want at most %.0f",
			all, most, limit)
	}
}

// Guards against busy gateways that avoid warming servers. Six in nine servers are replaced by servers that warm up from a fifth
// of their capacity. The slow answers of a warming server must not lower the estimate of its speed once warm: warmth must count
// only once, not both in the samples and in the division of the estimate by warmth.
func TestWarmingServersAreUsedByBusyGateways(t *testing.T) {
	s := eightyGateways()
	s.Instances, s.Plans[0] = 2, dw.Plan{WeightFactor: 1}
	s.Classes[0].Objective = second
	submitted, sent := 0, 0
	const seeds = 12
	for seed := range uint64(seeds) {
		f := newFleet(t, s, 9)
		f.rng = rand.New(rand.NewPCG(seed, 2))
		for _, server := range f.servers {
			server.work = 100 * millisecond
		}
		measuring := false
		for gateway := range f.gateways {
			var next func()
			next = func() {
				if measuring {
					submitted++
				}
				f.request(gateway, dw.Arrival{Remaining: 4 * second, Spread: 1})
				f.schedule(dw.Span(f.rng.ExpFloat64()*float64(second/65)), next)
			}
			f.schedule(0, next)
		}
		f.run(10 * second)
		var changes []dw.Endpoint
		for i := range 6 {
			changes = append(changes, dw.Endpoint{ID: dw.ServerID(i * 7919), State: dw.Removed})
			server := f.add(dw.Endpoint{ID: dw.ServerID(1e6 + i), StartedAt: f.now}, 0)
			var warm func()
			warm = func() {
				capacity := min(1, s.StartCapacity+(1-s.StartCapacity)*float64(f.now-server.StartedAt)/float64(s.SlowStartSpan))
				server.work = dw.Span(float64(100*millisecond) / capacity)
				f.schedule(second/4, warm)
			}
			warm()
			changes = append(changes, server.Endpoint)
		}
		for gateway := range f.gateways {
			f.handle(gateway, dw.EndpointList{Kind: dw.ListDelta, Servers: changes})
		}
		for _, server := range f.servers {
			server.started = 0
		}
		measuring = true
		f.run(s.SlowStartSpan)
		for _, server := range f.servers {
			sent += server.started
		}
	}
	share := float64(sent) / float64(submitted)
	t.Logf("%d requests over %d seeds, share %.3f of them sent to servers", submitted, seeds, share)
	if share < 0.865 {
		t.Errorf("%d requests, share %.3f of them sent to servers, want at least 0.865", submitted, share)
	}
}
