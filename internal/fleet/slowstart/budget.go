package slowstart

import (
	"maps"
	"time"
)

// Bounds of the budgets.
const (
	maxBudgets      = 256 // servers with a budget; others wait until their slow start is over
	probeRate       = 4.0 // attempts a second to all servers of a zone that is probed
	backoffInterval = time.Second
	backoffFactor   = 0.5 // for a server with failures or high latency in the last interval
	backoffRecovery = 0.1 // added in each interval without
	backoffMin      = 0.1 // of what the warmth allows, whatever the evidence
	minFailed       = 3   // attempts in an interval
	minServed       = 3   // attempts in an interval, before a server may be slow
	failedRatio     = 0.2 // failed of all attempts in an interval
	slowFactor      = 2.5 // of the mean latency that the warmth explains
	minProbedRate   = 1.0 // attempts a second, assumed as the capacity of a probed server where the demand is lower
)

// health is the evidence on a server with a budget since the last interval began.
type health struct {
	backoff       float64 // fraction of what its warmth allows, backoffMin to 1
	served        uint64  // attempts
	failed        uint64  // attempts
	latencyMicros uint64  // sum over the served attempts
	intervalStart time.Duration
}

// warmth is the smallest fraction of its capacity that a server has reached; it grows linearly over the slow start.
func (a *Allocator) warmth(unixMS int64, s Server) float64 {
	age := time.Duration(unixMS-s.Since) * time.Millisecond
	if s.Since <= 0 || age >= a.cfg.Span {
		return 1
	}
	return a.cfg.StartCapacity + (1-a.cfg.StartCapacity)*max(0, age.Seconds())/a.cfg.Span.Seconds()
}

// budgets returns what all gateways together may send to each server in slow start, in attempts a second: the even share of the
// demand, times the warmth, times the backoff. A probed zone has probeRate for all its servers.
func (a *Allocator) budgets(now time.Duration, unixMS int64, servers []Server) map[uint32]float64 {
	budgets := map[uint32]float64{}
	inUse, probed := countByUse(servers)
	evenRate := a.expireMembers(now) / float64(max(1, inUse))
	for _, s := range servers {
		warmth := a.warmth(unixMS, s)
		if len(budgets) >= maxBudgets {
			break
		}
		switch {
		case s.Use == UseForHealthChecks:
			budgets[s.ID] = min(warmth*max(evenRate, minProbedRate), probeRate/float64(probed[s.Zone]))
		case s.Use == UseFully && warmth < 1:
			budgets[s.ID] = warmth * evenRate * a.backoff(now, s.ID, warmth)
		}
	}
	maps.DeleteFunc(a.health, func(id uint32, _ *health) bool { _, ok := budgets[id]; return !ok })
	return budgets
}

// countByUse counts the servers in use, and those of each zone that is probed.
func countByUse(servers []Server) (inUse int, probed map[string]int) {
	probed = map[string]int{}
	for _, s := range servers {
		switch s.Use {
		case UseFully:
			inUse++
		case UseForHealthChecks:
			probed[s.Zone]++
		}
	}
	return inUse, probed
}

// backoff returns the fraction of its warmth that a server may be sent. Once an interval it is halved if the evidence is against the
// server, and raised a step otherwise. A cold server is slow by its warmth, which is no evidence.
func (a *Allocator) backoff(now time.Duration, id uint32, warmth float64) float64 {
	h := a.health[id]
	if h == nil {
		h = &health{backoff: 1, intervalStart: now}
		a.health[id] = h
	}
	if now-h.intervalStart < backoffInterval {
		return h.backoff
	}
	slow := h.served >= minServed && a.meanLatencyMicros > 0 &&
		float64(h.latencyMicros)/float64(h.served) > slowFactor*a.meanLatencyMicros/warmth
	failing := h.failed >= minFailed && float64(h.failed) >= failedRatio*float64(h.served+h.failed)
	if failing || slow {
		h.backoff = max(backoffMin, h.backoff*backoffFactor)
	} else {
		h.backoff = min(1, h.backoff+backoffRecovery)
	}
	*h = health{backoff: h.backoff, intervalStart: now}
	return h.backoff
}
