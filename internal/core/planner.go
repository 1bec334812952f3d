// Package core runs the decision module of a gateway. The module (package dewhitch) is a pure state machine: the Planner
// feeds it events, carries out the actions that it returns, and owns its timers. The package knows no wire protocol: the
// fronts submit a Request, and what the planner needs of the world it reaches through Backends, Counter and Recorder.
//
// A request runs through submit.go (submission, cancellation, its one answer), actions.go (the module's actions) and
// attempts.go (attempts at backends). endpoints.go holds the endpoint list, with the overlay of exclusions, maintenance
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
// Run, except what is marked as atomic; other goroutines reach it by messages through its inbox. The setters (SetTargetsReporter,
// SetMonitor, SetWatcher, OnExcluded) and ImportState are called before Run only.
type Planner struct {
	Clock
	inbox

	module   *dw.Gateway
	backends Backends
	counter  Counter
	recorder Recorder
	monitor  Monitor         // never nil
	figures  TargetsReporter // nil: none
	watcher  Watcher         // nil: none
	log      *zap.Logger

	timers  timers
	actions []dw.Action // the buffer of the module's actions, reused; nil while they are carried out

	// Requests.
	requests      map[dw.RequestID]*requestState
	openNames     map[string]bool // the client's names of the requests of KindForward among requests
	lastRequestID uint64
	maxAttempts   atomic.Int64 // attempts of a request submitted from now on; 0: as the module's settings say

	// Endpoints.
	readySet          ReadySet
	backendByID       map[dw.ServerID]Backend     // the listed servers with their addresses
	listed            map[dw.ServerID]dw.Endpoint // as discovery lists them, with resolved start times
	notified          notifiedEndpoints           // the listed, as the module was last notified of them
	listVersion       int64
	startTimes        startTimes
	slowStartSpan     dw.Span // a server is warming up for so long after its start
	majorityWarmingUp bool    // by the last evaluation of isMajorityWarmingUp
	fleetPlan         FleetPlan

	// Exclusions by operators.
	everListed        map[dw.ServerID]bool // up to maxRememberedServers
	excluded          map[dw.ServerID]bool
	onExcluded        func([]dw.ServerID) // nil: none
	nextTargetsReport dw.Instant
}

// NewPlanner makes a planner with an empty endpoint list. The seed is that of the module's random numbers. It fails if the
// module refuses the settings.
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
		backendByID:   map[dw.ServerID]Backend{},
		listed:        map[dw.ServerID]dw.Endpoint{},
		notified:      notifiedEndpoints{entries: map[dw.ServerID]dw.Endpoint{}},
		startTimes:    newStartTimes(),
		slowStartSpan: s.SlowStartSpan,
		everListed:    map[dw.ServerID]bool{},
		excluded:      map[dw.ServerID]bool{},
	}, nil
}

// SetMaxAttempts bounds the attempts of requests submitted from now on, below what the module's settings allow; 0 is no
// further bound. It is safe for any goroutine.
func (p *Planner) SetMaxAttempts(attempts int) { p.maxAttempts.Store(int64(attempts)) }

// Run handles timers and messages until the context ends; it is called once. Afterwards nothing is handled: a
// post returns ErrStopped, or its message is lost.
func (p *Planner) Run(ctx context.Context) error {
	defer close(p.stop)
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
			p.monitor.Waited(m.queue(), time.Since(m.postedAt))
			m.handle(p)
		}
	}
	return nil
}

// step feeds the module one event and carries out the actions that it returns, in their order. An action may cause a
// further step before step returns.
func (p *Planner) step(e dw.Event) {
	now := time.Now()
	actions := p.module.Handle(p.Instant(now), e, p.actions[:0])
	p.actions = nil // a nested step needs a buffer of its own
	for _, a := range actions {
		p.carryOut(now, a)
	}
	clear(actions)
	p.actions = actions
}
