package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Config is what a member is told.
type Config struct {
	Fleet, Name, Zone, Region string
	Voters                    []string // by name, all members alike; the first founds
	StartedAt                 int64    // of this process, Unix ns
	Incarnation               uint64   // a random number
	Seed                      uint64
	Tick                      time.Duration // of the log's clock
	Status                    time.Duration // between two statuses, at least
	Lease                     time.Duration
	Commands                  map[string]CommandHandler
	Observe                   func(now time.Duration, from Peer, delta Report) // of each report; may be nil
	LeaderTick                func(now time.Duration, unix int64, n *Node)     // called on the leader now and then; may be nil
	// GrantFor is what the leader gives a member with its answer to a status, itself among them; may be nil.
	GrantFor func(now time.Duration, to Peer, seq uint64) []byte
}

// CommandHandler turns what an operator asks for into sections of the next plan: none if the plan says so already. It is called
// on the leader, and may be called again for the same ask by the next leader: it has to come to the same.
type CommandHandler func(p *Plan, args []byte, unix int64) (map[string]cbor.RawMessage, error)

// Peer is a member as another one knows it.
type Peer struct {
	Name         string
	Alive        bool          // as gossip has it
	LastStatusAt time.Duration // when its last status came
	HasStatus    bool          // one has
	Status       Status
	StartedAt    int64
	Incarnation  uint64
	seq          uint64
	seen         seen
	lastPlanSent time.Duration
	plannedEpoch Epoch
	granted      time.Duration
}

const (
	freshStatus = 1500 * time.Millisecond // a status as old says nothing of now
	deadAfter   = 2 * time.Second         // without a leader, before a log may be taken for dead
	houseEvery  = 200 * time.Millisecond
	foundTime   = 3 * time.Second
	askAgain    = 300 * time.Millisecond
	askTime     = 8 * time.Second
	mostAsks    = 256
	mostPeers   = 4096
	relayTo     = 3  // members, by whoever learns of a plan
	pushTo      = 32 // members, by the leader
	ring        = 64 // statuses whose times are kept
	replan      = 400 * time.Millisecond
	// grantsALease is how often a member's lease is renewed within it: a few may be lost.
	grantsALease = 5
)

// Node is one member. None of its methods may be called at once with another.
type Node struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	unix    int64
	started bool
	lastLog time.Duration // of the log's last tick
	voter   *voter        // nil: this member is none
	saved   *VoterState   // identity, founding and promise of the voter
	whole   *VoterState   // has to be kept, before anything else
	after   []func()      // once it is

	plan       Plan // that it acts on: the newest it knows
	leader     string
	leaderAt   time.Duration // when there last was word of one
	freshUntil time.Duration
	wasFresh   bool
	fenced     bool
	feed       []byte // that the leader gave last
	acts       uint64 // the status that it came for
	feedUntil  time.Duration
	lapsed     bool // and that was said

	seq      uint64
	statuses uint64
	sentAt   [ring]struct {
		seq uint64
		at  time.Duration
	}
	peers      map[string]*Peer
	names      []string // of peers, sorted
	nextStatus time.Duration
	nextHouse  time.Duration

	founds   uint64 // the founding that it asks promises for; 0: none
	foundAt  time.Duration
	promises map[string]*Plan

	queue    []queued // asks at the leader
	inflight string   // the id of the change that is proposed; empty: none
	asker    string   // who asked for it
	proposed time.Duration
	results  map[string]told
	order    []string // of results, oldest first
	asks     map[string]*asked
	numbers  uint64

	report func(whole bool) *Report
	away   func() map[string]uint64
	own    seen
	sends  []Message
	events []Event
	drops  uint64
}

type queued struct {
	ask  ask
	from string
}

type asked struct {
	ask   ask
	until time.Duration
	next  time.Duration
	done  func(Epoch, error)
}

