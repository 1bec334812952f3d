package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// violation is an invariant that a sim found violated; it stands in for the test.
type violation struct{ text string }

func (f *violation) Fatalf(format string, a ...any) { f.text = fmt.Sprintf(format, a...); panic(f) }
func (f *violation) Logf(string, ...any)            {}

// findViolation runs play until an invariant is violated, and returns which; empty: none was.
func findViolation(play func(f *violation)) (text string) {
	f := &violation{}
	defer func() {
		if r := recover(); r != nil && r != any(f) {
			panic(r)
		}
		text = f.text
	}()
	play(f)
	return ""
}

// The checks find a planted fault: a voter that lost its storage and votes under its old identity.
func TestPlantedReusedIdentityIsFound(t *testing.T) {
	for seed := range uint64(400) {
		text := findViolation(func(f *violation) {
			s := newSim(f, seed, 3, 3)
			s.run(4 * time.Second)
			s.reuseIdentity = true
			for i := range 30 { // one side commits; a voter loses its storage, and helps the other side commit
				a := i % 3
				s.heal()
				s.run(1500 * time.Millisecond)
				for b := range 3 {
					s.cut[[2]int{a, b}], s.cut[[2]int{b, a}] = a != b, a != b
				}
				s.submit(s.members[(a+1)%3], fmt.Sprint("p", i))
				s.run(1500 * time.Millisecond)
				other := (a + 1 + int(seed)%2) % 3
				s.start(s.members[other], false)
				left := 3 - a - other
				clear(s.cut)
				for b := range 3 {
					s.cut[[2]int{left, b}], s.cut[[2]int{b, left}] = left != b, left != b
				}
				s.submit(s.members[a], fmt.Sprint("q", i))
				s.run(3 * time.Second)
				s.submit(s.members[a], fmt.Sprint("r", i))
				s.run(time.Second)
			}
		})
		if strings.Contains(text, "another plan of epoch") || strings.Contains(text, "goes back") || strings.Contains(text, "fresh") ||
			strings.Contains(text, "after a plan of generation") {
			t.Logf("seed %d: %s", seed, text)
			return
		}
	}
	t.Error("the fault is not found")
}

// convergedSim is a fleet that has a leader and a plan.
func convergedSim(t *testing.T, members, voters int) *sim {
	s := newSim(t, 7, members, voters)
	s.run(4 * time.Second)
	s.submit(s.members[0], "first")
	s.run(time.Second)
	if len(s.leaders()) != 1 || len(s.members[0].epochs) != 1 {
		t.Fatalf("leaders %v, epochs %v", s.leaders(), s.members[0].epochs)
	}
	return s
}

func (s *sim) leader() *member {
	for _, m := range s.members {
		if !m.down && m.node.Leads() {
			return m
		}
	}
	return nil
}

// The checks find a command that took effect under an older epoch than one that ended before it was submitted.
func TestPlantedOrderIsFound(t *testing.T) {
	text := findViolation(func(f *violation) {
		s := newSim(f, 1, 3, 3)
		s.history = []porcupine.Operation{{Call: 0, Output: Epoch{1, 5}, Return: 10}, {Call: 20, Output: Epoch{1, 4}, Return: 30}}
		s.checkOrder()
	})
	if text == "" {
		t.Error("the fault is not found")
	}
}

func TestStalledLeaderStepsDown(t *testing.T) {
	s := convergedSim(t, 6, 3)
	old := s.leader()
	old.stalledUntil = s.now + 6*time.Second
	s.run(3 * time.Second)
	if l := s.leaders(); len(l) != 2 { // the stalled one does not know better yet
		t.Fatalf("leaders %v", l)
	}
	for _, m := range s.members {
		if m != old && !m.node.Leads() {
			s.submit(m, "meanwhile")
			break
		}
	}
	s.run(2900 * time.Millisecond)
	if s.newest == old.node.plan.Epoch {
		t.Fatal("nothing was committed meanwhile")
	}
	s.run(200 * time.Millisecond) // it wakes, reads its sockets, and then its timers fire
	if old.node.Leads() {
		t.Error("it still leads")
	}
	s.run(time.Second)
	if old.node.plan.Epoch != s.newest {
		t.Errorf("it acts on %v of %v", old.node.plan.Epoch, s.newest)
	}
}

