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
	Name          string
	Alive         bool          // as gossip has it
	LastStatusAt  time.Duration // when its last status came
	HasStatus     bool          // one has
	Status        Status
	StartedAt     int64
	Incarnation   uint64
	statusSeq     uint64
	reports       reportBaseline
	sentPlanAt    time.Duration
	sentPlanEpoch Epoch
	lastGrantAt   time.Duration
}

const (
	statusFreshFor       = 1500 * time.Millisecond // a status as old says nothing of now
	leaderLossTimeout    = 2 * time.Second         // without a leader, before a log may be taken for dead
	housekeepingInterval = 200 * time.Millisecond
	generationTimeout    = 3 * time.Second
	commandRetryInterval = 300 * time.Millisecond
	commandTimeout       = 8 * time.Second
	maxCommands          = 256
	maxPeers             = 4096
	relayFanout          = 3  // members, by whoever learns of a plan
	leaderFanout         = 32 // members, by the leader
	statusRingSize       = 64 // statuses whose times are kept
	planResendInterval   = 400 * time.Millisecond
	// grantsPerLease is how often a member's lease is renewed within it: a few may be lost.
	grantsPerLease = 5
)

// Node is one member. None of its methods may be called at once with another.
type Node struct {
	config           Config
	rng              *rand.Rand
	now              time.Duration
	unixMS           int64
	started          bool
	lastLogTick      time.Duration // of the log's last tick
	voter            *voter        // nil: this member is none
	identity         *VoterState   // identity, founding and promise of the voter
	replacement      *VoterState   // has to be kept, before anything else
	afterReplacement []func()      // once it is

	plan          Plan // that it acts on: the newest it knows
	leader        string
	leaderHeardAt time.Duration // when there last was word of one
	freshUntil    time.Duration
	wasFresh      bool
	fenced        bool
	grant         []byte // that the leader gave last
	grantSeq      uint64 // the status that it came for
	grantUntil    time.Duration
	grantExpired  bool // and that was said

	seq          uint64
	statusCount  uint64
	sentStatuses [statusRingSize]struct {
		seq uint64
		at  time.Duration
	}
	peers            map[string]*Peer
	names            []string // of peers, sorted
	nextStatus       time.Duration
	nextHousekeeping time.Duration

	startingGeneration  uint64 // the founding that it asks promises for; 0: none
	generationStartedAt time.Duration
	promises            map[string]*Plan

	queue             []queuedCommand // asks at the leader
	proposalID        string          // the id of the change that is proposed; empty: none
	proposalFrom      string          // who asked for it
	proposedAt        time.Duration
	results           map[string]commandResult
	resultOrder       []string // of results, oldest first
	submissions       map[string]*submission
	lastCommandNumber uint64

	reporter     func(whole bool) *Report
	acknowledged func() map[string]uint64
	ownReports   reportBaseline
	outbox       []Message
	events       []Event
	dropped      uint64
}

type queuedCommand struct {
	command command
	from    string
}

type submission struct {
	command  command
	deadline time.Duration
	nextSend time.Duration
	done     func(Epoch, error)
}

// New makes a member. saved is what a voter kept; nil: nothing. A voter without it draws a new identity.
func New(cfg Config, saved *VoterState) (*Node, error) {
	n := &Node{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), peers: map[string]*Peer{}, results: map[string]commandResult{},
		submissions: map[string]*submission{}, promises: map[string]*Plan{}}
	if !slices.Contains(cfg.Voters, cfg.Name) {
		return n, nil
	}
	if saved == nil {
		n.resetVoter(0)
		return n, nil
	}
	n.identity = &VoterState{Identity: saved.Identity, Generation: saved.Generation, Promised: saved.Promised}
	var err error
	if n.voter, err = newVoter(saved, n.rng); err != nil {
		return nil, err
	}
	if saved.Generation != 0 {
		n.adoptPlan(n.voter.plan, "")
	}
	return n, nil
}

// SetReporter has each status carry what f tells: of zones, and of servers too where it is whole.
func (n *Node) SetReporter(f func(whole bool) *Report) { n.reporter = f }

