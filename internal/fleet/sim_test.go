package fleet

import (
	"bytes"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// sim plays members on one virtual clock over ways that lose, delay, double and cut. A member can be stalled, killed and
// started again with or without its folder. It checks the promises at every step.
type sim struct {
	t       fataler
	rng     *rand.Rand
	now     time.Duration
	order   int
	queue   events
	members []*member
	voters  []string
	loss    float64
	delay   time.Duration
	double  float64
	cut     map[[2]int]bool // from, to

	plans   map[Epoch][]byte
	settled map[Epoch]time.Duration
	newest  Epoch
	commits uint64 // the newest founding in which a leader settled something
	forget  bool   // planted: a voter that lost its folder votes under its old identity
	lives   int64
	history []porcupine.Operation
}

type fataler interface {
	Fatalf(string, ...any)
	Logf(string, ...any)
}

type member struct {
	at     int
	cfg    Config
	n      *Node
	disk   *VoterState
	full   bool // the disk takes nothing
	dead   bool
	stall  time.Duration // until then
	inbox  [][]byte      // while it is stalled
	epoch  Epoch
	told   []error
	sent   int
	epochs []Epoch // that asks were settled under
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

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
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 9)), cut: map[[2]int]bool{}, plans: map[Epoch][]byte{},
		settled: map[Epoch]time.Duration{}, delay: 5 * time.Millisecond}
	for i := range voters {
		s.voters = append(s.voters, fmt.Sprintf("m%02d", i))
	}
	for i := range members {
		m := &member{at: i, cfg: Config{Fleet: "test", Name: fmt.Sprintf("m%02d", i), Zone: string(rune('a' + i%3)), Voters: s.voters,
			Seed: seed + uint64(i), Tick: simTick, Status: simStatus, Lease: simLease, Commands: map[string]CommandHandler{"freeze": freeze}}}
		s.members = append(s.members, m)
	}
	for _, m := range s.members {
		s.start(m, false)
	}
	return s
}

// freeze is a decider that always changes something.
func freeze(p *Plan, args []byte, unix int64) (map[string]cbor.RawMessage, error) {
	return map[string]cbor.RawMessage{SectionFreeze: encode(OperatorMark{Reason: string(args), At: unix})}, nil
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + d, s.order, do})
}

// start begins a life of a member, with its folder or without.
func (s *sim) start(m *member, keep bool) {
	s.lives++
	m.cfg.StartedAt, m.cfg.Incarnation = s.lives, s.rng.Uint64()
	saved := m.disk
	if !keep {
		if saved != nil && s.forget {
			saved = &VoterState{Identity: m.disk.Identity, Generation: m.disk.Generation, Promised: m.disk.Promised}
		} else {
			saved = nil
		}
		m.disk = saved
	}
	n, err := New(m.cfg, saved)
	if err != nil {
		s.t.Fatalf("%s: %v", m.cfg.Name, err)
	}
	m.n, m.dead, m.full, m.stall, m.inbox, m.epoch = n, false, false, 0, nil, Epoch{}
	for _, o := range s.members {
		if o != m {
			n.SetAlive(o.cfg.Name, true)
		}
	}
	life := m.cfg.Incarnation
	var tick func()
	tick = func() {
		if m.dead || m.cfg.Incarnation != life {
			return
		}
		if s.now >= m.stall {
			inbox := m.inbox
			m.inbox = nil
			for _, b := range inbox { // what lay in the sockets of a process that wakes, before its timers
				m.n.Step(s.now, s.unix(), b)
				s.drive(m)
			}
			m.n.Tick(s.now, s.unix())
			s.drive(m)
		}
		s.after(simTick, tick)
	}
	s.after(time.Duration(s.rng.Int64N(int64(simTick))), tick)
}

func (s *sim) unix() int64 { return 1_700_000_000_000 + int64(s.now/time.Millisecond) }

// drive keeps, sends and checks what a member has ready.
func (s *sim) drive(m *member) {
	for {
		p, some := m.n.PendingStorage()
		if !some || m.full {
			break
		}
		m.keep(p)
		m.n.Persisted()
	}
	sends, said := m.n.TakeOutput()
	for _, e := range said {
		if e.Kind == PlanChanged {
			s.saw(m, *e.Plan)
		}
	}
	for _, x := range sends {
		m.sent += len(x.Data)
		to := slices.IndexFunc(s.members, func(o *member) bool { return o.cfg.Name == x.To })
		if to < 0 {
			s.t.Fatalf("%s sends to %q", m.cfg.Name, x.To)
		}
		many := 1
		if s.rng.Float64() < s.double {
			many = 2
		}
		for range many {
			if s.cut[[2]int{m.at, to}] || s.rng.Float64() < s.loss {
				continue
			}
			s.after(time.Duration(s.rng.Int64N(int64(s.delay)+1)), func() { s.deliver(s.members[to], x.Data) })
		}
	}
	s.check(m)
}

