package fleet

import (
	"bytes"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// sim simulates members on one virtual clock, over links that lose, delay, duplicate and block messages. Members
// can be stalled, killed, and restarted with or without their storage. It checks the fleet's invariants at each
// step.
type sim struct {
	t           fataler
	rng         *rand.Rand
	now         time.Duration
	eventCount  int
	events      events
	members     []*member
	voters      []string
	lossRate    float64         // probability that a message is lost
	delay       time.Duration   // longest delay of a message
	duplication float64         // probability that a message is sent twice
	cut         map[[2]int]bool // blocked links, as indexes of sender and receiver

	committedPlans   map[Epoch][]byte        // content of the plan of each epoch
	committedAt      map[Epoch]time.Duration // time at which a member first applied the plan of each epoch
	newest           Epoch                   // newest epoch that any member has applied
	newestGeneration uint64                  // newest generation in which a plan was committed
	reuseIdentity    bool                    // planted fault: a voter that lost its storage keeps its identity
	incarnations     int64                   // number of processes started so far
	history          []porcupine.Operation   // commands that took effect
}

// fataler is the part of a test that a simulation uses.
type fataler interface {
	Fatalf(string, ...any)
	Logf(string, ...any)
}

// member is a simulated member of the fleet with its process and its disk.
type member struct {
	index        int
	config       Config
	node         *Node
	disk         *VoterState
	diskFull     bool // true if writes to the disk do not complete
	down         bool
	stalledUntil time.Duration
	inbox        [][]byte // messages that a stalled process has not read yet
	epoch        Epoch    // epoch of the plan that its current process applied last
	failures     []error  // errors of its commands
	sentBytes    int
	epochs       []Epoch // epochs in which its commands took effect
}

// simEvent is an action at a virtual time. Events at the same time run in the order of their creation.
type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

// events is the queue of pending events, a heap.
type events []simEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	simTick   = 100 * time.Millisecond
	simStatus = 200 * time.Millisecond
	simLease  = 2 * time.Second
)

func newSim(t fataler, seed uint64, members, voters int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 9)), cut: map[[2]int]bool{}, committedPlans: map[Epoch][]byte{},
		committedAt: map[Epoch]time.Duration{}, delay: 5 * time.Millisecond}
	for i := range voters {
		s.voters = append(s.voters, fmt.Sprintf("m%02d", i))
	}
	for i := range members {
		m := &member{index: i, config: Config{
			Fleet:          "test",
			Name:           fmt.Sprintf("m%02d", i),
			Zone:           string(rune('a' + i%3)),
			Voters:         s.voters,
			Seed:           seed + uint64(i),
			Tick:           simTick,
			StatusInterval: simStatus,
			Lease:          simLease,
			Commands:       map[string]CommandHandler{"freeze": freezeAlways},
		}}
		s.members = append(s.members, m)
	}
	for _, m := range s.members {
		s.start(m, false)
	}
	return s
}

// freezeAlways is a command handler that always changes the plan.
func freezeAlways(p *Plan, args []byte, unixMS int64) (map[string]cbor.RawMessage, error) {
	return map[string]cbor.RawMessage{SectionFreeze: encode(OperatorMark{Reason: string(args), At: unixMS})}, nil
}

func (s *sim) after(d time.Duration, do func()) {
	s.eventCount++
	heap.Push(&s.events, simEvent{s.now + d, s.eventCount, do})
}

// start starts a new process of a member. The process has the member's storage if keepStorage is true.
func (s *sim) start(m *member, keepStorage bool) {
	s.incarnations++
	m.config.StartedAt, m.config.Incarnation = s.incarnations, s.rng.Uint64()
	saved := m.disk
	if !keepStorage {
		if saved != nil && s.reuseIdentity {
			saved = &VoterState{Identity: m.disk.Identity, Generation: m.disk.Generation, Promised: m.disk.Promised}
		} else {
			saved = nil
		}
		m.disk = saved
	}
	n, err := New(m.config, saved)
	if err != nil {
		s.t.Fatalf("%s: %v", m.config.Name, err)
	}
	m.node = n
	m.down = false
	m.diskFull = false
	m.stalledUntil = 0
	m.inbox = nil
	m.epoch = Epoch{}
	for _, o := range s.members {
		if o != m {
			n.SetAlive(o.config.Name, true)
		}
	}
	startedIncarnation := m.config.Incarnation
	var tick func()
	tick = func() {
		if m.down || m.config.Incarnation != startedIncarnation {
			return
		}
		if s.now >= m.stalledUntil {
			inbox := m.inbox
			m.inbox = nil
			for _, b := range inbox { // a process that resumes reads its sockets before its timers fire
				m.node.Step(s.now, s.unixMS(), b)
				s.drive(m)
			}
			m.node.Tick(s.now, s.unixMS())
			s.drive(m)
		}
		s.after(simTick, tick)
	}
	s.after(time.Duration(s.rng.Int64N(int64(simTick))), tick)
}

