// Package ops owns the operating state of a gateway: whether it is ready, whether it is drained, and the figures that operators
// read. It does no I/O and reads no clock. All of it is safe for any goroutine; what is called for each request takes no lock.
package ops

import (
	"sync"
	"sync/atomic"
)

// Who may drain a gateway, independently of each other.
const (
	byOperators = iota
	byFleet
	drainerCount
)

// State is whether the gateway serves. The zero State is that of a gateway that has not started.
type State struct {
	started atomic.Bool // it listens and has an endpoint list
	ending  atomic.Bool // SIGTERM came
	drained atomic.Bool // by anyone of drainedBy

	mu        sync.Mutex // guards the fields below
	drainedBy [drainerCount]bool
	watchers  []func(drained bool)
}

// Start marks the gateway as able to serve.
func (s *State) Start() { s.started.Store(true) }

// End marks the gateway as ending, for good.
func (s *State) End() { s.ending.Store(true) }

// Ready reports whether clients should be sent here.
func (s *State) Ready() bool { return s.started.Load() && !s.ending.Load() && !s.drained.Load() }

// Drained reports whether operators or the fleet have drained the gateway.
func (s *State) Drained() bool { return s.drained.Load() }

// Drain drains the gateway by an operator's call, or ends that; a repeated call changes nothing. Watchers are notified of each
// change, in order, before it returns.
func (s *State) Drain(on bool) { s.drain(byOperators, on) }

// DrainByFleet is Drain by the fleet's decision. Neither ends the other.
func (s *State) DrainByFleet(on bool) { s.drain(byFleet, on) }

func (s *State) drain(drainer int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedBy[drainer] = on
	drained := s.drainedBy[byOperators] || s.drainedBy[byFleet]
	if s.drained.Swap(drained) == drained {
		return
	}
	for _, f := range s.watchers {
		f(drained)
	}
}

// OnDrainChange has f called at each change of the drain. The calls come one at a time; f may not block, and may not call Drain,
// DrainItself or Watch.
func (s *State) OnDrainChange(f func(drained bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}
