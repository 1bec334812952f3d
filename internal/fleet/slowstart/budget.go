package slowstart

import (
	"maps"
	"time"
)

// Parameters of the budgets.
const (
	maxBudgets      = 256         // largest number of servers with a budget; other servers in slow start get no rate until it is over
	probeRate       = 4.0         // attempts a second to all servers of a probed zone together
	backoffInterval = time.Second // time between two steps of a server's backoff
	backoffFactor   = 0.5         // factor on the backoff after an interval with failures or high latency
	backoffRecovery = 0.1         // increase of the backoff after any other interval
	backoffMin      = 0.1         // lowest backoff, whatever the evidence
	minFailed       = 3           // lowest number of failed attempts in an interval that counts against a server
	minServed       = 3           // lowest number of served attempts in an interval that shows a slow server
	failedRatio     = 0.2         // lowest fraction of failed attempts in an interval that counts against a server
	slowFactor      = 2.5         // multiple of the latency expected at the server's warmth above which it is slow
	minProbedRate   = 1.0         // lowest even share of the demand, in attempts a second, from which the budget of a probed server is computed
)

// health holds the backoff of a server with a budget, and the evidence of the current interval.
type health struct {
	backoff       float64       // factor on the budget, from backoffMin to 1
	served        uint64        // number of served attempts
	failed        uint64        // number of failed and rejected attempts
	latencyMicros uint64        // total latency of the served attempts
	intervalStart time.Duration // time of the last backoff step
}

// warmth returns a lower bound of the fraction of its full capacity that a server has reached. It grows linearly from StartCapacity to 1
// over Span.
func (a *Allocator) warmth(unixMS int64, s Server) float64 {
	age := time.Duration(unixMS-s.Since) * time.Millisecond
	if s.Since <= 0 || age >= a.cfg.Span {
		return 1
	}
	return a.cfg.StartCapacity + (1-a.cfg.StartCapacity)*max(0, age.Seconds())/a.cfg.Span.Seconds()
}

// budgets returns the rate at which all gateways together may send to each server in slow start, in attempts a second. The budget is an
// even share of the total demand, times the warmth, times the backoff. The servers of a probed zone have no backoff, and get at most
// probeRate together.
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

// countByUse returns the number of servers that all gateways may use, and the number of servers in each probed zone.
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

// backoff returns the factor on a server's budget. Once in each backoffInterval it is halved if too many attempts failed or the server was slow,
// and raised by backoffRecovery otherwise. A server is expected to be slower while it is cold, so the latency is compared with the one expected at
// its warmth.
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