// New makes a member. saved is what a voter kept; nil: nothing. A voter without it draws a new identity.
func New(cfg Config, saved *VoterState) (*Node, error) {
	n := &Node{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), peers: map[string]*Peer{}, results: map[string]told{},
		asks: map[string]*asked{}, promises: map[string]*Plan{}}
	if !slices.Contains(cfg.Voters, cfg.Name) {
		return n, nil
	}
	if saved == nil {
		n.blank(0)
		return n, nil
	}
	n.saved = &VoterState{Identity: saved.Identity, Generation: saved.Generation, Promised: saved.Promised}
	var err error
	if n.voter, err = newVoter(saved, n.rng); err != nil {
		return nil, err
	}
	if saved.Generation != 0 {
		n.see(n.voter.plan, "")
	}
	return n, nil
}

// SetReporter has each status carry what f tells: of zones, and of servers too where it is whole.
func (n *Node) SetReporter(f func(whole bool) *Report) { n.report = f }

// SetAcknowledged has each status carry the machines that f tells: nothing is sent there.
func (n *Node) SetAcknowledged(f func() map[string]uint64) { n.away = f }

// blank makes the voter one that has never voted, under a new identity.
func (n *Node) blank(promised uint64) {
	n.saved = &VoterState{Identity: n.rng.Uint64()>>1 | 1, Promised: promised}
	n.adopt(n.saved)
}

// adopt has the voter go on from a state, which has to be kept first.
func (n *Node) adopt(s *VoterState) {
	v, err := newVoter(s, n.rng)
	if err != nil {
		panic("fleet: " + err.Error()) // a state of our own making
	}
	n.saved = &VoterState{Identity: s.Identity, Generation: s.Generation, Promised: s.Promised}
	n.voter, n.whole, n.after = v, s, nil
	n.inflight, n.queue = "", nil
}

// PendingStorage is what has to be on the disk before anything that follows from it is said; false: nothing. Kept tells that it is.
func (n *Node) PendingStorage() (StorageUpdate, bool) {
	if n.whole != nil {
		return StorageUpdate{Replacement: n.whole}, true
	}
	if n.voter != nil && !n.voter.persist.empty() && n.voter.pending != nil {
		return n.voter.persist, true
	}
	return StorageUpdate{}, false
}

// Persisted tells that what Persist gave last is on the disk.
func (n *Node) Persisted() {
	if n.whole != nil {
		after := n.after
		n.whole, n.after = nil, nil
		for _, f := range after {
			f()
		}
	} else if n.voter != nil {
		n.voter.kept()
	}
	n.collect()
}

// TakeOutput gives what is to be sent and said.
func (n *Node) TakeOutput() (sends []Message, events []Event) {
	sends, events = n.sends, n.events
	n.sends, n.events = nil, nil
	return sends, events
}

func (n *Node) say(kind EventKind, format string, a ...any) {
	n.events = append(n.events, Event{At: n.now, Kind: kind, Text: fmt.Sprintf(format, a...)})
}

func (n *Node) send(to string, e envelope) {
	if n.fenced || to == n.cfg.Name {
		return
	}
	n.seq++
	e.Version, e.Fleet, e.From, e.Started, e.Life, e.Seq = wireVersion, n.cfg.Fleet, n.cfg.Name, n.cfg.StartedAt, n.cfg.Incarnation, n.seq
	n.sends = append(n.sends, Message{to, encode(e)})
}

// at moves time on: the log lives through the ticks that passed, and a stalled process through as many as make a leader
// step down before it says or hears anything.
func (n *Node) at(now time.Duration, unix int64) {
	n.now, n.unix = max(n.now, now), unix
	if !n.started {
		n.started, n.lastLog, n.nextStatus, n.nextHouse = true, now, now, now+houseEvery
	}
	ticks := int((n.now - n.lastLog) / n.cfg.Tick)
	n.lastLog += time.Duration(ticks) * n.cfg.Tick
	for range min(ticks, 2*electionTicks+2) {
		if n.voter != nil && n.whole == nil && !n.fenced {
			n.voter.tick()
		}
	}
	n.collect()
}

