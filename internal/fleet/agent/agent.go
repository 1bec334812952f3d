// Package agent runs a fleet's member: the goroutine, clock, storage and transport of a fleet.Node, the
// policies that its leader applies, and the operators' pages. The policies themselves are in evacuation,
// maintenance and slowstart.
package agent

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/gossip"
	"dewhitch/internal/fleet/maintenance"
	"dewhitch/internal/fleet/slowstart"
	"dewhitch/internal/fleet/voterstore"
)

const (
	logTick         = 100 * time.Millisecond // of the log's clock
	minTickInterval = 5 * time.Millisecond   // between two calls of Node.Tick
	inboxSize       = 2048                   // messages, and changes of members, that wait; more are lost, as on the wire
	callQueueSize   = 16
)

// Options configure a member. Callbacks run on the agent's goroutine and must not block.
type Options struct {
	Gossip         gossip.Options // Log, Receive and Changed are set by Open
	Voters         []string       // by name, the same list at every member; the first starts the log
	Dir            string         // of a voter's storage; empty: its state is lost with the process, and it returns as another voter
	Lease          time.Duration  // how long the leader's confirmations and grants hold
	StatusInterval time.Duration  // minimum interval between two statuses
	Log            *zap.Logger
	Maintenance    maintenance.Config // its SlowStart is set by Open
	Zones          evacuation.Config
	SlowStart      slowstart.Config // its Lease is set by Open
	Quiesced       func() bool      // this gateway has drained its clients and has nothing in flight; may be nil
	Drain          func(on bool)    // start or stop draining this gateway's clients; may be nil
	OnDecisions    func(Decisions)  // called when they change; may be nil
}

// Agent is a running member. Its exported methods may be called from any goroutine; unexported fields belong
// to the goroutine of Run, except where noted.
type Agent struct {
	options   Options
	startedAt time.Time // origin of the member's clock

	node     *fleet.Node
	gossip   *gossip.Gossip // safe for concurrent use
	storage  storageWriter
	attempts *AttemptCounter // safe for concurrent use

	// Inputs of Run.
	inbox         chan []byte
	memberChanges chan memberChange
	calls         chan func()

	stopped    chan struct{} // closed when Run returns
	stopGossip func()        // set by Run

	// Policies. They observe every report at every member, so that a new leader has evidence at once; their
	// decisions count at the leader only.
	zones          *evacuation.Detector
	slowStart      *slowstart.Allocator
	maintenance    *maintenance.Scheduler
	nextAllocation time.Duration // of slow-start rates
	allocated      bool          // any server is in slow start

	drain drainState

	// Written by other goroutines.
	withdrawn atomic.Pointer[map[string]uint64]  // machines to which this gateway sends nothing new, with their turn
	endpoints atomic.Pointer[[]slowstart.Server] // listed and ready, as this process has the list
}

// memberChange is gossip's word on a member.
type memberChange struct {
	name  string
	alive bool
}

// Open opens a member: it reads the storage and listens. Run must be called if there is no error; it closes
// what Open opened.
func Open(o Options) (*Agent, error) {
	o.SlowStart.Lease = o.Lease
	o.Maintenance.SlowStart = o.SlowStart.Span
	a := &Agent{
		options:       o,
		startedAt:     time.Now(),
		storage:       storageWriter{results: make(chan writeResult, 1), log: o.Log},
		attempts:      newAttemptCounter(time.Now),
		inbox:         make(chan []byte, inboxSize),
		memberChanges: make(chan memberChange, inboxSize),
		calls:         make(chan func(), callQueueSize),
		stopped:       make(chan struct{}),
		zones:         evacuation.New(o.Zones),
		slowStart:     slowstart.New(o.SlowStart),
		maintenance:   maintenance.New(o.Maintenance),
	}
	if err := a.openNode(); err != nil {
		a.storage.close()
		return nil, err
	}
	if err := a.openGossip(); err != nil {
		a.storage.close()
		return nil, err
	}
	for _, name := range o.Voters { // statuses go to voters from the start, whether gossip has heard of them or not
		a.node.SetAlive(name, false)
	}
	return a, nil
}

