package core

import (
	"maps"

	dw "dewhitch"
)

// Use is how the servers of a zone are to be used, beside what the list says of them.
type Use struct {
	Avoid bool       // nothing new is sent there
	Since dw.Instant // not 0: as if they had begun then, so that the module feeds them as it does cold ones
}

// zoneUse has the planner use zones as told, from now on.
type zoneUse struct {
	uses map[int]Use
	done chan error
}

// Zones has zones used as told; one that is not named is used as the list has it.
func (p *Planner) Zones(uses map[int]Use) error {
	m := zoneUse{uses: uses, done: make(chan error, 1)}
	return p.call(m, m.done)
}

func (m zoneUse) handle(p *Planner) {
	defer func() { m.done <- nil }()
	if maps.Equal(p.uses, m.uses) {
		return
	}
	before := p.uses
	p.uses = m.uses
	told := dw.ServerList{Kind: dw.ListDelta, Version: p.version}
	for _, e := range p.listed {
		if before[e.Zone] != m.uses[e.Zone] {
			told.Servers = append(told.Servers, p.overlay(e))
		}
	}
	if len(told.Servers) > 0 {
		p.tell(told)
	}
	p.counted()
}

// FetchRef names a fetch that is out.
type FetchRef struct {
	Req     dw.RequestID
	Attempt int
}

// Watcher sees fetches begin and end, on the planner's goroutine: it may not block.
type Watcher interface {
	Began(f FetchRef, server dw.ServerID, zone int)
	Ended(f FetchRef, e FetchEnd)
}

// Watch has w see fetches; before the planner runs.
func (p *Planner) Watch(w Watcher) { p.watcher = w }