// Tick tells the time: now is monotonic, unix in milliseconds. It is to be called several times in a Status.
func (n *Node) Tick(now time.Duration, unix int64) {
	n.at(now, unix)
	if n.now >= n.nextHouse {
		n.nextHouse = n.now + houseEvery
		n.found()
		if n.Leads() {
			n.reshape()
			if n.cfg.LeaderTick != nil {
				n.cfg.LeaderTick(n.now, n.unix, n)
			}
		}
	}
	n.work()
	n.askOn()
	if n.now >= n.nextStatus {
		n.nextStatus = n.now + max(n.cfg.Status, time.Duration(len(n.peers))*time.Millisecond)
		if n.voter != nil { // with a tick of the log that is due about then, as each time to wake up costs
			n.nextStatus = n.lastLog + (n.nextStatus-n.lastLog+n.cfg.Tick/2)/n.cfg.Tick*n.cfg.Tick
		}
		n.status()
	}
	if n.acts > 0 && n.now >= n.feedUntil && !n.lapsed {
		n.events = append(n.events, Event{At: n.now, Kind: GrantChanged})
	}
	n.lapsed = n.now >= n.feedUntil
	if fresh := n.Fresh(); fresh != n.wasFresh {
		n.wasFresh = fresh
		if fresh {
			n.say(FreshChanged, "the view is fresh")
		} else {
			n.say(FreshChanged, "the view is older than its lease; the last plan holds")
		}
	}
}

// NextTick is when Tick should be called at the latest.
func (n *Node) NextTick() time.Duration {
	next := n.nextStatus
	if n.voter != nil {
		next = min(next, n.lastLog+n.cfg.Tick)
	}
	for _, a := range n.asks {
		next = min(next, a.next, a.until)
	}
	return next
}

// SetAlive tells of a member as gossip has it.
func (n *Node) SetAlive(name string, alive bool) {
	if name == n.cfg.Name {
		return
	}
	if p := n.peer(name); p != nil {
		p.Alive = alive
	}
}

func (n *Node) peer(name string) *Peer {
	p := n.peers[name]
	if p == nil && len(n.peers) < mostPeers {
		p = &Peer{Name: name}
		n.peers[name] = p
		i, _ := slices.BinarySearch(n.names, name)
		n.names = slices.Insert(n.names, i, name)
	}
	return p
}

// status tells the voters, and one other member.
func (n *Node) status() {
	s := n.self()
	if n.away != nil {
		s.Withdrawn = n.away()
	}
	n.statuses++
	// The leader hears each; the other voters a third of them, unless there is no leader.
	all := n.statuses%3 == 0 || !n.Fresh()
	if n.report != nil {
		s.Report = n.report(all)                             // servers are the most of it, and no decision on them takes less than a second
		if r := s.Report; r != nil && n.cfg.Observe != nil { // its own evidence counts as anybody's
			if delta, err := n.own.take(r); err == nil {
				n.cfg.Observe(n.now, Peer{Name: n.cfg.Name, Status: s}, delta)
			}
		}
	}
	n.seq++ // of this status, whoever it goes to: they are alike
	n.sentAt[n.seq%ring].seq, n.sentAt[n.seq%ring].at = n.seq, n.now
	e := envelope{Version: wireVersion, Fleet: n.cfg.Fleet, From: n.cfg.Name, Started: n.cfg.StartedAt, Life: n.cfg.Incarnation, Seq: n.seq,
		Status: &s}
	b := encode(e)
	if n.fenced {
		return
	}
	if n.Leads() { // it answers itself
		n.fed(n.feeds(Peer{Name: n.cfg.Name, Status: s}, n.seq), n.seq, n.now)
	}
	for _, v := range n.cfg.Voters {
		if v != n.cfg.Name && n.peers[v] != nil && (all || v == n.leader) {
			n.sends = append(n.sends, Message{v, b})
		}
	}
	if all && len(n.names) > 0 { // whatever gossip thinks of it
		if other := n.names[n.rng.IntN(len(n.names))]; !slices.Contains(n.cfg.Voters, other) {
			n.sends = append(n.sends, Message{other, b})
		}
	}
}