// SetAcknowledged has each status carry the machines that f tells: nothing is sent there.
func (n *Node) SetAcknowledged(f func() map[string]uint64) { n.acknowledged = f }

// resetVoter makes the voter one that has never voted, under a new identity.
func (n *Node) resetVoter(promised uint64) {
	n.identity = &VoterState{Identity: n.rng.Uint64()>>1 | 1, Promised: promised}
	n.restartVoter(n.identity)
}

// restartVoter has the voter go on from a state, which has to be kept first.
func (n *Node) restartVoter(s *VoterState) {
	v, err := newVoter(s, n.rng)
	if err != nil {
		panic("fleet: " + err.Error()) // a state of our own making
	}
	n.identity = &VoterState{Identity: s.Identity, Generation: s.Generation, Promised: s.Promised}
	n.voter, n.replacement, n.afterReplacement = v, s, nil
	n.proposalID, n.queue = "", nil
}

// PendingStorage is what has to be on the disk before anything that follows from it is said; false: nothing. Kept tells that it is.
func (n *Node) PendingStorage() (StorageUpdate, bool) {
	if n.replacement != nil {
		return StorageUpdate{Replacement: n.replacement}, true
	}
	if n.voter != nil && !n.voter.unpersisted.empty() && n.voter.pendingReady != nil {
		return n.voter.unpersisted, true
	}
	return StorageUpdate{}, false
}

// Persisted tells that what Persist gave last is on the disk.
func (n *Node) Persisted() {
	if n.replacement != nil {
		after := n.afterReplacement
		n.replacement, n.afterReplacement = nil, nil
		for _, f := range after {
			f()
		}
	} else if n.voter != nil {
		n.voter.persisted()
	}
	n.takeVoterOutput()
}

// TakeOutput gives what is to be sent and said.
func (n *Node) TakeOutput() (sends []Message, events []Event) {
	sends, events = n.outbox, n.events
	n.outbox, n.events = nil, nil
	return sends, events
}

func (n *Node) emit(kind EventKind, format string, a ...any) {
	n.events = append(n.events, Event{At: n.now, Kind: kind, Text: fmt.Sprintf(format, a...)})
}

func (n *Node) send(to string, e envelope) {
	if n.fenced || to == n.config.Name {
		return
	}
	n.seq++
	e.Version, e.Fleet, e.From, e.StartedAt, e.Incarnation, e.Seq = wireVersion, n.config.Fleet, n.config.Name, n.config.StartedAt, n.config.Incarnation, n.seq
	n.outbox = append(n.outbox, Message{to, encode(e)})
}

// advance moves time on: the log lives through the ticks that passed, and a stalled process through as many as make a leader
// step down before it says or hears anything.
func (n *Node) advance(now time.Duration, unix int64) {
	n.now, n.unixMS = max(n.now, now), unix
	if !n.started {
		n.started, n.lastLogTick, n.nextStatus, n.nextHousekeeping = true, now, now, now+housekeepingInterval
	}
	ticks := int((n.now - n.lastLogTick) / n.config.Tick)
	n.lastLogTick += time.Duration(ticks) * n.config.Tick
	for range min(ticks, 2*electionTicks+2) {
		if n.voter != nil && n.replacement == nil && !n.fenced {
			n.voter.tick()
		}
	}
	n.takeVoterOutput()
}

