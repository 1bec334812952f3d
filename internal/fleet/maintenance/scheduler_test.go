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

func TestRestartOfAllServers(t *testing.T) {
	sim := newSimulation(t, 1, 6, 3, 4)
	sim.submit("evening", Restart, names(sim.servers)...)
	if !sim.runUntilEnded(20 * time.Minute) {
		t.Fatalf("not over after %v: %+v", sim.now, sim.schedule.Requests)
	}
	if r := sim.schedule.Requests[0]; r.State != Done || sim.released != 12 || sim.maxOut > 2 {
		t.Errorf("%s %q, %d turns, %d out at once", r.State, r.Note, sim.released, sim.maxOut)
	}
	t.Logf("12 servers in %v, %d out at most", sim.now, sim.maxOut)
}

// All gateways through a restart: one at a time, voters last, and the leader at the very end.
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
	var order []string
	for now := time.Duration(0); now < 5*time.Minute; now += simulationTick {
		schedule, _ = scheduler.Step(now, 1_700_000_000_000+now.Milliseconds(), schedule, observed)
		out := 0
		for _, m := range schedule.Requests[0].Machines {
			g := observed.Members[m.Name]
			switch m.State {
			case Announced:
				g.Withdrawn = map[string]uint64{m.Name: m.AnnouncementID} // it has no clients
				out++
			case Released:
				if g.ProcessStartedAt == 1 {
					order = append(order, m.Name)
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
			t.Fatalf("%d are out: %+v", out, schedule.Requests[0])
		}
	}
	if got := strings.Join(order, " "); got != "g3 g4 g5 g0 g2 g1" || schedule.Requests[0].State != Done {
		t.Errorf("%s; %+v", got, schedule.Requests[0])
	}
}

func TestReleaseWaitsForStalledGateway(t *testing.T) {
	sim := newSimulation(t, 2, 6, 3, 4)
	sim.gateways["g3"].stalled = sim.now + 10*time.Second
	sim.submit("one", Restart, "s-a1")
	sim.run(9 * time.Second)
	if m := sim.schedule.Requests[0].Machines[0]; m.State != Announced || m.Note != "waits for g3" {
		t.Fatalf("%+v", m)
	}
	sim.run(5 * time.Second)
	if sim.released != 1 {
		t.Errorf("not free after it woke: %+v", sim.schedule.Requests[0])
	}
	// One that is over for good is waited for until a person says so.
	sim.runUntilEnded(time.Minute)
	sim.gateways["g2"].stalled = sim.now + time.Hour
	sim.submit("two", Restart, "s-b1")
	sim.run(time.Minute)
	if m := sim.schedule.Requests[1].Machines[0]; m.State != Announced {
		t.Fatalf("%+v", m)
	}
	if err := sim.apply(removeGateways, Command{Machines: []string{"g2"}}); err != nil {
		t.Fatal(err)
	}
	delete(sim.gateways, "g2")
	sim.run(2 * time.Second)
	if m := sim.schedule.Requests[1].Machines[0]; m.State != Released {
		t.Errorf("%+v", m)
	}
}

func TestFaultWithdrawsAnnouncement(t *testing.T) {
	sim := newSimulation(t, 3, 4, 3, 4)
	sim.gateways["g0"].stalled = sim.now + 5*time.Second
	sim.submit("one", Restart, "s-a1", "s-b1")
	sim.run(time.Second)
	sim.zonesOut = []string{"c"}
	sim.run(time.Second)
	if m := sim.schedule.Requests[0].Machines[0]; m.State != Waiting || !strings.Contains(m.Note, "taken back") {
		t.Fatalf("%+v", m)
	}
	sim.run(10 * time.Second)
	if sim.released != 0 {
		t.Errorf("a turn began while a zone is out")
	}
	sim.zonesOut = nil
	if !sim.runUntilEnded(5*time.Minute) || sim.released != 2 {
		t.Errorf("after the fault: %+v", sim.schedule.Requests[0])
	}
}

func TestUnhealthyMachineIsPutOnHold(t *testing.T) {
	sim := newSimulation(t, 4, 4, 3, 4)
	sim.submit("one", Restart, "s-a1", "s-b1")
	sim.unhealthy["s-a1"] = true
	sim.runUntilEnded(5 * time.Minute)
	r := sim.schedule.Requests[0]
	if r.State != OnHold || r.Machines[0].State != OnHold || !strings.Contains(r.Machines[0].Note, "ill on its return") {
		t.Fatalf("%+v", r)
	}
	withdrawnMachines := sim.schedule.Withdrawn()
	if _, withdrawn := withdrawnMachines["s-a1"]; !withdrawn {
		t.Error("the machine that failed is used")
	}
	sim.unhealthy["s-a1"] = false
	if err := sim.apply(resumeRequest, Command{ID: r.ID}); err != nil {
		t.Fatal(err)
	}
	if !sim.runUntilEnded(5*time.Minute) || sim.schedule.Requests[0].State != Done {
		t.Errorf("resumed: %+v", sim.schedule.Requests[0])
	}
	// One that nobody gives back is tried once its time is up.
	sim.neverDone = true
	sim.submit("two", Restart, "s-c1")
	if !sim.runUntilEnded(5*time.Minute) || sim.schedule.Requests[1].State != Done {
		t.Errorf("never said to be done: %+v", sim.schedule.Requests[1])
	}
}

// A schedule in which nothing happens makes no new plans: notes alone make one in three seconds.
func TestNotesAreRateLimited(t *testing.T) {
	sim := newSimulation(t, 6, 12, 3, 4)
	sim.gateways["g3"].stalled = sim.now + time.Hour
	sim.submit("one", Restart, names(sim.servers)...)
	sim.run(5 * time.Second)
	planChangesBefore := sim.planChanges
	sim.run(30 * time.Second)
	if n := sim.planChanges - planChangesBefore; n > 11 {
		t.Errorf("%d plans in 30 s of waiting", n)
	}
}

// A server in slow start whose answers come late is healthy; one that never answers is not.
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
			t.Errorf("never answers: %v: %d good, %d bad", neverAnswers, served, failed)
		}
	}
}