func (n *Node) self() Status {
	s := Status{Zone: n.cfg.Zone, Region: n.cfg.Region, Epoch: n.plan.Epoch, Fresh: n.Fresh(), Leader: n.leader, GrantSeq: n.acts}
	if n.saved != nil && n.whole == nil {
		s.Identity, s.Generation, s.Promised, s.Term = n.saved.Identity, n.saved.Generation, n.saved.Promised, n.voter.term
		s.Voters, s.OutgoingVoters = n.voter.conf.GetVoters(), n.voter.conf.GetVotersOutgoing()
	}
	return s
}

// Fresh tells whether the plan was the newest within the lease.
func (n *Node) Fresh() bool { return !n.fenced && (n.Leads() || n.now < n.freshUntil) }

// Leads tells whether this member leads, and has all that was committed before.
func (n *Node) Leads() bool {
	// Danger: what raft hands out stands still while a disk does; whether it still leads has to be asked.
	return !n.fenced && n.voter != nil && n.whole == nil && n.voter.ready &&
		n.voter.rn.BasicStatus().RaftState == raft.StateLeader
}

// LeaderTerm numbers the time in which this member leads: another one each time; 0: it does not.
func (n *Node) LeaderTerm() uint64 {
	if !n.Leads() {
		return 0
	}
	return n.voter.term
}

// Step takes a message of another member.
func (n *Node) Step(now time.Duration, unix int64, b []byte) {
	n.at(now, unix)
	e, err := decode(n.cfg.Fleet, b)
	if err != nil {
		n.drops++
		return
	}
	if e.From == n.cfg.Name {
		n.namesake(life{e.Started, e.Life})
		return
	}
	if e.Later != nil {
		n.namesake(*e.Later)
	}
	p := n.peer(e.From)
	if p == nil {
		return
	}
	switch {
	case e.Started < p.StartedAt || e.Started == p.StartedAt && e.Life < p.Incarnation:
		// Of a life that is over, or goes on beside a later one: under one name gossip keeps one address, so that the two may
		// never hear each other.
		n.send(e.From, envelope{Later: &life{p.StartedAt, p.Incarnation}})
		return
	case e.Started != p.StartedAt || e.Life != p.Incarnation:
		*p = Peer{Name: p.Name, Alive: p.Alive, StartedAt: e.Started, Incarnation: e.Life}
	}
	if n.fenced {
		return
	}
	if e.Plan != nil {
		n.see(*e.Plan, e.From)
	}
	if e.Status != nil {
		n.heardStatus(p, e)
	}
	if e.Grant != nil {
		n.heardGrant(e)
	}
	if e.Raft != nil {
		n.heardRaft(e.Raft)
	}
	if e.Ask != nil {
		n.heardAsk(*e.Ask, e.From)
	}
	if e.Told != nil {
		n.heardTold(*e.Told)
	}
	if e.Found != nil {
		n.heardFound(e.From, e.Found)
	}
	n.collect()
}

// namesake hears a process of the same name: the one that began later has it.
func (n *Node) namesake(o life) {
	if o.Started < n.cfg.StartedAt || o.Started == n.cfg.StartedAt && o.Life <= n.cfg.Incarnation || n.fenced {
		return
	}
	n.fenced = true
	n.say(Fenced, "another process is called %s and began later: this one says and hears nothing more in the fleet", n.cfg.Name)
}

func (n *Node) heardStatus(p *Peer, e *envelope) {
	if e.Seq <= p.seq {
		return // late, or doubled
	}
	p.seq, p.Status, p.LastStatusAt, p.HasStatus = e.Seq, *e.Status, n.now, true
	if r := e.Status.Report; r != nil {
		delta, err := p.seen.take(r)
		if err != nil {
			n.drops++
			n.say(Fault, "%s: %v", p.Name, err)
		} else if n.cfg.Observe != nil {
			n.cfg.Observe(n.now, *p, delta)
		}
		p.Status.Report = nil
	}
	theirs := e.Status.Epoch
	switch {
	case theirs.Less(n.plan.Epoch):
		n.tellPlan(p)
	case n.plan.Epoch.Less(theirs):
		s := n.self()
		n.send(p.Name, envelope{Status: &s}) // they will tell
	}
	if n.Leads() && (!e.Status.Fresh || n.now-p.granted >= n.cfg.Lease/grantsALease) {
		p.granted = n.now
		n.send(p.Name, envelope{Grant: &grant{e.Seq, n.plan.Epoch, n.feeds(*p, e.Seq)}})
	}
}

