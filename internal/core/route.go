package core

import (
	"maps"
	"slices"
	"time"

	dw "dewhitch"
)

// EndpointUpdate is news of discovery's list, with the addresses of the backends named in it.
type EndpointUpdate struct {
	List     dw.EndpointList
	Addrs    []string  // in the order of List.Servers
	Complete bool      // it stands for a list that names every server: what it leaves out is as it was
	ReadAt   time.Time // when its first byte was read; zero: it is no message of discovery's
}

func (l EndpointUpdate) queue() Queue { return QueueEndpoints }

// UpdateEndpoints passes on what discovery told, in the order told. What it forbids is in force when it returns.
func (p *Planner) UpdateEndpoints(l EndpointUpdate) error {
	p.serving.apply(l)
	return p.post(l)
}

// Serving is the set of backends that new work may go to by the newest list.
func (p *Planner) Serving() *Serving { return &p.serving }

func (l EndpointUpdate) handle(p *Planner) {
	named := make(map[dw.ServerID]bool, len(l.List.Servers))
	for i, s := range l.List.Servers {
		named[s.ID] = true
		old, known := p.routes[s.ID]
		p.routes[s.ID] = Backend{ID: s.ID, Addr: l.Addrs[i]}
		if known && (old.Addr != l.Addrs[i] || s.State == dw.Removed) {
			p.backends.Forget(old)
		}
		if s.State == dw.Removed {
			delete(p.routes, s.ID)
		}
	}
	if l.List.Kind != dw.ListDelta {
		for id, b := range p.routes {
			if !named[id] {
				delete(p.routes, id)
				p.backends.Forget(b)
			}
		}
	}
	p.tell(p.remember(l.List, l.Complete))
	if !l.ReadAt.IsZero() {
		p.monitor.ListApplied(l.List.Version, time.Since(l.ReadAt))
	}
}

// remember keeps the entries of the list as discovery gave them, and gives the list back as the module is told it.
func (p *Planner) remember(l dw.EndpointList, whole bool) dw.EndpointList {
	if l.Kind == dw.ListFailed {
		return l
	}
	l = p.resolved(l, whole)
	if l.Kind != dw.ListDelta {
		clear(p.listed)
		p.told.clear()
	}
	p.version = l.Version
	told := dw.EndpointList{Kind: l.Kind, Version: l.Version, Servers: make([]dw.Endpoint, len(l.Servers))}
	for _, e := range l.Servers {
		if e.State == dw.Removed {
			delete(p.listed, e.ID)
			p.told.drop(e.ID)
			delete(p.starts.servers, e.ID)
		} else {
			p.listed[e.ID] = e
		}
		if len(p.known) < mostKnown {
			p.known[e.ID] = true
		}
	}
	if l.Kind != dw.ListDelta {
		p.starts.keep(p.listed)
	}
	p.fewWarm = p.cold()
	for i, e := range l.Servers {
		told.Servers[i] = e
		if e.State != dw.Removed {
			told.Servers[i] = p.overlay(e)
		}
	}
	if p.watcher != nil {
		p.watcher.EndpointsChanged(slices.Collect(maps.Values(p.listed)))
	}
	p.counted()
	return told
}

// resolved is the list with the servers' starts on the planner's clock.
func (p *Planner) resolved(l dw.EndpointList, whole bool) dw.EndpointList {
	read := time.Now()
	now, wall := p.Instant(read), dw.Instant(read.UnixNano())
	if whole {
		defer func() { p.starts.seen = now }()
	}
	l.Servers = slices.Clone(l.Servers)
	for i := range l.Servers {
		e := &l.Servers[i]
		e.StartedAt = p.starts.resolve(e.ID, e.StartedAt, now, wall)
	}
	return l
}

// route finds the backend that the module named.
func (p *Planner) route(id dw.ServerID) (Backend, bool) {
	b, ok := p.routes[id]
	return b, ok
}
