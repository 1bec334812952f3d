// Package slowstart allocates, over all gateways of a fleet, the rate at which servers in slow start are sent requests: servers that have
// just started, or whose zone returns. Each has one budget. The leader divides it by the demand of the gateways and grants each part
// for a lease.
//
// The package is pure: it has no clock, no goroutine and no I/O, and nothing in it may be called concurrently. The owner (package
// agent) calls Allocator.Observe for each load report of a gateway and SetLeaderTerm whenever it learns who leads. On the leader it
// calls Allocate several times a second, and Grant for each report that it answers.
//
// docs/design/return.md has the rules and the alternatives that were rejected.
package slowstart

import (
	"math"
	"time"

	"dewhitch/internal/fleet"
)

// Server is a server of the endpoint list.
type Server struct {
	ID    uint32
	Zone  string
	Since int64 // its last start, or since when its zone returns, Unix ms; 0: long ago
	Use   Use
}

// Use is which gateways may send to a server.
type Use int

// The uses.
const (
	UseFully           Use = iota // all gateways that have a path to it
	UseForHealthChecks            // only the probers, within probeRate
	UseNever                      // none: its zone is evacuated
)

// Config has the settings of slow start.
type Config struct {
	StartCapacity float64       // fraction of its capacity that a server has when it starts
	Span          time.Duration // until it has all of it
	Lease         time.Duration // of a grant
}

// Bounds of the allocation.
const (
	demandTimeConstant = 2.0              // seconds, time constant of a gateway's demand
	latencySmoothing   = 0.02             // weight of a report in the mean latency
	grantPauseLeases   = 1.5              // leases for which a new leader grants nothing, as grants of the last one may still be spent
	memberExpiry       = 30 * time.Second // without a report, until a gateway is forgotten
	minDemand          = 1e-9             // attempts a second, so that a share is defined without demand
)

// member is a gateway, as the leader knows it.
type member struct {
	lastReportAt time.Duration // last report
	demand       float64       // attempts a second that it has to send, smoothed
	grants       []grant       // that it may still act on, the oldest first
}

// grant is what was granted to a gateway in answer to one report.
type grant struct {
	reportSeq uint64 // of the report
	expiresAt time.Duration
	rates     map[uint32]float64 // attempts a second, by server
}

// reserved is the highest rate that a gateway may still send to a server by its grants.
func (m *member) reserved(now time.Duration, id uint32) (rate float64) {
	for _, g := range m.grants {
		if g.expiresAt > now {
			rate = max(rate, g.rates[id])
		}
	}
	return rate
}

// allocation is the state of a server's budget until the next call of Allocate, in attempts a second.
type allocation struct {
	budget   float64 // of all gateways together
	demand   float64 // of the gateways that may send to the server
	reserved float64 // upper bound of what may still be sent by grants
}

// Allocator divides the budgets. Every voter observes, so that the next leader knows the demand; only the leader allocates and grants.
// All times of type time.Duration are on the owner's monotonic clock.
type Allocator struct {
	cfg               Config
	term              uint64        // in which this process leads; 0: it does not
	termStart         time.Duration // start of the term
	members           map[string]*member
	health            map[uint32]*health // of servers with a budget
	allocations       map[uint32]*allocation
	maySend           func(gateway string, server uint32) bool // of the last Allocate
	meanLatencyMicros float64                                  // microseconds of a served attempt, smoothed
}

// New returns an Allocator that knows no gateway and does not lead.
func New(cfg Config) *Allocator {
	return &Allocator{
		cfg:         cfg,
		members:     map[string]*member{},
		health:      map[uint32]*health{},
		allocations: map[uint32]*allocation{},
	}
}

func (a *Allocator) getOrAddMember(name string) *member {
	m := a.members[name]
	if m == nil {
		m = &member{}
		a.members[name] = m
	}
	return m
}

// Observe adds what a gateway saw since its last report. appliedSeq is the report whose answer it acts on: earlier grants are void.
func (a *Allocator) Observe(now time.Duration, gateway string, appliedSeq uint64, delta fleet.Report) {
	m := a.getOrAddMember(gateway)
	attempts := uint64(0)
	for _, counts := range delta.Zones {
		attempts += counts.Attempts
		if counts.Served > 0 {
			a.observeLatency(float64(counts.LatencyMicros) / float64(counts.Served))
		}
	}
	m.observeDemand(now, (float64(attempts)+float64(delta.Requests))/2)
	for len(m.grants) > 0 && (m.grants[0].expiresAt <= now || m.grants[0].reportSeq < appliedSeq) {
		m.grants = m.grants[1:]
	}
	for id, counts := range delta.Servers {
		h := a.health[id]
		if h == nil {
			continue // the server has no budget
		}
		h.served += counts.Served
		h.failed += counts.ConnectFailed + counts.TimedOut + counts.Failed + counts.Rejected
		h.latencyMicros += counts.LatencyMicros
	}
}