func (n *Node) feeds(to Peer, seq uint64) []byte {
	if n.cfg.GrantFor == nil {
		return nil
	}
	return n.cfg.GrantFor(n.now, to, seq)
}

// fed takes what the leader gave for a status that was sent at a time.
func (n *Node) fed(feed []byte, seq uint64, sent time.Duration) {
	if seq <= n.acts {
		return // late, or doubled
	}
	changed := !bytes.Equal(feed, n.feed) || n.now >= n.feedUntil
	n.feed, n.acts, n.feedUntil = feed, seq, sent+n.cfg.Lease
	if changed {
		n.events = append(n.events, Event{At: n.now, Kind: GrantChanged})
	}
}

// Grant is what this member may do by the leader's word, until its lease is over; false: it has none.
func (n *Node) Grant() ([]byte, bool) {
	return n.feed, n.acts > 0 && n.now < n.feedUntil && !n.fenced
}

// tellPlan sends a member the plan, unless it was sent just now.
func (n *Node) tellPlan(p *Peer) {
	if p.plannedEpoch == n.plan.Epoch && n.now-p.lastPlanSent < replan {
		return
	}
	p.plannedEpoch, p.lastPlanSent = n.plan.Epoch, n.now
	n.send(p.Name, envelope{Plan: &n.plan})
}

func (n *Node) heardGrant(e *envelope) {
	sent := n.sentAt[e.Grant.Seq%ring]
	if sent.seq != e.Grant.Seq || n.plan.Epoch.Less(e.Grant.Epoch) {
		return // of a status long ago, or the plan that it speaks of is still to come
	}
	// Danger: from the time of sending, not of hearing: an answer may have been under way, or lain in a stalled process.
	n.freshUntil = max(n.freshUntil, sent.at+n.cfg.Lease)
	n.fed(e.Grant.Feed, e.Grant.Seq, sent.at)
	n.lead(e.From)
}

// lead takes a member for the leader.
func (n *Node) lead(name string) {
	n.leaderAt = n.now
	if n.leader != name {
		n.leader = name
		n.say(LeaderChanged, "%s leads", name)
	}
}

// see takes a plan if it is newer, and passes it on.
func (n *Node) see(p Plan, from string) {
	if !n.plan.Epoch.Less(p.Epoch) || len(p.Sections) > mostSections || p.size() > mostPlan {
		return
	}
	n.plan = p
	n.events = append(n.events, Event{At: n.now, Kind: PlanChanged, Text: "plan " + p.Epoch.String(), Plan: &p})
	many := relayTo
	if from == "" && n.voter != nil && n.voter.leading {
		many = pushTo
	}
	for _, i := range n.rng.Perm(len(n.names)) {
		q := n.peers[n.names[i]]
		if many == 0 {
			break
		}
		if q.Name != from && q.Alive && q.Status.Epoch.Less(p.Epoch) {
			n.tellPlan(q)
			many--
		}
	}
}

// heardRaft takes a message of the log.
func (n *Node) heardRaft(m *raftMessage) {
	if n.voter == nil || n.whole != nil || m.To != n.saved.Identity || m.Founding < n.saved.Promised {
		return
	}
	if n.saved.Generation == 0 { // blank: a leader takes it in
		s := &VoterState{Identity: n.saved.Identity, Generation: m.Founding, Promised: m.Founding}
		n.adopt(s)
		return // the leader says it again
	}
	if m.Founding != n.saved.Generation {
		return
	}
	var r raftpb.Message
	if proto.Unmarshal(m.Message, &r) != nil {
		n.drops++
		return
	}
	n.voter.step(&r)
}

