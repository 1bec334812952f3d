package ratelimit

import (
	"math/rand/v2"
	"testing"
)

// simulate has callers that always want to call share a service with a capacity in calls a second, and returns the calls and
// the late ones by second. During the outage, from one second to another, the service answers nothing.
func simulate(callers int, timeout, capacity float64, seconds int, outage [2]int) (calls, late []int) {
	const step = 0.001
	rng := rand.New(rand.NewPCG(1, 2))
	all := make([]*Limiter, callers)
	for i := range all {
		all[i] = New(timeout, callers)
	}
	calls, late = make([]int, seconds), make([]int, seconds)
	type answer struct {
		p       *Limiter
		latency float64
	}
	answers := map[int][]answer{}
	free := 0.0
	for tick := range seconds * 1000 {
		now := float64(tick) * step
		for _, a := range answers[tick] {
			a.p.Observe(a.latency <= timeout, a.latency)
		}
		delete(answers, tick)
		for _, i := range rng.Perm(callers) {
			if !all[i].Allow(int64(now * 1e9)) {
				continue
			}
			all[i].Spend()
			free = max(free, now) + 1/capacity
			latency := free - now + 0.004
			if int(now) >= outage[0] && int(now) < outage[1] {
				free, latency = 0, 2*timeout
			}
			at := tick + 1 + int(min(latency, 3*timeout)/step)
			answers[at] = append(answers[at], answer{all[i], latency})
			if calls[int(now)]++; latency > timeout {
				late[int(now)]++
			}
		}
	}
	return calls, late
}

// Callers that know nothing of each other converge on the capacity of the service, few or many.
func TestCallersShareAService(t *testing.T) {
	for _, callers := range []int{3, 80} {
		calls, late := simulate(callers, 0.03, 400, 20, [2]int{})
		all, slow := 0, 0
		for i := 10; i < 20; i++ {
			all, slow = all+calls[i], slow+late[i]
		}
		t.Logf("%d callers: %d calls in 10 s, %d late; in the first second %d, %d late", callers, all, slow, calls[0], late[0])
		if all < 2000 || all > 4400 || slow > all/10 {
			t.Errorf("%d callers: %d calls in 10 s, %d of them late, where 4000 are served", callers, all, slow)
		}
	}
}

// Once a service answers again after an outage, its callers soon use it as before, without overloading it.
func TestCallersRecoverAfterAnOutage(t *testing.T) {
	for _, c := range []struct {
		callers           int
		timeout, capacity float64
	}{{3, 0.03, 400}, {80, 0.03, 400}, {100, 0.05, 600}, {60, 0.1, 1000}} {
		for _, span := range []int{2, 6, 20} {
			calls, late := simulate(c.callers, c.timeout, c.capacity, 40+span, [2]int{30, 30 + span})
			before, after, slow := 0, 0, 0
			for i := range 3 {
				before += calls[27+i]
				after, slow = after+calls[32+span+i], slow+late[32+span+i]
			}
			t.Logf("%v, outage of %d s: %d calls in 3 s before, %d from the third second after, %d late; each second %v, late %v",
				c, span, before, after, slow, calls[30+span:], late[30+span:])
			if after < before*7/10 || slow > after/5 {
				t.Errorf("%v, outage of %d s: %d calls in 3 s, %d of them late, where there were %d before", c, span, after, slow, before)
			}
		}
	}
}