// observeLatency adds a mean latency in microseconds to the exponentially weighted moving average.
func (a *Allocator) observeLatency(micros float64) {
	if a.meanLatencyMicros == 0 {
		a.meanLatencyMicros = micros
	}
	a.meanLatencyMicros += latencySmoothing * (micros - a.meanLatencyMicros)
}

// observeDemand adds the attempts since the last report to the smoothed demand.
func (m *member) observeDemand(now time.Duration, attempts float64) {
	if elapsed := (now - m.lastReportAt).Seconds(); m.lastReportAt > 0 && elapsed > 0 {
		weight := 1 - math.Exp(-elapsed/demandTimeConstant)
		m.demand += weight * (attempts/elapsed - m.demand)
	}
	m.lastReportAt = now
}

// SetLeaderTerm tells in which term this process leads; 0: it does not lead. Grants of another term may still be spent, so that a new
// term begins with silentLeases without grants. That covers a process that was stopped, and leads again without having noticed that
// it had lost the term.
func (a *Allocator) SetLeaderTerm(now time.Duration, term uint64) {
	if term != a.term && term != 0 {
		a.termStart = now
		for _, m := range a.members {
			m.grants = nil
		}
	}
	a.term = term
}

// Demand is the rate that all gateways have to send, in attempts a second.
func (a *Allocator) Demand() (sum float64) {
	for _, m := range a.members {
		sum += m.demand
	}
	return sum
}

// expireMembers forgets the gateways without a report for memberExpiry, and returns the demand of the others.
func (a *Allocator) expireMembers(now time.Duration) (demand float64) {
	for name, m := range a.members {
		if now-m.lastReportAt > memberExpiry {
			delete(a.members, name)
			continue
		}
		demand += m.demand
	}
	return demand
}

// Allocate computes the budgets of servers, and tells whether any has one. mayUse tells which gateways may send to a server; it is called
// until the next Allocate. The budgets are not computed in each Grant, as the leader's cost would grow with the square of the fleet.
func (a *Allocator) Allocate(now time.Duration, unixMS int64, servers []Server, maySend func(gateway string, server uint32) bool) bool {
	a.maySend = maySend
	a.allocations = map[uint32]*allocation{}
	for id, budget := range a.budgets(now, unixMS, servers) {
		alloc := &allocation{budget: budget}
		for name, m := range a.members {
			if maySend(name, id) {
				alloc.demand += m.demand
			}
			alloc.reserved += m.reserved(now, id)
		}
		a.allocations[id] = alloc
	}
	return len(a.allocations) > 0
}

// Grant returns what a gateway may send for a lease from now, in answer to its report seq: for each server, its part of the budget by
// demand, less what others may still send by earlier grants. So the sum over all gateways never exceeds the budget, and a gateway that
// is lost or stalled keeps its part reserved until its lease ends.
func (a *Allocator) Grant(now time.Duration, gateway string, seq uint64) Grant {
	m := a.getOrAddMember(gateway)
	granted := Grant{Rates: map[uint32]float64{}}
	if a.mayGrant(now) {
		for id, alloc := range a.allocations {
			if !a.maySend(gateway, id) {
				continue
			}
			ownReserved := m.reserved(now, id)
			rate := min(alloc.budget*m.demand/max(alloc.demand, minDemand), alloc.budget-max(0, alloc.reserved-ownReserved))
			if rate > 0 {
				granted.Rates[id] = rate
				alloc.reserved += max(0, rate-ownReserved)
			}
		}
	}
	if len(granted.Rates) > 0 || len(m.grants) > 0 {
		m.grants = append(m.grants, grant{seq, now + a.cfg.Lease, granted.Rates})
	}
	return granted
}

// mayGrant tells whether this process leads, and the grants of the last leader are over.
func (a *Allocator) mayGrant(now time.Duration) bool {
	return a.term != 0 && now-a.termStart >= time.Duration(grantPauseLeases*float64(a.cfg.Lease))
}