// Tick tells the time: now is monotonic, unix in milliseconds. It is to be called several times in a Status.
func (n *Node) Tick(now time.Duration, unix int64) {
	n.advance(now, unix)
	if n.now >= n.nextHousekeeping {
		n.nextHousekeeping = n.now + housekeepingInterval
		n.startGeneration()
		if n.Leads() {
			n.reconfigureVoters()
			if n.config.LeaderTick != nil {
				n.config.LeaderTick(n.now, n.unixMS, n)
			}
		}
	}
	n.runCommands()
	n.retrySubmissions()
	if n.now >= n.nextStatus {
		n.nextStatus = n.now + max(n.config.Status, time.Duration(len(n.peers))*time.Millisecond)
		if n.voter != nil { // with a tick of the log that is due about then, as each time to wake up costs
			n.nextStatus = n.lastLogTick + (n.nextStatus-n.lastLogTick+n.config.Tick/2)/n.config.Tick*n.config.Tick
		}
		n.sendStatuses()
	}
	if n.grantSeq > 0 && n.now >= n.grantUntil && !n.grantExpired {
		n.events = append(n.events, Event{At: n.now, Kind: GrantChanged})
	}
	n.grantExpired = n.now >= n.grantUntil
	if fresh := n.Fresh(); fresh != n.wasFresh {
		n.wasFresh = fresh
		if fresh {
			n.emit(FreshChanged, "the view is fresh")
		} else {
			n.emit(FreshChanged, "the view is older than its lease; the last plan holds")
		}
	}
}

// NextTick is when Tick should be called at the latest.
func (n *Node) NextTick() time.Duration {
	next := n.nextStatus
	if n.voter != nil {
		next = min(next, n.lastLogTick+n.config.Tick)
	}
	for _, a := range n.submissions {
		next = min(next, a.nextSend, a.deadline)
	}
	return next
}

// SetAlive tells of a member as gossip has it.
func (n *Node) SetAlive(name string, alive bool) {
	if name == n.config.Name {
		return
	}
	if p := n.peer(name); p != nil {
		p.Alive = alive
	}
}

func (n *Node) peer(name string) *Peer {
	p := n.peers[name]
	if p == nil && len(n.peers) < maxPeers {
		p = &Peer{Name: name}
		n.peers[name] = p
		i, _ := slices.BinarySearch(n.names, name)
		n.names = slices.Insert(n.names, i, name)
	}
	return p
}

// sendStatuses tells the voters, and one other member.
func (n *Node) sendStatuses() {
	s := n.selfStatus()
	if n.acknowledged != nil {
		s.Withdrawn = n.acknowledged()
	}
	n.statusCount++
	// The leader hears each; the other voters a third of them, unless there is no leader.
	all := n.statusCount%3 == 0 || !n.Fresh()
	if n.reporter != nil {
		s.Report = n.reporter(all)                              // servers are the most of it, and no decision on them takes less than a second
		if r := s.Report; r != nil && n.config.Observe != nil { // its own evidence counts as anybody's
			if delta, err := n.ownReports.delta(r); err == nil {
				n.config.Observe(n.now, Peer{Name: n.config.Name, Status: s}, delta)
			}
		}
	}
	n.seq++ // of this status, whoever it goes to: they are alike
	n.sentStatuses[n.seq%statusRingSize].seq, n.sentStatuses[n.seq%statusRingSize].at = n.seq, n.now
	e := envelope{Version: wireVersion, Fleet: n.config.Fleet, From: n.config.Name, StartedAt: n.config.StartedAt, Incarnation: n.config.Incarnation, Seq: n.seq,
		Status: &s}
	b := encode(e)
	if n.fenced {
		return
	}
	if n.Leads() { // it answers itself
		n.acceptGrant(n.grantFor(Peer{Name: n.config.Name, Status: s}, n.seq), n.seq, n.now)
	}
	for _, v := range n.config.Voters {
		if v != n.config.Name && n.peers[v] != nil && (all || v == n.leader) {
			n.outbox = append(n.outbox, Message{v, b})
		}
	}
	if all && len(n.names) > 0 { // whatever gossip thinks of it
		if other := n.names[n.rng.IntN(len(n.names))]; !slices.Contains(n.config.Voters, other) {
			n.outbox = append(n.outbox, Message{other, b})
		}
	}
}

func (n *Node) selfStatus() Status {
	s := Status{Zone: n.config.Zone, Region: n.config.Region, Epoch: n.plan.Epoch, Fresh: n.Fresh(), Leader: n.leader, GrantSeq: n.grantSeq}
	if n.identity != nil && n.replacement == nil {
		s.Identity, s.Generation, s.Promised, s.Term = n.identity.Identity, n.identity.Generation, n.identity.Promised, n.voter.term
		s.Voters, s.OutgoingVoters = n.voter.confState.GetVoters(), n.voter.confState.GetVotersOutgoing()
	}
	return s
}

