// Package core runs the decision module of a gateway. The module (package dewhitch) is a pure state machine: the Planner
// passes it events, executes the actions that it returns, and runs its timers. The package knows no wire protocol: the
// packages under internal/front submit a Request, and the planner reaches the backends, the shared counter and the ledger
// through the interfaces Backends, Counter and Recorder.
//
// A request passes through submit.go (submission, cancellation, its single answer), actions.go (the module's actions) and
// attempts.go (attempts at backends). endpoints.go maintains the endpoint list, with the overlay of exclusions, maintenance
// and slow start.
package core

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
)

// Planner owns one Gateway of the decision module, its timers and its clock. All of its state belongs to the goroutine of
// Run, except the atomic fields and readySet, which has a lock of its own; other goroutines send messages through the inbox.
// The setters (SetTargetsReporter, SetMonitor, SetWatcher) and ImportState must be called before Run.
type Planner struct {
	Clock
	inbox

	module          *dw.Gateway
	backends        Backends
	counter         Counter
	recorder        Recorder
	monitor         Monitor         // never nil
	targetsReporter TargetsReporter // nil if not set
	watcher         Watcher         // nil if not set
	log             *zap.Logger

	timers  timers
	actions []dw.Action // buffer for the module's actions, reused by each step; nil while a step executes them

	// State of requests.
	requests      map[dw.RequestID]*requestState
	openNames     map[string]bool // client-given names of the requests of KindForward that are in requests
	spentNames    spentNames      // names that must not be used again
	lastRequestID uint64
	maxAttempts   atomic.Int64 // maximum number of attempts of a newly submitted request; 0 if only the module limits it

	// State of endpoints.
	readySet          ReadySet
	backendByID       map[dw.ServerID]Backend     // ids and addresses of the listed servers
	listed            map[dw.ServerID]dw.Endpoint // entries as discovery lists them, with resolved start times
	notified          notifiedEndpoints           // entries of which the module was last notified
	listVersion       int64
	startTimes        startTimes
	slowStartSpan     dw.Span // time for which a server is warming up after its start
	majorityWarmingUp bool    // last result of isMajorityWarmingUp
	fleetPlan         FleetPlan

	// Exclusions by operators.
	everListed        map[dw.ServerID]bool // servers that were ever listed, up to maxRememberedServers
	excluded          map[dw.ServerID]bool
	nextTargetsReport dw.Instant // time of the next periodic report to targetsReporter
}

// NewPlanner returns a planner with an empty endpoint list. The seed initializes the module's random numbers. NewPlanner fails
// if the module rejects the settings.
func NewPlanner(s dw.Settings, seed uint64, c Clock, b Backends, n Counter, r Recorder, log *zap.Logger) (*Planner, error) {
	gateway, err := dw.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Planner{
		Clock:         c,
		inbox:         newInbox(),
		module:        gateway,
		backends:      b,
		counter:       n,
		recorder:      r,
		monitor:       noMonitor{},
		log:           log,
		requests:      map[dw.RequestID]*requestState{},
		openNames:     map[string]bool{},
		spentNames:    newSpentNames(),
		backendByID:   map[dw.ServerID]Backend{},
		listed:        map[dw.ServerID]dw.Endpoint{},
		notified:      notifiedEndpoints{entries: map[dw.ServerID]dw.Endpoint{}},
		startTimes:    newStartTimes(),
		slowStartSpan: s.SlowStartSpan,
		everListed:    map[dw.ServerID]bool{},
		excluded:      map[dw.ServerID]bool{},
	}, nil
}

// SetMaxAttempts limits the attempts of each request submitted from now on, in addition to the limit in the module's settings;
// 0 sets no additional limit. It is safe for concurrent use.
func (p *Planner) SetMaxAttempts(attempts int) { p.maxAttempts.Store(int64(attempts)) }

// Run handles timers and messages until the context ends, and returns nil. It must be called once only. Messages that are
// posted after it has returned fail with ErrStopped or are lost.
func (p *Planner) Run(ctx context.Context) error {
	defer close(p.stopped)
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for ctx.Err() == nil {
		now := p.Instant(time.Now())
		p.reportPeriodically(now)
		p.fireTimers(now)
		if len(p.timers) > 0 {
			wake.Reset(time.Until(p.Time(p.timers[0].At)))
		}
		if m, ok := p.next(ctx, wake.C); ok {
			startedAt := time.Now()
			p.monitor.Waited(m.queue(), startedAt.Sub(m.postedAt))
			m.handle(p)
			m.charge(time.Since(startedAt))
		}
	}
	return nil
}

// step passes one event to the module and executes the returned actions in order. An action may cause a nested step before
// step returns.
func (p *Planner) step(e dw.Event) {
	now := time.Now()
	actions := p.module.Handle(p.Instant(now), e, p.actions[:0])
	p.actions = nil // a nested step needs its own buffer
	for _, a := range actions {
		p.executeAction(now, a)
	}
	clear(actions)
	p.actions = actions
}
