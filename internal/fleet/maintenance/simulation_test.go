package maintenance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const simulationTick = 200 * time.Millisecond

// gateway is a simulated gateway. It applies plans late, and none while it is stalled. It follows the plan that it applied last.
type gateway struct {
	withdrawn     map[string]uint64        // withdrawn machines of the plan that it applied last
	acknowledged  map[string]uint64        // withdrawn machines in its last report
	stalledUntil  time.Duration            // time until which it does nothing
	attemptEndsAt map[string]time.Duration // time at which its last attempt to each machine ends
}

// simulation is a fleet on a virtual clock. The leader steps the schedule, and gateways send to every machine that their plan does not withdraw.
type simulation struct {
	t           fataler
	rng         *rand.Rand
	scheduler   *Scheduler
	now         time.Duration
	schedule    Schedule
	servers     map[string]Server
	gateways    map[string]*gateway
	zonesOut    []string        // zones that are not in service
	saturated   bool            // true if servers reject too many requests
	rate        float64         // attempts a second of all gateways together
	workTime    time.Duration   // time that the operator needs for a machine
	neverDone   bool            // true if the operator never completes the work
	unhealthy   map[string]bool // machines whose attempts all fail
	maxOut      int             // highest number of machines that were out at the same time
	released    int             // number of machines that were released
	planChanges int             // number of steps that changed the schedule
}

// fataler is the part of testing.T and rapid.T that the simulation uses.
type fataler interface{ Fatalf(string, ...any) }

// newSimulation returns a simulation with a number of gateways, of zones, and of servers in each zone, after 2 s.
func newSimulation(t fataler, seed uint64, gateways, zones, servers int) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 5)), scheduler: New(Defaults), servers: map[string]Server{}, gateways: map[string]*gateway{},
		rate: 100, workTime: 5 * time.Second, unhealthy: map[string]bool{}}
	for i := range gateways {
		sim.gateways[fmt.Sprint("g", i)] = &gateway{withdrawn: map[string]uint64{}, acknowledged: map[string]uint64{}, attemptEndsAt: map[string]time.Duration{}}
	}
	for z := range zones {
		for i := range servers {
			sim.servers[fmt.Sprintf("s-%c%d", 'a'+z, i)] = Server{Zone: string(rune('a' + z)), Ready: true}
		}
	}
	sim.run(2 * time.Second)
	return sim
}

func (sim *simulation) unixMS() int64 { return 1_700_000_000_000 + sim.now.Milliseconds() }

// apply runs a command on the schedule, which stays as it is if the command is rejected.
func (sim *simulation) apply(command func(*Schedule, Command, int64) error, c Command) error {
	c.By, c.Reason = "ann", "release"
	next := sim.schedule.clone()
	if err := command(&next, c, sim.unixMS()); err != nil {
		return err
	}
	sim.schedule = next
	return nil
}

// submit adds a request that releases each machine for at most a minute.
func (sim *simulation) submit(key string, kind Kind, machines ...string) {
	if err := sim.apply(submitRequest, Command{Key: key, Kind: kind, ForMS: 60_000, Machines: machines}); err != nil {
		sim.t.Fatalf("submit request %s: %v", key, err)
	}
}

// step simulates one tick. Gateways send and report, the leader steps the schedule, and operators work on released machines.
func (sim *simulation) step() {
	sim.now += simulationTick
	releasedMachines := map[string]bool{}
	for _, r := range sim.schedule.Requests {
		for _, m := range r.Machines {
			if m.State == Released {
				releasedMachines[m.Name] = true
			}
		}
	}
	names := slices.Sorted(maps.Keys(sim.servers))
	for _, name := range slices.Sorted(maps.Keys(sim.gateways)) {
		g := sim.gateways[name]
		if g.stalledUntil > sim.now {
			continue
		}
		for range 3 { // attempts that follow the applied plan
			to := names[sim.rng.IntN(len(names))]
			if _, withdrawn := g.withdrawn[to]; withdrawn || !sim.servers[to].Ready || slices.Contains(sim.schedule.Off, to) && sim.rng.IntN(2) == 0 {
				continue
			}
			if releasedMachines[to] {
				sim.t.Fatalf("%v: %s sends to %s, which is released", sim.now, name, to)
			}
			g.attemptEndsAt[to] = sim.now + time.Duration(sim.rng.IntN(800))*time.Millisecond
			if sim.unhealthy[to] {
				sim.scheduler.Observe(sim.now, to, 0, 1, 0, 0)
			} else {
				sim.scheduler.Observe(sim.now, to, 1, 0, 0, 0)
			}
		}
		if sim.rng.IntN(3) > 0 { // the gateway receives the plan and applies it
			g.withdrawn = sim.schedule.Withdrawn()
		}
		g.acknowledged = map[string]uint64{}
		for to, id := range g.withdrawn {
			if g.attemptEndsAt[to] <= sim.now {
				g.acknowledged[to] = id
			}
		}
	}
	observed := Observations{Servers: sim.servers, Members: map[string]Member{}, ZonesNotInService: sim.zonesOut, Saturated: sim.saturated, Rate: sim.rate}
	for name, g := range sim.gateways {
		observed.Members[name] = Member{Reachable: g.stalledUntil <= sim.now, Withdrawn: g.acknowledged}
	}
	var changed bool
	if sim.schedule, changed = sim.scheduler.Step(sim.now, sim.unixMS(), sim.schedule, observed); changed {
		sim.planChanges++
	}
	out := 0
	for i := range sim.schedule.Requests {
		r := &sim.schedule.Requests[i]
		for j := range r.Machines {
			m := &r.Machines[j]
			if m.State == Announced || m.State == Released {
				out++
			}
			if m.State != Released {
				continue
			}
			if !releasedMachines[m.Name] {
				sim.released++
				for name, g := range sim.gateways {
					if g.attemptEndsAt[m.Name] > sim.now {
						sim.t.Fatalf("%v: %s is released while %s has an attempt to it in flight", sim.now, m.Name, name)
					}
				}
			}
			if age := time.Duration(sim.unixMS()-m.Since) * time.Millisecond; age >= sim.workTime && !sim.neverDone {
				server := sim.servers[m.Name]
				server.Since = sim.unixMS()
				sim.servers[m.Name] = server
				if err := sim.apply(completeWork, Command{ID: r.ID, Machines: []string{m.Name}}); err != nil {
					sim.t.Fatalf("complete the work: %v", err)
				}
			}
		}
	}
	sim.maxOut = max(sim.maxOut, out)
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.step()
	}
}

// runUntilEnded runs until all requests have ended or are on hold, for d at most. It returns true if they have.
func (sim *simulation) runUntilEnded(d time.Duration) bool {
	for end := sim.now + d; sim.now < end; sim.step() {
		if !slices.ContainsFunc(sim.schedule.Requests, func(r Request) bool { return !r.ended() && r.State != OnHold }) {
			return true
		}
	}
	return false
}

func sortedNames(servers map[string]Server) []string { return slices.Sorted(maps.Keys(servers)) }