// Fresh tells whether the plan was the newest within the lease.
func (n *Node) Fresh() bool { return !n.fenced && (n.Leads() || n.now < n.freshUntil) }

// Leads tells whether this member leads, and has all that was committed before.
func (n *Node) Leads() bool {
	// Danger: what raft hands out stands still while a disk does; whether it still leads has to be asked.
	return !n.fenced && n.voter != nil && n.replacement == nil && n.voter.leaderReady &&
		n.voter.raftNode.BasicStatus().RaftState == raft.StateLeader
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
	n.advance(now, unix)
	e, err := decode(n.config.Fleet, b)
	if err != nil {
		n.dropped++
		return
	}
	if e.From == n.config.Name {
		n.handleNamesake(incarnation{e.StartedAt, e.Incarnation})
		return
	}
	if e.LaterIncarnation != nil {
		n.handleNamesake(*e.LaterIncarnation)
	}
	p := n.peer(e.From)
	if p == nil {
		return
	}
	switch {
	case e.StartedAt < p.StartedAt || e.StartedAt == p.StartedAt && e.Incarnation < p.Incarnation:
		// Of a life that is over, or goes on beside a later one: under one name gossip keeps one address, so that the two may
		// never hear each other.
		n.send(e.From, envelope{LaterIncarnation: &incarnation{p.StartedAt, p.Incarnation}})
		return
	case e.StartedAt != p.StartedAt || e.Incarnation != p.Incarnation:
		*p = Peer{Name: p.Name, Alive: p.Alive, StartedAt: e.StartedAt, Incarnation: e.Incarnation}
	}
	if n.fenced {
		return
	}
	if e.Plan != nil {
		n.adoptPlan(*e.Plan, e.From)
	}
	if e.Status != nil {
		n.handleStatus(p, e)
	}
	if e.Grant != nil {
		n.handleGrant(e)
	}
	if e.Raft != nil {
		n.handleRaft(e.Raft)
	}
	if e.Command != nil {
		n.enqueueCommand(*e.Command, e.From)
	}
	if e.CommandResult != nil {
		n.handleCommandResult(*e.CommandResult)
	}
	if e.Generation != nil {
		n.handleGeneration(e.From, e.Generation)
	}
	n.takeVoterOutput()
}

// handleNamesake hears a process of the same name: the one that began later has it.
func (n *Node) handleNamesake(o incarnation) {
	if o.StartedAt < n.config.StartedAt || o.StartedAt == n.config.StartedAt && o.Number <= n.config.Incarnation || n.fenced {
		return
	}
	n.fenced = true
	n.emit(Fenced, "another process is called %s and began later: this one says and hears nothing more in the fleet", n.config.Name)
}

func (n *Node) handleStatus(p *Peer, e *envelope) {
	if e.Seq <= p.statusSeq {
		return // late, or doubled
	}
	p.statusSeq, p.Status, p.LastStatusAt, p.HasStatus = e.Seq, *e.Status, n.now, true
	if r := e.Status.Report; r != nil {
		delta, err := p.reports.delta(r)
		if err != nil {
			n.dropped++
			n.emit(Fault, "%s: %v", p.Name, err)
		} else if n.config.Observe != nil {
			n.config.Observe(n.now, *p, delta)
		}
		p.Status.Report = nil
	}
	theirs := e.Status.Epoch
	switch {
	case theirs.Less(n.plan.Epoch):
		n.sendPlan(p)
	case n.plan.Epoch.Less(theirs):
		s := n.selfStatus()
		n.send(p.Name, envelope{Status: &s}) // they will tell
	}
	if n.Leads() && (!e.Status.Fresh || n.now-p.lastGrantAt >= n.config.Lease/grantsPerLease) {
		p.lastGrantAt = n.now
		n.send(p.Name, envelope{Grant: &grant{e.Seq, n.plan.Epoch, n.grantFor(*p, e.Seq)}})
	}
}

