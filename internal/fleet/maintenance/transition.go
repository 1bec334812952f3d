package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// advance moves the machines of a request through their states, and ends the request with the last of them.
//
//	Waiting --announceNext--> Announced --release--> Free --expire, completeWork--> Returned --proveHealth--> Done
//	Announced --release--> Waiting, on a fault of the fleet
//	Returned --proveHealth--> OnHold --resumeRequest--> Returned
func (e *evaluation) advance(r *Request) {
	for i := range r.Machines {
		m := &r.Machines[i]
		switch m.State {
		case Announced:
			e.release(r, m)
		case Released:
			e.expire(r, m)
		case Returned:
			e.proveHealth(m)
		}
	}
	onHold := slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.State == OnHold })
	if onHold && r.State != OnHold {
		r.State = OnHold
		r.Note = "a machine of it is held"
	}
	r.endWithMachines()
}

// release frees an announced machine once all gateways have acknowledged its turn. A fault of the fleet withdraws the announcement.
func (e *evaluation) release(r *Request, m *Machine) {
	if e.fault != "" {
		m.enter(Waiting, e.unix, "taken back: "+e.fault)
		return
	}
	if missing := e.missingAcknowledgements(m); len(missing) > 0 {
		m.Note = "waits for " + strings.Join(missing, ", ")
		return
	}
	m.enter(Released, e.unix, "")
	m.Until = e.unix + r.ForMS
}

// missingAcknowledgements names the gateways that have not acknowledged the machine's turn: of a server all in the roster are asked,
// of a gateway the gateway itself. An acknowledgement of another turn does not count.
func (e *evaluation) missingAcknowledgements(m *Machine) (names []string) {
	if g, ok := e.gateway(m.Name); ok {
		if id, acknowledged := g.Withdrawn[m.Name]; (!acknowledged || id != m.AnnouncementID) && !g.HasLeft {
			return []string{m.Name + ", to have no clients"}
		}
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(e.schedule.Roster)) {
		if id, acknowledged := e.observed.Members[name].Withdrawn[m.Name]; !acknowledged || id != m.AnnouncementID {
			names = append(names, name)
		}
	}
	return names
}

// expire returns a machine whose time to be free is over.
func (e *evaluation) expire(r *Request, m *Machine) {
	if e.unix >= m.Until {
		e.schedule.endWork(r, m, e.unix, "its time is up, and nobody said that it is done")
	}
}

// age is the time in the present state by the leader's clock.
func (e *evaluation) age(m *Machine) time.Duration {
	return time.Duration(e.unix-m.Since) * time.Millisecond
}

// announceNext announces the turn of one machine, if any may go out: one at a time is Announced, so that the fleet shows the effect of
// a turn before the next one. Requests are served in the order of their age. A younger one may overtake an older one that can't begin,
// MaxOvertakes times.
func (e *evaluation) announceNext() {
	waiting, announced := e.waitingRequests()
	if announced {
		return
	}
	var overtaken []*Request
	for _, r := range waiting {
		r.Note = e.requestBlockReason(r)
		if r.Note != "" {
			continue
		}
		if m := e.nextMachine(r); m != nil {
			for _, older := range overtaken {
				older.Overtaken++
			}
			e.announce(m)
			return
		}
		if r.hasWaiting() {
			overtaken = append(overtaken, r)
			if r.Overtaken >= e.cfg.MaxOvertakes {
				return // its machines get in sooner if no other request takes their place
			}
		}
	}
}

// waitingRequests returns the requests that may have a turn, the oldest first, and whether any machine is announced.
func (e *evaluation) waitingRequests() (waiting []*Request, announced bool) {
	for i := range e.schedule.Requests {
		r := &e.schedule.Requests[i]
		if r.ended() {
			continue
		}
		if slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.State == Announced }) {
			return nil, true
		}
		if r.State == Waiting {
			waiting = append(waiting, r)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Request) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	return waiting, false
}

// announce begins the turn of a machine.
func (e *evaluation) announce(m *Machine) {
	e.schedule.LastAnnouncementID++
	m.enter(Announced, e.unix, "")
	m.AnnouncementID = e.schedule.LastAnnouncementID
	m.ProcessStartedAt = e.observed.Members[m.Name].ProcessStartedAt
}
