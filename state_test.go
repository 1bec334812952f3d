package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// restart returns a harness for a new process of the same gateway: a warm one imports the state of the old process. Both processes
// use the same counter, and the new one gets the endpoint list again.
func (h *harness) restart(s dw.Settings, warm bool, servers ...dw.Endpoint) *harness {
	h.t.Helper()
	g, err := dw.New(s, 2)
	if err != nil {
		h.t.Fatal(err)
	}
	if warm {
		var state dw.State
		h.gateway.Export(&state, 1000)
		if n, m := g.Import(h.now, &state); n == 0 || m == 0 {
			h.t.Fatalf("restored %d servers and %d customers, want more than 0 of each", n, m)
		}
	}
	next := &harness{t: h.t, gateway: g, now: h.now, answers: map[dw.RequestID]dw.Action{}, counter: h.counter, lastID: h.lastID}
	next.handle(dw.EndpointList{Kind: dw.ListFull, Servers: servers})
	return next
}

// A warm successor must serve a customer near its quota like the old process. A cold one assumes that other gateways used the
// whole total of the window, and rejects requests within the quota.
func TestWarmStartKeepsACustomersAccount(t *testing.T) {
	s := settings()
	s.Instances, s.Plans[0] = 4, dw.Plan{Rate: 4, Burst: 12, WeightFactor: 1, OverQuotaCost: 1}
	endpoint := dw.Endpoint{ID: 7}
	admitted := map[bool]int{}
	for _, warm := range []bool{true, false} {
		h := newHarness(t, s, endpoint)
		h.serve(28, 250*millisecond, dw.Arrival{Spread: 4}) // uses the whole quota, up to the last quarter of a window of 6 s
		admitted[warm] = h.restart(s, warm, endpoint).serve(20, 100*millisecond, dw.Arrival{Spread: 4})
	}
	t.Logf("of 20 requests the warm successor admitted %d, the cold one %d", admitted[true], admitted[false])
	if admitted[true] < 19 || admitted[false] > admitted[true]-4 {
		t.Errorf("of 20 requests the warm successor admitted %d, want at least 19, and the cold one %d, want at least 4 fewer",
			admitted[true], admitted[false])
	}
}

// A warm start must not enlarge the quota: units that the old process has not pushed yet count exactly once.
func TestWarmStartCountsUnpushedUnitsOnce(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{Rate: 2, Burst: 12, WeightFactor: 1, OverQuotaCost: 1}
	endpoint := dw.Endpoint{ID: 7}
	h := newHarness(t, s, endpoint)
	admitted := h.serve(40, 50*millisecond, dw.Arrival{})
	for range 5 { // five successive processes within 8 s
		h = h.restart(s, true, endpoint)
		admitted += h.serve(24, 50*millisecond, dw.Arrival{})
	}
	if maxAdmitted := 12 + 2*8 + 5; admitted > maxAdmitted || admitted < 20 { // burst, refill, and one more request per replacement
		t.Errorf("%d requests were admitted, want 20 to %d", admitted, maxAdmitted)
	}
}

// Imported server statistics must only be a hint: a server that is not listed gets no request, a slow one is avoided, and one that
// was fast does not get most requests.
func TestWarmStartUsesServerStatisticsAsHints(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var endpoints []dw.Endpoint
	for id := range dw.ServerID(4) {
		endpoints = append(endpoints, dw.Endpoint{ID: id + 1})
	}
	state := dw.State{Latency: 0.02, IdleLatency: 0.02, MeanPriority: 3, SentAttempts: 100, ThrottleAccepts: 100, ThrottleRequests: 100,
		EndpointRequests: 100, RetryBudget: 10, ClassLatencyRatios: []float64{1, 1}, ZoneFailureShare: []float64{0}}
	for i, e := range endpoints {
		state.Servers = append(state.Servers, dw.ServerStatistics{Endpoint: e, Latency: []float64{0.001, 0.02, 0.02, 0.5}[i]})
	}
	start := func(age dw.Span) *harness {
		g, err := dw.New(s, 3)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}
		state.At = h.now - dw.Instant(age)
		if n, _ := g.Import(h.now, &state); (n == 4) != (age <= 60*second && age >= 0) {
			t.Errorf("restored %d servers from a state of age %v s, want 4 up to 60 s and 0 beyond", n, age/second)
		}
		return h
	}
	h := start(second / 2)
	if _, ok := h.request(dw.Arrival{}); ok {
		t.Fatal("an attempt started on a server before the endpoint list arrived")
	}
	h.handle(dw.EndpointList{Kind: dw.ListFull, Servers: endpoints})
	requestsTo := map[dw.ServerID]int{}
	for range 12 { // no request is answered yet
		if _, ok := h.request(dw.Arrival{}); ok {
			requestsTo[h.attempts[len(h.attempts)-1].Server]++
		}
	}
	if requestsTo[4] > 0 || requestsTo[1] > 6 || len(requestsTo) != 3 {
		t.Errorf("first 12 requests by server: %v; want none on slow server 4, at most 6 on server 1, and 3 servers in use", requestsTo)
	}
}

// EjectedServers must count a failing server while it gets no new attempts. If most servers fail, none is excluded and the count
// must be 0.
func TestEjectedServersAreCounted(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	h := newHarness(t, s, dw.Endpoint{ID: 1}, dw.Endpoint{ID: 2}, dw.Endpoint{ID: 3})
	h.serve(200, 10*millisecond, dw.Arrival{})
	fail := func(failing ...dw.ServerID) {
		for range 50 { // within the first ejection
			id, ok := h.request(dw.Arrival{})
			if !ok {
				continue
			}
			at, o := h.attempts[len(h.attempts)-1].Server, dw.OutcomeOK
			for _, v := range failing {
				if at == v {
					o = dw.OutcomeReset
				}
			}
			h.advance(10 * millisecond)
			h.handle(dw.AttemptEnded{Request: id, Server: at, Outcome: o, Final: true, Latency: 10 * millisecond})
		}
	}
	if n := h.gateway.EjectedServers(h.now); n != 0 {
		t.Fatalf("%d servers ejected before any failure, want 0", n)
	}
	fail(h.attempts[len(h.attempts)-1].Server) // the server in use
	if n := h.gateway.EjectedServers(h.now); n != 1 {
		t.Errorf("%d servers ejected while one fails, want 1", n)
	}
	fail(1, 2, 3)
	if n := h.gateway.EjectedServers(h.now); n != 0 {
		t.Errorf("%d servers ejected while all fail, want 0", n)
	}
	if n := h.gateway.EjectedServers(h.now + dw.Instant(60*second)); n != 0 {
		t.Errorf("%d servers ejected a minute later, want 0", n)
	}
}
