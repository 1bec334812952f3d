package maintenance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func fleetOf(zones, each int) map[string]Server {
	servers := map[string]Server{}
	for z := range zones {
		for i := range each {
			servers[fmt.Sprintf("s-%c%d", 'a'+z, i)] = Server{Zone: string(rune('a' + z)), Ready: true}
		}
	}
	return servers
}

// What is told ahead is what the order's code does: all machines once, no more out than may be, and what can't go is said.
func TestSimulate(t *testing.T) {
	cfg := Defaults
	servers := fleetOf(3, 4)
	c := Command{By: "ann", Reason: "release", Key: "k", Kind: Restart, ForMS: 60_000, Machines: names(servers)}
	a, err := Simulate(cfg, servers, c, 0.7, 0.22)
	if err != nil || len(a.Turns) != 12 || a.MaxOut > 2 || len(a.Stuck) > 0 || a.Spare > 0.3 || a.Spare < 0 {
		t.Errorf("%+v %v", a, err)
	}
	t.Logf("12 servers, a minute each, load 0.7: %v, %d out at most, %.2f to spare", a.Elapsed, a.MaxOut, a.Spare)
	if a, err = Simulate(cfg, fleetOf(1, 1), Command{By: "ann", Reason: "x", Key: "k", Kind: Restart, ForMS: 60_000, Machines: []string{"s-a0"}}, 0.2, 0.22); err != nil ||
		len(a.Turns) != 0 || len(a.Stuck) != 1 {
		t.Errorf("the last server: %+v %v", a, err)
	}
	if _, err = Simulate(cfg, servers, Command{By: "ann", Reason: "x", Key: "k", Kind: Restart, Machines: []string{"s-a0"}}, 0.2, 0.22); err == nil {
		t.Error("a request that is refused is simulated")
	}
}

// At large size: 200 servers in 12 zones, 40 % of them through work.
func TestLargeEvening(t *testing.T) {
	servers := fleetOf(12, 17)
	all := names(servers)
	c := Command{By: "ann", Reason: "release", Key: "k", Kind: Restart, ForMS: 120_000, Machines: all[:82]}
	began := time.Now()
	a, err := Simulate(Defaults, servers, c, 0.7, 0.22)
	if err != nil || len(a.Turns) != 82 || a.Elapsed > time.Hour {
		t.Fatalf("%d turns within %v, stuck %v, %v", len(a.Turns), a.Elapsed, a.Stuck, err)
	}
	t.Logf("82 of 204 servers, two minutes each, load 0.7: %v, %d out at most, %.3f to spare; %v to reckon", a.Elapsed, a.MaxOut, a.Spare,
		time.Since(began).Round(time.Millisecond))
}

// A hundred requests of mixed size: none starves, and the longest wait is not far from the mean.
func TestFairness(t *testing.T) {
	w := newWorld(t, 21, 30, 3, 20)
	all := names(w.servers)
	asked := 0
	for asked < 100 {
		var machines []string
		for range 1 + w.rng.IntN(6)*w.rng.IntN(2) {
			if m := all[w.rng.IntN(len(all))]; !slices.Contains(machines, m) {
				machines = append(machines, m)
			}
		}
		if w.call(request, Command{Key: fmt.Sprint("r", asked), Kind: Restart, ForMS: 60_000, Machines: machines}) == nil {
			asked++
		}
		w.run(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
	}
	first := map[string]time.Duration{}
	look := func() {
		for _, r := range w.b.Requests {
			if _, ok := first[r.Key]; !ok && slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.Turn > 0 }) {
				first[r.Key] = time.Duration(w.unix()-r.RequestedAt) * time.Millisecond
			}
		}
	}
	for end := w.now + 4*time.Hour; w.now < end && slices.ContainsFunc(w.b.Requests, func(r Request) bool { return !r.ended() }); {
		w.step()
		look()
	}
	longest, sum := time.Duration(0), time.Duration(0)
	for _, d := range first {
		longest, sum = max(longest, d), sum+d
	}
	mean := sum / time.Duration(max(1, len(first)))
	for _, r := range w.b.Requests {
		if r.State != Done {
			t.Errorf("%+v", r)
		}
	}
	if longest > 6*mean+time.Minute {
		t.Errorf("the longest wait %v, the mean %v", longest, mean)
	}
	t.Logf("100 requests over 30 gateways: over after %v, first turns after %v in the mean, %v at worst", w.now, mean, longest)
}