func (n *Node) grantFor(to Peer, seq uint64) []byte {
	if n.config.GrantFor == nil {
		return nil
	}
	return n.config.GrantFor(n.now, to, seq)
}

// acceptGrant takes what the leader gave for a status that was sent at a time.
func (n *Node) acceptGrant(feed []byte, seq uint64, sent time.Duration) {
	if seq <= n.grantSeq {
		return // late, or doubled
	}
	changed := !bytes.Equal(feed, n.grant) || n.now >= n.grantUntil
	n.grant, n.grantSeq, n.grantUntil = feed, seq, sent+n.config.Lease
	if changed {
		n.events = append(n.events, Event{At: n.now, Kind: GrantChanged})
	}
}

// Grant is what this member may do by the leader's word, until its lease is over; false: it has none.
func (n *Node) Grant() ([]byte, bool) {
	return n.grant, n.grantSeq > 0 && n.now < n.grantUntil && !n.fenced
}

// sendPlan sends a member the plan, unless it was sent just now.
func (n *Node) sendPlan(p *Peer) {
	if p.sentPlanEpoch == n.plan.Epoch && n.now-p.sentPlanAt < planResendInterval {
		return
	}
	p.sentPlanEpoch, p.sentPlanAt = n.plan.Epoch, n.now
	n.send(p.Name, envelope{Plan: &n.plan})
}

func (n *Node) handleGrant(e *envelope) {
	sent := n.sentStatuses[e.Grant.Seq%statusRingSize]
	if sent.seq != e.Grant.Seq || n.plan.Epoch.Less(e.Grant.Epoch) {
		return // of a status long ago, or the plan that it speaks of is still to come
	}
	// Danger: from the time of sending, not of hearing: an answer may have been under way, or lain in a stalled process.
	n.freshUntil = max(n.freshUntil, sent.at+n.config.Lease)
	n.acceptGrant(e.Grant.Payload, e.Grant.Seq, sent.at)
	n.setLeader(e.From)
}

// setLeader takes a member for the leader.
func (n *Node) setLeader(name string) {
	n.leaderHeardAt = n.now
	if n.leader != name {
		n.leader = name
		n.emit(LeaderChanged, "%s leads", name)
	}
}

// adoptPlan takes a plan if it is newer, and passes it on.
func (n *Node) adoptPlan(p Plan, from string) {
	if !n.plan.Epoch.Less(p.Epoch) || len(p.Sections) > maxSections || p.size() > maxPlanSize {
		return
	}
	n.plan = p
	n.events = append(n.events, Event{At: n.now, Kind: PlanChanged, Text: "plan " + p.Epoch.String(), Plan: &p})
	many := relayFanout
	if from == "" && n.voter != nil && n.voter.leading {
		many = leaderFanout
	}
	for _, i := range n.rng.Perm(len(n.names)) {
		q := n.peers[n.names[i]]
		if many == 0 {
			break
		}
		if q.Name != from && q.Alive && q.Status.Epoch.Less(p.Epoch) {
			n.sendPlan(q)
			many--
		}
	}
}

// handleRaft takes a message of the log.
func (n *Node) handleRaft(m *raftMessage) {
	if n.voter == nil || n.replacement != nil || m.To != n.identity.Identity || m.Generation < n.identity.Promised {
		return
	}
	if n.identity.Generation == 0 { // blank: a leader takes it in
		s := &VoterState{Identity: n.identity.Identity, Generation: m.Generation, Promised: m.Generation}
		n.restartVoter(s)
		return // the leader says it again
	}
	if m.Generation != n.identity.Generation {
		return
	}
	var r raftpb.Message
	if proto.Unmarshal(m.Message, &r) != nil {
		n.dropped++
		return
	}
	n.voter.step(&r)
}

