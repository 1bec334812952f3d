// Package fairqueue divides the time of a process between its connections, by fair queueing: each flow, the work of one goroutine for
// one connection, may use a quantum of time in a turn, and the flow that has used least goes first (line.go).
//
// Turns are given in rounds of a fixed time. Between two rounds every other goroutine that is ready runs, and the network is polled
// (barrier.go): so all flows together can't keep the planner, timers, servers, discovery or a client that is not served yet waiting for
// longer than a round takes, however many flows there are. While nobody else is ready, a round follows the one before at once.
package fairqueue

import (
	"cmp"
	"runtime"
	"slices"
	"sync"
	"time"
)

const (
	roundTime    = 32 * Quantum         // what all flows together may use in a round, for each processor
	maxRoundTime = 5 * time.Millisecond // time after which the next round begins although others are still busy
)

// Monitor observes how late the process runs. Its methods are called concurrently from any goroutine and must not block.
type Monitor interface {
	// Late reports how long something waited to run; what is the name of a Kind.
	Late(what string, d time.Duration)
}

// Scheduler gives turns to the flows of a process. It is safe for concurrent use. A nil Scheduler has nil flows.
type Scheduler struct {
	monitor  Monitor // may be nil
	barrier  *barrier
	overtime *time.Timer // begins the next round after maxRoundTime

	mu     sync.Mutex
	flows  map[*Flow]struct{} // open flows
	line   line               // flows that wait for their turns
	left   time.Duration      // what flows may still use in this round; negative if the next one is shorter for it
	ending bool               // the next round begins once the others have run
}

// New returns a scheduler without flows, which must be closed. The monitor may be nil. It fails if the system has no descriptor for it.
func New(m Monitor) (*Scheduler, error) {
	s := &Scheduler{monitor: m, flows: map[*Flow]struct{}{}, left: roundTime}
	s.overtime = time.AfterFunc(maxRoundTime, s.beginRound)
	var err error
	s.barrier, err = newBarrier(s.beginRound)
	return s, err
}

// Close ends the goroutine of the scheduler. Flows that wait get their turns all the same, after maxRoundTime.
func (s *Scheduler) Close() { s.barrier.close() }

// Open opens a flow. The label names its connection in the log.
func (s *Scheduler) Open(k Kind, label string) *Flow {
	if s == nil {
		return nil
	}
	f := &Flow{scheduler: s, kind: k, label: label, turn: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows[f] = struct{}{}
	return f
}

// awaitTurn waits for a turn of a flow that has used something since its last one.
func (s *Scheduler) awaitTurn(f *Flow, use time.Duration) {
	s.mu.Lock()
	if s.left > 0 && s.line.empty() {
		s.line.start(f, use)
		s.left -= use
		s.mu.Unlock()
		return
	}
	askedAt := time.Now()
	s.line.join(f, use)
	ends := s.endRound()
	s.mu.Unlock()
	if ends {
		s.barrier.pass()
	}
	<-f.turn
	f.Late(time.Since(askedAt))
}

// endRound prepares the next round. It returns true if the caller must pass the barrier after it has released the lock. The caller holds
// the lock.
func (s *Scheduler) endRound() bool {
	if s.ending {
		return false
	}
	s.ending = true
	s.overtime.Reset(maxRoundTime)
	return true
}

// beginRound gives the turns of the next round.
func (s *Scheduler) beginRound() {
	s.mu.Lock()
	if !s.ending {
		s.mu.Unlock()
		return
	}
	s.ending = false
	s.overtime.Stop()
	s.line.beginRound()
	var next []*Flow
	for s.left = min(s.left, 0) + s.roundTime(); s.left > 0 && !s.line.empty(); {
		w := s.line.next()
		s.left -= w.use
		next = append(next, w.flow)
	}
	for _, f := range slices.Backward(next) { // the runtime runs first what was made ready last
		f.turn <- struct{}{}
	}
	ends := !s.line.empty() && s.endRound()
	s.mu.Unlock()
	if ends {
		s.barrier.pass()
	}
}

// roundTime returns what all flows together may use in a round.
func (s *Scheduler) roundTime() time.Duration {
	return time.Duration(runtime.GOMAXPROCS(0)) * roundTime
}

// Usage is the time that a flow has used.
type Usage struct {
	Kind  string `json:"kind"`
	Label string `json:"of"`
	Used  int64  `json:"used_ms"` // milliseconds since the last call of Busiest, with the waits of a unit of work that had begun
}

// Busiest returns the n flows that have used the most time since its last call, the busiest first, without those that used less than a
// millisecond.
func (s *Scheduler) Busiest(n int) []Usage {
	var all []Usage
	s.mu.Lock()
	for f := range s.flows {
		total := time.Duration(f.total.Load())
		used := total - f.reported
		f.reported = total
		if used >= time.Millisecond {
			all = append(all, Usage{Kind: f.kind.String(), Label: f.label, Used: used.Milliseconds()})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b Usage) int { return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Label, b.Label)) })
	return all[:min(n, len(all))]
}
