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
	name         string
	demand       float64 // attempts a second
	attempts     float64 // since it began
	seq          uint64
	appliedSeq   uint64
	grant        Grant
	until        time.Duration
	stalledUntil time.Duration // until then
	deafUntil    time.Duration // until then it receives nothing, but still sends
}

// message is a report or an answer in flight.
type message struct {
	at, sent   time.Duration
	from, to   int
	seq        uint64
	appliedSeq uint64
	grant      *Grant
	attempts   uint64
}

// simulation plays gateways, each of which may lead, with messages that are lost, delayed and duplicated.
type simulation struct {
	rng            *rand.Rand
	now            time.Duration
	gateways       []*gateway
	allocators     []*Allocator
	leader         int // -1: none
	oldLeader      int // the last leader, which takes itself for one until oldLeaderUntil
	oldLeaderUntil time.Duration
	term, oldTerm  uint64
	messages       []message
	loss           float64
	maxDelay       time.Duration
	servers        []Server
	maxBudgets     map[uint32]float64 // highest budgets of this step
	unix           int64
	lastSeq        map[[2]int]uint64     // last report that a gateway received from another
	allocatedAt    map[int]time.Duration // last Allocate of each gateway
	lastAttempts   map[[2]int]uint64     // attempts in that report
}

func newSimulation(seed uint64, gateways, servers int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), unix: 1_700_000_000_000, oldLeader: -1, lastSeq: map[[2]int]uint64{},
		lastAttempts: map[[2]int]uint64{}, allocatedAt: map[int]time.Duration{}}
	for i := range gateways {
		sim.gateways = append(sim.gateways, &gateway{name: fmt.Sprint("g", i), demand: 1 + 300*math.Pow(sim.rng.Float64(), 3)})
		sim.allocators = append(sim.allocators, New(testConfig))
	}
	for i := range servers {
		sim.servers = append(sim.servers, Server{ID: uint32(i + 1), Zone: "a"})
	}
	return sim
}

func everyone(string, uint32) bool { return true }

// lead makes another gateway the leader; the last one may not know it for a while, until its check for a quorum fails.
func (sim *simulation) lead(i int) {
	if sim.leader != i {
		sim.oldLeader, sim.oldLeaderUntil, sim.oldTerm = sim.leader, sim.now+900*time.Millisecond, sim.term
	}
	sim.leader = i
	sim.term++
}

// termOf is the term in which a gateway takes itself for the leader, or 0.
func (sim *simulation) termOf(i int) uint64 {
	switch {
	case i == sim.leader:
		return sim.term
	case i == sim.oldLeader && sim.now < sim.oldLeaderUntil:
		return sim.oldTerm
	}
	return 0
}

func (sim *simulation) tick() {
	sim.now += step
	sim.unix += step.Milliseconds()
	for i, f := range sim.allocators {
		if sim.gateways[i].stalledUntil <= sim.now {
			f.SetLeaderTerm(sim.now, sim.termOf(i))
		}
	}
	for _, g := range sim.gateways {
		g.attempts += g.demand * step.Seconds()
		if g.stalledUntil > sim.now || sim.rng.Float64() > 0.5 {
			continue
		}
		g.seq++
		for i := range sim.gateways {
			sim.send(message{sent: sim.now, from: sim.index(g), to: i, seq: g.seq, appliedSeq: g.appliedSeq, attempts: uint64(g.attempts)})
		}
	}
	due := sim.messages[:0]
	var now []message
	for _, m := range sim.messages {
		if m.at <= sim.now && sim.gateways[m.to].stalledUntil <= sim.now {
			now = append(now, m)
		} else {
			due = append(due, m)
		}
	}
	sim.messages = due
	for _, m := range now {
		sim.receive(m)
	}
}

func (sim *simulation) index(g *gateway) int {
	for i, o := range sim.gateways {
		if o == g {
			return i
		}
	}
	return -1
}

func (sim *simulation) send(m message) {
	for range 1 + sim.rng.IntN(2)*sim.rng.IntN(2) {
		if m.from == m.to || sim.rng.Float64() >= sim.loss {
			m.at = sim.now + time.Duration(sim.rng.Float64()*float64(sim.maxDelay))
			sim.messages = append(sim.messages, m)
		}
	}
}

func (sim *simulation) receive(m message) {
	g := sim.gateways[m.to]
	if m.grant != nil { // an answer
		if m.seq > g.appliedSeq && g.deafUntil <= sim.now {
			g.appliedSeq, g.grant, g.until = m.seq, *m.grant, m.sent+testConfig.Lease
		}
		return
	}
	allocator, from := sim.allocators[m.to], sim.gateways[m.from]
	if heard := [2]int{m.to, m.from}; m.seq <= sim.lastSeq[heard] {
		return // delayed or duplicated: the node drops it
	} else {
		sim.lastSeq[heard] = m.seq
	}
	n := m.attempts - sim.lastAttempts[[2]int{m.to, m.from}] // the node takes the difference of the counters
	sim.lastAttempts[[2]int{m.to, m.from}] = m.attempts
	allocator.Observe(sim.now, from.name, m.appliedSeq, fleet.Report{Zones: map[string]fleet.AttemptCounts{"a": {Attempts: n, Served: n}}, Requests: n})
	if sim.termOf(m.to) == 0 {
		return
	}
	budgets := allocator.budgets(sim.now, sim.unix, sim.servers)
	for id, b := range budgets {
		sim.maxBudgets[id] = max(sim.maxBudgets[id], b)
	}
	if sim.now-sim.allocatedAt[m.to] >= 200*time.Millisecond {
		sim.allocatedAt[m.to] = sim.now
		allocator.Allocate(sim.now, sim.unix, sim.servers, everyone)
	}
	granted := allocator.Grant(sim.now, from.name, m.seq)
	sim.send(message{sent: m.sent, from: m.to, to: m.from, seq: m.seq, grant: &granted})
}

