package maintenance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 200 * time.Millisecond

// gateway applies plans late, or not at all while it is stalled; what it has applied it keeps to.
type gateway struct {
	away    map[string]uint64 // applied
	told    map[string]uint64 // as its last status said
	stalled time.Duration
	open    map[string]time.Duration // fetches to machines, until when
}

// world is a fleet on a virtual clock: the leader steps the book, gateways send to whatever they do not know to be away.
type world struct {
	t        fataler
	rng      *rand.Rand
	o        *Scheduler
	now      time.Duration
	b        Schedule
	servers  map[string]Server
	gateways map[string]*gateway
	zonesOut []string
	turned   bool
	rate     float64
	work     time.Duration // that who asked takes for a machine
	forgets  bool          // and never says that it is done
	ill      map[string]bool
	most     int // machines that were out at once, at most
	free     int // turns that became free
	plans    int
}

type fataler interface{ Fatalf(string, ...any) }

func newWorld(t fataler, seed uint64, gateways, zones, servers int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 5)), o: New(Defaults), servers: map[string]Server{}, gateways: map[string]*gateway{},
		rate: 100, work: 5 * time.Second, ill: map[string]bool{}}
	for i := range gateways {
		w.gateways[fmt.Sprint("g", i)] = &gateway{away: map[string]uint64{}, told: map[string]uint64{}, open: map[string]time.Duration{}}
	}
	for z := range zones {
		for i := range servers {
			w.servers[fmt.Sprintf("s-%c%d", 'a'+z, i)] = Server{Zone: string(rune('a' + z)), Ready: true}
		}
	}
	w.run(2 * time.Second)
	return w
}

func (w *world) unix() int64 { return 1_700_000_000_000 + w.now.Milliseconds() }

func (w *world) call(f func(*Schedule, Command, int64) error, c Command) error {
	c.By, c.Reason = "ann", "release"
	next := w.b.clone()
	if err := f(&next, c, w.unix()); err != nil {
		return err
	}
	w.b = next
	return nil
}

func (w *world) ask(key string, kind Kind, machines ...string) {
	if err := w.call(request, Command{Key: key, Kind: kind, ForMS: 60_000, Machines: machines}); err != nil {
		w.t.Fatalf("%s: %v", key, err)
	}
}

