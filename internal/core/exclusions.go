package core

import (
	"errors"
	"maps"
	"slices"

	dw "dewhitch"
)

// ErrUnknownServer says that a server's id was never listed.
var ErrUnknownServer = errors.New("no server of this id was ever listed")

// exclusionMessage excludes a server from new work, or includes it again. It comes from the goroutine of an operator's call,
// which waits on done.
type exclusionMessage struct {
	id       dw.ServerID
	excluded bool
	restored bool // it was excluded by the process before this one: the id may not be listed yet
	done     chan error
}

func (exclusionMessage) queue() Queue { return QueueControl }

// Exclude stops new work to a server until Include; a repeated call changes nothing. It fails with ErrUnknownServer or
// ErrStopped, and is safe for any goroutine.
func (p *Planner) Exclude(id dw.ServerID) error {
	return p.setExclusion(exclusionMessage{id: id, excluded: true})
}

// Include ends an exclusion. It fails as Exclude does, and is safe for any goroutine.
func (p *Planner) Include(id dw.ServerID) error {
	return p.setExclusion(exclusionMessage{id: id})
}

// RestoreExclusions takes over the exclusions of the process before this one, whether or not their servers are listed yet.
// It fails with ErrStopped only, and is safe for any goroutine.
func (p *Planner) RestoreExclusions(ids []dw.ServerID) error {
	for _, id := range ids {
		if err := p.setExclusion(exclusionMessage{id: id, excluded: true, restored: true}); err != nil {
			return err
		}
	}
	return nil
}

// OnExcluded has f called with the excluded ids, sorted, after each change, on the planner's goroutine: f may not block.
// It is set before Run.
func (p *Planner) OnExcluded(f func([]dw.ServerID)) { p.onExcluded = f }

func (p *Planner) setExclusion(m exclusionMessage) error {
	m.done = make(chan error, 1)
	return p.call(m, m.done)
}

// handle answers the operator's call as soon as the exclusion is recorded, before the module is notified.
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

// wasListed tells whether a server is or was listed; of more than maxRememberedServers, those that are listed now.
func (p *Planner) wasListed(id dw.ServerID) bool {
	_, listed := p.listed[id]
	return listed || p.everListed[id]
}
