package core

import (
	"errors"
	"maps"
	"slices"
	"time"

	dw "dewhitch"
)

// mostKnown bounds the ids of servers that the planner remembers having been listed, which an exclusion needs.
const mostKnown = 1 << 14

// Figures are what the planner counts for operators.
type Figures interface {
	Targets(listed, disabled int)
}

// exclusion is an operator's call to take a server out, or to put it back.
type exclusion struct {
	id    dw.ServerID
	out   bool
	known bool // the id need not have been listed: it was excluded by the process before this one
	done  chan error
}

func (exclusion) queue() Queue { return QueueControl }

// ErrUnknownServer says that an id was never listed.
var ErrUnknownServer = errors.New("no server of this id was ever listed")

// Exclude has nothing more sent to a server, until Include; repeating it changes nothing.
func (p *Planner) Exclude(id dw.ServerID) error { return p.exclude(exclusion{id: id, out: true}) }

// Include ends an exclusion.
func (p *Planner) Include(id dw.ServerID) error { return p.exclude(exclusion{id: id}) }

// RestoreExclusions takes over the exclusions of the process before this one, whether or not their servers are listed yet.
func (p *Planner) RestoreExclusions(ids []dw.ServerID) error {
	for _, id := range ids {
		if err := p.exclude(exclusion{id: id, out: true, known: true}); err != nil {
			return err
		}
	}
	return nil
}

// OnExcluded has f told the excluded ids after each change, on the planner's goroutine: f may not block.
func (p *Planner) OnExcluded(f func([]dw.ServerID)) { p.excludedTo = f }

func (p *Planner) exclude(e exclusion) error {
	e.done = make(chan error, 1)
	return p.call(e, e.done)
}

func (e exclusion) handle(p *Planner) {
	switch {
	case !e.known && !p.known[e.id] && !p.isListed(e.id):
		e.done <- ErrUnknownServer
		return
	case p.excluded[e.id] == e.out:
		e.done <- nil
		return
	case e.out:
		p.excluded[e.id] = true
	default:
		delete(p.excluded, e.id)
	}
	e.done <- nil
	if entry, listed := p.listed[e.id]; listed {
		p.tell(dw.EndpointList{Kind: dw.ListDelta, Version: p.version, Servers: []dw.Endpoint{p.overlay(entry)}})
	}
	p.counted()
	if p.excludedTo != nil {
		p.excludedTo(slices.Sorted(maps.Keys(p.excluded)))
	}
}

// isListed tells whether a server is listed now: of very many that ever were, not all are remembered.
func (p *Planner) isListed(id dw.ServerID) bool {
	_, listed := p.listed[id]
	return listed
}

// overlay is an entry as the module is told it, which is kept: an excluded server drains, with its own start time, so that
// its cold return is judged by the module's rules once it is put back.
func (p *Planner) overlay(e dw.Endpoint) dw.Endpoint {
	e = p.overlaid(e)
	p.told.set(e)
	if b, known := p.route(e.ID); known && e.State != dw.Ready {
		// Danger: what waits for a connection would be written whenever that comes up, long after the server may be sent
		// anything new.
		p.backends.Withdraw(b)
	}
	return e
}

func (p *Planner) overlaid(e dw.Endpoint) dw.Endpoint {
	use := p.fleet.Zones[e.Zone]
	if (p.excluded[e.ID] || p.fleet.InMaintenance[e.ID] || use.Avoid) && e.State == dw.Ready {
		e.State = dw.Draining
	}
	e.StartedAt, e.HealthCheck = max(e.StartedAt, use.StartedAt), use.HealthCheck
	if e.State != dw.Ready || !p.fleet.Active || !p.begins(e.StartedAt) {
		return e
	}
	// Danger: a fleet that has just begun, or whose leader has, gives nothing for a while. Where most servers are cold that
	// would be an outage, and the module's guess is better than none.
	if e.SlowStartRate = p.fleet.SlowStartRates[e.ID]; e.SlowStartRate <= 0 && !p.fewWarm {
		e.State = dw.Draining
	}
	return e
}

// countEvery is how often the figures are told of servers that the module avoids by itself: they may lag by 0.5 s.
const countEvery = dw.Span(200e6)

// counted tells the figures the listed servers, and those of them that are not sent new work: by hand, by the list or by
// the module's choice.
func (p *Planner) counted() {
	if p.figures == nil {
		return
	}
	now := p.Instant(time.Now())
	p.counts = now + dw.Instant(countEvery)
	p.figures.Targets(len(p.listed), p.gate.EjectedServers(now)+p.told.disabled)
}

// toldEntries are the listed servers as the module was told of them.
type toldEntries struct {
	entries  map[dw.ServerID]dw.Endpoint
	disabled int // of them, those that get nothing new
}

func (t *toldEntries) set(e dw.Endpoint) {
	t.drop(e.ID)
	t.entries[e.ID] = e
	if e.State != dw.Ready {
		t.disabled++
	}
}

func (t *toldEntries) drop(id dw.ServerID) {
	if old, told := t.entries[id]; told && old.State != dw.Ready {
		t.disabled--
	}
	delete(t.entries, id)
}

func (t *toldEntries) clear() {
	clear(t.entries)
	t.disabled = 0
}