func (s *sim) unixMS() int64 { return 1_700_000_000_000 + int64(s.now/time.Millisecond) }

// drive stores and sends what a member has ready, and checks its plan.
func (s *sim) drive(m *member) {
	for {
		update, pending := m.node.PendingStorage()
		if !pending || m.diskFull {
			break
		}
		m.persist(update)
		m.node.Persisted()
	}
	messages, events := m.node.TakeOutput()
	for _, e := range events {
		if e.Kind == PlanChanged {
			s.checkPlan(m, *e.Plan)
		}
	}
	for _, message := range messages {
		m.sentBytes += len(message.Data)
		to := slices.IndexFunc(s.members, func(o *member) bool { return o.config.Name == message.To })
		if to < 0 {
			s.t.Fatalf("%s sends to %q", m.config.Name, message.To)
		}
		copies := 1
		if s.rng.Float64() < s.duplication {
			copies = 2
		}
		for range copies {
			if s.cut[[2]int{m.index, to}] || s.rng.Float64() < s.lossRate {
				continue
			}
			s.after(time.Duration(s.rng.Int64N(int64(s.delay)+1)), func() { s.deliver(s.members[to], message.Data) })
		}
	}
	s.checkFreshness(m)
}

func (s *sim) deliver(m *member, b []byte) {
	switch {
	case m.down:
	case s.now < m.stalledUntil:
		if len(m.inbox) < 200 {
			m.inbox = append(m.inbox, b)
		}
	default:
		m.node.Step(s.now, s.unixMS(), b)
		s.drive(m)
	}
}

// persist applies a write to the member's disk.
func (m *member) persist(update StorageUpdate) {
	if update.Replacement != nil {
		m.disk = update.Replacement
		return
	}
	d := *m.disk
	if update.HardState != nil {
		d.HardState = proto.Clone(update.HardState).(*raftpb.HardState)
	}
	if update.Snapshot != nil {
		d.Snapshot = update.Snapshot
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *raftpb.Entry) bool {
			return e.GetIndex() <= update.Snapshot.GetMetadata().GetIndex()
		})
	}
	if len(update.Entries) > 0 {
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *raftpb.Entry) bool {
			return e.GetIndex() >= update.Entries[0].GetIndex()
		})
		for _, e := range update.Entries {
			d.Entries = append(d.Entries, proto.Clone(e).(*raftpb.Entry))
		}
	}
	m.disk = &d
}

// checkPlan checks that an epoch has only one plan, that a generation commits nothing after a newer one did, and
// that no member goes back to an older epoch.
func (s *sim) checkPlan(m *member, p Plan) {
	b := planBytes(p)
	if old, ok := s.committedPlans[p.Epoch]; ok && !bytes.Equal(old, b) {
		s.t.Fatalf("%v: %s has another plan of epoch %v", s.now, m.config.Name, p.Epoch)
	} else if !ok {
		s.committedPlans[p.Epoch], s.committedAt[p.Epoch] = b, s.now
		if p.Epoch.Generation < s.newestGeneration {
			s.t.Fatalf("%v: %v was committed after a plan of generation %d", s.now, p.Epoch, s.newestGeneration)
		}
		s.newestGeneration = max(s.newestGeneration, p.Epoch.Generation)
		if s.newest.Less(p.Epoch) {
			s.newest = p.Epoch
		}
	}
	if p.Epoch.Less(m.epoch) {
		s.t.Fatalf("%v: %s goes back from %v to %v", s.now, m.config.Name, m.epoch, p.Epoch)
	}
	m.epoch = p.Epoch
}

func planBytes(p Plan) []byte {
	var b []byte
	for _, name := range slices.Sorted(maps.Keys(p.Sections)) {
		b = fmt.Appendf(b, "%s=%x;", name, p.Sections[name])
	}
	return b
}