// collect takes what the log has ready: messages, what was settled, and who leads.
func (n *Node) collect() {
	v := n.voter
	if v == nil || n.whole != nil {
		return
	}
	for _, m := range v.sends {
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		if name := n.nameOf(m.GetTo()); name != "" {
			n.send(name, envelope{Raft: &raftMessage{v.founding, m.GetTo(), b}})
		}
		if m.GetType() == raftpb.MsgSnap {
			v.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // if it is lost, the follower's next answer says so
		}
	}
	v.sends = nil
	// Danger: a voter that no leader takes in never calls an election, and takes one that is long gone for its leader. So
	// word of it counts, and not what raft remembers.
	if n.Leads() {
		n.lead(n.cfg.Name)
	} else if v.heard && v.lead != 0 && !v.leading {
		if name := n.nameOf(v.lead); name != "" {
			n.lead(name)
		}
	}
	v.heard = false
	if v.founding != 0 {
		n.see(v.plan, "")
	}
	settled := v.committed
	v.committed = nil
	for _, s := range settled {
		n.settled(s)
	}
	if n.inflight != "" && !v.leading {
		n.inflight = ""
	}
}

// nameOf finds the member with an identity in the log.
func (n *Node) nameOf(identity uint64) string {
	for _, name := range n.cfg.Voters {
		if p := n.peers[name]; p != nil && p.HasStatus && p.Status.Identity == identity {
			return name
		}
	}
	for name, id := range n.plan.voters() {
		if id == identity && name != n.cfg.Name {
			return name
		}
	}
	return ""
}

// Plan is the one that this member acts on.
func (n *Node) Plan() Plan { return n.plan }

// Leader is whom this member takes for the leader, and how long ago there was word of it.
func (n *Node) Leader() (name string, ago time.Duration) { return n.leader, n.now - n.leaderAt }

// Peers are the other members, by name.
func (n *Node) Peers() []Peer {
	all := make([]Peer, 0, len(n.names))
	for _, name := range n.names {
		all = append(all, *n.peers[name])
	}
	return all
}