func TestCommands(t *testing.T) {
	sim := newSimulation(t, 5, 2, 2, 3)
	sim.submit("k", Restart, "s-a1")
	sim.submit("k", Restart, "s-a1") // sent twice, through two gateways
	if len(sim.schedule.Requests) != 1 {
		t.Fatalf("%+v", sim.schedule.Requests)
	}
	for name, c := range map[string]struct {
		Command
		want error
	}{
		"another's machine":       {Command{Key: "x", Kind: Restart, ForMS: 1, Machines: []string{"s-a1"}}, ErrConflict},
		"a key of something else": {Command{Key: "k", Kind: Off, ForMS: 1, Machines: []string{"s-a2"}}, ErrConflict},
		"no kind":                 {Command{Key: "x", ForMS: 1, Machines: []string{"s-a2"}}, ErrInvalid},
		"no time":                 {Command{Key: "x", Kind: Off, Machines: []string{"s-a2"}}, ErrInvalid},
		"none":                    {Command{Key: "x", Kind: Off, ForMS: 1}, ErrInvalid},
		"after none":              {Command{Key: "x", Kind: Off, ForMS: 1, After: 77, Machines: []string{"s-a2"}}, ErrUnknown},
	} {
		if err := sim.apply(submitRequest, c.Command); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := sim.apply(completeWork, Command{ID: 1, Machines: []string{"s-a1"}}); !errors.Is(err, ErrState) {
		t.Error("done before it is free")
	}
	sim.run(3 * time.Second)
	if sim.schedule.Requests[0].Machines[0].State != Released {
		t.Fatalf("%+v", sim.schedule.Requests[0])
	}
	if err := sim.apply(cancelRequest, Command{ID: 1}); err != nil || sim.schedule.Requests[0].Machines[0].State != Released {
		t.Errorf("a free machine is cancelled: %+v %v", sim.schedule.Requests[0], err)
	}
	sim.submit("gone", Off, "s-b1")
	sim.runUntilEnded(2 * time.Minute)
	if _, withdrawn := sim.schedule.Withdrawn()["s-b1"]; !withdrawn || sim.schedule.Requests[1].State != Done {
		t.Errorf("off, and used again: %+v", sim.schedule.Requests[1])
	}
	if err := sim.apply(cancelRequest, Command{ID: 9}); !errors.Is(err, ErrUnknown) {
		t.Error("cancels what is not there")
	}
}

// Whatever stalls, fails or is cancelled: nothing is sent to a free machine, the bounds hold, and every request ends or is held.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, gateways, servers := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "gateways"), rapid.IntRange(2, 5).Draw(t, "servers")
		sim := newSimulation(t, seed, gateways, 3, servers)
		all := names(sim.servers)
		for range 120 {
			switch sim.rng.IntN(12) {
			case 0:
				g := sim.gateways[fmt.Sprint("g", sim.rng.IntN(gateways))]
				g.stalled = sim.now + time.Duration(sim.rng.IntN(10_000))*time.Millisecond
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
				t.Fatalf("%d out at once, %d at most", sim.maxOut, limit)
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
			t.Fatalf("some wait for ever: %+v", sim.schedule.Requests)
		}
	})
}
