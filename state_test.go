package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// replace is a bed whose gateway is another process of b's, with or without what that one had learnt. Both go on using
// one counter, and the list is told anew.
func (b *harness) replace(s dw.Settings, warm bool, servers ...dw.Endpoint) *harness {
	b.t.Helper()
	g, err := dw.New(s, 2)
	if err != nil {
		b.t.Fatal(err)
	}
	if warm {
		var l dw.State
		b.gateway.Export(&l, 1000)
		if n, m := g.Import(b.now, &l); n == 0 || m == 0 {
			b.t.Fatalf("took %d servers and %d customers", n, m)
		}
	}
	c := &harness{t: b.t, gateway: g, now: b.now, answers: map[dw.RequestID]dw.Action{}, counter: b.counter, lastID: b.lastID}
	c.handle(dw.EndpointList{Kind: dw.ListFull, Servers: servers})
	return c
}

// A customer near its quota is served by a warm successor as if nothing had happened, where a cold one takes all that
// the window holds for the others' use, and rejects what there is room for.
func TestWarmStartKeepsACustomersAccount(t *testing.T) {
	s := settings()
	s.Instances, s.Plans[0] = 4, dw.Plan{Rate: 4, Burst: 12, WeightFactor: 1, OverQuotaCost: 1}
	hall := dw.Endpoint{ID: 7}
	in := map[bool]int{}
	for _, warm := range []bool{true, false} {
		b := newHarness(t, s, hall)
		b.serve(28, 250*millisecond, dw.Arrival{Spread: 4}) // all of the quota, up to the last quarter of a window of 6 s
		in[warm] = b.replace(s, warm, hall).serve(20, 100*millisecond, dw.Arrival{Spread: 4})
	}
	t.Logf("of 20 requests a warm successor served %d, a cold one %d", in[true], in[false])
	if in[true] < 19 || in[false] > in[true]-4 {
		t.Errorf("of 20 requests a warm successor served %d, a cold one %d", in[true], in[false])
	}
}

// Its quota is no larger for that: what the old process has not pushed yet counts, once.
func TestWarmStartSpendsNothingTwice(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{Rate: 2, Burst: 12, WeightFactor: 1, OverQuotaCost: 1}
	hall := dw.Endpoint{ID: 7}
	b := newHarness(t, s, hall)
	in := b.serve(40, 50*millisecond, dw.Arrival{})
	for range 5 { // one process after another, within 8 s
		b = b.replace(s, true, hall)
		in += b.serve(24, 50*millisecond, dw.Arrival{})
	}
	if most := 12 + 2*8 + 5; in > most || in < 20 { // and a request for each replacement
		t.Errorf("%d went on, where the quota holds %d", in, most)
	}
}

// What an old process says of servers is no more than a hint: nothing goes to one that is not listed, a slow one is
// avoided, one called fast gets no flood, and one that has started since is new.
func TestWarmStartTrustsServersLittle(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	var four []dw.Endpoint
	for id := range dw.ServerID(4) {
		four = append(four, dw.Endpoint{ID: id + 1})
	}
	l := dw.State{Latency: 0.02, IdleLatency: 0.02, MeanPriority: 3, SentAttempts: 100, ThrottleAccepts: 100, ThrottleRequests: 100, EndpointRequests: 100, RetryBudget: 10,
		ClassLatencyRatios: []float64{1, 1}, ZoneFailureShare: []float64{0}}
	for i, e := range four {
		l.Servers = append(l.Servers, dw.ServerStatistics{Endpoint: e, Latency: []float64{0.001, 0.02, 0.02, 0.5}[i]})
	}
	start := func(age dw.Span) *harness {
		g, err := dw.New(s, 3)
		if err != nil {
			t.Fatal(err)
		}
		b := &harness{t: t, gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}
		l.At = b.now - dw.Instant(age)
		if n, _ := g.Import(b.now, &l); (n == 4) != (age <= 60*second && age >= 0) {
			t.Errorf("took %d servers at an age of %v s", n, age/second)
		}
		return b
	}
	b := start(second / 2)
	if _, ok := b.request(dw.Arrival{}); ok {
		t.Fatal("sent to a server that no list named")
	}
	b.handle(dw.EndpointList{Kind: dw.ListFull, Servers: four})
	got := map[dw.ServerID]int{}
	for range 12 { // nothing is answered yet
		if _, ok := b.request(dw.Arrival{}); ok {
			got[b.attempts[len(b.attempts)-1].Server]++
		}
	}
	if got[4] > 0 || got[1] > 6 || len(got) != 3 {
		t.Errorf("of the first 12 requests, by server: %v", got)
	}
}

// A server that fails is counted as avoided for as long as nothing new goes there; where most fail, none is left out.
func TestEjectedServersAreCounted(t *testing.T) {
	s := settings()
	s.Plans[0] = dw.Plan{WeightFactor: 1}
	b := newHarness(t, s, dw.Endpoint{ID: 1}, dw.Endpoint{ID: 2}, dw.Endpoint{ID: 3})
	b.serve(200, 10*millisecond, dw.Arrival{})
	fail := func(bad ...dw.ServerID) {
		for range 50 { // within the first turn of being left out
			id, ok := b.request(dw.Arrival{})
			if !ok {
				continue
			}
			at, o := b.attempts[len(b.attempts)-1].Server, dw.OutcomeOK
			for _, v := range bad {
				if at == v {
					o = dw.OutcomeReset
				}
			}
			b.advance(10 * millisecond)
			b.handle(dw.AttemptEnded{Request: id, Server: at, Outcome: o, Final: true, Latency: 10 * millisecond})
		}
	}
	if n := b.gateway.EjectedServers(b.now); n != 0 {
		t.Fatalf("%d avoided at first", n)
	}
	fail(b.attempts[len(b.attempts)-1].Server) // the one that is used
	if n := b.gateway.EjectedServers(b.now); n != 1 {
		t.Errorf("%d avoided, where one fails", n)
	}
	fail(1, 2, 3)
	if n := b.gateway.EjectedServers(b.now); n != 0 {
		t.Errorf("%d avoided, where all fail and none is left out", n)
	}
	if n := b.gateway.EjectedServers(b.now + dw.Instant(60*second)); n != 0 {
		t.Errorf("%d avoided a minute later", n)
	}
}
