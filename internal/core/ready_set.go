package core

import (
	"sync"

	dw "dewhitch"
)

// ReadySet is the set of backends that new work may go to by the newest endpoint update. UpdateEndpoints changes it at once,
// before the planner handles the update in its turn, and whoever starts an attempt checks it last: no attempt starts at a
// server that is known to drain, however long the planner's inbox is. The set is never older than the planner's list. It is
// safe for any goroutine.
type ReadySet struct {
	mu    sync.RWMutex
	addrs map[dw.ServerID]string // of the servers that are ready
}

// ReadySet is the set of backends that new work may go to.
func (p *Planner) ReadySet() *ReadySet { return &p.readySet }

// apply brings an update into the set. A failed list changes nothing.
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

// Allows reports whether new work may go to a backend now: it is ready, at this address.
func (s *ReadySet) Allows(b Backend) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	addr, ready := s.addrs[b.ID]
	return ready && addr == b.Addr
}
