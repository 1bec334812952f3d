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

var cold = Config{Start: 0.22, Span: 13 * time.Second, Lease: 2 * time.Second}

const (
	step       = 100 * time.Millisecond
	leaseSteps = 22 // and a little
)

// gateway is one that spends what it was given last, until the lease is over by its own clock.
type gateway struct {
	name    string
	demand  float64 // fetches a second
	asked   float64 // since it began
	seq     uint64
	acts    uint64
	feed    Grant
	until   time.Duration
	stalled time.Duration // until then
	deaf    time.Duration // until then it hears nothing, and is heard
}

// msg is a status or an answer under way.
type msg struct {
	at, sent time.Duration
	from, to int
	seq      uint64
	acts     uint64
	feed     *Grant
	asked    uint64
}

// world plays gateways, of which each may lead, with messages that are lost, late and doubled.
type world struct {
	rng             *rand.Rand
	now             time.Duration
	all             []*gateway
	feeders         []*Allocator
	leader          int // -1: none
	old             int // one that still believes it leads, until oldTill
	oldTill         time.Duration
	reign, oldReign uint64
	msgs            []msg
	loss            float64
	late            time.Duration
	servers         []Server
	most            map[uint32]float64 // budgets of this step, the highest
	unix            int64
	seqs            map[[2]int]uint64     // the newest status that one heard of another
	rounds          map[int]time.Duration // when a leader reckoned last
	counts          map[[2]int]uint64     // and what it said
}

func newWorld(seed uint64, gateways, servers int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), unix: 1_700_000_000_000, old: -1, seqs: map[[2]int]uint64{},
		counts: map[[2]int]uint64{}, rounds: map[int]time.Duration{}}
	for i := range gateways {
		w.all = append(w.all, &gateway{name: fmt.Sprint("g", i), demand: 1 + 300*math.Pow(w.rng.Float64(), 3)})
		w.feeders = append(w.feeders, New(cold))
	}
	for i := range servers {
		w.servers = append(w.servers, Server{ID: uint32(i + 1), Zone: "a"})
	}
	return w
}

func everyone(string, uint32) bool { return true }

// lead has another gateway lead; the one before may not know it for a while, as check-quorum takes a moment.
func (w *world) lead(i int) {
	if w.leader != i {
		w.old, w.oldTill, w.oldReign = w.leader, w.now+900*time.Millisecond, w.reign
	}
	w.leader = i
	w.reign++
}

// reigns is the reign in which one believes to lead, or 0.
func (w *world) reigns(i int) uint64 {
	switch {
	case i == w.leader:
		return w.reign
	case i == w.old && w.now < w.oldTill:
		return w.oldReign
	}
	return 0
}

func (w *world) tick() {
	w.now += step
	w.unix += step.Milliseconds()
	for i, f := range w.feeders {
		if w.all[i].stalled <= w.now {
			f.SetLeaderTerm(w.now, w.reigns(i))
		}
	}
	for _, g := range w.all {
		g.asked += g.demand * step.Seconds()
		if g.stalled > w.now || w.rng.Float64() > 0.5 {
			continue
		}
		g.seq++
		for i := range w.all {
			w.send(msg{sent: w.now, from: w.index(g), to: i, seq: g.seq, acts: g.acts, asked: uint64(g.asked)})
		}
	}
	due := w.msgs[:0]
	var now []msg
	for _, m := range w.msgs {
		if m.at <= w.now && w.all[m.to].stalled <= w.now {
			now = append(now, m)
		} else {
			due = append(due, m)
		}
	}
	w.msgs = due
	for _, m := range now {
		w.heard(m)
	}
}

func (w *world) index(g *gateway) int {
	for i, o := range w.all {
		if o == g {
			return i
		}
	}
	return -1
}

func (w *world) send(m msg) {
	for range 1 + w.rng.IntN(2)*w.rng.IntN(2) {
		if m.from == m.to || w.rng.Float64() >= w.loss {
			m.at = w.now + time.Duration(w.rng.Float64()*float64(w.late))
			w.msgs = append(w.msgs, m)
		}
	}
}

func (w *world) heard(m msg) {
	g := w.all[m.to]
	if m.feed != nil { // an answer
		if m.seq > g.acts && g.deaf <= w.now {
			g.acts, g.feed, g.until = m.seq, *m.feed, m.sent+cold.Lease
		}
		return
	}
	f, from := w.feeders[m.to], w.all[m.from]
	if heard := [2]int{m.to, m.from}; m.seq <= w.seqs[heard] {
		return // late, or doubled: the node passes it over
	} else {
		w.seqs[heard] = m.seq
	}
	n := m.asked - w.counts[[2]int{m.to, m.from}] // counters, of which the node takes the difference
	w.counts[[2]int{m.to, m.from}] = m.asked
	f.Observe(w.now, from.name, m.acts, fleet.Report{Zones: map[string]fleet.AttemptCounts{"a": {Attempts: n, Served: n}}, Requests: n})
	if w.reigns(m.to) == 0 {
		return
	}
	budgets := f.Budgets(w.now, w.unix, w.servers)
	for id, b := range budgets {
		w.most[id] = max(w.most[id], b)
	}
	if w.now-w.rounds[m.to] >= 200*time.Millisecond {
		w.rounds[m.to] = w.now
		f.Allocate(w.now, w.unix, w.servers, everyone)
	}
	feed := f.Grant(w.now, from.name, m.seq)
	w.send(msg{sent: m.sent, from: m.to, to: m.from, seq: m.seq, feed: &feed})
}

