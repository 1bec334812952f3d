package dewhitch_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	dw "dewhitch"
)

const (
	fewServers = 200
	maxServers = 3200
)

// scaleHarness is one gateway of many, before servers that all answer at once.
type scaleHarness struct {
	*harness
	interval dw.Span // between two requests
	requests int
	used     map[dw.ServerID]int
}

func newScaleHarness(t testing.TB, servers int, rate int) *scaleHarness {
	s := settings()
	s.Instances, s.Counter = 312, false
	s.Plans[0] = dw.Plan{Rate: 1e6, Burst: 1e6, WeightFactor: 1}
	g, err := dw.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &scaleHarness{harness: &harness{gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}, interval: second / dw.Span(rate),
		used: map[dw.ServerID]int{}}
	l := dw.EndpointList{Kind: dw.ListFull}
	for i := range servers {
		l.Servers = append(l.Servers, dw.Endpoint{ID: dw.ServerID(i + 1), Rating: 1})
	}
	f.handle(l)
	return f
}

// serve has so many requests come and be answered, one after the other.
func (f *scaleHarness) serve(requests int) {
	for range requests {
		f.now += dw.Instant(f.interval)
		f.fireTimers()
		f.requests++
		f.attempts = f.attempts[:0]
		f.handle(dw.Arrival{ID: dw.RequestID(fmt.Sprint(f.requests)), Customer: 1, Remaining: 100 * millisecond, Units: 1, Spread: 1})
		for _, s := range f.attempts {
			f.used[s.Server]++
			f.handle(dw.AttemptEnded{Request: s.Request, Server: s.Server, Latency: 20 * millisecond, Final: true})
		}
	}
}

// What a decision costs does not grow with the servers that are listed. The bound is loose, and held by the best of several
// runs each way: before it did not grow, it was 4 times as much. The cost is this thread's CPU time, and the runs of both take turns:
// other processes on the machine slow down whatever runs beside them.
func TestCostOfADecisionDoesNotGrow(t *testing.T) {
	const rounds, requests, maxRatio = 9, 2000, 2.5
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, rate := range []int{20, 2600} {
		sizes := []int{fewServers, maxServers}
		best, harnesses := map[int]time.Duration{}, map[int]*scaleHarness{}
		for _, servers := range sizes {
			best[servers] = math.MaxInt64
			harnesses[servers] = newScaleHarness(t, servers, rate)
			harnesses[servers].serve(5 * rate)
		}
		for range rounds {
			for _, servers := range sizes {
				began := threadCPU(t)
				harnesses[servers].serve(requests)
				best[servers] = min(best[servers], threadCPU(t)-began)
			}
		}
		ratio := best[maxServers].Seconds() / best[fewServers].Seconds()
		t.Logf("%d requests a second: %.2f times as much with %d servers as with %d", rate, ratio, maxServers, fewServers)
		if ratio > maxRatio {
			t.Errorf("%d requests a second: %.1f times as much with %d servers", rate, ratio, maxServers)
		}
	}
}

// threadCPU is the CPU time of this thread.
func threadCPU(t *testing.T) time.Duration {
	t.Helper()
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		t.Fatal(err)
	}
	return time.Duration(now.Nano())
}

// A gateway with much traffic uses all of very many servers, and about evenly, though each request is decided between a few.
func TestManyServersAreAllUsed(t *testing.T) {
	const each = 20
	f := newScaleHarness(t, maxServers, 2600)
	f.serve(each * maxServers)
	least, most := math.MaxInt, 0
	for id := range maxServers {
		n := f.used[dw.ServerID(id+1)]
		least, most = min(least, n), max(most, n)
	}
	if least == 0 || most > 4*each {
		t.Errorf("of %d servers one was used %d times, another %d times; %d each in the mean", maxServers, least, most, each)
	}
}

// Of very many servers half fail and are left out: requests still find those that are well, and none goes to one that drains.
func TestManyServersFail(t *testing.T) {
	f := newScaleHarness(t, maxServers, 2600)
	draining := dw.EndpointList{Kind: dw.ListDelta, Version: 2}
	for i := 0; i < maxServers; i += 4 {
		draining.Servers = append(draining.Servers, dw.Endpoint{ID: dw.ServerID(i + 1), Rating: 1, State: dw.Draining})
	}
	f.serve(5000)
	f.handle(draining)
	clear(f.used)
	bad := func(id dw.ServerID) bool { return id%4 == 2 }
	late := 0
	for n := range 20_000 {
		f.now += dw.Instant(f.interval)
		f.attempts = f.attempts[:0]
		f.handle(dw.Arrival{ID: dw.RequestID(fmt.Sprint("f", n)), Customer: 1, Remaining: 100 * millisecond, Units: 1, Spread: 1})
		for _, s := range f.attempts {
			f.used[s.Server]++
			outcome := dw.OutcomeOK
			if bad(s.Server) {
				if outcome = dw.OutcomeConnectFailed; n >= 10_000 {
					late++
				}
			}
			f.handle(dw.AttemptEnded{Request: s.Request, Server: s.Server, Outcome: outcome, Latency: 20 * millisecond, Final: true})
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
	if out := f.gateway.EjectedServers(f.now); out == 0 {
		t.Error("no server is left out")
	}
}
