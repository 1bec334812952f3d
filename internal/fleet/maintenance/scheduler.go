package maintenance

import (
	"slices"
	"strings"
	"time"
)

// Server is a server of the endpoint list, as the leader has it.
type Server struct {
	Zone  string `json:"zone"`
	Ready bool   `json:"ready"`
	Since int64  `json:"since"` // its last start, Unix ms; 0: long ago
}

// Member is a gateway, as the leader knows it.
type Member struct {
	HasLeft          bool // it shut down gracefully, and sends nothing any more
	Reachable        bool // it reported within the lease
	Fresh            bool // its view of the fleet is not older than the lease
	Zone             string
	Voter            bool
	Leader           bool
	ProcessStartedAt int64             // start of its process
	Withdrawn        map[string]uint64 // machines that it has no attempt open to and sends nothing new, with the turn that it acknowledges
}

// Observations are what the leader observes of the fleet.
type Observations struct {
	Servers           map[string]Server // by name
	Members           map[string]Member // by name, all that the leader ever heard of
	ZonesNotInService []string          // zones that are evacuated, probed or returning
	Saturated         bool              // servers reject requests
	Rate              float64           // attempts a second, of all gateways
}

// Config bounds what may be out at once.
type Config struct {
	MaxZoneFraction    float64       // of a zone's servers; at least one, if another one stays
	MaxGatewayFraction float64       // of the gateways, one of a zone at a time; at least one, if another one stays
	MaxServerFraction  float64       // of all servers
	AntiAffinity       [][2]string   // pairs of machines that may not be out together
	SlowStart          time.Duration // from the start of a server until it is warm
	MinHealthyTime     time.Duration // for which a returned machine has to be healthy
	ReturnTimeout      time.Duration // until a returned machine without a proof of health is put on hold
	MaxOvertakes       int           // by younger requests, before they wait for the older one
	MaxLoadGrowth      float64       // factor of the highest load that servers bore, for the load of the next turn
}

// Defaults are the values that gateways use.
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

// minNoteInterval bounds how often a change of notes alone becomes a plan.
const minNoteInterval = 3 * time.Second

// Scheduler advances the schedule. Every voter observes, so that the next leader has the evidence; only the leader steps. All times of
// type time.Duration are on the owner's monotonic clock.
type Scheduler struct {
	cfg       Config
	health    map[string][]sample // by server, the oldest first
	loads     []peakLoad          // by minute, the oldest first
	changedAt time.Duration       // of the last step that changed the schedule
}

// New returns a Scheduler without evidence.
func New(cfg Config) *Scheduler { return &Scheduler{cfg: cfg, health: map[string][]sample{}} }

// evaluation is the state of one call of Step.
type evaluation struct {
	*Scheduler
	schedule *Schedule
	observed Observations
	now      time.Duration
	unix     int64  // Unix ms
	fault    string // of the fleet, that stops every turn; empty: none
}

// Step returns the schedule that should hold, given the one that does; changed tells whether it differs enough for a new plan. now is on
// the clock of Observe, unix is the leader's clock in Unix ms. current is not modified.
func (s *Scheduler) Step(now time.Duration, unix int64, current Schedule, observed Observations) (next Schedule, changed bool) {
	idle := !current.hasOpen() && !current.rosterDiffers(observed)
	next = current
	if !idle {
		next = current.clone()
	}
	e := &evaluation{Scheduler: s, schedule: &next, observed: observed, now: now, unix: unix}
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

// needsPlan tells whether a schedule differs from the current one in more than its notes, or in notes after noteInterval: they hold
// figures that change all the time, and each change would be a plan.
func (s *Scheduler) needsPlan(now time.Duration, current, next Schedule) bool {
	if !slices.Equal(current.withoutNotes().encode(), next.withoutNotes().encode()) {
		return true
	}
	return now-s.changedAt >= minNoteInterval && !slices.Equal(current.encode(), next.encode())
}

// rosterDiffers tells whether updateRoster would change the roster.
func (s *Schedule) rosterDiffers(observed Observations) bool {
	for name, m := range observed.Members {
		if _, known := s.Roster[name]; known == m.HasLeft && (known || m.Reachable) {
			return true
		}
	}
	return false
}

// updateRoster adds every gateway that may send to servers, and removes those that left gracefully; an operator removes others. The
// roster is durable in the plan, as a new leader may never have heard of a gateway that is cut off.
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
			roster[name] = e.unix
		}
	}
}

// observeFleet finds the fault that stops every turn, and records the load of the servers in use.
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

// gateway returns the member that a machine is; ok is false for a server.
func (e *evaluation) gateway(name string) (m Member, ok bool) {
	m, isMember := e.observed.Members[name]
	_, isServer := e.observed.Servers[name]
	return m, isMember && !isServer
}
