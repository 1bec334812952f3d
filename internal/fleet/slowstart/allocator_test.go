package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewhitch/internal/fleet"
)

var testConfig = Config{StartCapacity: 0.22, Span: 13 * time.Second, Lease: 2 * time.Second}

const (
	step       = 100 * time.Millisecond
	leaseSteps = 22 // and a little
)

// gateway spends its last grant until the lease ends by its own clock.
type gateway struct {
	name            string
	demand          float64 // attempts a second
	totalAttempts   float64 // since it began
	seq             uint64
	appliedSeq      uint64
	grant           Grant
	grantExpiresAt  time.Duration
	stalledUntil    time.Duration // until then
	inboundCutUntil time.Duration // until then it receives nothing, but still sends
}

// message is a report or an answer in flight.
type message struct {
	deliverAt, sentAt time.Duration
	from, to          int
	seq               uint64
	appliedSeq        uint64
	grant             *Grant
	totalAttempts     uint64
}

// simulation plays gateways, each of which may lead, with messages that are lost, delayed and duplicated.
type simulation struct {
	rng               *rand.Rand
	now               time.Duration
	gateways          []*gateway
	allocators        []*Allocator
	leader            int // -1: none
	formerLeader      int // the last leader, which takes itself for one until oldLeaderUntil
	formerLeaderUntil time.Duration
	term, formerTerm  uint64
	messages          []message
	loss              float64
	maxDelay          time.Duration
	servers           []Server
	maxBudgets        map[uint32]float64 // highest budgets of this step
	unixMS            int64
	lastSeq           map[[2]int]uint64     // last report that a gateway received from another
	allocatedAt       map[int]time.Duration // last Allocate of each gateway
	lastTotalAttempts map[[2]int]uint64     // attempts in that report
}

func newSimulation(seed uint64, gateways, servers int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), unixMS: 1_700_000_000_000, formerLeader: -1, lastSeq: map[[2]int]uint64{},
		lastTotalAttempts: map[[2]int]uint64{}, allocatedAt: map[int]time.Duration{}}
	for i := range gateways {
		sim.gateways = append(sim.gateways, &gateway{name: fmt.Sprint("g", i), demand: 1 + 300*math.Pow(sim.rng.Float64(), 3)})
		sim.allocators = append(sim.allocators, New(testConfig))
	}
	for i := range servers {
		sim.servers = append(sim.servers, Server{ID: uint32(i + 1), Zone: "a"})
	}
	return sim
}

func anyGateway(string, uint32) bool { return true }

// setLeader makes another gateway the leader; the last one may not know it for a while, until its check for a quorum fails.
func (sim *simulation) setLeader(i int) {
	if sim.leader != i {
		sim.formerLeader, sim.formerLeaderUntil, sim.formerTerm = sim.leader, sim.now+900*time.Millisecond, sim.term
	}
	sim.leader = i
	sim.term++
}

// termOf is the term in which a gateway takes itself for the leader, or 0.
func (sim *simulation) termOf(i int) uint64 {
	switch {
	case i == sim.leader:
		return sim.term
	case i == sim.formerLeader && sim.now < sim.formerLeaderUntil:
		return sim.formerTerm
	}
	return 0
}

func (sim *simulation) tick() {
	sim.now += step
	sim.unixMS += step.Milliseconds()
	for i, allocator := range sim.allocators {
		if sim.gateways[i].stalledUntil <= sim.now {
			allocator.SetLeaderTerm(sim.now, sim.termOf(i))
		}
	}
	for _, g := range sim.gateways {
		g.totalAttempts += g.demand * step.Seconds()
		if g.stalledUntil > sim.now || sim.rng.Float64() > 0.5 {
			continue
		}
		g.seq++
		for i := range sim.gateways {
			sim.send(message{sentAt: sim.now, from: sim.index(g), to: i, seq: g.seq, appliedSeq: g.appliedSeq, totalAttempts: uint64(g.totalAttempts)})
		}
	}
	pending := sim.messages[:0]
	var due []message
	for _, m := range sim.messages {
		if m.deliverAt <= sim.now && sim.gateways[m.to].stalledUntil <= sim.now {
			due = append(due, m)
		} else {
			pending = append(pending, m)
		}
	}
	sim.messages = pending
	for _, m := range due {
		sim.receive(m)
	}
}

