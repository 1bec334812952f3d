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

// scaleHarness drives one of many gateways with servers that answer immediately.
type scaleHarness struct {
	*harness
	interval dw.Span             // time between two requests
	requests int                 // number of requests so far
	used     map[dw.ServerID]int // attempts by server
}

func newScaleHarness(t testing.TB, servers int, rate int) *scaleHarness {
	s := settings()
	s.Instances, s.Counter = 312, false
	s.Plans[0] = dw.Plan{Rate: 1e6, Burst: 1e6, WeightFactor: 1}
	g, err := dw.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &scaleHarness{harness: &harness{gateway: g, now: dw.Instant(100 * second), answers: map[dw.RequestID]dw.Action{}}, interval: second / dw.Span(rate),
		used: map[dw.ServerID]int{}}
	l := dw.EndpointList{Kind: dw.ListFull}
	for i := range servers {
		l.Servers = append(l.Servers, dw.Endpoint{ID: dw.ServerID(i + 1), Rating: 1})
	}
	h.handle(l)
	return h
}

// serve submits requests one after the other and answers each.
func (h *scaleHarness) serve(requests int) {
	for range requests {
		h.now += dw.Instant(h.interval)
		h.fireTimers()
		h.requests++
		h.attempts = h.attempts[:0]
		h.handle(dw.Arrival{ID: dw.RequestID(fmt.Sprint(h.requests)), Customer: 1, Remaining: 100 * millisecond, Units: 1, Spread: 1})
		for _, s := range h.attempts {
			h.used[s.Server]++
			h.handle(dw.AttemptEnded{Request: s.Request, Server: s.Server, Latency: 20 * millisecond, Final: true})
		}
	}
}

// Guards against a decision cost that grows with the length of the endpoint list. It was 4 times as high with the long list before
// selection was bounded. The limit is loose and applies to the best of several runs. The cost is the CPU time of this thread, and
// the runs of both lists alternate, because other processes on the machine slow down whatever runs beside them.
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
		t.Logf("%d requests a second: a decision costs %.2f times as much with %d servers as with %d",
			rate, ratio, maxServers, fewServers)
		if ratio > maxRatio {
			t.Errorf("%d requests a second: a decision costs %.1f times as much with %d servers, want at most 2.5 times",
				rate, ratio, maxServers)
		}
	}
}

// threadCPU returns the CPU time of the current thread.
func threadCPU(t *testing.T) time.Duration {
	t.Helper()
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		t.Fatal(err)
	}
	return time.Duration(now.Nano())
}

// A gateway with much traffic must use all of very many servers about evenly, although each selection compares only a few of them.
func TestManyServersAreAllUsed(t *testing.T) {
	const each = 20
	h := newScaleHarness(t, maxServers, 2600)
	h.serve(each * maxServers)
	fewest, most := math.MaxInt, 0
	for id := range maxServers {
		n := h.used[dw.ServerID(id+1)]
		fewest, most = min(fewest, n), max(most, n)
	}
	if fewest == 0 || most > 4*each {
		t.Errorf("of %d servers the least used got %d attempts and the most used %d; the mean is %d, want at least 1 and at most 80",
			maxServers, fewest, most, each)
	}
}

// If a quarter of very many servers fail and a quarter drain, requests must find the others, and none may go to a draining server.
func TestRequestsAvoidManyFailedServers(t *testing.T) {
	h := newScaleHarness(t, maxServers, 2600)
	draining := dw.EndpointList{Kind: dw.ListDelta, Version: 2}
	for i := 0; i < maxServers; i += 4 {
		draining.Servers = append(draining.Servers, dw.Endpoint{ID: dw.ServerID(i + 1), Rating: 1, State: dw.Draining})
	}
	h.serve(5000)
	h.handle(draining)
	clear(h.used)
	failing := func(id dw.ServerID) bool { return id%4 == 2 }
	lateFailures := 0
	for n := range 20_000 {
		h.now += dw.Instant(h.interval)
		h.attempts = h.attempts[:0]
		h.handle(dw.Arrival{ID: dw.RequestID(fmt.Sprint("f", n)), Customer: 1, Remaining: 100 * millisecond, Units: 1, Spread: 1})
		for _, s := range h.attempts {
			h.used[s.Server]++
			outcome := dw.OutcomeOK
			if failing(s.Server) {
				if outcome = dw.OutcomeConnectFailed; n >= 10_000 {
					lateFailures++
				}
			}
			h.handle(dw.AttemptEnded{Request: s.Request, Server: s.Server, Outcome: outcome, Latency: 20 * millisecond, Final: true})
		}
	}
	for id, n := range h.used {
		if id%4 == 1 {
			t.Fatalf("draining server %d got %d attempts, want 0", id, n)
		}
	}
	if lateFailures > 10_000/20 {
		t.Errorf("%d of the last 10,000 requests went to failed servers, want at most 500", lateFailures)
	}
	if out := h.gateway.EjectedServers(h.now); out == 0 {
		t.Error("no server is ejected")
	}
}
