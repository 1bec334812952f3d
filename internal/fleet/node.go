package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	housekeepingInterval = 200 * time.Millisecond // between two checks of the generation, the voters and LeaderTick
	// maxCatchUpTicks of the log are played when a stalled process wakes: enough for a leader without a
	// quorum to step down.
	maxCatchUpTicks = 2*electionTicks + 2
)

// Config configures a member. It is not changed after New.
type Config struct {
	Fleet, Name, Zone, Region string
	Voters                    []string      // by name, the same list at every member; the first starts generations of the log
	StartedAt                 int64         // of this process, Unix ns
	Incarnation               uint64        // random; orders two processes of one name that started in the same nanosecond
	Seed                      uint64        // of all random draws, together with Incarnation
	Tick                      time.Duration // of the log's clock
	StatusInterval            time.Duration // minimum interval between two statuses
	Lease                     time.Duration // how long a confirmation or grant by the leader holds, from the status it answers
	Commands                  map[string]CommandHandler

	// Observe is called for each report received, and for this member's own; may be nil.
	Observe func(now time.Duration, from Peer, delta Report)
	// LeaderTick is called on the leader every 200 ms (housekeepingInterval); unix is in ms; may be nil.
	LeaderTick func(now time.Duration, unix int64, n *Node)
	// GrantFor returns the payload of the leader's grant to a member, the leader included, in answer to its
	// status seq; may be nil.
	GrantFor func(now time.Duration, to Peer, seq uint64) []byte
}

// CommandHandler computes the plan's sections that an operator's command changes; none means that the plan
// already complies. unix is in ms. It runs on the leader. The next leader may run it again for the same
// command, so it must be idempotent.
type CommandHandler func(p *Plan, args []byte, unix int64) (map[string]cbor.RawMessage, error)

// Node is one member of the fleet as a pure state machine, in the manner of raft's RawNode: it does no I/O
// and reads no clock.
//
// Threading: one goroutine owns a Node. No two of its methods may run at once, and callbacks of Config and of
// Submit run within a method, on that goroutine; of Node they may call only accessors and Propose.
//
// The owner calls Step for each message received, Tick by NextTick at the latest, and after either:
//
//  1. writes what PendingStorage returns to stable storage, then calls Persisted; until it does, the voter's answers to the log
//     stay inside the Node, so that it never sends what a crash could make it forget (raft's Ready contract);
//  2. sends and publishes what TakeOutput returns, which is always safe to send, even while a write is under way or fails.
//
// Time passed to methods is monotonic, from any fixed origin; Unix times are in milliseconds.
type Node struct {
	config Config
	rng    *rand.Rand // seeded; the order of draws is part of the behavior that seeded tests replay

	now              time.Duration
	unixMS           int64
	started          bool // a first time has been given
	lastLogTick      time.Duration
	nextStatus       time.Duration
	nextHousekeeping time.Duration

	// The voter's part of the log. All are nil at a member that is no voter.
	voter            *voter
	voterHeader      *VoterState // Identity, Generation and Promised only
	replacement      *VoterState // must replace the stored state before the voter does anything
	afterReplacement []func()    // run once replacement is stored
	generationStart  generationStart

	plan          Plan // the newest known, on which this member acts
	leader        string
	leaderHeardAt time.Duration
	lease         leaseHolder
	wasFresh      bool
	fenced        bool // a later process has this name: this one neither sends nor handles anything

	seq          uint64 // of the last message sent; a status that goes to several members has one
	statusCount  uint64
	peers        peerTable
	reporter     func(full bool) *Report
	acknowledged func() map[string]uint64
	ownReports   reportBaseline

	commands    commandQueue // at the leader
	submissions submissions  // commands submitted here

	outbox  []Message
	events  []Event
	dropped uint64
}

// New returns a member. saved is the stored state of a voter, or nil: then a voter draws a new identity and
// has no log.
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

// SetReporter sets the source of the report in each status; full asks for servers beside zones. Call it
// before the first Tick.
func (n *Node) SetReporter(f func(full bool) *Report) { n.reporter = f }

// SetWithdrawnSource sets the source of the machines that each status lists as withdrawn: this member has
// nothing in flight there and sends nothing new. Call it before the first Tick.
func (n *Node) SetWithdrawnSource(f func() map[string]uint64) { n.acknowledged = f }

// Dropped counts messages and reports that were ignored as unreadable, invalid or of another fleet or version.
func (n *Node) Dropped() uint64 { return n.dropped }

// advance moves the clocks to now. The log plays the ticks that passed, so that a leader that wakes from a
// stall steps down before it sends or handles anything.
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

// Tick moves time on and does what is due. unix is in milliseconds. Call it by NextTick at the latest.
func (n *Node) Tick(now time.Duration, unix int64) {
	n.advance(now, unix)
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

// NextTick is the time by which Tick should be called.
func (n *Node) NextTick() time.Duration {
	next := n.nextStatus
	if n.voter != nil {
		next = min(next, n.lastLogTick+n.config.Tick)
	}
	return min(next, n.submissions.nextDeadline(next))
}

// Step handles an encoded message from another member. unix is in milliseconds. A message that can't be used
// counts as Dropped.
func (n *Node) Step(now time.Duration, unix int64, b []byte) {
	n.advance(now, unix)
	e, err := decode(n.config.Fleet, b)
	if err != nil {
		n.dropped++
		return
	}
	if e.From == n.config.Name {
		n.handleNamesake(e.sender())
		return
	}
	if e.LaterIncarnation != nil {
		n.handleNamesake(*e.LaterIncarnation)
	}
	p := n.peers.add(e.From)
	if p == nil || !n.acceptIncarnation(p, e.sender()) || n.fenced {
		return
	}
	n.dispatch(p, e)
	n.takeVoterOutput()
}

// dispatch handles each part of a message. The plan comes first, as a grant counts only for a plan that is
// already known.
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