func (sim *simulation) index(g *gateway) int {
	for i, other := range sim.gateways {
		if other == g {
			return i
		}
	}
	return -1
}

func (sim *simulation) send(m message) {
	for range 1 + sim.rng.IntN(2)*sim.rng.IntN(2) {
		if m.from == m.to || sim.rng.Float64() >= sim.loss {
			m.deliverAt = sim.now + time.Duration(sim.rng.Float64()*float64(sim.maxDelay))
			sim.messages = append(sim.messages, m)
		}
	}
}

func (sim *simulation) receive(m message) {
	g := sim.gateways[m.to]
	if m.grant != nil { // an answer
		if m.seq > g.appliedSeq && g.inboundCutUntil <= sim.now {
			g.appliedSeq, g.grant, g.grantExpiresAt = m.seq, *m.grant, m.sentAt+testConfig.Lease
		}
		return
	}
	allocator, from := sim.allocators[m.to], sim.gateways[m.from]
	if link := [2]int{m.to, m.from}; m.seq <= sim.lastSeq[link] {
		return // delayed or duplicated: the node drops it
	} else {
		sim.lastSeq[link] = m.seq
	}
	attempts := m.totalAttempts - sim.lastTotalAttempts[[2]int{m.to, m.from}] // the node takes the difference of the counters
	sim.lastTotalAttempts[[2]int{m.to, m.from}] = m.totalAttempts
	allocator.Observe(sim.now, from.name, m.appliedSeq, fleet.Report{Zones: map[string]fleet.AttemptCounts{"a": {Attempts: attempts, Served: attempts}}, Requests: attempts})
	if sim.termOf(m.to) == 0 {
		return
	}
	budgets := allocator.budgets(sim.now, sim.unixMS, sim.servers)
	for id, b := range budgets {
		sim.maxBudgets[id] = max(sim.maxBudgets[id], b)
	}
	if sim.now-sim.allocatedAt[m.to] >= 200*time.Millisecond {
		sim.allocatedAt[m.to] = sim.now
		allocator.Allocate(sim.now, sim.unixMS, sim.servers, anyGateway)
	}
	grant := allocator.Grant(sim.now, from.name, m.seq)
	sim.send(message{sentAt: m.sentAt, from: m.to, to: m.from, seq: m.seq, grant: &grant})
}

// grantedRate is the sum of the rates that all gateways may send to a server now.
func (sim *simulation) grantedRate(id uint32) (sum float64) {
	for _, g := range sim.gateways {
		if g.grantExpiresAt > sim.now {
			sum += g.grant.Rates[id]
		}
	}
	return sum
}

// Whatever is lost, delayed, duplicated or stalled, and whoever leads: the grants of all gateways never exceed the highest budget within
// the last lease.
func TestNeverMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "gateways"), rapid.IntRange(1, 5).Draw(t, "servers"))
		sim.loss, sim.maxDelay = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"), time.Duration(rapid.IntRange(0, 1500).Draw(t, "late"))*time.Millisecond
		sim.setLeader(0)
		slowStartStep := rapid.IntRange(20, 80).Draw(t, "cool")
		var budgetsByStep []map[uint32]float64
		for i := range 300 {
			if i == slowStartStep {
				sim.servers[0].Since = sim.unixMS
			}
			switch event := sim.rng.IntN(300); {
			case event < 2:
				sim.setLeader(sim.rng.IntN(len(sim.gateways)))
			case event < 10:
				sim.gateways[sim.rng.IntN(len(sim.gateways))].stalledUntil = sim.now + time.Duration(sim.rng.IntN(6000))*time.Millisecond
			case event < 15:
				sim.gateways[sim.rng.IntN(len(sim.gateways))].demand = 1 + 200*sim.rng.Float64()
			case event < 60: // customers move to another gateway: the demand of all is as before
				a, b := sim.gateways[sim.rng.IntN(len(sim.gateways))], sim.gateways[sim.rng.IntN(len(sim.gateways))]
				a.inboundCutUntil = sim.now + time.Duration(sim.rng.IntN(4000))*time.Millisecond // and one direction is cut: its reports still arrive
				a.demand, b.demand = b.demand, a.demand
			}
			sim.maxBudgets = map[uint32]float64{}
			sim.tick()
			budgetsByStep = append(budgetsByStep, sim.maxBudgets)
			for id := uint32(1); int(id) <= len(sim.servers); id++ {
				bound := 0.0
				for j := max(0, len(budgetsByStep)-leaseSteps); j < len(budgetsByStep); j++ {
					bound = max(bound, budgetsByStep[j][id])
				}
				if granted := sim.grantedRate(id); granted > bound*1.0001 {
					t.Fatalf("step %d: all are granted %.3f a second for server %d, its budget was %.3f at most", i, granted, id, bound)
				}
			}
		}
	})
}

