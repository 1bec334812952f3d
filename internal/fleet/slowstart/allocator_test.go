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
	leaseSteps = 22 // steps of a lease, and two more for messages in flight
)

// gateway is a simulated gateway. It applies its last grant until the lease ends by its own clock.
type gateway struct {
	name            string
	demand          float64 // attempts a second
	totalAttempts   float64 // number of attempts since its start
	seq             uint64  // sequence number of its last report
	appliedSeq      uint64  // report whose answer it applied last
	grant           Grant
	grantExpiresAt  time.Duration
	stalledUntil    time.Duration // end of a stall, in which it neither sends nor receives
	inboundCutUntil time.Duration // end of a cut of inbound messages, in which it still sends
}

// message is a report or an answer in flight between two gateways.
type message struct {
	deliverAt, sentAt time.Duration
	from, to          int
	seq               uint64 // sequence number of the report that is sent or answered
	appliedSeq        uint64
	grant             *Grant // nil in a report
	totalAttempts     uint64
}

// simulation runs gateways, each of which may lead, and loses, delays and duplicates their messages.
type simulation struct {
	rng               *rand.Rand
	now               time.Duration
	gateways          []*gateway
	allocators        []*Allocator
	leader            int // index of the leading gateway
	formerLeader      int // index of the previous leader, which acts as the leader until formerLeaderUntil; -1: none
	formerLeaderUntil time.Duration
	term, formerTerm  uint64
	messages          []message
	loss              float64
	maxDelay          time.Duration
	servers           []Server
	highestBudgets    map[uint32]float64 // highest budget of each server in this step
	unixMS            int64
	lastSeq           map[[2]int]uint64     // sequence number of the last report, by receiver and sender
	allocatedAt       map[int]time.Duration // time of each gateway's last Allocate
	lastTotalAttempts map[[2]int]uint64     // attempts in the last report, by receiver and sender
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

// setLeader makes a gateway the leader. The previous leader does not notice for 900 ms, until its check for a quorum fails.
func (sim *simulation) setLeader(i int) {
	if sim.leader != i {
		sim.formerLeader, sim.formerLeaderUntil, sim.formerTerm = sim.leader, sim.now+900*time.Millisecond, sim.term
	}
	sim.leader = i
	sim.term++
}

// termOf returns the term in which a gateway acts as the leader, or 0.
func (sim *simulation) termOf(i int) uint64 {
	switch {
	case i == sim.leader:
		return sim.term
	case i == sim.formerLeader && sim.now < sim.formerLeaderUntil:
		return sim.formerTerm
	}
	return 0
}

// tick advances the time by one step, in which gateways report and due messages are delivered.
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

// send puts a message in flight, at times twice, and at times not at all.
func (sim *simulation) send(m message) {
	for range 1 + sim.rng.IntN(2)*sim.rng.IntN(2) {
		if m.from == m.to || sim.rng.Float64() >= sim.loss {
			m.deliverAt = sim.now + time.Duration(sim.rng.Float64()*float64(sim.maxDelay))
			sim.messages = append(sim.messages, m)
		}
	}
}

// receive delivers a message. A gateway that acts as the leader answers a report with a grant.
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
		return // a node drops delayed and duplicate reports
	} else {
		sim.lastSeq[link] = m.seq
	}
	attempts := m.totalAttempts - sim.lastTotalAttempts[[2]int{m.to, m.from}] // a node reports the difference of the counters
	sim.lastTotalAttempts[[2]int{m.to, m.from}] = m.totalAttempts
	allocator.Observe(sim.now, from.name, m.appliedSeq, fleet.Report{Zones: map[string]fleet.AttemptCounts{"a": {Attempts: attempts, Served: attempts}}, Requests: attempts})
	if sim.termOf(m.to) == 0 {
		return
	}
	budgets := allocator.budgets(sim.now, sim.unixMS, sim.servers)
	for id, b := range budgets {
		sim.highestBudgets[id] = max(sim.highestBudgets[id], b)
	}
	if sim.now-sim.allocatedAt[m.to] >= 200*time.Millisecond {
		sim.allocatedAt[m.to] = sim.now
		allocator.Allocate(sim.now, sim.unixMS, sim.servers, anyGateway)
	}
	grant := allocator.Grant(sim.now, from.name, m.seq)
	sim.send(message{sentAt: m.sentAt, from: m.to, to: m.from, seq: m.seq, grant: &grant})
}