func (s *sim) deliver(m *member, b []byte) {
	switch {
	case m.dead:
	case s.now < m.stall:
		if len(m.inbox) < 200 {
			m.inbox = append(m.inbox, b)
		}
	default:
		m.n.Step(s.now, s.unix(), b)
		s.drive(m)
	}
}

// keep is the disk.
func (m *member) keep(p StorageUpdate) {
	if p.Replacement != nil {
		m.disk = p.Replacement
		return
	}
	d := *m.disk
	if p.HardState != nil {
		d.HardState = proto.Clone(p.HardState).(*raftpb.HardState)
	}
	if p.Snapshot != nil {
		d.Snapshot = p.Snapshot
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *raftpb.Entry) bool {
			return e.GetIndex() <= p.Snapshot.GetMetadata().GetIndex()
		})
	}
	if len(p.Entries) > 0 {
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *raftpb.Entry) bool {
			return e.GetIndex() >= p.Entries[0].GetIndex()
		})
		for _, e := range p.Entries {
			d.Entries = append(d.Entries, proto.Clone(e).(*raftpb.Entry))
		}
	}
	m.disk = &d
}

// saw checks that no two plans have one epoch, and that nothing is settled in a founding after a newer one settled.
func (s *sim) saw(m *member, p Plan) {
	b := planBytes(p)
	if old, ok := s.plans[p.Epoch]; ok && !bytes.Equal(old, b) {
		s.t.Fatalf("%v: %s has another plan of epoch %v", s.now, m.cfg.Name, p.Epoch)
	} else if !ok {
		s.plans[p.Epoch], s.settled[p.Epoch] = b, s.now
		if p.Epoch.Generation < s.commits {
			s.t.Fatalf("%v: %v was settled after something of founding %d", s.now, p.Epoch, s.commits)
		}
		s.commits = max(s.commits, p.Epoch.Generation)
		if s.newest.Less(p.Epoch) {
			s.newest = p.Epoch
		}
	}
	if p.Epoch.Less(m.epoch) {
		s.t.Fatalf("%v: %s goes back from %v to %v", s.now, m.cfg.Name, m.epoch, p.Epoch)
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

// check: a view that calls itself fresh misses nothing that was settled longer ago than its lease, and the time that a
// leader may not know that it is none any more.
func (s *sim) check(m *member) {
	if !m.n.Fresh() || s.newest == m.n.plan.Epoch {
		return
	}
	old := s.now - simLease - 2*electionTicks*simTick - 2*simTick
	for e, at := range s.settled {
		if at < old && m.n.plan.Epoch.Less(e) {
			s.t.Fatalf("%v: %s calls %v fresh, and %v was settled at %v", s.now, m.cfg.Name, m.n.plan.Epoch, e, at)
		}
	}
}

// run plays for a while.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// ask has a member want something settled.
func (s *sim) ask(m *member, what string) {
	if m.dead || s.now < m.stall {
		return
	}
	began := s.now
	m.n.Submit(s.now, s.unix(), "freeze", []byte(what), func(e Epoch, err error) {
		if err != nil {
			m.told = append(m.told, err)
			return
		}
		m.epochs = append(m.epochs, e)
		s.history = append(s.history, porcupine.Operation{ClientId: m.at, Input: what, Call: int64(began), Output: e, Return: int64(s.now)})
	})
	s.drive(m)
}

// heal makes all well again, and starts what is dead.
func (s *sim) heal() {
	clear(s.cut)
	s.loss, s.double, s.delay = 0, 0, 5*time.Millisecond
	for _, m := range s.members {
		m.full, m.stall = false, min(m.stall, s.now)
		if m.dead {
			s.start(m, true)
		}
	}
}

// settle checks that all come to one epoch under one leader, and that something can be settled.
func (s *sim) settles() {
	s.heal()
	s.run(10 * time.Second)
	before := len(s.members[0].epochs)
	s.ask(s.members[0], "last")
	s.run(2 * time.Second)
	if len(s.members[0].epochs) != before+1 {
		s.dump()
		s.t.Fatalf("all is well, and nothing can be settled: %v; leaders %v", s.members[0].told, s.leaders())
	}
	if l := s.leaders(); len(l) != 1 {
		s.t.Fatalf("leaders %v", l)
	}
	for _, m := range s.members {
		if m.n.plan.Epoch != s.newest || !m.n.Fresh() {
			s.t.Fatalf("%s acts on %v of %v, fresh %v", m.cfg.Name, m.n.plan.Epoch, s.newest, m.n.Fresh())
		}
	}
}

func (s *sim) leaders() (names []string) {
	for _, m := range s.members {
		if !m.dead && m.n.Leads() {
			names = append(names, m.cfg.Name)
		}
	}
	return names
}

// schedule plays a random schedule of troubles.
func schedule(t *rapid.T, s *sim) {
	for i := range rapid.IntRange(3, 12).Draw(t, "troubles") {
		m := s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "member")]
		switch rapid.SampledFrom([]string{"kill", "wipe", "stall", "part", "oneway", "lossy", "slow", "heal", "full", "ask", "all"}).Draw(t, "what") {
		case "kill":
			m.dead = true
			s.after(time.Duration(rapid.IntRange(100, 4000).Draw(t, "back"))*time.Millisecond, func() {
				if m.dead {
					s.start(m, true)
				}
			})
		case "wipe":
			if !m.dead {
				s.start(m, false)
			}
		case "stall":
			m.stall = s.now + time.Duration(rapid.IntRange(100, 6000).Draw(t, "stall"))*time.Millisecond
		case "part":
			side := rapid.Uint64().Draw(t, "side")
			for a := range s.members {
				for b := range s.members {
					s.cut[[2]int{a, b}] = side>>a&1 != side>>b&1
				}
			}
		case "oneway":
			other := rapid.IntRange(0, len(s.members)-1).Draw(t, "other")
			s.cut[[2]int{m.at, other}] = true
		case "lossy":
			s.loss, s.double = 0.3, 0.2
		case "slow":
			s.delay = 300 * time.Millisecond
		case "full":
			m.full = true
		case "all":
			keep := rapid.Bool().Draw(t, "keep")
			for _, m := range s.members {
				s.start(m, keep)
			}
		case "heal":
			s.heal()
		case "ask":
			s.ask(m, fmt.Sprint("x", i))
		}
		s.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "then")) * time.Millisecond)
		s.ask(s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "asks")], fmt.Sprint("y", i))
	}
}

