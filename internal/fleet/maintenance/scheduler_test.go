package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A request for a restart of all 12 servers must end as done after 12 releases. A request that gets stuck, a second release of a server,
// or more than two servers out at the same time would be a fault of the limits or of the transitions.
func TestRestartOfAllServers(t *testing.T) {
	sim := newSimulation(t, 1, 6, 3, 4)
	sim.submit("evening", Restart, sortedNames(sim.servers)...)
	if !sim.runUntilEnded(20 * time.Minute) {
		t.Fatalf("the request has not ended after %v: %+v", sim.now, sim.schedule.Requests)
	}
	if r := sim.schedule.Requests[0]; r.State != Done || sim.released != 12 || sim.maxOut > 2 {
		t.Errorf("request is %s (%q), %d machines released, %d out at once, expected done, 12 and 2 at most", r.State, r.Note, sim.released, sim.maxOut)
	}
	t.Logf("12 servers in %v, at most %d out at once", sim.now, sim.maxOut)
}

// A request for a restart of all gateways takes one at a time out of service, the voters after the others and the leader last.
func TestRestartOfAllGateways(t *testing.T) {
	scheduler, schedule, observed := New(Defaults), Schedule{}, Observations{Members: map[string]Member{}, Servers: map[string]Server{"s-a0": {Zone: "a", Ready: true}}}
	var all []string
	for i := range 6 {
		name := fmt.Sprint("g", i)
		all = append(all, name)
		observed.Members[name] = Member{Reachable: true, Fresh: true, Zone: string(rune('a' + i%3)), Voter: i < 3, Leader: i == 1, ProcessStartedAt: 1}
	}
	c := Command{By: "ann", Reason: "release", Key: "k", Kind: Restart, ForMS: 60_000, Machines: all}
	if err := submitRequest(&schedule, c, 0); err != nil {
		t.Fatal(err)
	}
	var releaseOrder []string
	for now := time.Duration(0); now < 5*time.Minute; now += simulationTick {
		schedule, _ = scheduler.Step(now, 1_700_000_000_000+now.Milliseconds(), schedule, observed)
		out := 0
		for _, m := range schedule.Requests[0].Machines {
			g := observed.Members[m.Name]
			switch m.State {
			case Announced:
				g.Withdrawn = map[string]uint64{m.Name: m.AnnouncementID} // the gateway has no clients
				out++
			case Released:
				if g.ProcessStartedAt == 1 {
					releaseOrder = append(releaseOrder, m.Name)
				}
				g = Member{Reachable: true, Fresh: true, Zone: g.Zone, Voter: g.Voter, Leader: g.Leader, ProcessStartedAt: 2, Withdrawn: g.Withdrawn}
				observed.Members[m.Name] = g
				if err := completeWork(&schedule, Command{ID: 1, Machines: []string{m.Name}}, 1_700_000_000_000+now.Milliseconds()); err != nil {
					t.Fatal(err)
				}
				out++
			case Returned:
				out++
			}
			observed.Members[m.Name] = g
		}
		if out > 1 {
			t.Fatalf("%d gateways are out, expected 1 at most: %+v", out, schedule.Requests[0])
		}
	}
	if got := strings.Join(releaseOrder, " "); got != "g3 g4 g5 g0 g2 g1" || schedule.Requests[0].State != Done {
		t.Errorf("released in the order %s, expected the voters after the others and the leader g1 last; %+v", got, schedule.Requests[0])
	}
}

// A machine is not released before a stalled gateway acknowledges, or an operator removes the gateway: a gateway that has not applied the
// plan may still send to the machine.
func TestReleaseWaitsForStalledGateway(t *testing.T) {
	sim := newSimulation(t, 2, 6, 3, 4)
	sim.gateways["g3"].stalledUntil = sim.now + 10*time.Second
	sim.submit("one", Restart, "s-a1")
	sim.run(9 * time.Second)
	if m := sim.schedule.Requests[0].Machines[0]; m.State != Announced || m.Note != "waits for g3" {
		t.Fatalf("with a stalled gateway: got %+v, expected it announced and waiting for g3", m)
	}
	sim.run(5 * time.Second)
	if sim.released != 1 {
		t.Errorf("after the gateway resumed: got %+v, expected the machine to be released", sim.schedule.Requests[0])
	}
	// A gateway whose process ended without leaving blocks the release until an operator removes it.
	sim.runUntilEnded(time.Minute)
	sim.gateways["g2"].stalledUntil = sim.now + time.Hour
	sim.submit("two", Restart, "s-b1")
	sim.run(time.Minute)
	if m := sim.schedule.Requests[1].Machines[0]; m.State != Announced {
		t.Fatalf("with a gateway that does not return: got %+v, expected it announced", m)
	}
	if err := sim.apply(removeGateways, Command{Machines: []string{"g2"}}); err != nil {
		t.Fatal(err)
	}
	delete(sim.gateways, "g2")
	sim.run(2 * time.Second)
	if m := sim.schedule.Requests[1].Machines[0]; m.State != Released {
		t.Errorf("after the removal of the gateway: got %+v, expected it released", m)
	}
}