// openNode opens a voter's storage and makes the node.
func (a *Agent) openNode() error {
	o := a.options
	var saved *fleet.VoterState
	if o.Dir != "" && slices.Contains(o.Voters, o.Gossip.Name) {
		store, state, err := voterstore.Open(o.Dir)
		if err != nil {
			return err
		}
		a.storage.store = store
		saved = state
	}
	var err error
	if a.node, err = fleet.New(a.nodeConfig(), saved); err != nil {
		return err
	}
	a.node.SetReporter(a.attempts.report)
	a.node.SetWithdrawnSource(a.withdrawnMachines)
	return nil
}

func (a *Agent) nodeConfig() fleet.Config {
	commands := fleet.FreezeCommands()
	maps.Copy(commands, evacuation.Commands())
	maps.Copy(commands, maintenance.Commands())
	o := a.options
	return fleet.Config{
		Fleet:          o.Gossip.Fleet,
		Name:           o.Gossip.Name,
		Zone:           o.Gossip.Metadata.Zone,
		Region:         o.Gossip.Metadata.Region,
		Voters:         o.Voters,
		StartedAt:      a.startedAt.UnixNano(),
		Incarnation:    random63(),
		Seed:           random63(),
		Tick:           logTick,
		StatusInterval: o.StatusInterval,
		Lease:          o.Lease,
		Commands:       commands,
		Observe:        a.observe,
		LeaderTick:     a.leaderTick,
		GrantFor:       a.grantFor,
	}
}

// openGossip listens for members. gossip's callbacks must not block, so what the channels can't take is lost.
func (a *Agent) openGossip() error {
	options := a.options.Gossip
	options.Log = a.options.Log
	options.Receive = func(b []byte) {
		select {
		case a.inbox <- slices.Clone(b):
		default:
		}
	}
	options.StateChanged = func(name, state string) {
		a.options.Log.Info("fleet member", zap.String("member", name), zap.String("state", state))
		select {
		case a.memberChanges <- memberChange{name, state == gossip.StateAlive}:
		default:
		}
	}
	var err error
	a.gossip, err = gossip.Open(options)
	return err
}

// random63 draws a number of 63 bits.
func random63() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:]) >> 1
}

// AddCandidates tells, by name, under which addresses members may be found. It is a hint: members that are
// not named stay known.
func (a *Agent) AddCandidates(addressByName map[string]string) { a.gossip.AddCandidates(addressByName) }

// AttemptCounter counts this process's attempts, for its reports.
func (a *Agent) AttemptCounter() *AttemptCounter { return a.attempts }

// now is the time since the process started, and Unix ms derived from it. The system's clock is read once
// only, as a step of it would end the lease of a machine in maintenance, or a slow start.
func (a *Agent) now() (time.Duration, int64) {
	d := time.Since(a.startedAt)
	return d, a.startedAt.Add(d).UnixMilli()
}

// Run runs the member until the context ends. Its goroutine owns the node. It always returns nil.
func (a *Agent) Run(ctx context.Context) error {
	defer a.storage.close()
	defer close(a.stopped)
	defer a.runGossip()()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now, _ := a.now()
		timer.Reset(max(minTickInterval, a.node.NextTick()-now))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			a.node.Tick(a.now())
			a.updateDrain(now)
		case b := <-a.inbox:
			now, unix := a.now()
			a.node.Step(now, unix, b)
		case c := <-a.memberChanges:
			a.node.SetAlive(c.name, c.alive)
		case f := <-a.calls:
			f()
		case r := <-a.storage.results:
			a.finishWrite(r)
		}
		now, _ = a.now()
		a.slowStart.SetLeaderTerm(now, a.node.LeaderTerm())
		a.processOutput()
	}
}

// runGossip runs the gossip on a goroutine of its own, and returns what stops it and waits.
func (a *Agent) runGossip() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	a.stopGossip = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.gossip.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// processOutput stores, sends and publishes what the node has ready. Messages do not wait for a write: those
// that depend on it are still inside the node.
func (a *Agent) processOutput() {
	a.persist()
	messages, events := a.node.TakeOutput()
	for _, m := range messages {
		a.gossip.Send(m.To, m.Data)
	}
	for _, e := range events {
		a.handleEvent(e)
		if e.Kind == fleet.Fenced {
			a.stopGossip() // gossip keeps one address for a name: others find the later process only once this one has left
		}
	}
}
