package ratelimit

import (
	"math/rand/v2"
	"testing"
)

// simulate simulates callers that always have a call to make to a shared service. The timeout is in seconds, the capacity of the
// service in calls per second. It answers no calls in time from second outage[0] to second outage[1]. simulate returns the number
// of calls and of late calls in each second.
func simulate(callers int, timeout, capacity float64, seconds int, outage [2]int) (calls, late []int) {
	const step = 0.001 // seconds
	rng := rand.New(rand.NewPCG(1, 2))
	limiters := make([]*Limiter, callers)
	for i := range limiters {
		limiters[i] = New(timeout, callers)
	}
	calls, late = make([]int, seconds), make([]int, seconds)
	type answer struct {
		caller  *Limiter
		latency float64
	}
	answers := map[int][]answer{}
	freeAt := 0.0
	for tick := range seconds * 1000 {
		now := float64(tick) * step
		for _, a := range answers[tick] {
			a.caller.Observe(a.latency <= timeout, a.latency)
		}
		delete(answers, tick)
		for _, i := range rng.Perm(callers) {
			if !limiters[i].Allow(int64(now * 1e9)) {
				continue
			}
			limiters[i].Spend()
			freeAt = max(freeAt, now) + 1/capacity
			latency := freeAt - now + 0.004
			if int(now) >= outage[0] && int(now) < outage[1] {
				freeAt, latency = 0, 2*timeout
			}
			answeredAt := tick + 1 + int(min(latency, 3*timeout)/step)
			answers[answeredAt] = append(answers[answeredAt], answer{limiters[i], latency})
			if calls[int(now)]++; latency > timeout {
				late[int(now)]++
			}
		}
	}
	return calls, late
}

// TestCallersShareAService guards against callers that overload a shared service or leave most of it unused, because they can't
// communicate. Few or many callers must converge on the capacity of the service.
func TestCallersShareAService(t *testing.T) {
	for _, callers := range []int{3, 80} {
		calls, late := simulate(callers, 0.03, 400, 20, [2]int{})
		allCalls, lateCalls := 0, 0
		for i := 10; i < 20; i++ {
			allCalls, lateCalls = allCalls+calls[i], lateCalls+late[i]
		}
		t.Logf("%d callers: %d calls in 10 s, %d of them late; %d calls in the first second, %d of them late", callers, allCalls, lateCalls, calls[0],
			late[0])
		if allCalls < 2000 || allCalls > 4400 || lateCalls > allCalls/10 {
			t.Errorf("%d callers: got %d calls in 10 s, %d of them late; expected 2000 to 4400 calls, at most a tenth of them late",
				callers, allCalls, lateCalls)
		}
	}
}

// TestCallersRecoverAfterAnOutage guards against slow recovery and overload after an outage. When the service answers again, its
// callers soon call it at the former rate without overloading it.
func TestCallersRecoverAfterAnOutage(t *testing.T) {
	for _, c := range []struct {
		callers           int
		timeout, capacity float64
	}{{3, 0.03, 400}, {80, 0.03, 400}, {100, 0.05, 600}, {60, 0.1, 1000}} {
		for _, span := range []int{2, 6, 20} {
			calls, late := simulate(c.callers, c.timeout, c.capacity, 40+span, [2]int{30, 30 + span})
			before, after, lateCalls := 0, 0, 0
			for i := range 3 {
				before += calls[27+i]
				after, lateCalls = after+calls[32+span+i], lateCalls+late[32+span+i]
			}
			t.Logf("%v, outage of %d s: %d calls in 3 s before, %d in 3 s from the third second after, %d late; by second %v, late %v",
				c, span, before, after, lateCalls, calls[30+span:], late[30+span:])
			if after < before*7/10 || lateCalls > after/5 {
				t.Errorf("%v, outage of %d s: got %d calls in 3 s, %d of them late; expected at least 7/10 of the %d before, at most a fifth late",
					c, span, after, lateCalls, before)
			}
		}
	}
}