// step is one tick: gateways send and hear, the leader judges, machines are worked on.
func (w *world) step() {
	w.now += tick
	free := map[string]bool{}
	for _, r := range w.b.Requests {
		for _, m := range r.Machines {
			if m.State == Free {
				free[m.Name] = true
			}
		}
	}
	names := slices.Sorted(maps.Keys(w.servers))
	for _, name := range slices.Sorted(maps.Keys(w.gateways)) {
		g := w.gateways[name]
		if g.stalled > w.now {
			continue
		}
		for range 3 { // fetches, by what it has applied
			to := names[w.rng.IntN(len(names))]
			if _, away := g.away[to]; away || !w.servers[to].Ready || slices.Contains(w.b.Off, to) && w.rng.IntN(2) == 0 {
				continue
			}
			if free[to] {
				w.t.Fatalf("%v: %s sends to %s, which is free", w.now, name, to)
			}
			g.open[to] = w.now + time.Duration(w.rng.IntN(800))*time.Millisecond
			if w.ill[to] {
				w.o.Observe(w.now, to, 0, 1, 0, 0)
			} else {
				w.o.Observe(w.now, to, 1, 0, 0, 0)
			}
		}
		if w.rng.IntN(3) > 0 { // a plan reaches it, and is applied
			g.away = w.b.Withdrawn()
		}
		g.told = map[string]uint64{}
		for to, turn := range g.away {
			if g.open[to] <= w.now {
				g.told[to] = turn
			}
		}
	}
	f := Observations{Servers: w.servers, Members: map[string]Member{}, ZonesOut: w.zonesOut, RejectedShare: w.turned, Rate: w.rate}
	for name, g := range w.gateways {
		f.Members[name] = Member{Reachable: g.stalled <= w.now, Withdrawn: g.told}
	}
	var moved bool
	if w.b, moved = w.o.Step(w.now, w.unix(), w.b, f); moved {
		w.plans++
	}
	out := 0
	for i := range w.b.Requests {
		r := &w.b.Requests[i]
		for j := range r.Machines {
			m := &r.Machines[j]
			if m.State == Announced || m.State == Free {
				out++
			}
			if m.State != Free {
				continue
			}
			if !free[m.Name] {
				w.free++
				for name, g := range w.gateways {
					if g.open[m.Name] > w.now {
						w.t.Fatalf("%v: %s is free, and %s has a fetch open there", w.now, m.Name, name)
					}
				}
			}
			if age := time.Duration(w.unix()-m.Since) * time.Millisecond; age >= w.work && !w.forgets {
				s := w.servers[m.Name]
				s.Since = w.unix()
				w.servers[m.Name] = s
				if err := w.call(done, Command{ID: r.ID, Machines: []string{m.Name}}); err != nil {
					w.t.Fatalf("done: %v", err)
				}
			}
		}
	}
	w.most = max(w.most, out)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

// until runs until all requests have ended or are held.
func (w *world) until(d time.Duration) bool {
	for end := w.now + d; w.now < end; w.step() {
		if !slices.ContainsFunc(w.b.Requests, func(r Request) bool { return !r.ended() && r.State != Held }) {
			return true
		}
	}
	return false
}

func names(servers map[string]Server) []string { return slices.Sorted(maps.Keys(servers)) }

func TestAllServersThroughARestart(t *testing.T) {
	w := newWorld(t, 1, 6, 3, 4)
	w.ask("evening", Restart, names(w.servers)...)
	if !w.until(20 * time.Minute) {
		t.Fatalf("not over after %v: %+v", w.now, w.b.Requests)
	}
	if r := w.b.Requests[0]; r.State != Done || w.free != 12 || w.most > 2 {
		t.Errorf("%s %q, %d turns, %d out at once", r.State, r.Note, w.free, w.most)
	}
	t.Logf("12 servers in %v, %d out at most", w.now, w.most)
}

// All gateways through a restart: one at a time, voters last, and the leader at the very end.
func TestAllGatewaysThroughARestart(t *testing.T) {
	o, b, f := New(Defaults), Schedule{}, Observations{Members: map[string]Member{}, Servers: map[string]Server{"s-a0": {Zone: "a", Ready: true}}}
	var all []string
	for i := range 6 {
		name := fmt.Sprint("g", i)
		all = append(all, name)
		f.Members[name] = Member{Reachable: true, Fresh: true, Zone: string(rune('a' + i%3)), Voter: i < 3, Leader: i == 1, Incarnation: 1}
	}
	c := Command{By: "ann", Reason: "release", Key: "k", Kind: Restart, ForMS: 60_000, Machines: all}
	if err := request(&b, c, 0); err != nil {
		t.Fatal(err)
	}
	var order []string
	for now := time.Duration(0); now < 5*time.Minute; now += tick {
		b, _ = o.Step(now, 1_700_000_000_000+now.Milliseconds(), b, f)
		out := 0
		for _, m := range b.Requests[0].Machines {
			g := f.Members[m.Name]
			switch m.State {
			case Announced:
				g.Withdrawn = map[string]uint64{m.Name: m.Turn} // it has no clients
				out++
			case Free:
				if g.Incarnation == 1 {
					order = append(order, m.Name)
				}
				g = Member{Reachable: true, Fresh: true, Zone: g.Zone, Voter: g.Voter, Leader: g.Leader, Incarnation: 2, Withdrawn: g.Withdrawn}
				f.Members[m.Name] = g
				if err := done(&b, Command{ID: 1, Machines: []string{m.Name}}, 1_700_000_000_000+now.Milliseconds()); err != nil {
					t.Fatal(err)
				}
				out++
			case Back:
				out++
			}
			f.Members[m.Name] = g
		}
		if out > 1 {
			t.Fatalf("%d are out: %+v", out, b.Requests[0])
		}
	}
	if got := strings.Join(order, " "); got != "g3 g4 g5 g0 g2 g1" || b.Requests[0].State != Done {
		t.Errorf("%s; %+v", got, b.Requests[0])
	}
}

func TestStalledGatewayIsWaitedFor(t *testing.T) {
	w := newWorld(t, 2, 6, 3, 4)
	w.gateways["g3"].stalled = w.now + 10*time.Second
	w.ask("one", Restart, "s-a1")
	w.run(9 * time.Second)
	if m := w.b.Requests[0].Machines[0]; m.State != Announced || m.Note != "waits for g3" {
		t.Fatalf("%+v", m)
	}
	w.run(5 * time.Second)
	if w.free != 1 {
		t.Errorf("not free after it woke: %+v", w.b.Requests[0])
	}
	// One that is over for good is waited for until a person says so.
	w.until(time.Minute)
	w.gateways["g2"].stalled = w.now + time.Hour
	w.ask("two", Restart, "s-b1")
	w.run(time.Minute)
	if m := w.b.Requests[1].Machines[0]; m.State != Announced {
		t.Fatalf("%+v", m)
	}
	if err := w.call(gone, Command{Machines: []string{"g2"}}); err != nil {
		t.Fatal(err)
	}
	delete(w.gateways, "g2")
	w.run(2 * time.Second)
	if m := w.b.Requests[1].Machines[0]; m.State != Free {
		t.Errorf("%+v", m)
	}
}

func TestTroubleTakesBack(t *testing.T) {
	w := newWorld(t, 3, 4, 3, 4)
	w.gateways["g0"].stalled = w.now + 5*time.Second
	w.ask("one", Restart, "s-a1", "s-b1")
	w.run(time.Second)
	w.zonesOut = []string{"c"}
	w.run(time.Second)
	if m := w.b.Requests[0].Machines[0]; m.State != Waiting || !strings.Contains(m.Note, "taken back") {
		t.Fatalf("%+v", m)
	}
	w.run(10 * time.Second)
	if w.free != 0 {
		t.Errorf("a turn began while a zone is out")
	}
	w.zonesOut = nil
	if !w.until(5*time.Minute) || w.free != 2 {
		t.Errorf("after the trouble: %+v", w.b.Requests[0])
	}
}

func TestTheOneThatFailedIsHeld(t *testing.T) {
	w := newWorld(t, 4, 4, 3, 4)
	w.ask("one", Restart, "s-a1", "s-b1")
	w.ill["s-a1"] = true
	w.until(5 * time.Minute)
	r := w.b.Requests[0]
	if r.State != Held || r.Machines[0].State != Held || !strings.Contains(r.Machines[0].Note, "ill on its return") {
		t.Fatalf("%+v", r)
	}
	before := w.b.Withdrawn()
	if _, away := before["s-a1"]; !away {
		t.Error("the machine that failed is used")
	}
	w.ill["s-a1"] = false
	if err := w.call(resume, Command{ID: r.ID}); err != nil {
		t.Fatal(err)
	}
	if !w.until(5*time.Minute) || w.b.Requests[0].State != Done {
		t.Errorf("resumed: %+v", w.b.Requests[0])
	}
	// One that nobody gives back is tried once its time is up.
	w.forgets = true
	w.ask("two", Restart, "s-c1")
	if !w.until(5*time.Minute) || w.b.Requests[1].State != Done {
		t.Errorf("never said to be done: %+v", w.b.Requests[1])
	}
}

// A book in which nothing happens is the same plan, and not a new one each time: of notes alone one in three seconds.
func TestNoNeedlessPlans(t *testing.T) {
	w := newWorld(t, 6, 12, 3, 4)
	w.gateways["g3"].stalled = w.now + time.Hour
	w.ask("one", Restart, names(w.servers)...)
	w.run(5 * time.Second)
	before := w.plans
	w.run(30 * time.Second)
	if n := w.plans - before; n > 11 {
		t.Errorf("%d plans in 30 s of waiting", n)
	}
}

// A cold server whose answers come late is not ill, and one that never answers is.
func TestLateIsNotIll(t *testing.T) {
	for _, never := range []bool{false, true} {
		o := New(Defaults)
		for now := time.Duration(0); now < 4*time.Second; now += tick {
			late := uint64(1)
			if now < 2*tick || never {
				late = 0
			}
			o.Observe(now, "s", 0, 0, 1, late)
		}
		if good, bad := o.of("s", 4*time.Second, 0); never != (bad >= 3) || never != (good == 0) {
			t.Errorf("never answers: %v: %d good, %d bad", never, good, bad)
		}
	}
}

func TestCalls(t *testing.T) {
	w := newWorld(t, 5, 2, 2, 3)
	w.ask("k", Restart, "s-a1")
	w.ask("k", Restart, "s-a1") // sent twice, through two gateways
	if len(w.b.Requests) != 1 {
		t.Fatalf("%+v", w.b.Requests)
	}
	for what, c := range map[string]Command{"another's machine": {Key: "x", Kind: Restart, ForMS: 1, Machines: []string{"s-a1"}},
		"a key of something else": {Key: "k", Kind: Off, ForMS: 1, Machines: []string{"s-a2"}}, "no kind": {Key: "x", ForMS: 1, Machines: []string{"s-a2"}},
		"no time": {Key: "x", Kind: Off, Machines: []string{"s-a2"}}, "none": {Key: "x", Kind: Off, ForMS: 1},
		"after none": {Key: "x", Kind: Off, ForMS: 1, After: 77, Machines: []string{"s-a2"}}} {
		if err := w.call(request, c); err == nil {
			t.Errorf("%s is taken", what)
		}
	}
	if err := w.call(done, Command{ID: 1, Machines: []string{"s-a1"}}); err == nil {
		t.Error("done before it is free")
	}
	w.run(3 * time.Second)
	if w.b.Requests[0].Machines[0].State != Free {
		t.Fatalf("%+v", w.b.Requests[0])
	}
	if err := w.call(cancel, Command{ID: 1}); err != nil || w.b.Requests[0].Machines[0].State != Free {
		t.Errorf("a free machine is cancelled: %+v %v", w.b.Requests[0], err)
	}
	w.ask("gone", Off, "s-b1")
	w.until(2 * time.Minute)
	if _, away := w.b.Withdrawn()["s-b1"]; !away || w.b.Requests[1].State != Done {
		t.Errorf("off, and used again: %+v", w.b.Requests[1])
	}
	if err := w.call(cancel, Command{ID: 9}); err == nil {
		t.Error("cancels what is not there")
	}
}

// Whatever stalls, fails or is cancelled: nothing is sent to a free machine, the bounds hold, and every request ends or is held.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, gateways, servers := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "gateways"), rapid.IntRange(2, 5).Draw(t, "servers")
		w := newWorld(t, seed, gateways, 3, servers)
		all := names(w.servers)
		for range 120 {
			switch w.rng.IntN(12) {
			case 0:
				g := w.gateways[fmt.Sprint("g", w.rng.IntN(gateways))]
				g.stalled = w.now + time.Duration(w.rng.IntN(10_000))*time.Millisecond
			case 1:
				w.zonesOut = nil
				if w.rng.IntN(3) == 0 {
					w.zonesOut = []string{string(rune('a' + w.rng.IntN(3)))}
				}
			case 2:
				w.turned = w.rng.IntN(4) == 0
			case 3, 4, 5:
				var machines []string
				for range 1 + w.rng.IntN(4) {
					if m := all[w.rng.IntN(len(all))]; !slices.Contains(machines, m) {
						machines = append(machines, m)
					}
				}
				_ = w.call(request, Command{Key: fmt.Sprint(w.now), Kind: Restart, ForMS: int64(1000 + w.rng.IntN(20_000)), Machines: machines})
			case 6:
				if n := len(w.b.Requests); n > 0 {
					_ = w.call(cancel, Command{ID: w.b.Requests[w.rng.IntN(n)].ID})
				}
			case 7:
				w.ill[all[w.rng.IntN(len(all))]] = w.rng.IntN(2) == 0
			case 8:
				w.forgets = w.rng.IntN(3) == 0
			}
			w.run(time.Duration(200+w.rng.IntN(3000)) * time.Millisecond)
			if most := max(1, int(Defaults.MostShare*float64(len(all)))); w.most > most {
				t.Fatalf("%d out at once, %d at most", w.most, most)
			}
		}
		w.zonesOut, w.turned, w.forgets = nil, false, false
		clear(w.ill)
		for i := range w.b.Requests {
			if r := &w.b.Requests[i]; r.State == Held {
				_ = w.call(resume, Command{ID: r.ID})
			}
		}
		if !w.until(4 * time.Hour) {
			t.Fatalf("some wait for ever: %+v", w.b.Requests)
		}
	})
}
