package maintenance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// serversIn returns perZone ready servers in each of a number of zones.
func serversIn(zones, perZone int) map[string]Server {
	servers := map[string]Server{}
	for z := range zones {
		for i := range perZone {
			servers[fmt.Sprintf("s-%c%d", 'a'+z, i)] = Server{Zone: string(rune('a' + z)), Ready: true}
		}
	}
	return servers
}

// A forecast has each machine once, respects the limits on machines out at the same time, and names the machines that are stuck.
func TestSimulate(t *testing.T) {
	cfg := Defaults
	servers := serversIn(3, 4)
	c := Command{By: "ann", Reason: "release", Key: "k", Kind: Restart, ForMS: 60_000, Machines: sortedNames(servers)}
	forecast, err := Simulate(cfg, servers, c, 0.7, 0.22)
	if err != nil || len(forecast.Steps) != 12 || forecast.MaxOut > 2 || len(forecast.Stuck) > 0 || forecast.Spare > 0.3 || forecast.Spare < 0 {
		t.Errorf("restart of 12 servers: got %+v, error %v, expected 12 steps, at most 2 servers out, none stuck and spare capacity of 0 to 0.3", forecast, err)
	}
	t.Logf("12 servers, a minute each, load 0.7: %v, at most %d out at once, spare capacity %.2f", forecast.Elapsed, forecast.MaxOut, forecast.Spare)
	if forecast, err = Simulate(cfg, serversIn(1, 1), Command{By: "ann", Reason: "x", Key: "k", Kind: Restart, ForMS: 60_000, Machines: []string{"s-a0"}}, 0.2, 0.22); err != nil ||
		len(forecast.Steps) != 0 || len(forecast.Stuck) != 1 {
		t.Errorf("restart of the only server: got %+v, error %v, expected no steps and a stuck machine", forecast, err)
	}
	if _, err = Simulate(cfg, servers, Command{By: "ann", Reason: "x", Key: "k", Kind: Restart, Machines: []string{"s-a0"}}, 0.2, 0.22); err == nil {
		t.Error("Simulate accepts an invalid request")
	}
}

// The restart of 40 % of 200 servers in 12 zones ends within an hour.
func TestSimulateLargeFleet(t *testing.T) {
	servers := serversIn(12, 17)
	all := sortedNames(servers)
	c := Command{By: "ann", Reason: "release", Key: "k", Kind: Restart, ForMS: 120_000, Machines: all[:82]}
	startedAt := time.Now()
	forecast, err := Simulate(Defaults, servers, c, 0.7, 0.22)
	if err != nil || len(forecast.Steps) != 82 || forecast.Elapsed > time.Hour {
		t.Fatalf("got %d machines within %v, stuck %v, error %v, expected 82 within an hour", len(forecast.Steps), forecast.Elapsed, forecast.Stuck, err)
	}
	t.Logf("82 of 204 servers, two minutes each, load 0.7: %v, at most %d out at once, spare capacity %.3f; computed in %v", forecast.Elapsed, forecast.MaxOut, forecast.Spare,
		time.Since(startedAt).Round(time.Millisecond))
}

// A hundred requests of mixed size all end, and the longest wait for a first announcement is at most six times the mean plus a minute.
func TestFairness(t *testing.T) {
	sim := newSimulation(t, 21, 30, 3, 20)
	all := sortedNames(sim.servers)
	submitted := 0
	for submitted < 100 {
		var machines []string
		for range 1 + sim.rng.IntN(6)*sim.rng.IntN(2) {
			if m := all[sim.rng.IntN(len(all))]; !slices.Contains(machines, m) {
				machines = append(machines, m)
			}
		}
		if sim.apply(submitRequest, Command{Key: fmt.Sprint("r", submitted), Kind: Restart, ForMS: 60_000, Machines: machines}) == nil {
			submitted++
		}
		sim.run(time.Duration(sim.rng.IntN(4000)) * time.Millisecond)
	}
	firstAnnouncedAfter := map[string]time.Duration{}
	recordAnnouncements := func() {
		for _, r := range sim.schedule.Requests {
			if _, ok := firstAnnouncedAfter[r.Key]; !ok && slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.AnnouncementID > 0 }) {
				firstAnnouncedAfter[r.Key] = time.Duration(sim.unixMS()-r.RequestedAt) * time.Millisecond
			}
		}
	}
	for end := sim.now + 4*time.Hour; sim.now < end && slices.ContainsFunc(sim.schedule.Requests, func(r Request) bool { return !r.ended() }); {
		sim.step()
		recordAnnouncements()
	}
	longest, sum := time.Duration(0), time.Duration(0)
	for _, d := range firstAnnouncedAfter {
		longest, sum = max(longest, d), sum+d
	}
	mean := sum / time.Duration(max(1, len(firstAnnouncedAfter)))
	for _, r := range sim.schedule.Requests {
		if r.State != Done {
			t.Errorf("got %+v, expected the request to be done", r)
		}
	}
	if longest > 6*mean+time.Minute {
		t.Errorf("longest wait for the first announcement is %v, mean is %v, expected 6 times the mean plus a minute at most", longest, mean)
	}
	t.Logf("100 requests with 30 gateways: ended after %v; mean time to the first announcement %v, longest %v", sim.now, mean, longest)
}