// takeVoterOutput takes what the log has ready: messages, what was settled, and who leads.
func (n *Node) takeVoterOutput() {
	v := n.voter
	if v == nil || n.replacement != nil {
		return
	}
	for _, m := range v.messages {
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		if name := n.memberWithIdentity(m.GetTo()); name != "" {
			n.send(name, envelope{Raft: &raftMessage{v.generation, m.GetTo(), b}})
		}
		if m.GetType() == raftpb.MsgSnap {
			v.raftNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // if it is lost, the follower's next answer says so
		}
	}
	v.messages = nil
	// Danger: a voter that no leader takes in never calls an election, and takes one that is long gone for its leader. So
	// word of it counts, and not what raft remembers.
	if n.Leads() {
		n.setLeader(n.config.Name)
	} else if v.heardLeader && v.leader != 0 && !v.leading {
		if name := n.memberWithIdentity(v.leader); name != "" {
			n.setLeader(name)
		}
	}
	v.heardLeader = false
	if v.generation != 0 {
		n.adoptPlan(v.plan, "")
	}
	settled := v.committed
	v.committed = nil
	for _, s := range settled {
		n.finishProposal(s)
	}
	if n.proposalID != "" && !v.leading {
		n.proposalID = ""
	}
}

// memberWithIdentity finds the member with an identity in the log.
func (n *Node) memberWithIdentity(identity uint64) string {
	for _, name := range n.config.Voters {
		if p := n.peers[name]; p != nil && p.HasStatus && p.Status.Identity == identity {
			return name
		}
	}
	for name, id := range n.plan.voters() {
		if id == identity && name != n.config.Name {
			return name
		}
	}
	return ""
}

// Plan is the one that this member acts on.
func (n *Node) Plan() Plan { return n.plan }

// Leader is whom this member takes for the leader, and how long ago there was word of it.
func (n *Node) Leader() (name string, ago time.Duration) { return n.leader, n.now - n.leaderHeardAt }

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
func (n *Node) Self() Status { return n.selfStatus() }

// Dropped is how many messages and reports it passed over as unreadable, absurd or foreign.
func (n *Node) Dropped() uint64 { return n.dropped }

// Unacknowledged names the members, gossip's living ones, that have not said that they act on an epoch, or whose word is
// older than the lease.
func (n *Node) Unacknowledged(e Epoch) (names []string) {
	for _, name := range n.names {
		p := n.peers[name]
		if p.Alive && (!p.HasStatus || p.Status.Epoch.Less(e) || n.now-p.LastStatusAt > n.config.Lease) {
			names = append(names, name)
		}
	}
	return names
}

// The ends of asks, beside what deciders say.
var (
	ErrNoQuorum       = errors.New("fleet: nothing can be settled: no leader answered in time")
	ErrBusy           = errors.New("fleet: too many wait to be settled")
	errUnknownCommand = errors.New("fleet: no such verb")
)

// Submit wants something settled; done is called once, by a later call of Tick or Heard.
func (n *Node) Submit(now time.Duration, unix int64, verb string, args []byte, done func(Epoch, error)) {
	n.advance(now, unix)
	if len(n.submissions) >= maxCommands {
		done(Epoch{}, ErrBusy)
		return
	}
	n.lastCommandNumber++
	a := command{ID: fmt.Sprintf("%s/%x/%d", n.config.Name, n.config.Incarnation, n.lastCommandNumber), Name: verb, Args: args}
	n.submissions[a.ID] = &submission{command: a, deadline: n.now + commandTimeout, nextSend: n.now, done: done}
	n.retrySubmissions()
	n.runCommands()
}

// retrySubmissions tells the leader of what waits here, again and again, and gives up in time.
func (n *Node) retrySubmissions() {
	for _, id := range slices.Sorted(maps.Keys(n.submissions)) {
		a := n.submissions[id]
		switch {
		case n.now >= a.deadline:
			delete(n.submissions, id)
			a.done(Epoch{}, ErrNoQuorum)
		case n.now < a.nextSend:
		case n.Leads():
			a.nextSend = n.now + commandRetryInterval
			n.enqueueCommand(a.command, n.config.Name)
		case n.leader != "" && n.leader != n.config.Name:
			a.nextSend = n.now + commandRetryInterval
			n.send(n.leader, envelope{Command: &a.command})
		}
	}
}

