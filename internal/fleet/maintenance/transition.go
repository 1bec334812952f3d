package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// advance moves the machines of a request through their states, and ends the request when all of them have ended.
//
//	Waiting --announceNext--> Announced --release--> Released --expire, completeWork--> Returned --proveHealth--> Done
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

// release releases an announced machine for maintenance once no acknowledgement is missing. On a fault of the fleet it withdraws the
// announcement instead.
func (e *evaluation) release(r *Request, m *Machine) {
	if e.fault != "" {
		m.enter(Waiting, e.unixMS, "taken back: "+e.fault)
		return
	}
	if missing := e.missingAcknowledgements(m); len(missing) > 0 {
		m.Note = "waits for " + strings.Join(missing, ", ")
		return
	}
	m.enter(Released, e.unixMS, "")
	m.Until = e.unixMS + r.ForMS
}

// missingAcknowledgements returns the gateways that have not acknowledged the machine's announcement. A server needs the acknowledgement
// of every gateway in the roster. A gateway needs only its own, and none if it has left the fleet. An acknowledgement of another announcement
// does not count.
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

// expire ends the maintenance of a released machine when its time is up.
func (e *evaluation) expire(r *Request, m *Machine) {
	if e.unixMS >= m.Until {
		e.schedule.endWork(r, m, e.unixMS, "its time is up, and nobody said that it is done")
	}
}

// age returns how long a machine has been in its present state, by the leader's clock.
func (e *evaluation) age(m *Machine) time.Duration {
	return time.Duration(e.unixMS-m.Since) * time.Millisecond
}

// announceNext announces one machine, if any may be announced. Only one machine is Announced at a time, so that the effect of taking it
// out of service shows before the next one is announced. Requests are served oldest first. A younger request may overtake an older one that can't
// announce a machine, at most MaxOvertakes times.
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
				return // younger requests wait, so that the limits admit this request's machines sooner
			}
		}
	}
}

// waitingRequests returns the requests in state Waiting, oldest first. announced is true, and the list nil, if a machine is announced.
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

// announce moves a machine to Announced under a new announcement ID.
func (e *evaluation) announce(m *Machine) {
	e.schedule.LastAnnouncementID++
	m.enter(Announced, e.unixMS, "")
	m.AnnouncementID = e.schedule.LastAnnouncementID
	m.ProcessStartedAt = e.observed.Members[m.Name].ProcessStartedAt
}
