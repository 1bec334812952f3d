package core

import (
	"errors"
	"maps"
	"slices"

	dw "dewhitch"
)

// ErrUnknownServer reports that no server with the given id was ever listed.
var ErrUnknownServer = errors.New("no server of this id was ever listed")

// exclusionMessage excludes a server from new work or includes it again. The goroutine that serves an operator's call posts
// it and waits on done.
type exclusionMessage struct {
	id       dw.ServerID
	excluded bool
	restored bool // true if the previous process excluded the server, which may not be listed yet
	done     chan error
}

func (exclusionMessage) queue() Queue { return QueueControl }

// Exclude stops new work to a server until Include is called; a repeated call changes nothing. It fails with
// ErrUnknownServer or ErrStopped, and is safe for concurrent use.
func (p *Planner) Exclude(id dw.ServerID) error {
	return p.setExclusion(exclusionMessage{id: id, excluded: true})
}

// Include ends the exclusion of a server. It fails with ErrUnknownServer or ErrStopped, and is safe for concurrent use.
func (p *Planner) Include(id dw.ServerID) error {
	return p.setExclusion(exclusionMessage{id: id})
}

// RestoreExclusions takes over the exclusions of the previous process, whether or not the servers are listed yet. It fails
// only with ErrStopped, and is safe for concurrent use.
func (p *Planner) RestoreExclusions(ids []dw.ServerID) error {
	for _, id := range ids {
		if err := p.setExclusion(exclusionMessage{id: id, excluded: true, restored: true}); err != nil {
			return err
		}
	}
	return nil
}

// OnExcluded sets a function that is called with all excluded ids, sorted, after each change. It is called on the planner's
// goroutine and must not block. OnExcluded must be called before Run.
func (p *Planner) OnExcluded(f func([]dw.ServerID)) { p.onExcluded = f }

func (p *Planner) setExclusion(m exclusionMessage) error {
	m.done = make(chan error, 1)
	return p.postAndWait(m, m.done)
}

// handle answers the operator's call once the exclusion is recorded, before it notifies the module.
func (m exclusionMessage) handle(p *Planner) {
	switch {
	case !m.restored && !p.wasListed(m.id):
		m.done <- ErrUnknownServer
		return
	case p.excluded[m.id] == m.excluded:
		m.done <- nil
		return
	case m.excluded:
		p.excluded[m.id] = true
	default:
		delete(p.excluded, m.id)
	}
	m.done <- nil
	if e, listed := p.listed[m.id]; listed {
		p.step(dw.EndpointList{Kind: dw.ListDelta, Version: p.listVersion, Servers: []dw.Endpoint{p.applyOverlay(e)}})
	}
	p.reportTargets()
	if p.onExcluded != nil {
		p.onExcluded(slices.Sorted(maps.Keys(p.excluded)))
	}
}

// wasListed reports whether a server is or was listed. Once maxRememberedServers ids are kept, it returns true for a server
// whose id is not among them only while the server is listed.
func (p *Planner) wasListed(id dw.ServerID) bool {
	_, listed := p.listed[id]
	return listed || p.everListed[id]
}
