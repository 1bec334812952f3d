package maintenance

import (
	"slices"
	"strings"
	"time"
)

// Server is a server in the leader's endpoint list.
type Server struct {
	Zone  string `json:"zone"`
	Ready bool   `json:"ready"`
	Since int64  `json:"since"` // time of its last start in Unix ms; if 0, the server counts as warm
}

// Member is the leader's view of a gateway.
type Member struct {
	HasLeft          bool // true if the gateway announced to gossip that it left the fleet, so that it sends nothing to servers
	Reachable        bool // true if the gateway's last status reached the leader less than one lease ago
	Fresh            bool // true if, by its last status, the gateway's view of the plan was fresh (fleet.Node.Fresh)
	Zone             string
	Voter            bool
	Leader           bool
	ProcessStartedAt int64             // start time of its process in Unix ns
	Withdrawn        map[string]uint64 // machines to which it sends nothing and has nothing in flight, with the acknowledged announcement ID
}

// Observations is the leader's view of the fleet.
type Observations struct {
	Servers           map[string]Server // listed servers by name
	Members           map[string]Member // all members that the leader knows, by name, itself included
	ZonesNotInService []string          // zones that are evacuated, probed or returning
	Saturated         bool              // true if servers reject too many requests
	Rate              float64           // attempts a second of all gateways together
}

// Config holds the limits on the machines that are out at the same time, and the timeouts of their return.
type Config struct {
	MaxZoneFraction    float64       // highest fraction of a zone's servers that may be out; one may always be out if another stays
	MaxGatewayFraction float64       // highest fraction of the gateways that may be out, at most one per zone; one may always be out if another stays
	MaxServerFraction  float64       // highest fraction of all servers that may be out
	AntiAffinity       [][2]string   // pairs of machines that may not be out together
	SlowStart          time.Duration // time from the start of a server until it is warm
	MinHealthyTime     time.Duration // shortest time from a machine's return to Done
	ReturnTimeout      time.Duration // time after which a returned machine without proof of health is put on hold
	MaxOvertakes       int           // number of times that younger requests overtake an older one before they wait for it
	MaxLoadGrowth      float64       // highest load of the remaining servers, as a multiple of the highest load that servers have handled
}

// Defaults is the configuration that gateways use.
var Defaults = Config{
	MaxZoneFraction:    0.34,
	MaxGatewayFraction: 0.2,
	MaxServerFraction:  0.2,
	SlowStart:          13 * time.Second,
	MinHealthyTime:     3 * time.Second,
	ReturnTimeout:      90 * time.Second,
	MaxOvertakes:       8,
	MaxLoadGrowth:      1.5,
}

// minNoteInterval is the shortest time from a change of the schedule to a plan that changes only notes.
const minNoteInterval = 3 * time.Second

// Scheduler advances the schedule. Every voter calls Observe, so that a new leader already has the evidence. Only the leader calls Step.
// Times of type time.Duration are on the owner's monotonic clock.
type Scheduler struct {
	cfg       Config
	samples   map[string][]sample // samples of the last healthSpan by server, oldest first
	peakLoads []peakLoad          // peak loads of the last loadSpan, oldest first
	changedAt time.Duration       // time of the last step that changed the schedule
}

// New returns a Scheduler with the limits and timeouts of cfg and no observations yet.
func New(cfg Config) *Scheduler { return &Scheduler{cfg: cfg, samples: map[string][]sample{}} }

// evaluation is the state of one call to Step.
type evaluation struct {
	*Scheduler
	schedule *Schedule
	observed Observations
	now      time.Duration
	unixMS   int64  // time of the leader's clock
	fault    string // fault of the fleet that forbids announcements and releases; empty: none
}

// Step returns the schedule that follows the current one, which it does not modify. changed is true if the two differ enough for a new
// plan; otherwise next is current. now is on the clock of Observe, unixMS is the time of the leader's clock.
func (s *Scheduler) Step(now time.Duration, unixMS int64, current Schedule, observed Observations) (next Schedule, changed bool) {
	idle := !current.hasOpen() && !current.rosterDiffers(observed)
	next = current
	if !idle {
		next = current.clone()
	}
	e := &evaluation{Scheduler: s, schedule: &next, observed: observed, now: now, unixMS: unixMS}
	if idle {
		e.observeFleet()
		return current, false
	}
	e.updateRoster()
	e.observeFleet()
	for i := range next.Requests {
		if r := &next.Requests[i]; !r.ended() {
			e.advance(r)
		}
	}
	e.announceNext()
	next.dropEnded()
	if !s.needsPlan(now, current, next) {
		return current, false
	}
	s.changedAt = now
	return next, true
}

// needsPlan returns true if a schedule differs from the current one in more than notes, or in notes minNoteInterval after the last change.
// Notes contain figures that change all the time, and each change would become a plan.
func (s *Scheduler) needsPlan(now time.Duration, current, next Schedule) bool {
	if !slices.Equal(current.withoutNotes().encode(), next.withoutNotes().encode()) {
		return true
	}
	return now-s.changedAt >= minNoteInterval && !slices.Equal(current.encode(), next.encode())
}

// rosterDiffers returns true if updateRoster would change the roster.
func (s *Schedule) rosterDiffers(observed Observations) bool {
	for name, m := range observed.Members {
		if _, known := s.Roster[name]; known == m.HasLeft && (known || m.Reachable) {
			return true
		}
	}
	return false
}

// updateRoster adds reachable gateways to the roster and removes those that have left gracefully. An operator removes others. The roster
// is durable in the plan, because a new leader may never have received anything from a gateway that is partitioned from it and still
// sends to servers.
func (e *evaluation) updateRoster() {
	roster := e.schedule.Roster
	for name, m := range e.observed.Members {
		_, known := roster[name]
		switch {
		case m.HasLeft && known:
			delete(roster, name)
		case !m.HasLeft && !known && m.Reachable:
			if roster == nil {
				roster = map[string]int64{}
				e.schedule.Roster = roster
			}
			roster[name] = e.unixMS
		}
	}
}

// observeFleet sets the fault that forbids announcements and releases, if there is one, and records the mean load of the servers
// in use.
func (e *evaluation) observeFleet() {
	inUse := 0
	withdrawn := e.schedule.Withdrawn()
	for name, server := range e.observed.Servers {
		if _, out := withdrawn[name]; server.Ready && !out && !slices.Contains(e.observed.ZonesNotInService, server.Zone) {
			inUse++
		}
	}
	faultless := !e.observed.Saturated && len(e.observed.ZonesNotInService) == 0
	e.recordLoad(e.now, e.observed.Rate/float64(max(1, inUse)), faultless)
	switch {
	case len(e.observed.ZonesNotInService) > 0:
		e.fault = "zone " + strings.Join(e.observed.ZonesNotInService, ", ") + " is out or returning"
	case e.observed.Saturated:
		e.fault = "servers turn reqs away"
	}
}

// gateway returns the member whose name a machine has. ok is false if there is none, or if a server has that name too.
func (e *evaluation) gateway(name string) (m Member, ok bool) {
	m, isMember := e.observed.Members[name]
	_, isServer := e.observed.Servers[name]
	return m, isMember && !isServer
}
