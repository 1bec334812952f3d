package core

import (
	"sync"

	dw "dewhitch"
)

// Serving is the set of backends that the newest list lets new work go to. Whoever reads the list changes it at once, and
// whoever begins an attempt asks it last: so news that forbids is in force whatever waits for the planner, which hears of it
// in its turn and decides by it from then on. The set is never behind the planner. It is safe for any goroutine.
type Serving struct {
	mu    sync.RWMutex
	addrs map[dw.ServerID]string // of those that are ready
}

// apply takes a message of discovery's into the set.
func (s *Serving) apply(l EndpointUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.List.Kind == dw.ListFailed {
		return
	}
	if l.List.Kind != dw.ListDelta || s.addrs == nil {
		s.addrs = make(map[dw.ServerID]string, len(l.List.Servers))
	}
	for i, e := range l.List.Servers {
		if e.State == dw.Ready {
			s.addrs[e.ID] = l.Addrs[i]
		} else {
			delete(s.addrs, e.ID)
		}
	}
}

// Allows reports whether new work may go to a backend now.
func (s *Serving) Allows(b Backend) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	addr, ready := s.addrs[b.ID]
	return ready && addr == b.Addr
}