func TestMinorityCommitsNothing(t *testing.T) {
	s := convergedSim(t, 6, 3)
	small := []*member{s.leader(), s.members[5]}
	for _, a := range small {
		for _, b := range s.members {
			if b != small[0] && b != small[1] {
				s.cut[[2]int{a.index, b.index}], s.cut[[2]int{b.index, a.index}] = true, true
			}
		}
	}
	s.run(1500 * time.Millisecond)
	s.submit(small[0], "small")
	for _, m := range s.members[:5] {
		if m != small[0] {
			s.submit(m, "large")
			break
		}
	}
	s.run(9 * time.Second)
	if len(small[0].failures) != 1 || small[0].node.Fresh() || small[1].node.Fresh() {
		t.Errorf("the minority: failures %v, fresh %v and %v", small[0].failures, small[0].node.Fresh(), small[1].node.Fresh())
	}
	s.heal()
	healed := s.now
	for s.run(10 * time.Millisecond); ; s.run(10 * time.Millisecond) {
		same := true
		for _, m := range s.members {
			same = same && m.node.plan.Epoch == s.newest
		}
		if same {
			break
		}
		if s.now-healed > time.Second {
			t.Fatal("a second after the partition's end they act on different plans")
		}
	}
	if m, ok := small[1].node.plan.Frozen(); !ok || m.Reason != "large" {
		t.Errorf("the plan has %+v", m)
	}
}

func TestEarlierNamesakeIsFenced(t *testing.T) {
	s := convergedSim(t, 4, 3)
	m := s.members[3]
	later := m.config
	later.StartedAt++
	n, err := New(later, nil)
	if err != nil {
		t.Fatal(err)
	}
	n.SetAlive("m00", true)
	n.Tick(s.now, s.unix())
	n.Tick(s.now+simStatus, s.unix())
	sends, _ := n.TakeOutput()
	if len(sends) == 0 {
		t.Fatal("it sends nothing")
	}
	m.node.Step(s.now, s.unix(), sends[0].Data)
	if _, events := m.node.TakeOutput(); len(events) != 1 || events[0].Kind != Fenced || m.node.Fresh() {
		t.Errorf("events %+v, fresh %v", events, m.node.Fresh())
	}
	// The two may never reach each other: then other members inform the earlier one.
	other := s.members[2]
	other.node.Step(s.now, s.unix(), sends[0].Data)
	other.node.TakeOutput()
	other.node.Step(s.now, s.unix(), encode(envelope{Version: wireVersion, Fleet: "test", From: m.config.Name, StartedAt: m.config.StartedAt,
		Incarnation: m.config.Incarnation, Seq: 1 << 20, Status: &Status{}}))
	answers, _ := other.node.TakeOutput()
	if len(answers) != 1 || answers[0].To != m.config.Name {
		t.Fatalf("answers %+v", answers)
	}
	if e, err := decode("test", answers[0].Data); err != nil || e.LaterIncarnation == nil || e.LaterIncarnation.StartedAt != later.StartedAt {
		t.Errorf("%+v, %v", e, err)
	}
	m.node.Tick(s.now+time.Second, s.unix())
	if sends, _ := m.node.TakeOutput(); len(sends) > 0 {
		t.Error("it sends on")
	}
}

func TestUnusableMessagesAreDropped(t *testing.T) {
	s := convergedSim(t, 3, 3)
	m := s.members[1].node
	from := func(change func(*envelope)) []byte {
		e := envelope{Version: wireVersion, Fleet: "test", From: "m09", StartedAt: 9, Incarnation: 9, Seq: 1}
		change(&e)
		return encode(e)
	}
	absurd := map[string]AttemptCounts{"a": {Attempts: 1, Served: 2}}
	for name, b := range map[string][]byte{
		"garbled":        []byte("\xff\x00garbled"),
		"empty":          {},
		"another fleet":  from(func(e *envelope) { e.Fleet = "other" }),
		"newer version":  from(func(e *envelope) { e.Version = 2 }),
		"nobody":         from(func(e *envelope) { e.From = "" }),
		"absurd numbers": from(func(e *envelope) { e.Status = &Status{Report: &Report{Zones: absurd}} }),
		"endless":        make([]byte, MaxMessage+1),
	} {
		before := m.Dropped()
		m.Step(s.now, s.unix(), b)
		if m.Dropped() != before+1 {
			t.Errorf("%s: %d dropped", name, m.Dropped()-before)
		}
		m.TakeOutput()
	}
	status := from(func(e *envelope) { e.Seq, e.Status = 5, &Status{Epoch: Epoch{1, 1}} })
	m.Step(s.now, s.unix(), status)
	m.Step(s.now, s.unix(), from(func(e *envelope) { e.Seq, e.Status = 5, &Status{Epoch: Epoch{1, 2}} })) // duplicate: the same number
	m.Step(s.now, s.unix(), from(func(e *envelope) { e.StartedAt, e.Seq, e.Status = 8, 7, &Status{Epoch: Epoch{1, 3}} }))
	if p := m.peers.byName["m09"]; p.Status.Epoch != (Epoch{1, 1}) {
		t.Errorf("a duplicate status, or one of an earlier process, counts: %v", p.Status.Epoch)
	}
}

