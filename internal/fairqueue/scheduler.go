// Package fairqueue counts the time that connections use of the process, by flows: one for each goroutine that works for a connection.
package fairqueue

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Monitor observes how late the process runs. Its methods are called concurrently from any goroutine and must not block.
type Monitor interface {
	// Late reports how long something waited to run; what is the name of a Kind.
	Late(what string, d time.Duration)
}

// Scheduler knows all flows of a process. It is safe for concurrent use. A nil Scheduler has nil flows.
type Scheduler struct {
	monitor Monitor // may be nil

	mu    sync.Mutex
	flows map[*Flow]struct{} // open flows
}

// New returns a scheduler without flows. The monitor may be nil.
func New(m Monitor) *Scheduler { return &Scheduler{monitor: m, flows: map[*Flow]struct{}{}} }

// Open opens a flow. The label names its connection in the log.
func (s *Scheduler) Open(k Kind, label string) *Flow {
	if s == nil {
		return nil
	}
	f := &Flow{scheduler: s, kind: k, label: label}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows[f] = struct{}{}
	return f
}

// Usage is the time that a flow has used.
type Usage struct {
	Kind  string `json:"kind"`
	Label string `json:"of"`
	Used  int64  `json:"used_ms"` // milliseconds since the last call of Busiest
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
