// Package ops owns the operating state of a gateway: whether it is ready, whether it is drained, and the figures that operators
// read. It does no I/O and reads no clock. All of it is safe for concurrent use; functions called for each request take no lock.
package ops

import (
	"sync"
	"sync/atomic"
)

// The parties that may drain a gateway, independently of each other.
const (
	byOperators = iota
	byFleet
	drainerCount
)

// State is the operating state of a gateway. The zero value is the state of a gateway that has not started. drained is true if
// and only if an element of drainedBy is true.
type State struct {
	started atomic.Bool // whether the gateway listens and has an endpoint list
	ending  atomic.Bool // whether SIGTERM was received
	drained atomic.Bool // whether operators or the fleet have drained the gateway

	mu        sync.Mutex           // guards the fields below
	drainedBy [drainerCount]bool   // drains, by the party that started them
	watchers  []func(drained bool) // functions to call at each change of drained
}

// Start marks the gateway as able to serve.
func (s *State) Start() { s.started.Store(true) }

// End marks the gateway as shutting down, permanently.
func (s *State) End() { s.ending.Store(true) }

// Ready returns true if clients should be sent to the gateway: it has started, is not shutting down and is not drained.
func (s *State) Ready() bool { return s.started.Load() && !s.ending.Load() && !s.drained.Load() }

// Drained returns true if operators or the fleet have drained the gateway.
func (s *State) Drained() bool { return s.drained.Load() }

// Drain starts or ends the operators' drain of the gateway. A repeated call has no effect. Watchers are notified of each change,
// in order, before it returns.
func (s *State) Drain(on bool) { s.drain(byOperators, on) }

// DrainByFleet starts or ends the drain by the fleet's decision, as Drain does for operators. Neither ends the other.
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

// OnDrainChange registers f to be called at each change of Drained. Calls do not overlap. f must not block, and must not call
// Drain, DrainByFleet or OnDrainChange.
func (s *State) OnDrainChange(f func(drained bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}
