package core

import (
	"errors"
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
	done     chan error
}

func (exclusionMessage) queue() Queue { return QueueControl }

// replaceExclusionsMessage replaces the set of excluded servers. The goroutine that posts it waits on done.
type replaceExclusionsMessage struct {
	ids  []dw.ServerID
	done chan error
}

func (replaceExclusionsMessage) queue() Queue { return QueueControl }

// Exclude stops new work to a server until it is included; a repeated call changes nothing. It fails with ErrUnknownServer or
// ErrStopped, and is safe for concurrent use.
func (p *Planner) Exclude(id dw.ServerID) error {
	return p.setExclusion(exclusionMessage{id: id, excluded: true})
}

// Include ends the exclusion of a server. It fails with ErrUnknownServer or ErrStopped, and is safe for concurrent use.
func (p *Planner) Include(id dw.ServerID) error {
	return p.setExclusion(exclusionMessage{id: id})
}

// ReplaceExclusions excludes these servers, whether or not they are listed, and includes all others. It fails only with
// ErrStopped, and is safe for concurrent use.
func (p *Planner) ReplaceExclusions(ids []dw.ServerID) error {
	m := replaceExclusionsMessage{ids, make(chan error, 1)}
	return p.postAndWait(m, m.done)
}

func (p *Planner) setExclusion(m exclusionMessage) error {
	m.done = make(chan error, 1)
	return p.postAndWait(m, m.done)
}

// handle answers the operator's call once the exclusion is recorded, before it notifies the module.
func (m exclusionMessage) handle(p *Planner) {
	switch {
	case !p.isKnown(m.id):
		m.done <- ErrUnknownServer
		return
	case p.excluded[m.id] == m.excluded:
		m.done <- nil
		return
	}
	p.recordExclusion(m.id, m.excluded)
	m.done <- nil
	p.notifyChangedExclusions([]dw.ServerID{m.id})
}

// handle replaces the set before it notifies the module.
func (m replaceExclusionsMessage) handle(p *Planner) {
	want := make(map[dw.ServerID]bool, len(m.ids))
	for _, id := range m.ids {
		want[id] = true
	}
	var changed []dw.ServerID
	for id := range want {
		if !p.excluded[id] {
			changed = append(changed, id)
		}
	}
	for id := range p.excluded {
		if !want[id] {
			changed = append(changed, id)
		}
	}
	slices.Sort(changed) // the module must not depend on the order of a map
	for _, id := range changed {
		p.recordExclusion(id, want[id])
	}
	m.done <- nil
	if len(changed) > 0 {
		p.notifyChangedExclusions(changed)
	}
}

func (p *Planner) recordExclusion(id dw.ServerID, excluded bool) {
	if excluded {
		p.excluded[id] = true
	} else {
		delete(p.excluded, id)
	}
}

// notifyChangedExclusions notifies the module of those servers, whose exclusions have changed, that are listed.
func (p *Planner) notifyChangedExclusions(ids []dw.ServerID) {
	delta := dw.EndpointList{Kind: dw.ListDelta, Version: p.listVersion}
	for _, id := range ids {
		if e, listed := p.listed[id]; listed {
			delta.Servers = append(delta.Servers, p.applyOverlay(e))
		}
	}
	if len(delta.Servers) > 0 {
		p.step(delta)
	}
	p.reportTargets()
}

// isKnown reports whether a server was listed, to this process or to the one that excluded it.
func (p *Planner) isKnown(id dw.ServerID) bool { return p.excluded[id] || p.wasListed(id) }

// wasListed reports whether a server is or was listed. Once maxRememberedServers ids are kept, it returns true for a server
// whose id is not among them only while the server is listed.
func (p *Planner) wasListed(id dw.ServerID) bool {
	_, listed := p.listed[id]
	return listed || p.everListed[id]
}