// enqueueCommand takes an ask at the leader.
func (n *Node) enqueueCommand(a command, from string) {
	if r, ok := n.results[a.ID]; ok {
		n.sendResult(from, r)
		return
	}
	if !n.Leads() || n.proposalID == a.ID || len(n.queue) >= maxCommands ||
		slices.ContainsFunc(n.queue, func(q queuedCommand) bool { return q.command.ID == a.ID }) {
		return
	}
	n.queue = append(n.queue, queuedCommand{command: a, from: from})
}

// Propose has the leader settle sections of its own accord, on the plan as it stands; why goes to the log. It tells whether
// the change was proposed: one at a time is.
func (n *Node) Propose(set map[string]cbor.RawMessage) bool {
	if !n.Leads() || n.proposalID != "" || len(n.queue) > 0 {
		return false
	}
	n.lastCommandNumber++
	n.proposalFrom = ""
	n.proposeChange(change{Base: n.voter.plan.Epoch, Set: set, ID: fmt.Sprintf("%s/%x/%d", n.config.Name, n.config.Incarnation, n.lastCommandNumber)})
	return n.proposalID != ""
}

func (n *Node) proposeChange(c change) {
	n.proposalID, n.proposedAt = c.ID, n.now
	if n.voter.proposeChange(c) != nil {
		n.proposalID = ""
	}
	n.takeVoterOutput()
}

// runCommands has the leader settle what waits, one after the other: each on the plan that the one before made.
func (n *Node) runCommands() {
	if !n.Leads() {
		n.queue = nil // who asked asks again
		return
	}
	if n.proposalID != "" && n.now-n.proposedAt > commandTimeout {
		n.proposalID = "" // dropped by the log; who asked asks again
	}
	for n.proposalID == "" && len(n.queue) > 0 {
		q := n.queue[0]
		n.queue = n.queue[1:]
		decide := n.config.Commands[q.command.Name]
		err := errUnknownCommand
		var set map[string]cbor.RawMessage
		if decide != nil {
			set, err = decide(&n.voter.plan, q.command.Args, n.unixMS)
		}
		switch {
		case err != nil:
			n.recordResult(commandResult{ID: q.command.ID, Error: err.Error()}, q.from)
		case len(set) == 0:
			n.recordResult(commandResult{ID: q.command.ID, Epoch: n.voter.plan.Epoch}, q.from)
		default:
			n.proposalFrom = q.from
			n.proposeChange(change{Base: n.voter.plan.Epoch, Set: set, ID: q.command.ID})
		}
	}
}

// finishProposal hears of an entry of the log.
func (n *Node) finishProposal(s committedChange) {
	if s.change.ID == "" || s.change.ID != n.proposalID {
		return
	}
	n.proposalID = ""
	r := commandResult{ID: s.change.ID, Epoch: s.epoch}
	if s.err != nil {
		r.Error = s.err.Error()
	}
	n.recordResult(r, n.proposalFrom)
}

func (n *Node) recordResult(r commandResult, from string) {
	n.results[r.ID] = r
	n.resultOrder = append(n.resultOrder, r.ID)
	if len(n.resultOrder) > maxCommands {
		delete(n.results, n.resultOrder[0])
		n.resultOrder = n.resultOrder[1:]
	}
	n.sendResult(from, r)
}

// sendResult tells who asked; if nobody knows who that was, it asks again.
func (n *Node) sendResult(to string, r commandResult) {
	if to == n.config.Name || n.submissions[r.ID] != nil {
		n.handleCommandResult(r)
		return
	}
	if to != "" {
		n.send(to, envelope{CommandResult: &r})
	}
}

func (n *Node) handleCommandResult(r commandResult) {
	a := n.submissions[r.ID]
	if a == nil {
		return
	}
	delete(n.submissions, r.ID)
	if r.Error != "" {
		a.done(Epoch{}, errors.New(r.Error))
		return
	}
	a.done(r.Epoch, nil)
}