// Peer is another member.
func (n *Node) Peer(name string) (Peer, bool) {
	p := n.peers[name]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// Self is this member's own status.
func (n *Node) Self() Status { return n.self() }

// Dropped is how many messages and reports it passed over as unreadable, absurd or foreign.
func (n *Node) Dropped() uint64 { return n.drops }

// Unacknowledged names the members, gossip's living ones, that have not said that they act on an epoch, or whose word is
// older than the lease.
func (n *Node) Unacknowledged(e Epoch) (names []string) {
	for _, name := range n.names {
		p := n.peers[name]
		if p.Alive && (!p.HasStatus || p.Status.Epoch.Less(e) || n.now-p.LastStatusAt > n.cfg.Lease) {
			names = append(names, name)
		}
	}
	return names
}

// The ends of asks, beside what deciders say.
var (
	ErrNoQuorum = errors.New("fleet: nothing can be settled: no leader answered in time")
	ErrBusy     = errors.New("fleet: too many wait to be settled")
	errVerb     = errors.New("fleet: no such verb")
)

// Submit wants something settled; done is called once, by a later call of Tick or Heard.
func (n *Node) Submit(now time.Duration, unix int64, verb string, args []byte, done func(Epoch, error)) {
	n.at(now, unix)
	if len(n.asks) >= mostAsks {
		done(Epoch{}, ErrBusy)
		return
	}
	n.numbers++
	a := ask{ID: fmt.Sprintf("%s/%x/%d", n.cfg.Name, n.cfg.Incarnation, n.numbers), Verb: verb, Args: args}
	n.asks[a.ID] = &asked{ask: a, until: n.now + askTime, next: n.now, done: done}
	n.askOn()
	n.work()
}

// askOn tells the leader of what waits here, again and again, and gives up in time.
func (n *Node) askOn() {
	for _, id := range slices.Sorted(maps.Keys(n.asks)) {
		a := n.asks[id]
		switch {
		case n.now >= a.until:
			delete(n.asks, id)
			a.done(Epoch{}, ErrNoQuorum)
		case n.now < a.next:
		case n.Leads():
			a.next = n.now + askAgain
			n.heardAsk(a.ask, n.cfg.Name)
		case n.leader != "" && n.leader != n.cfg.Name:
			a.next = n.now + askAgain
			n.send(n.leader, envelope{Ask: &a.ask})
		}
	}
}

// heardAsk takes an ask at the leader.
func (n *Node) heardAsk(a ask, from string) {
	if r, ok := n.results[a.ID]; ok {
		n.answer(from, r)
		return
	}
	if !n.Leads() || n.inflight == a.ID || len(n.queue) >= mostAsks ||
		slices.ContainsFunc(n.queue, func(q queued) bool { return q.ask.ID == a.ID }) {
		return
	}
	n.queue = append(n.queue, queued{ask: a, from: from})
}

// Propose has the leader settle sections of its own accord, on the plan as it stands; why goes to the log. It tells whether
// the change was proposed: one at a time is.
func (n *Node) Propose(set map[string]cbor.RawMessage) bool {
	if !n.Leads() || n.inflight != "" || len(n.queue) > 0 {
		return false
	}
	n.numbers++
	n.asker = ""
	n.proposeChange(change{Base: n.voter.plan.Epoch, Set: set, ID: fmt.Sprintf("%s/%x/%d", n.cfg.Name, n.cfg.Incarnation, n.numbers)})
	return n.inflight != ""
}

func (n *Node) proposeChange(c change) {
	n.inflight, n.proposed = c.ID, n.now
	if n.voter.propose(c) != nil {
		n.inflight = ""
	}
	n.collect()
}

// work has the leader settle what waits, one after the other: each on the plan that the one before made.
func (n *Node) work() {
	if !n.Leads() {
		n.queue = nil // who asked asks again
		return
	}
	if n.inflight != "" && n.now-n.proposed > askTime {
		n.inflight = "" // dropped by the log; who asked asks again
	}
	for n.inflight == "" && len(n.queue) > 0 {
		q := n.queue[0]
		n.queue = n.queue[1:]
		decide := n.cfg.Commands[q.ask.Verb]
		err := errVerb
		var set map[string]cbor.RawMessage
		if decide != nil {
			set, err = decide(&n.voter.plan, q.ask.Args, n.unix)
		}
		switch {
		case err != nil:
			n.result(told{ID: q.ask.ID, Fault: err.Error()}, q.from)
		case len(set) == 0:
			n.result(told{ID: q.ask.ID, Epoch: n.voter.plan.Epoch}, q.from)
		default:
			n.asker = q.from
			n.proposeChange(change{Base: n.voter.plan.Epoch, Set: set, ID: q.ask.ID})
		}
	}
}

// settled hears of an entry of the log.
func (n *Node) settled(s settled) {
	if s.change.ID == "" || s.change.ID != n.inflight {
		return
	}
	n.inflight = ""
	r := told{ID: s.change.ID, Epoch: s.epoch}
	if s.err != nil {
		r.Fault = s.err.Error()
	}
	n.result(r, n.asker)
}

func (n *Node) result(r told, from string) {
	n.results[r.ID] = r
	n.order = append(n.order, r.ID)
	if len(n.order) > mostAsks {
		delete(n.results, n.order[0])
		n.order = n.order[1:]
	}
	n.answer(from, r)
}

// answer tells who asked; if nobody knows who that was, it asks again.
func (n *Node) answer(to string, r told) {
	if to == n.cfg.Name || n.asks[r.ID] != nil {
		n.heardTold(r)
		return
	}
	if to != "" {
		n.send(to, envelope{Told: &r})
	}
}

func (n *Node) heardTold(r told) {
	a := n.asks[r.ID]
	if a == nil {
		return
	}
	delete(n.asks, r.ID)
	if r.Fault != "" {
		a.done(Epoch{}, errors.New(r.Fault))
		return
	}
	a.done(r.Epoch, nil)
}