// given is what all may send a server now.
func (w *world) given(id uint32) (sum float64) {
	for _, g := range w.all {
		if g.until > w.now {
			sum += g.feed.Rates[id]
		}
	}
	return sum
}

// Whatever is lost, late, doubled or stalled, and whoever leads: all together are never given more than the budget was at
// its highest within the last lease.
func TestNeverMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "gateways"), rapid.IntRange(1, 5).Draw(t, "servers"))
		w.loss, w.late = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"), time.Duration(rapid.IntRange(0, 1500).Draw(t, "late"))*time.Millisecond
		w.lead(0)
		cool := rapid.IntRange(20, 80).Draw(t, "cool")
		var most []map[uint32]float64
		for i := range 300 {
			if i == cool {
				w.servers[0].Since = w.unix
			}
			switch e := w.rng.IntN(300); {
			case e < 2:
				w.lead(w.rng.IntN(len(w.all)))
			case e < 10:
				w.all[w.rng.IntN(len(w.all))].stalled = w.now + time.Duration(w.rng.IntN(6000))*time.Millisecond
			case e < 15:
				w.all[w.rng.IntN(len(w.all))].demand = 1 + 200*w.rng.Float64()
			case e < 60: // hauliers move: all together ask for as much as before
				a, b := w.all[w.rng.IntN(len(w.all))], w.all[w.rng.IntN(len(w.all))]
				a.deaf = w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond // and one way is cut: its statuses go on
				a.demand, b.demand = b.demand, a.demand
			}
			w.most = map[uint32]float64{}
			w.tick()
			most = append(most, w.most)
			for id := uint32(1); int(id) <= len(w.servers); id++ {
				bound := 0.0
				for k := max(0, len(most)-leaseSteps); k < len(most); k++ {
					bound = max(bound, most[k][id])
				}
				if sum := w.given(id); sum > bound*1.0001 {
					t.Fatalf("step %d: all are given %.3f a second for server %d, its budget was %.3f at most", i, sum, id, bound)
				}
			}
		}
	})
}

// A budget of four a second is shared by thirty gateways, and much of it is given out, though their traffic is lumpy.
func TestThinShares(t *testing.T) {
	w := newWorld(7, 30, 12)
	for _, g := range w.all {
		g.demand = 2.1
	}
	w.lead(0)
	w.most = map[uint32]float64{}
	for range 100 {
		w.tick()
	}
	w.servers[0].Since = w.unix
	for i := range 60 {
		w.tick()
		if budget := w.feeders[0].Budgets(w.now, w.unix, w.servers)[1]; i > 20 && w.given(1) < 0.3*budget {
			t.Errorf("step %d: %.3f of %.3f is given", i, w.given(1), budget)
		}
	}
	if w.given(2) != 0 {
		t.Errorf("a warm server is fed: %.3f", w.given(2))
	}
}

func TestStepsDownAndUp(t *testing.T) {
	f := New(cold)
	servers := []Server{{ID: 1, Zone: "a", Since: 1_000_000}, {ID: 2, Zone: "a"}}
	now, unix := 10*time.Second, int64(1_000_000)
	f.SetLeaderTerm(0, 1)
	f.Observe(now-200*time.Millisecond, "g", 0, fleet.Report{})
	seen := func(c fleet.AttemptCounts) float64 {
		now += time.Second + 10*time.Millisecond
		f.Observe(now, "g", 0, fleet.Report{Requests: 50, Zones: map[string]fleet.AttemptCounts{"a": {Attempts: 50, Served: 50, LatencyMicros: 50 * 60_000}},
			Servers: map[uint32]fleet.ServerReport{1: {AttemptCounts: c}}})
		return f.Budgets(now, unix, servers)[1] / f.warmth(unix, servers[0]) / (f.members["g"].demand / 2)
	}
	well := fleet.AttemptCounts{Attempts: 10, Served: 10, LatencyMicros: 10 * 200_000}
	if part := seen(well); part != 1 {
		t.Fatalf("well: %.2f of what its warmth allows", part)
	}
	first := seen(fleet.AttemptCounts{Attempts: 10, Served: 5, TimedOut: 5, LatencyMicros: 5 * 200_000})
	second := seen(fleet.AttemptCounts{Attempts: 10, Served: 10, LatencyMicros: 10 * 3_000_000})
	if first > 0.51 || second > 0.26 {
		t.Errorf("ill, then slow: %.2f, %.2f", first, second)
	}
	for range 10 {
		second = seen(well)
	}
	if second < 0.99 {
		t.Errorf("well again for 10 s: %.2f", second)
	}
}

func TestReadRefusesAbsurd(t *testing.T) {
	if f, ok := Read(Grant{map[uint32]float64{3: 1.5}}.Encode()); !ok || f.Rates[3] != 1.5 {
		t.Error("a feed is not read")
	}
	for _, b := range [][]byte{{0xff}, Grant{map[uint32]float64{3: -1}}.Encode(), Grant{map[uint32]float64{3: 1e9}}.Encode()} {
		if _, ok := Read(b); ok {
			t.Errorf("%x is read", b)
		}
	}
}
