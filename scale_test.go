package dewhitch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	dw "dewhitch"
)

const (
	usualServers = 200
	mostServers  = 3200
)

// fleetGateway is one gateway of many, before servers that all answer at once.
type fleetGateway struct {
	*bed
	gap   dw.Span // between two requests
	asked int
	used  map[dw.ServerID]int
}

func newFleetGateway(t testing.TB, servers int, rate int) *fleetGateway {
	s := settings()
	s.Instances, s.Counter = 312, false
	s.Plans[0] = dw.Plan{Rate: 1e6, Burst: 1e6, WeightFactor: 1}
	g, err := dw.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleetGateway{bed: &bed{g: g, now: dw.Instant(100 * sec), over: map[dw.RequestID]dw.Action{}}, gap: sec / dw.Span(rate),
		used: map[dw.ServerID]int{}}
	l := dw.EndpointList{Kind: dw.ListFull}
	for i := range servers {
		l.Servers = append(l.Servers, dw.Endpoint{ID: dw.ServerID(i + 1), Rating: 1})
	}
	f.do(l)
	return f
}

// serve has so many requests come and be answered, one after the other.
func (f *fleetGateway) serve(requests int) {
	for range requests {
		f.now += dw.Instant(f.gap)
		f.fire()
		f.asked++
		f.sent = f.sent[:0]
		f.do(dw.Arrival{ID: dw.RequestID(fmt.Sprint(f.asked)), Customer: 1, Remaining: 100 * ms, Units: 1, Spread: 1})
		for _, s := range f.sent {
			f.used[s.Server]++
			f.do(dw.AttemptEnded{Request: s.Request, Server: s.Server, Latency: 20 * ms, Final: true})
		}
	}
}

// What a decision costs does not grow with the servers that are listed. The bound is loose, and held by the best of several
// runs each way: before it did not grow, it was 4 times as much.
func TestCostOfADecisionDoesNotGrow(t *testing.T) {
	const rounds, requests, most = 9, 2000, 2.5
	for _, rate := range []int{20, 2600} {
		best := map[int]float64{usualServers: math.Inf(1), mostServers: math.Inf(1)}
		for servers := range best {
			f := newFleetGateway(t, servers, rate)
			f.serve(5 * rate)
			for range rounds {
				began := time.Now()
				f.serve(requests)
				best[servers] = min(best[servers], time.Since(began).Seconds())
			}
		}
		ratio := best[mostServers] / best[usualServers]
		t.Logf("%d requests a second: %.2f times as much with %d servers as with %d", rate, ratio, mostServers, usualServers)
		if ratio > most {
			t.Errorf("%d requests a second: %.1f times as much with %d servers", rate, ratio, mostServers)
		}
	}
}

// A gateway with much traffic uses all of very many servers, and about evenly, though each request is decided between a few.
func TestManyServersAreAllUsed(t *testing.T) {
	const each = 20
	f := newFleetGateway(t, mostServers, 2600)
	f.serve(each * mostServers)
	least, most := math.MaxInt, 0
	for id := range mostServers {
		n := f.used[dw.ServerID(id+1)]
		least, most = min(least, n), max(most, n)
	}
	if least == 0 || most > 4*each {
		t.Errorf("of %d servers one was used %d times, another %d times; %d each in the mean", mostServers, least, most, each)
	}
}

// Of very many servers half fail and are left out: requests still find those that are well, and none goes to one that drains.
func TestManyServersFail(t *testing.T) {
	f := newFleetGateway(t, mostServers, 2600)
	draining := dw.EndpointList{Kind: dw.ListDelta, Version: 2}
	for i := 0; i < mostServers; i += 4 {
		draining.Servers = append(draining.Servers, dw.Endpoint{ID: dw.ServerID(i + 1), Rating: 1, State: dw.Draining})
	}
	f.serve(5000)
	f.do(draining)
	clear(f.used)
	bad := func(id dw.ServerID) bool { return id%4 == 2 }
	late := 0
	for n := range 20_000 {
		f.now += dw.Instant(f.gap)
		f.sent = f.sent[:0]
		f.do(dw.Arrival{ID: dw.RequestID(fmt.Sprint("f", n)), Customer: 1, Remaining: 100 * ms, Units: 1, Spread: 1})
		for _, s := range f.sent {
			f.used[s.Server]++
			outcome := dw.OutcomeOK
			if bad(s.Server) {
				if outcome = dw.OutcomeConnectFailed; n >= 10_000 {
					late++
				}
			}
			f.do(dw.AttemptEnded{Request: s.Request, Server: s.Server, Outcome: outcome, Latency: 20 * ms, Final: true})
		}
	}
	for id, n := range f.used {
		if id%4 == 1 {
			t.Fatalf("server %d drains, and was used %d times", id, n)
		}
	}
	if late > 10_000/20 {
		t.Errorf("%d of the last 10,000 requests went to servers that had failed", late)
	}
	if out := f.g.EjectedServers(f.now); out == 0 {
		t.Error("no server is left out")
	}
}
