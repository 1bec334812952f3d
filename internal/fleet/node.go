package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// housekeepingInterval is the interval at which the generation and the voters are checked and LeaderTick is
	// called.
	housekeepingInterval = 200 * time.Millisecond
	// maxCatchUpTicks limits the log ticks that are replayed when a stalled process resumes. It suffices for a
	// leader without a quorum to step down.
	maxCatchUpTicks = 2*electionTicks + 2
)

// Config configures a member. It must not be modified after New.
type Config struct {
	Fleet, Name, Zone, Region string
	Voters                    []string      // names, in the same order at every member; the first voter starts generations of the log
	StartedAt                 int64         // start time of this process in Unix ns
	Incarnation               uint64        // random; orders two processes with one name that started in the same nanosecond
	Seed                      uint64        // seed of all random draws, together with Incarnation
	Tick                      time.Duration // duration of a tick of raft's clock
	StatusInterval            time.Duration // minimum interval between two statuses
	Lease                     time.Duration // validity of the leader's confirmations and grants, from the send time of the status that they answer
	// Commands holds the handlers of operators' commands by name.
	Commands map[string]CommandHandler

	// Observe is called for each report of a peer and of this member, with the changes since its previous
	// report. It may be nil.
	Observe func(now time.Duration, from Peer, delta Report)
	// LeaderTick is called on the leader every 200 ms (housekeepingInterval). unixMS is the Unix time in ms. It may be
	// nil.
	LeaderTick func(now time.Duration, unixMS int64, n *Node)
	// GrantFor returns the payload of the leader's grant to a member, the leader included. The grant answers the
	// member's status with the sequence number seq. GrantFor may be nil.
	GrantFor func(now time.Duration, to Peer, seq uint64) []byte
}

// CommandHandler computes the sections of the plan that an operator's command changes. An empty result means
// that the plan already complies. unixMS is the Unix time in ms. A handler runs on the leader. The next leader
// may run it again for the same command, so it must be idempotent.
type CommandHandler func(p *Plan, args []byte, unixMS int64) (map[string]cbor.RawMessage, error)

// Node is one member of the fleet. Like raft's RawNode it is a pure state machine: it does no I/O and reads no
// clock.
//
// Threading: one goroutine owns a Node, and its methods must not run concurrently. The callbacks of Config and
// of Submit run on that goroutine within a method. They may call only accessors of the Node, and Propose.
//
// The owner calls Step for each received message and Tick no later than NextTick. After each call it:
//
//  1. writes the update that PendingStorage returns to stable storage, then calls Persisted. Until then the Node
//     holds back the voter's responses to the log, so that it never sends anything that a crash could make it
//     forget (raft's Ready contract);
//  2. sends the messages and publishes the events that TakeOutput returns. This is always safe, even while a
//     write is in progress or fails.
//
// Times passed to methods are monotonic, with any fixed origin. Unix times are in milliseconds.
type Node struct {
	config Config
	rng    *rand.Rand // seeded by Config; tests depend on the order of draws

	now              time.Duration
	unixMS           int64
	started          bool // true once the owner has passed a time
	lastLogTick      time.Duration
	nextStatus       time.Duration
	nextHousekeeping time.Duration

	// State of the voter. These pointers are nil at a member that is not a voter.
	voter            *voter
	voterHeader      *VoterState // stored state of the voter without its log
	replacement      *VoterState // state that must be on stable storage before the voter does anything; nil if none
	afterReplacement []func()    // callbacks that run once replacement is stored
	generationStart  generationStart

	plan              Plan // newest known plan, which this member applies
	leader            string
	lastLeaderContact time.Duration
	lease             leaseHolder
	reportedFresh     bool // value of Fresh in the last FreshChanged event
	fenced            bool // true if a later process with this name exists; this one then neither sends nor handles anything

	seq         uint64 // sequence number of the last message; a status sent to several members has one number
	statusCount uint64
	peers       peerTable
	reporter    func(full bool) *Report
	withdrawn   func() map[string]uint64
	ownReports  reportBaseline // counters that this member reported last

	commands    commandQueue // commands queued at the leader
	submissions submissions  // commands submitted at this member

	outbox  []Message
	events  []Event
	dropped uint64
}