// checkFreshness checks that a fresh view contains every plan that was committed longer ago than the lease plus
// the time within which a leader without a quorum steps down.
func (s *sim) checkFreshness(m *member) {
	if !m.node.Fresh() || s.newest == m.node.plan.Epoch {
		return
	}
	old := s.now - simLease - 2*electionTicks*simTick - 2*simTick
	for e, at := range s.committedAt {
		if at < old && m.node.plan.Epoch.Less(e) {
			s.t.Fatalf("%v: %s considers epoch %v fresh, but %v was committed at %v", s.now, m.config.Name, m.node.plan.Epoch, e, at)
		}
	}
}

// run advances the simulation by a duration.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// submit submits a command at a member, unless it is down or stalled.
func (s *sim) submit(m *member, reason string) {
	if m.down || s.now < m.stalledUntil {
		return
	}
	submittedAt := s.now
	m.node.Submit(s.now, s.unixMS(), "freeze", []byte(reason), func(e Epoch, err error) {
		if err != nil {
			m.failures = append(m.failures, err)
			return
		}
		m.epochs = append(m.epochs, e)
		s.history = append(s.history, porcupine.Operation{ClientId: m.index, Input: reason, Call: int64(submittedAt), Output: e, Return: int64(s.now)})
	})
	s.drive(m)
}

// heal repairs all links and disks, ends all stalls, and restarts the members that are down.
func (s *sim) heal() {
	clear(s.cut)
	s.lossRate, s.duplication, s.delay = 0, 0, 5*time.Millisecond
	for _, m := range s.members {
		m.diskFull, m.stalledUntil = false, min(m.stalledUntil, s.now)
		if m.down {
			s.start(m, true)
		}
	}
}

// checkConvergence heals all faults, and checks that all members reach one epoch under one leader and that a
// command takes effect.
func (s *sim) checkConvergence() {
	s.heal()
	s.run(10 * time.Second)
	before := len(s.members[0].epochs)
	s.submit(s.members[0], "last")
	s.run(2 * time.Second)
	if len(s.members[0].epochs) != before+1 {
		s.dump()
		s.t.Fatalf("a command failed without faults: %v; leaders %v", s.members[0].failures, s.leaders())
	}
	if l := s.leaders(); len(l) != 1 {
		s.t.Fatalf("leaders %v, expected one", l)
	}
	for _, m := range s.members {
		if m.node.plan.Epoch != s.newest || !m.node.Fresh() {
			s.t.Fatalf("%s applies epoch %v, expected %v; fresh %v, expected true", m.config.Name, m.node.plan.Epoch, s.newest, m.node.Fresh())
		}
	}
}

func (s *sim) leaders() (names []string) {
	for _, m := range s.members {
		if !m.down && m.node.Leads() {
			names = append(names, m.config.Name)
		}
	}
	return names
}

// dump logs the state of each member.
func (s *sim) dump() {
	for _, m := range s.members {
		n := m.node
		s.t.Logf("%v %s: %v, leader %q %v ago, fresh %v, down %v, fenced %v", s.now, n.config.Name, n.plan.Epoch, n.leader, n.now-n.lastLeaderContact,
			n.Fresh(), m.down, n.fenced)
		if v := n.voter; v != nil {
			s.t.Logf("  %x, generation %d, promised %d, conf %x/%x, lead %x, term %d, %v, starting generation %d, replacement %v, pending %v", v.identity,
				v.generation, n.voterHeader.Promised, v.confState.GetVoters(), v.confState.GetVotersOutgoing(), v.leader, v.term,
				v.raftNode.BasicStatus().RaftState, n.generationStart.number, n.replacement != nil, v.pendingReady != nil)
		}
	}
}

// epochOrderModel specifies commands for porcupine: each command takes effect in a later epoch than all commands
// that ended before it was submitted.
var epochOrderModel = porcupine.Model{
	Init: func() any { return Epoch{} },
	Step: func(state, _, output any) (bool, any) {
		e := output.(Epoch)
		return state.(Epoch).Less(e), e
	},
}

// checkOrder checks the simulation's commands against epochOrderModel. Commands that ended with ErrNoQuorum are
// excluded, because they may or may not have taken effect.
func (s *sim) checkOrder() {
	if !porcupine.CheckOperations(epochOrderModel, s.history) {
		s.t.Fatalf("commands did not take effect in the order of their submission: %+v", s.history)
	}
}