// When a zone goes out of service, an announcement must be withdrawn, and no machine may be released until the zone is back.
func TestFaultWithdrawsAnnouncement(t *testing.T) {
	sim := newSimulation(t, 3, 4, 3, 4)
	sim.gateways["g0"].stalledUntil = sim.now + 5*time.Second
	sim.submit("one", Restart, "s-a1", "s-b1")
	sim.run(time.Second)
	sim.zonesOut = []string{"c"}
	sim.run(time.Second)
	if m := sim.schedule.Requests[0].Machines[0]; m.State != Waiting || !strings.Contains(m.Note, "taken back") {
		t.Fatalf("with a zone out of service: got %+v, expected it waiting and its announcement taken back", m)
	}
	sim.run(10 * time.Second)
	if sim.released != 0 {
		t.Errorf("a machine was released while a zone is out of service")
	}
	sim.zonesOut = nil
	if !sim.runUntilEnded(5*time.Minute) || sim.released != 2 {
		t.Errorf("after the fault: got %+v, expected two released machines and the end of the request", sim.schedule.Requests[0])
	}
}

// A machine that fails after its return is put on hold and withdrawn, together with its request, until an operator resumes the request. A
// machine whose work the operator never completes returns at the end of the time that was requested for it.
func TestUnhealthyMachineIsPutOnHold(t *testing.T) {
	sim := newSimulation(t, 4, 4, 3, 4)
	sim.submit("one", Restart, "s-a1", "s-b1")
	sim.unhealthy["s-a1"] = true
	sim.runUntilEnded(5 * time.Minute)
	r := sim.schedule.Requests[0]
	if r.State != OnHold || r.Machines[0].State != OnHold || !strings.Contains(r.Machines[0].Note, "ill on its return") {
		t.Fatalf("with an unhealthy machine: got %+v, expected the request and the machine on hold", r)
	}
	withdrawnMachines := sim.schedule.Withdrawn()
	if _, withdrawn := withdrawnMachines["s-a1"]; !withdrawn {
		t.Error("the unhealthy machine is not withdrawn")
	}
	sim.unhealthy["s-a1"] = false
	if err := sim.apply(resumeRequest, Command{ID: r.ID}); err != nil {
		t.Fatal(err)
	}
	if !sim.runUntilEnded(5*time.Minute) || sim.schedule.Requests[0].State != Done {
		t.Errorf("after resuming: got %+v, expected the request to be done", sim.schedule.Requests[0])
	}
	sim.neverDone = true
	sim.submit("two", Restart, "s-c1")
	if !sim.runUntilEnded(5*time.Minute) || sim.schedule.Requests[1].State != Done {
		t.Errorf("without completion by the operator: got %+v, expected the request to be done", sim.schedule.Requests[1])
	}
}

// While only notes change, the scheduler proposes at most one plan in three seconds.
func TestNotesAreRateLimited(t *testing.T) {
	sim := newSimulation(t, 6, 12, 3, 4)
	sim.gateways["g3"].stalledUntil = sim.now + time.Hour
	sim.submit("one", Restart, sortedNames(sim.servers)...)
	sim.run(5 * time.Second)
	planChangesBefore := sim.planChanges
	sim.run(30 * time.Second)
	if n := sim.planChanges - planChangesBefore; n > 11 {
		t.Errorf("got %d plans in 30 s in which only notes changed, expected 11 at most", n)
	}
}

// A server in slow start whose answers are late is healthy. A server that never answers is not.
func TestLateAnswerIsNotFailure(t *testing.T) {
	for _, neverAnswers := range []bool{false, true} {
		scheduler := New(Defaults)
		for now := time.Duration(0); now < 4*time.Second; now += simulationTick {
			late := uint64(1)
			if now < 2*simulationTick || neverAnswers {
				late = 0
			}
			scheduler.Observe(now, "s", 0, 0, 1, late)
		}
		if served, failed := scheduler.healthSince("s", 4*time.Second, 0); neverAnswers != (failed >= 3) || neverAnswers != (served == 0) {
			t.Errorf("server never answers: %v: got %d served and %d failed, expected failures only if it never answers", neverAnswers, served, failed)
		}
	}
}