// The differences of reports add up to the counters, however reports are lost, late and duplicated.
func TestReportDeltasAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s reportBaseline
		sum, now := AttemptCounts{}, AttemptCounts{}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now.Add(AttemptCounts{Attempts: uint64(rapid.IntRange(0, 5).Draw(t, "tries")), LatencyMicros: 7})
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				d, err := s.delta(&Report{Zones: map[string]AttemptCounts{"a": now}})
				if err != nil {
					t.Fatal(err)
				}
				sum.Add(d.Zones["a"])
			}
		}
		if d, err := s.delta(&Report{Zones: map[string]AttemptCounts{"a": now}}); err != nil {
			t.Fatal(err)
		} else {
			sum.Add(d.Zones["a"])
		}
		if sum.Attempts != now.Attempts {
			t.Fatalf("%+v of %+v", sum, now)
		}
	})
}

func TestFullDiskHaltsTheVoter(t *testing.T) {
	s := convergedSim(t, 3, 3)
	old := s.leader()
	old.diskFull = true
	s.submit(old, "on a full disk")
	s.run(4 * time.Second)
	if l := s.leader(); l == nil || l == old {
		t.Fatalf("leaders %v", s.leaders())
	}
	s.checkConvergence()
}

// Bytes per member do not grow with the fleet, except at voters, which receive every status; and a change
// reaches all members soon.
func TestLargeFleets(t *testing.T) {
	each := map[int]float64{}
	sizes := []int{30, 300, 1000}
	if testing.Short() {
		sizes = []int{30, 100}
	}
	for _, members := range sizes {
		s := newSim(t, 3, members, 3)
		s.run(6 * time.Second)
		before, voters := map[string]int{}, 0.0
		for _, m := range s.members {
			before[m.config.Name] = m.sent
		}
		s.run(5 * time.Second)
		for i, m := range s.members {
			bytes := float64(m.sent-before[m.config.Name]) / 5
			if i < 3 {
				voters = max(voters, bytes)
			} else {
				each[members] += bytes / float64(members-3)
			}
		}
		s.submit(s.leader(), "known everywhere")
		asked := s.now
		known := func() bool {
			for _, m := range s.members {
				if m.node.plan.Epoch != s.newest || s.newest.Index < 3 {
					return false
				}
				if f, ok := m.node.plan.Frozen(); !ok || f.Reason != "known everywhere" {
					return false
				}
			}
			return true
		}
		for !known() && s.now-asked < 20*time.Second {
			s.run(10 * time.Millisecond)
		}
		t.Logf("%d members: %.0f bytes a second each, %.0f the busiest voter; a change is known everywhere after %v", members, each[members],
			voters, s.now-asked)
		if s.now-asked > 3*time.Second {
			t.Errorf("%d members: a change is known everywhere after %v", members, s.now-asked)
		}
	}
	if each[sizes[len(sizes)-1]] > 1.3*each[30] {
		t.Errorf("bytes per member grow with the fleet: %v", each)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(encode(envelope{Version: wireVersion, Fleet: "test", From: "m00", Status: &Status{Zone: "a"}})))
	f.Add([]byte(encode(envelope{Version: wireVersion, Fleet: "test", From: "m01", Raft: &raftMessage{1, 2, []byte("x")}})))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := New(Config{Fleet: "test", Name: "m00", Voters: []string{"m00", "m01"}, Tick: simTick, StatusInterval: simStatus, Lease: simLease}, nil)
		if err != nil {
			t.Fatal(err)
		}
		n.Step(0, 0, b)
		n.Persisted()
		n.Step(time.Second, 1, b)
		n.Tick(2*time.Second, 2)
	})
}
