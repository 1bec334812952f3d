// Package agent runs a member of a fleet. It owns the goroutine, clock, storage and transport of a fleet.Node,
// applies the policies of packages evacuation, maintenance and slowstart while the member leads, and serves the
// operators' pages.
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
	logTick         = 100 * time.Millisecond // tick of the log
	minTickInterval = 5 * time.Millisecond   // shortest time between two calls to Node.Tick
	inboxSize       = 2048                   // limit on queued messages, and on queued member changes; more are lost, as on the network
	callQueueSize   = 16                     // limit on the queued functions that Agent.call passes to Run; further calls block
)

// Options configures a member. Callbacks run on the agent's goroutine and must not block.
type Options struct {
	Gossip         gossip.Options // Open sets Log, Receive and StateChanged
	Voters         []string       // names of the voters, the same list at every member; the first starts the log
	Dir            string         // directory of a voter's storage; empty: its state is lost with the process, and it returns as another voter
	Lease          time.Duration  // time for which the leader's confirmations and grants are valid
	StatusInterval time.Duration  // shortest time between two statuses
	Log            *zap.Logger
	Maintenance    maintenance.Config // Open sets SlowStart
	Zones          evacuation.Config
	SlowStart      slowstart.Config // Open sets Lease
	Quiesced       func() bool      // returns true if this gateway has drained its clients and has nothing in flight; may be nil
	Drain          func(on bool)    // starts or stops draining this gateway's clients; may be nil
	OnDecisions    func(Decisions)  // receives the decisions at each change; may be nil
}

// Agent is a running member. Its exported methods may be called from any goroutine. Unexported fields belong
// to the goroutine of Run, except where noted.
type Agent struct {
	options   Options
	startedAt time.Time // origin of the member's monotonic clock

	node     *fleet.Node
	gossip   *gossip.Gossip // safe for concurrent use
	storage  storageWriter
	attempts *AttemptCounter // safe for concurrent use

	// Inputs of Run.
	inbox         chan []byte
	memberChanges chan memberChange
	calls         chan func()

	stopped    chan struct{} // closed when Run returns
	stopGossip func()        // stops gossip; set by Run

	// Policies. Every member passes all reports that it receives to them, so that a new leader already has
	// the evidence. Only the leader acts on their decisions.
	zones          *evacuation.Detector
	slowStart      *slowstart.Allocator
	maintenance    *maintenance.Scheduler
	nextAllocation time.Duration // time of the next allocation of slow-start rates
	allocated      bool          // true if the last allocation gave rates to any server

	drain drainState

	// Written by other goroutines.
	appliedWithdrawals atomic.Pointer[map[string]uint64]  // machines to which this gateway sends nothing new, with their announcement IDs
	readyServers       atomic.Pointer[[]slowstart.Server] // servers that the endpoint list of this process has as ready, in zones that have a name
}

// memberChange is a change of a member's state in gossip.
type memberChange struct {
	name  string
	alive bool
}

// Open reads the member's storage, listens, and returns the member. If it succeeds, the caller must call Run, which
// closes what Open opened.
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
	for _, name := range o.Voters { // make the voters known, so that statuses go to them before gossip finds them
		a.node.SetAlive(name, false)
	}
	return a, nil
}

// openNode opens the storage, if this member is a voter with a directory, and creates the node.
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

// nodeConfig returns the node's configuration, with the commands of all policies.
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

// openGossip starts to listen for members. Gossip's callbacks must not block, so they drop what does not fit into
// the channels.
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

// random63 returns a random number of 63 bits.
func random63() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) >> 1
}

// AddCandidates replaces the addresses, by name, at which gossip tries to join members that are not alive. They are
// hints: a member without an address stays a member.
func (a *Agent) AddCandidates(addressByName map[string]string) { a.gossip.AddCandidates(addressByName) }

// AttemptCounter returns the counter of this process's attempts, from which its reports are made.
func (a *Agent) AttemptCounter() *AttemptCounter { return a.attempts }

// now returns the time since the process started, and Unix ms derived from it. The system clock is read only once,
// because a step of it would end the maintenance of a machine, or a slow start, too early.
func (a *Agent) now() (time.Duration, int64) {
	d := time.Since(a.startedAt)
	return d, a.startedAt.Add(d).UnixMilli()
}

// Run runs the member until the context ends. The calling goroutine owns the node. Run always returns nil.
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
			now, unixMS := a.now()
			a.node.Step(now, unixMS, b)
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

// runGossip runs gossip on a goroutine of its own. The returned function stops it and waits for its end.
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

// processOutput stores, sends and publishes the node's output. Messages do not wait for a write, because the node
// keeps back those that depend on it.
func (a *Agent) processOutput() {
	a.persist()
	messages, events := a.node.TakeOutput()
	for _, m := range messages {
		a.gossip.Send(m.To, m.Data)
	}
	for _, e := range events {
		a.handleEvent(e)
		if e.Kind == fleet.Fenced {
			a.stopGossip() // gossip keeps one address per name: others find the later process only after this one has left
		}
	}
}