// Requests are idempotent by key, and invalid commands are rejected with the matching cause. A released machine can't be cancelled.
func TestCommands(t *testing.T) {
	sim := newSimulation(t, 5, 2, 2, 3)
	sim.submit("k", Restart, "s-a1")
	sim.submit("k", Restart, "s-a1") // the same request through another gateway
	if len(sim.schedule.Requests) != 1 {
		t.Fatalf("a repeated request was added: %+v", sim.schedule.Requests)
	}
	for name, c := range map[string]struct {
		Command
		want error
	}{
		"machine of another request": {Command{Key: "x", Kind: Restart, ForMS: 1, Machines: []string{"s-a1"}}, ErrConflict},
		"key of a different request": {Command{Key: "k", Kind: Off, ForMS: 1, Machines: []string{"s-a2"}}, ErrConflict},
		"no kind":                    {Command{Key: "x", ForMS: 1, Machines: []string{"s-a2"}}, ErrInvalid},
		"no duration":                {Command{Key: "x", Kind: Off, Machines: []string{"s-a2"}}, ErrInvalid},
		"none":                       {Command{Key: "x", Kind: Off, ForMS: 1}, ErrInvalid},
		"after an unknown request":   {Command{Key: "x", Kind: Off, ForMS: 1, After: 77, Machines: []string{"s-a2"}}, ErrUnknown},
	} {
		if err := sim.apply(submitRequest, c.Command); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, expected the cause in the table", name, err)
		}
	}
	if err := sim.apply(completeWork, Command{ID: 1, Machines: []string{"s-a1"}}); !errors.Is(err, ErrState) {
		t.Error("completing a machine before its release does not fail with ErrState")
	}
	sim.run(3 * time.Second)
	if sim.schedule.Requests[0].Machines[0].State != Released {
		t.Fatalf("3 s after the request: got %+v, expected its machine released", sim.schedule.Requests[0])
	}
	if err := sim.apply(cancelRequest, Command{ID: 1}); err != nil || sim.schedule.Requests[0].Machines[0].State != Released {
		t.Errorf("cancelling a request with a released machine: got %+v, error %v, expected the machine to stay released", sim.schedule.Requests[0], err)
	}
	sim.submit("gone", Off, "s-b1")
	sim.runUntilEnded(2 * time.Minute)
	if _, withdrawn := sim.schedule.Withdrawn()["s-b1"]; !withdrawn || sim.schedule.Requests[1].State != Done {
		t.Errorf("maintenance of kind off: got %+v, expected the request done and its machine withdrawn", sim.schedule.Requests[1])
	}
	if err := sim.apply(cancelRequest, Command{ID: 9}); !errors.Is(err, ErrUnknown) {
		t.Error("cancelling an unknown request does not fail with ErrUnknown")
	}
}

// Under random stalls, faults and commands, gateways send nothing to a released machine, the limit on machines out at the same time holds, and
// every request ends or is put on hold.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, gateways, servers := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "gateways"), rapid.IntRange(2, 5).Draw(t, "servers")
		sim := newSimulation(t, seed, gateways, 3, servers)
		all := sortedNames(sim.servers)
		for range 120 {
			switch sim.rng.IntN(12) {
			case 0:
				g := sim.gateways[fmt.Sprint("g", sim.rng.IntN(gateways))]
				g.stalledUntil = sim.now + time.Duration(sim.rng.IntN(10_000))*time.Millisecond
			case 1:
				sim.zonesOut = nil
				if sim.rng.IntN(3) == 0 {
					sim.zonesOut = []string{string(rune('a' + sim.rng.IntN(3)))}
				}
			case 2:
				sim.saturated = sim.rng.IntN(4) == 0
			case 3, 4, 5:
				var machines []string
				for range 1 + sim.rng.IntN(4) {
					if m := all[sim.rng.IntN(len(all))]; !slices.Contains(machines, m) {
						machines = append(machines, m)
					}
				}
				_ = sim.apply(submitRequest, Command{Key: fmt.Sprint(sim.now), Kind: Restart, ForMS: int64(1000 + sim.rng.IntN(20_000)), Machines: machines})
			case 6:
				if n := len(sim.schedule.Requests); n > 0 {
					_ = sim.apply(cancelRequest, Command{ID: sim.schedule.Requests[sim.rng.IntN(n)].ID})
				}
			case 7:
				sim.unhealthy[all[sim.rng.IntN(len(all))]] = sim.rng.IntN(2) == 0
			case 8:
				sim.neverDone = sim.rng.IntN(3) == 0
			}
			sim.run(time.Duration(200+sim.rng.IntN(3000)) * time.Millisecond)
			if limit := max(1, int(Defaults.MaxServerFraction*float64(len(all)))); sim.maxOut > limit {
				t.Fatalf("%d machines out at once, limit %d", sim.maxOut, limit)
			}
		}
		sim.zonesOut, sim.saturated, sim.neverDone = nil, false, false
		clear(sim.unhealthy)
		for i := range sim.schedule.Requests {
			if r := &sim.schedule.Requests[i]; r.State == OnHold {
				_ = sim.apply(resumeRequest, Command{ID: r.ID})
			}
		}
		if !sim.runUntilEnded(4 * time.Hour) {
			t.Fatalf("requests have not ended 4 h after the last fault: %+v", sim.schedule.Requests)
		}
	})
}