// granted is the sum of the rates that all gateways may send to a server now.
func (sim *simulation) granted(id uint32) (sum float64) {
	for _, g := range sim.gateways {
		if g.until > sim.now {
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
		sim.lead(0)
		cool := rapid.IntRange(20, 80).Draw(t, "cool")
		var most []map[uint32]float64
		for i := range 300 {
			if i == cool {
				sim.servers[0].Since = sim.unix
			}
			switch e := sim.rng.IntN(300); {
			case e < 2:
				sim.lead(sim.rng.IntN(len(sim.gateways)))
			case e < 10:
				sim.gateways[sim.rng.IntN(len(sim.gateways))].stalledUntil = sim.now + time.Duration(sim.rng.IntN(6000))*time.Millisecond
			case e < 15:
				sim.gateways[sim.rng.IntN(len(sim.gateways))].demand = 1 + 200*sim.rng.Float64()
			case e < 60: // customers move to another gateway: the demand of all is as before
				a, b := sim.gateways[sim.rng.IntN(len(sim.gateways))], sim.gateways[sim.rng.IntN(len(sim.gateways))]
				a.deafUntil = sim.now + time.Duration(sim.rng.IntN(4000))*time.Millisecond // and one direction is cut: its reports still arrive
				a.demand, b.demand = b.demand, a.demand
			}
			sim.maxBudgets = map[uint32]float64{}
			sim.tick()
			most = append(most, sim.maxBudgets)
			for id := uint32(1); int(id) <= len(sim.servers); id++ {
				bound := 0.0
				for k := max(0, len(most)-leaseSteps); k < len(most); k++ {
					bound = max(bound, most[k][id])
				}
				if sum := sim.granted(id); sum > bound*1.0001 {
					t.Fatalf("step %d: all are granted %.3f a second for server %d, its budget was %.3f at most", i, sum, id, bound)
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
	sim.lead(0)
	sim.maxBudgets = map[uint32]float64{}
	for range 100 {
		sim.tick()
	}
	sim.servers[0].Since = sim.unix
	for i := range 60 {
		sim.tick()
		if budget := sim.allocators[0].budgets(sim.now, sim.unix, sim.servers)[1]; i > 20 && sim.granted(1) < 0.3*budget {
			t.Errorf("step %d: %.3f of %.3f is granted", i, sim.granted(1), budget)
		}
	}
	if sim.granted(2) != 0 {
		t.Errorf("a warm server has a budget: %.3f", sim.granted(2))
	}
}

func TestBudgetBackoffAndRecovery(t *testing.T) {
	f := New(testConfig)
	servers := []Server{{ID: 1, Zone: "a", Since: 1_000_000}, {ID: 2, Zone: "a"}}
	now, unix := 10*time.Second, int64(1_000_000)
	f.SetLeaderTerm(0, 1)
	f.Observe(now-200*time.Millisecond, "g", 0, fleet.Report{})
	seen := func(c fleet.AttemptCounts) float64 {
		now += time.Second + 10*time.Millisecond
		f.Observe(now, "g", 0, fleet.Report{Requests: 50, Zones: map[string]fleet.AttemptCounts{"a": {Attempts: 50, Served: 50, LatencyMicros: 50 * 60_000}},
			Servers: map[uint32]fleet.ServerReport{1: {AttemptCounts: c}}})
		return f.budgets(now, unix, servers)[1] / f.warmth(unix, servers[0]) / (f.members["g"].demand / 2)
	}
	well := fleet.AttemptCounts{Attempts: 10, Served: 10, LatencyMicros: 10 * 200_000}
	if part := seen(well); part != 1 {
		t.Fatalf("healthy: %.2f of what its warmth allows", part)
	}
	first := seen(fleet.AttemptCounts{Attempts: 10, Served: 5, TimedOut: 5, LatencyMicros: 5 * 200_000})
	second := seen(fleet.AttemptCounts{Attempts: 10, Served: 10, LatencyMicros: 10 * 3_000_000})
	if first > 0.51 || second > 0.26 {
		t.Errorf("failing, then slow: %.2f, %.2f", first, second)
	}
	for range 10 {
		second = seen(well)
	}
	if second < 0.99 {
		t.Errorf("healthy again for 10 s: %.2f", second)
	}
}

func TestReadRejectsInvalidRates(t *testing.T) {
	if f, ok := Read(Grant{map[uint32]float64{3: 1.5}}.Encode()); !ok || f.Rates[3] != 1.5 {
		t.Error("a grant is not read")
	}
	for _, b := range [][]byte{{0xff}, Grant{map[uint32]float64{3: -1}}.Encode(), Grant{map[uint32]float64{3: 1e9}}.Encode()} {
		if _, ok := Read(b); ok {
			t.Errorf("%x is read", b)
		}
	}
}