// grantedRate returns the sum of the rates at which all gateways may send to a server now.
func (sim *simulation) grantedRate(id uint32) (sum float64) {
	for _, g := range sim.gateways {
		if g.grantExpiresAt > sim.now {
			sum += g.grant.Rates[id]
		}
	}
	return sum
}

// The sum of all gateways' grants never exceeds the highest budget within the last lease, although messages are lost, delayed and
// duplicated, gateways stall, and the leader changes.
func TestGrantsNeverExceedBudget(t *testing.T) {
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
			case event < 60: // customers move to another gateway, which leaves the total demand unchanged
				a, b := sim.gateways[sim.rng.IntN(len(sim.gateways))], sim.gateways[sim.rng.IntN(len(sim.gateways))]
				a.inboundCutUntil = sim.now + time.Duration(sim.rng.IntN(4000))*time.Millisecond // only inbound messages are lost
				a.demand, b.demand = b.demand, a.demand
			}
			sim.highestBudgets = map[uint32]float64{}
			sim.tick()
			budgetsByStep = append(budgetsByStep, sim.highestBudgets)
			for id := uint32(1); int(id) <= len(sim.servers); id++ {
				bound := 0.0
				for j := max(0, len(budgetsByStep)-leaseSteps); j < len(budgetsByStep); j++ {
					bound = max(bound, budgetsByStep[j][id])
				}
				if granted := sim.grantedRate(id); granted > bound*1.0001 {
					t.Fatalf("step %d: gateways are granted %.3f attempts a second for server %d, expected %.3f at most", i, granted, id, bound)
				}
			}
		}
	})
}

// A budget of a few attempts a second is shared by thirty gateways, and at least 30 % of it is granted. A warm server has no grants.
func TestSmallBudgetIsShared(t *testing.T) {
	sim := newSimulation(7, 30, 12)
	for _, g := range sim.gateways {
		g.demand = 2.1
	}
	sim.setLeader(0)
	sim.highestBudgets = map[uint32]float64{}
	for range 100 {
		sim.tick()
	}
	sim.servers[0].Since = sim.unixMS
	for i := range 60 {
		sim.tick()
		if budget := sim.allocators[0].budgets(sim.now, sim.unixMS, sim.servers)[1]; i > 20 && sim.grantedRate(1) < 0.3*budget {
			t.Errorf("step %d: %.3f of a budget of %.3f is granted, expected 30 %% or more", i, sim.grantedRate(1), budget)
		}
	}
	if sim.grantedRate(2) != 0 {
		t.Errorf("a warm server has grants of %.3f attempts a second, expected none", sim.grantedRate(2))
	}
}

// The budget of a server is halved in each second with failures or high latency, and recovers within 10 s without them.
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
		t.Fatalf("healthy server: backoff is %.2f, expected 1", backoff)
	}
	first := backoffAfter(fleet.AttemptCounts{Attempts: 10, Served: 5, TimedOut: 5, LatencyMicros: 5 * 200_000})
	second := backoffAfter(fleet.AttemptCounts{Attempts: 10, Served: 10, LatencyMicros: 10 * 3_000_000})
	if first > 0.51 || second > 0.26 {
		t.Errorf("failing, then slow server: backoff is %.2f, then %.2f, expected 0.51 and 0.26 at most", first, second)
	}
	for range 10 {
		second = backoffAfter(healthy)
	}
	if second < 0.99 {
		t.Errorf("server healthy again for 10 s: backoff is %.2f, expected 0.99 or more", second)
	}
}

// Read decodes an encoded grant, and rejects data that is not CBOR and rates that are negative or too high.
func TestReadRejectsInvalidRates(t *testing.T) {
	if grant, ok := Read(Grant{map[uint32]float64{3: 1.5}}.Encode()); !ok || grant.Rates[3] != 1.5 {
		t.Error("Read rejects or alters a valid grant")
	}
	for _, b := range [][]byte{{0xff}, Grant{map[uint32]float64{3: -1}}.Encode(), Grant{map[uint32]float64{3: 1e9}}.Encode()} {
		if _, ok := Read(b); ok {
			t.Errorf("Read accepts the invalid grant %x", b)
		}
	}
}