// A budget of four attempts a second is shared by thirty gateways with uneven traffic, and much of it is granted.
func TestSmallBudgetIsShared(t *testing.T) {
	sim := newSimulation(7, 30, 12)
	for _, g := range sim.gateways {
		g.demand = 2.1
	}
	sim.setLeader(0)
	sim.maxBudgets = map[uint32]float64{}
	for range 100 {
		sim.tick()
	}
	sim.servers[0].Since = sim.unixMS
	for i := range 60 {
		sim.tick()
		if budget := sim.allocators[0].budgets(sim.now, sim.unixMS, sim.servers)[1]; i > 20 && sim.grantedRate(1) < 0.3*budget {
			t.Errorf("step %d: %.3f of %.3f is granted", i, sim.grantedRate(1), budget)
		}
	}
	if sim.grantedRate(2) != 0 {
		t.Errorf("a warm server has a budget: %.3f", sim.grantedRate(2))
	}
}

func TestBudgetBackoffAndRecovery(t *testing.T) {
	allocator := New(testConfig)
	servers := []Server{{ID: 1, Zone: "a", Since: 1_000_000}, {ID: 2, Zone: "a"}}
	now, unixMS := 10*time.Second, int64(1_000_000)
	allocator.SetLeaderTerm(0, 1)
	allocator.Observe(now-200*time.Millisecond, "g", 0, fleet.Report{})
	backoffAfter := func(c fleet.AttemptCounts) float64 {
		now += time.Second + 10*time.Millisecond
		allocator.Observe(now, "g", 0, fleet.Report{Requests: 50, Zones: map[string]fleet.AttemptCounts{"a": {Attempts: 50, Served: 50, LatencyMicros: 50 * 60_000}},
			Servers: map[uint32]fleet.ServerReport{1: {AttemptCounts: c}}})
		return allocator.budgets(now, unixMS, servers)[1] / allocator.warmth(unixMS, servers[0]) / (allocator.members["g"].demand / 2)
	}
	healthy := fleet.AttemptCounts{Attempts: 10, Served: 10, LatencyMicros: 10 * 200_000}
	if backoff := backoffAfter(healthy); backoff != 1 {
		t.Fatalf("healthy: %.2f of what its warmth allows", backoff)
	}
	first := backoffAfter(fleet.AttemptCounts{Attempts: 10, Served: 5, TimedOut: 5, LatencyMicros: 5 * 200_000})
	second := backoffAfter(fleet.AttemptCounts{Attempts: 10, Served: 10, LatencyMicros: 10 * 3_000_000})
	if first > 0.51 || second > 0.26 {
		t.Errorf("failing, then slow: %.2f, %.2f", first, second)
	}
	for range 10 {
		second = backoffAfter(healthy)
	}
	if second < 0.99 {
		t.Errorf("healthy again for 10 s: %.2f", second)
	}
}

func TestReadRejectsInvalidRates(t *testing.T) {
	if grant, ok := Read(Grant{map[uint32]float64{3: 1.5}}.Encode()); !ok || grant.Rates[3] != 1.5 {
		t.Error("a grant is not read")
	}
	for _, b := range [][]byte{{0xff}, Grant{map[uint32]float64{3: -1}}.Encode(), Grant{map[uint32]float64{3: 1e9}}.Encode()} {
		if _, ok := Read(b); ok {
			t.Errorf("%x is read", b)
		}
	}
}