// New returns a member. saved is the stored state of a voter. If it is nil, a voter draws a new identity and
// starts without a log. New returns an error if saved is invalid.
func New(config Config, saved *VoterState) (*Node, error) {
	n := &Node{
		config:          config,
		rng:             rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
		generationStart: generationStart{promises: map[string]*Plan{}},
		lease:           leaseHolder{duration: config.Lease},
		peers:           peerTable{byName: map[string]*Peer{}},
		commands:        commandQueue{results: map[string]commandResult{}},
		submissions:     submissions{pending: map[string]*submission{}},
	}
	if !slices.Contains(config.Voters, config.Name) {
		return n, nil
	}
	if saved == nil {
		n.resetVoter(0)
		return n, nil
	}
	n.voterHeader = saved.withoutLog()
	var err error
	if n.voter, err = newVoter(saved, n.rng); err != nil {
		return nil, err
	}
	if saved.Generation != 0 {
		n.adoptPlan(n.voter.plan, "")
	}
	return n, nil
}

// SetReporter sets the function that returns the report of each status. If full is true, the report includes
// servers as well as zones. Call SetReporter before the first Tick.
func (n *Node) SetReporter(f func(full bool) *Report) { n.reporter = f }

// SetWithdrawnSource sets the function that returns Status.Withdrawn for each status: the machines to which this
// member sends nothing new and has nothing in flight. Call SetWithdrawnSource before the first Tick.
func (n *Node) SetWithdrawnSource(f func() map[string]uint64) { n.withdrawn = f }

// Dropped returns the number of messages and reports that were ignored because they were unreadable, invalid or
// from another fleet or version.
func (n *Node) Dropped() uint64 { return n.dropped }

// advance moves the clocks to now. It replays the log ticks that have passed, so that a leader that resumes
// after a stall steps down before it sends or handles anything.
func (n *Node) advance(now time.Duration, unixMS int64) {
	n.now = max(n.now, now)
	n.unixMS = unixMS
	if !n.started {
		n.started = true
		n.lastLogTick = now
		n.nextStatus = now
		n.nextHousekeeping = now + housekeepingInterval
	}
	ticks := int((n.now - n.lastLogTick) / n.config.Tick)
	n.lastLogTick += time.Duration(ticks) * n.config.Tick
	for range min(ticks, maxCatchUpTicks) {
		if n.voterActive() && !n.fenced {
			n.voter.tick()
		}
	}
	n.takeVoterOutput()
}

// Tick advances the time and runs whatever is due. Call it no later than NextTick. unixMS is the Unix time in
// milliseconds.
func (n *Node) Tick(now time.Duration, unixMS int64) {
	n.advance(now, unixMS)
	if n.now >= n.nextHousekeeping {
		n.nextHousekeeping = n.now + housekeepingInterval
		n.runHousekeeping()
	}
	n.runCommands()
	n.retrySubmissions()
	if n.now >= n.nextStatus {
		n.nextStatus = n.nextStatusAfter(n.now)
		n.sendStatuses()
	}
	n.checkLease()
}

func (n *Node) runHousekeeping() {
	n.startGeneration()
	if !n.Leads() {
		return
	}
	n.reconfigureVoters()
	if n.config.LeaderTick != nil {
		n.config.LeaderTick(n.now, n.unixMS, n)
	}
}

// NextTick returns the time by which Tick should be called.
func (n *Node) NextTick() time.Duration {
	next := n.nextStatus
	if n.voter != nil {
		next = min(next, n.lastLogTick+n.config.Tick)
	}
	return min(next, n.submissions.nextDeadline(next))
}

// Step handles an encoded message from another member. unixMS is the Unix time in milliseconds. Messages that
// can't be used are counted by Dropped.
func (n *Node) Step(now time.Duration, unixMS int64, b []byte) {
	n.advance(now, unixMS)
	e, err := decode(n.config.Fleet, b)
	if err != nil {
		n.dropped++
		return
	}
	if e.From == n.config.Name {
		n.fenceIfSuperseded(e.sender())
		return
	}
	if e.LaterIncarnation != nil {
		n.fenceIfSuperseded(*e.LaterIncarnation)
	}
	p := n.peers.add(e.From)
	if p == nil || !n.acceptIncarnation(p, e.sender()) || n.fenced {
		return
	}
	n.dispatch(p, e)
	n.takeVoterOutput()
}

// dispatch handles each part of a message. The plan comes first, because a grant is valid only for a plan that
// is already known.
func (n *Node) dispatch(p *Peer, e *envelope) {
	if e.Plan != nil {
		n.adoptPlan(*e.Plan, e.From)
	}
	if e.Status != nil {
		n.handleStatus(p, e)
	}
	if e.Grant != nil {
		n.handleGrant(e.From, e.Grant)
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
}
