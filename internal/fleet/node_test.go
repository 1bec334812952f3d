package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// violation takes the place of the test in a simulation. It records the message of a violated invariant and ends
// the simulation by a panic.
type violation struct{ text string }

func (v *violation) Fatalf(format string, a ...any) { v.text = fmt.Sprintf(format, a...); panic(v) }
func (v *violation) Logf(string, ...any)            {}

// findViolation runs a simulation until it violates an invariant. It returns the message of that invariant, or an
// empty text if none is violated.
func findViolation(simulate func(v *violation)) (text string) {
	v := &violation{}
	defer func() {
		if r := recover(); r != nil && r != any(v) {
			panic(r)
		}
		text = v.text
	}()
	simulate(v)
	return ""
}

// The checks of the simulation must detect a planted fault: a voter that lost its storage votes under its old
// identity, so that both sides of a partition can commit.
func TestReusedIdentityIsDetected(t *testing.T) {
	for seed := range uint64(400) {
		text := findViolation(func(v *violation) {
			s := newSim(v, seed, 3, 3)
			s.run(4 * time.Second)
			s.reuseIdentity = true
			for i := range 30 { // one side commits; then a voter loses its storage and helps the other side commit
				a := i % 3
				s.heal()
				s.run(1500 * time.Millisecond)
				for b := range 3 {
					s.cut[[2]int{a, b}], s.cut[[2]int{b, a}] = a != b, a != b
				}
				s.submit(s.members[(a+1)%3], fmt.Sprint("p", i))
				s.run(1500 * time.Millisecond)
				wiped := (a + 1 + int(seed)%2) % 3
				s.start(s.members[wiped], false)
				isolated := 3 - a - wiped
				clear(s.cut)
				for b := range 3 {
					s.cut[[2]int{isolated, b}], s.cut[[2]int{b, isolated}] = isolated != b, isolated != b
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
	t.Error("no seed detected the planted fault")
}

// convergedSim returns a simulation of a fleet that has a leader and a plan.
func convergedSim(t *testing.T, members, voters int) *sim {
	s := newSim(t, 7, members, voters)
	s.run(4 * time.Second)
	s.submit(s.members[0], "first")
	s.run(time.Second)
	if len(s.leaders()) != 1 || len(s.members[0].epochs) != 1 {
		t.Fatalf("got leaders %v and epochs %v, expected one of each", s.leaders(), s.members[0].epochs)
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

// The check of the order must detect a planted fault: a command that took effect in an older epoch than a command
// that ended before it was submitted.
func TestReorderedCommandsAreDetected(t *testing.T) {
	text := findViolation(func(v *violation) {
		s := newSim(v, 1, 3, 3)
		s.history = []porcupine.Operation{{Call: 0, Output: Epoch{1, 5}, Return: 10}, {Call: 20, Output: Epoch{1, 4}, Return: 30}}
		s.checkOrder()
	})
	if text == "" {
		t.Error("the planted fault was not detected")
	}
}

// A leader that stalls while another one is elected must step down as soon as it resumes, before it acts on its old
// leadership.
func TestStalledLeaderStepsDown(t *testing.T) {
	s := convergedSim(t, 6, 3)
	old := s.leader()
	old.stalledUntil = s.now + 6*time.Second
	s.run(3 * time.Second)
	if l := s.leaders(); len(l) != 2 { // the stalled leader has not noticed the election yet
		t.Fatalf("leaders %v, expected the stalled one and its successor", l)
	}
	for _, m := range s.members {
		if m != old && !m.node.Leads() {
			s.submit(m, "meanwhile")
			break
		}
	}
	s.run(2900 * time.Millisecond)
	if s.newest == old.node.plan.Epoch {
		t.Fatal("no change was committed during the stall")
	}
	s.run(200 * time.Millisecond) // the process resumes, reads its sockets, and then its timers fire
	if old.node.Leads() {
		t.Error("the resumed member still leads")
	}
	s.run(time.Second)
	if old.node.plan.Epoch != s.newest {
		t.Errorf("the resumed member applies epoch %v, expected %v", old.node.plan.Epoch, s.newest)
	}
}

// In a partition the side without a quorum must neither commit a command nor consider its view fresh. After the
// partition all members must apply the plan of the majority.
func TestMinorityCommitsNothing(t *testing.T) {
	s := convergedSim(t, 6, 3)
	minority := []*member{s.leader(), s.members[5]}
	for _, a := range minority {
		for _, b := range s.members {
			if b != minority[0] && b != minority[1] {
				s.cut[[2]int{a.index, b.index}], s.cut[[2]int{b.index, a.index}] = true, true
			}
		}
	}
	s.run(1500 * time.Millisecond)
	s.submit(minority[0], "small")
	for _, m := range s.members[:5] {
		if m != minority[0] {
			s.submit(m, "large")
			break
		}
	}
	s.run(9 * time.Second)
	if len(minority[0].failures) != 1 || minority[0].node.Fresh() || minority[1].node.Fresh() {
		t.Errorf("minority: failures %v, expected one; fresh %v and %v, expected false", minority[0].failures, minority[0].node.Fresh(), minority[1].node.Fresh())
	}
	s.heal()
	healedAt := s.now
	for s.run(10 * time.Millisecond); ; s.run(10 * time.Millisecond) {
		converged := true
		for _, m := range s.members {
			converged = converged && m.node.plan.Epoch == s.newest
		}
		if converged {
			break
		}
		if s.now-healedAt > time.Second {
			t.Fatal("members apply different plans a second after the end of the partition")
		}
	}
	if m, ok := minority[1].node.plan.Frozen(); !ok || m.Reason != "large" {
		t.Errorf("got freeze mark %+v, expected that of the majority", m)
	}
}

// Of two processes with one name only the later one may take part in the fleet. The earlier one must stop sending
// once it receives a message of the later one, or a notice from another member.
func TestSupersededProcessIsFenced(t *testing.T) {
	s := convergedSim(t, 4, 3)
	m := s.members[3]
	later := m.config
	later.StartedAt++
	n, err := New(later, nil)
	if err != nil {
		t.Fatal(err)
	}
	n.SetAlive("m00", true)
	n.Tick(s.now, s.unixMS())
	n.Tick(s.now+simStatus, s.unixMS())
	messages, _ := n.TakeOutput()
	if len(messages) == 0 {
		t.Fatal("the later process sends nothing")
	}
	m.node.Step(s.now, s.unixMS(), messages[0].Data)
	if _, events := m.node.TakeOutput(); len(events) != 1 || events[0].Kind != Fenced || m.node.Fresh() {
		t.Errorf("events %+v, expected Fenced only; fresh %v, expected false", events, m.node.Fresh())
	}
	// A message of the later process need not reach the earlier one, so other members must notify the earlier one too.
	other := s.members[2]
	other.node.Step(s.now, s.unixMS(), messages[0].Data)
	other.node.TakeOutput()
	other.node.Step(s.now, s.unixMS(), encode(envelope{Version: wireVersion, Fleet: "test", From: m.config.Name, StartedAt: m.config.StartedAt,
		Incarnation: m.config.Incarnation, Seq: 1 << 20, Status: &Status{}}))
	answers, _ := other.node.TakeOutput()
	if len(answers) != 1 || answers[0].To != m.config.Name {
		t.Fatalf("answers %+v, expected one to the earlier process", answers)
	}
	if e, err := decode("test", answers[0].Data); err != nil || e.LaterIncarnation == nil || e.LaterIncarnation.StartedAt != later.StartedAt {
		t.Errorf("got notice %+v, error %v; expected the start time of the later process", e, err)
	}
	m.node.Tick(s.now+time.Second, s.unixMS())
	if messages, _ := m.node.TakeOutput(); len(messages) > 0 {
		t.Error("the fenced process still sends")
	}
}

// Messages that are malformed, foreign or inconsistent must be dropped and counted. A duplicate status, and one from an
// earlier process, must be ignored.
func TestUnusableMessagesAreDropped(t *testing.T) {
	s := convergedSim(t, 3, 3)
	m := s.members[1].node
	newMessage := func(change func(*envelope)) []byte {
		e := envelope{Version: wireVersion, Fleet: "test", From: "m09", StartedAt: 9, Incarnation: 9, Seq: 1}
		change(&e)
		return encode(e)
	}
	inconsistent := map[string]AttemptCounts{"a": {Attempts: 1, Served: 2}}
	for name, b := range map[string][]byte{
		"garbled":        []byte("\xff\x00garbled"),
		"empty":          {},
		"another fleet":  newMessage(func(e *envelope) { e.Fleet = "other" }),
		"newer version":  newMessage(func(e *envelope) { e.Version = 2 }),
		"nobody":         newMessage(func(e *envelope) { e.From = "" }),
		"wrong counters": newMessage(func(e *envelope) { e.Status = &Status{Report: &Report{Zones: inconsistent}} }),
		"endless":        make([]byte, MaxMessage+1),
	} {
		before := m.Dropped()
		m.Step(s.now, s.unixMS(), b)
		if m.Dropped() != before+1 {
			t.Errorf("%s: %d messages dropped, expected 1", name, m.Dropped()-before)
		}
		m.TakeOutput()
	}
	status := newMessage(func(e *envelope) { e.Seq, e.Status = 5, &Status{Epoch: Epoch{1, 1}} })
	m.Step(s.now, s.unixMS(), status)
	m.Step(s.now, s.unixMS(), newMessage(func(e *envelope) { e.Seq, e.Status = 5, &Status{Epoch: Epoch{1, 2}} })) // duplicate: same sequence number
	m.Step(s.now, s.unixMS(), newMessage(func(e *envelope) { e.StartedAt, e.Seq, e.Status = 8, 7, &Status{Epoch: Epoch{1, 3}} }))
	if p := m.peers.byName["m09"]; p.Status.Epoch != (Epoch{1, 1}) {
		t.Errorf("a duplicate status, or one from an earlier process, was accepted: epoch %v", p.Status.Epoch)
	}
}

// The deltas of reports must add up to the reported counters even if reports are lost, late or duplicated.
func TestReportDeltasAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var baseline reportBaseline
		sum, counters := AttemptCounts{}, AttemptCounts{}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			counters.Add(AttemptCounts{Attempts: uint64(rapid.IntRange(0, 5).Draw(t, "tries")), LatencyMicros: 7})
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				d, err := baseline.delta(&Report{Zones: map[string]AttemptCounts{"a": counters}})
				if err != nil {
					t.Fatal(err)
				}
				sum.Add(d.Zones["a"])
			}
		}
		if d, err := baseline.delta(&Report{Zones: map[string]AttemptCounts{"a": counters}}); err != nil {
			t.Fatal(err)
		} else {
			sum.Add(d.Zones["a"])
		}
		if sum.Attempts != counters.Attempts {
			t.Fatalf("deltas add up to %+v, expected %+v", sum, counters)
		}
	})
}

// A leader whose disk is full can't complete its writes. Another voter must take over, and the member must recover
// once it has space again.
func TestFullDiskHaltsTheVoter(t *testing.T) {
	s := convergedSim(t, 3, 3)
	old := s.leader()
	old.diskFull = true
	s.submit(old, "on a full disk")
	s.run(4 * time.Second)
	if l := s.leader(); l == nil || l == old {
		t.Fatalf("leaders %v, expected another voter to lead", s.leaders())
	}
	s.checkConvergence()
}

// The bytes sent per member must not grow with the size of the fleet, except at voters, which receive every status.
// A change must reach all members of a large fleet quickly.
func TestLargeFleets(t *testing.T) {
	bytesPerMember := map[int]float64{}
	sizes := []int{30, 300, 1000}
	if testing.Short() {
		sizes = []int{30, 100}
	}
	for _, members := range sizes {
		s := newSim(t, 3, members, 3)
		s.run(6 * time.Second)
		sentBefore, busiestVoter := map[string]int{}, 0.0
		for _, m := range s.members {
			sentBefore[m.config.Name] = m.sentBytes
		}
		s.run(5 * time.Second)
		for i, m := range s.members {
			bytes := float64(m.sentBytes-sentBefore[m.config.Name]) / 5
			if i < 3 {
				busiestVoter = max(busiestVoter, bytes)
			} else {
				bytesPerMember[members] += bytes / float64(members-3)
			}
		}
		s.submit(s.leader(), "known everywhere")
		submittedAt := s.now
		appliedByAll := func() bool {
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
		for !appliedByAll() && s.now-submittedAt < 20*time.Second {
			s.run(10 * time.Millisecond)
		}
		t.Logf("%d members: %.0f bytes/s per member, %.0f bytes/s at the busiest voter; a change reached all members after %v", members, bytesPerMember[members],
			busiestVoter, s.now-submittedAt)
		if s.now-submittedAt > 3*time.Second {
			t.Errorf("%d members: a change reached all members only after %v", members, s.now-submittedAt)
		}
	}
	if bytesPerMember[sizes[len(sizes)-1]] > 1.3*bytesPerMember[30] {
		t.Errorf("bytes/s per member grow with the size of the fleet: %v", bytesPerMember)
	}
}

// No input may crash a member that receives it as a message.
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
