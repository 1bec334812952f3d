package core

import (
	"sync"

	dw "dewhitch"
)

// ReadySet is the set of backends that may get new work according to the newest endpoint update. UpdateEndpoints changes it
// before the planner handles the update, and the pools check it just before they write an attempt. So no attempt starts at a
// server that is known to drain, regardless of the length of the planner's inbox. The set is never older than the planner's
// list. It is safe for concurrent use.
type ReadySet struct {
	mu    sync.RWMutex
	addrs map[dw.ServerID]string // addresses of the servers that are ready
}

// ReadySet returns the set of backends that may get new work.
func (p *Planner) ReadySet() *ReadySet { return &p.readySet }

// apply applies an endpoint update to the set. A failed list changes nothing.
func (s *ReadySet) apply(u EndpointUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.List.Kind == dw.ListFailed {
		return
	}
	if u.List.Kind != dw.ListDelta || s.addrs == nil {
		s.addrs = make(map[dw.ServerID]string, len(u.List.Servers))
	}
	for i, e := range u.List.Servers {
		if e.State == dw.Ready {
			s.addrs[e.ID] = u.Addrs[i]
		} else {
			delete(s.addrs, e.ID)
		}
	}
}

// Allows reports whether a backend may get new work now: its server is ready and has this address.
func (s *ReadySet) Allows(b Backend) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	addr, ready := s.addrs[b.ID]
	return ready && addr == b.Addr
}
