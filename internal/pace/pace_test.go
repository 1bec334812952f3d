package pace

import (
	"math/rand/v2"
	"testing"
)

// play has callers that always want to call share a service of so many calls a second, and counts second by second.
func play(callers int, capacity float64, seconds int) (calls, late []int) {
	const timeout, step = 0.03, 0.001
	rng := rand.New(rand.NewPCG(1, 2))
	all := make([]*Pacer, callers)
	for i := range all {
		all[i] = New(timeout, callers)
	}
	calls, late = make([]int, seconds), make([]int, seconds)
	type answer struct {
		p       *Pacer
		latency float64
	}
	due := map[int][]answer{}
	free := 0.0
	for tick := range seconds * 1000 {
		now := float64(tick) * step
		for _, a := range due[tick] {
			a.p.Answered(a.latency <= timeout, a.latency)
		}
		delete(due, tick)
		for _, i := range rng.Perm(callers) {
			if !all[i].Ready(int64(now * 1e9)) {
				continue
			}
			all[i].Called()
			free = max(free, now) + 1/capacity
			latency := free - now + 0.004
			at := tick + 1 + int(min(latency, 3*timeout)/step)
			due[at] = append(due[at], answer{all[i], latency})
			if calls[int(now)]++; latency > timeout {
				late[int(now)]++
			}
		}
	}
	return calls, late
}

// Callers that know nothing of each other find a pace that the service bears, few or many, and use what it has.
func TestCallersShareAService(t *testing.T) {
	for _, callers := range []int{3, 80} {
		calls, late := play(callers, 400, 20)
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
