// Package slowstart limits the rate at which all gateways of a fleet together send requests to servers in slow start. These are servers
// that have just started, and the servers of a returning zone. Each has one budget. The leader divides the budget among the gateways in
// proportion to their demand, and grants each gateway its part for a lease.
//
// The package has no clock, no goroutines and no I/O. Its types are not safe for concurrent use. The owner (package agent) calls
// Allocator.Observe for each load report of a gateway, and SetLeaderTerm whenever its leadership may have changed. On the leader it calls
// Allocate several times a second, and Grant for each report that it answers.
//
// docs/design/return.md describes the rules and the rejected alternatives.
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
	Since int64 // start of its slow start (its own start, or its zone's return), Unix ms; 0: slow start is over
	Use   Use
}

// Use determines which gateways may send requests to a server.
type Use int

// Uses of a server.
const (
	UseFully           Use = iota // all gateways that have a path to the server
	UseForHealthChecks            // only the probers of its zone, within probeRate
	UseNever                      // no gateway, because its zone is evacuated
)

// Config has the settings of slow start.
type Config struct {
	StartCapacity float64       // fraction of its capacity that a server has at the beginning of slow start
	Span          time.Duration // length of slow start, after which a server has its full capacity
	Lease         time.Duration // validity of a grant
}

// Parameters of the allocation.
const (
	demandTimeConstant = 2.0              // time constant of the smoothing of a gateway's demand, in seconds
	latencySmoothing   = 0.02             // weight in the mean latency of one report's mean for one zone
	grantPauseLeases   = 1.5              // pause in leases before the first grant of a new leader, while earlier grants may be in use
	memberExpiry       = 30 * time.Second // time without a report after which a gateway is removed
	minDemand          = 1e-9             // divisor in place of a demand of 0, in attempts a second
)

// member holds the demand of a gateway and the grants that it may still use.
type member struct {
	lastReportAt time.Duration // time of the last report
	demand       float64       // estimated rate that the gateway has to send: mean of its attempts and client requests a second, smoothed
	grants       []grant       // grants that the gateway may still use, oldest first
}

// grant holds the rates granted to a gateway in answer to one report.
type grant struct {
	reportSeq uint64 // sequence number of the report
	expiresAt time.Duration
	rates     map[uint32]float64 // attempts a second by server ID
}

// reserved returns the highest rate at which a gateway may still send to a server under any of its grants.
func (m *member) reserved(now time.Duration, id uint32) (rate float64) {
	for _, g := range m.grants {
		if g.expiresAt > now {
			rate = max(rate, g.rates[id])
		}
	}
	return rate
}

// allocation holds the state of a server's budget until the next call of Allocate, in attempts a second.
type allocation struct {
	budget   float64 // limit for all gateways together
	demand   float64 // total demand of the gateways that may send to the server
	reserved float64 // upper limit of the rate that gateways may still use under their grants
}

// Allocator divides the budgets of servers in slow start among the gateways. Every voter calls Observe, so that a new leader knows the
// demand; only the leader calls Allocate and Grant. Nothing in an Allocator is durable. Times of type time.Duration are on the owner's
// monotonic clock.
type Allocator struct {
	cfg               Config
	term              uint64        // term in which this process leads; 0: it does not lead
	termStart         time.Duration // time when this process learned that it leads the term
	members           map[string]*member
	health            map[uint32]*health // evidence on the servers with a budget
	allocations       map[uint32]*allocation
	maySend           func(gateway string, server uint32) bool // function passed to the last Allocate
	meanLatencyMicros float64                                  // mean latency of served attempts, smoothed
}

// New returns an Allocator that has no gateways and does not lead.
func New(cfg Config) *Allocator {
	return &Allocator{
		cfg:         cfg,
		members:     map[string]*member{},
		health:      map[uint32]*health{},
		allocations: map[uint32]*allocation{},
	}
}

// getOrAddMember returns the member with the given name, and adds it if it is new.
func (a *Allocator) getOrAddMember(name string) *member {
	m := a.members[name]
	if m == nil {
		m = &member{}
		a.members[name] = m
	}
	return m
}

// Observe adds a gateway's counters since its last report. appliedSeq is the sequence number of the report whose answer the gateway
// applies. The gateway no longer uses earlier grants.
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

// observeLatency adds a mean latency in microseconds to the exponentially weighted moving average meanLatencyMicros.
func (a *Allocator) observeLatency(micros float64) {
	if a.meanLatencyMicros == 0 {
		a.meanLatencyMicros = micros
	}
	a.meanLatencyMicros += latencySmoothing * (micros - a.meanLatencyMicros)
}

// observeDemand updates the smoothed demand with the number of attempts to send since the last report.
func (m *member) observeDemand(now time.Duration, attempts float64) {
	if elapsed := (now - m.lastReportAt).Seconds(); m.lastReportAt > 0 && elapsed > 0 {
		weight := 1 - math.Exp(-elapsed/demandTimeConstant)
		m.demand += weight * (attempts/elapsed - m.demand)
	}
	m.lastReportAt = now
}

// SetLeaderTerm sets the term in which this process leads, or 0 if it does not lead. Gateways may still use the grants of another term.
// Therefore a new term begins with a pause of grantPauseLeases without grants. The pause also covers a process that was stopped, lost its
// term without noticing, and leads again.
func (a *Allocator) SetLeaderTerm(now time.Duration, term uint64) {
	if term != a.term && term != 0 {
		a.termStart = now
		for _, m := range a.members {
			m.grants = nil
		}
	}
	a.term = term
}

// Demand returns the total demand of all gateways, in attempts a second.
func (a *Allocator) Demand() (sum float64) {
	for _, m := range a.members {
		sum += m.demand
	}
	return sum
}

// expireMembers removes the gateways without a report for memberExpiry, and returns the total demand of the others.
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

// Allocate computes the budgets of servers, and returns true if any server has a budget. maySend returns true if a gateway may send to a
// server. Grant calls maySend until the next Allocate. Grant does not compute the budgets itself, because the leader's cost would then
// grow with the square of the fleet.
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

// Grant returns the rates at which a gateway may send for one lease from now, in answer to its report seq. For each server the rate is the
// gateway's part of the budget in proportion to demand, but no more than the budget minus what other gateways may still use under earlier
// grants. Therefore the sum over all gateways never exceeds the budget. The part of a gateway that is lost or stalled stays reserved
// until its lease ends.
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

// mayGrant returns true if this process leads and the grants of the previous leader have expired.
func (a *Allocator) mayGrant(now time.Duration) bool {
	return a.term != 0 && now-a.termStart >= time.Duration(grantPauseLeases*float64(a.cfg.Lease))
}