// No two plans of one epoch, no epoch that goes back, no founding beside another, and no lie about what is fresh, in random
// schedules; and in the end, when all is well, all act on one plan. -rapid.checks=10000 for the long form.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 7).Draw(t, "members"), 3)
		s.run(4 * time.Second)
		schedule(t, s)
		s.settles()
		s.linear()
	})
}

// dump tells how each member stands.
func (s *sim) dump() {
	for _, m := range s.members {
		n := m.n
		s.t.Logf("%v %s: %v, leader %q %v ago, fresh %v, dead %v, fenced %v", s.now, n.cfg.Name, n.plan.Epoch, n.leader, n.now-n.leaderAt,
			n.Fresh(), m.dead, n.fenced)
		if v := n.voter; v != nil {
			s.t.Logf("  %x, founding %d, promised %d, conf %x/%x, lead %x, term %d, %v, founds %d, whole %v, pending %v", v.identity,
				v.founding, n.saved.Promised, v.conf.GetVoters(), v.conf.GetVotersOutgoing(), v.lead, v.term,
				v.rn.BasicStatus().RaftState, n.founds, n.whole != nil, v.pending != nil)
		}
	}
}

// ordered are histories of asks as porcupine judges them: each that is settled takes an epoch above all that were settled
// before it began.
var ordered = porcupine.Model{
	Init: func() any { return Epoch{} },
	Step: func(state, _, output any) (bool, any) {
		e := output.(Epoch)
		return state.(Epoch).Less(e), e
	},
}

// linear checks the asks of a schedule. One that was told of no quorum may or may not have been settled, and is left out.
func (s *sim) linear() {
	if !porcupine.CheckOperations(ordered, s.history) {
		s.t.Fatalf("asks were settled in no order: %+v", s.history)
	}
}
