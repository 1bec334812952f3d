package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// statusContext holds the status of a zone with the values that its transitions depend on.
type statusContext struct {
	key       string // key of the status in Statuses
	zone      string
	scope     scope
	status    Status
	age       time.Duration // time since the state began, by the leader's clock; negative if the clock of the previous leader was ahead
	startedAt time.Duration // start of the state on the monotonic clock of the evidence
}

// advance applies the transitions of every status, in the order of the keys. A zone on an operator's hold keeps its status.
//
//	Evacuated --startProbe--> Probing --endProbe--> Returning --endReturn--> in service
//	Probing --endProbe--> Evacuated, or Probing by another gateway
//	Returning --endReturn--> Evacuated
//	Evacuated, Probing --returnIfSaturated--> Returning
func (e *evaluation) advance() {
	for _, key := range slices.Sorted(maps.Keys(e.next)) {
		status := e.next[key]
		if status.KeepInService {
			continue
		}
		c := e.newStatusContext(key, status)
		if e.returnIfSaturated(c) {
			continue
		}
		switch status.State {
		case Evacuated:
			e.startProbe(c)
		case Probing:
			e.endProbe(c)
		case Returning:
			e.endReturn(c)
		}
	}
}

// newStatusContext returns the context of a status at the time of this evaluation.
func (e *evaluation) newStatusContext(key string, status Status) statusContext {
	from, zone := splitKey(key)
	age := time.Duration(e.unixMS-status.Since) * time.Millisecond
	return statusContext{
		key:       key,
		zone:      zone,
		scope:     e.scopeOf(from),
		status:    status,
		age:       age,
		startedAt: max(0, e.now-max(0, age)),
	}
}

// returnIfSaturated handles a zone that still served some requests when the fleet evacuated it. If the other zones are saturated, it
// returns true and sets the zone to Returning, unless it already is, which adds the capacity that the others lack.
func (e *evaluation) returnIfSaturated(c statusContext) bool {
	if !c.status.Partial || c.status.By != "" {
		return false
	}
	others, saturated := e.saturated(e.zones, e.next, c.scope)
	if saturated && c.status.State != Returning {
		e.next[c.key] = Status{
			State:         Returning,
			Since:         e.unixMS,
			FailedReturns: c.status.FailedReturns,
			Partial:       true,
			Reason:        fmt.Sprintf("the rest can't bear it: %d of %d turned away", others.rejected, others.rejected+others.served),
		}
	}
	return saturated
}

// startProbe starts a half-open probe by one gateway when it is due.
func (e *evaluation) startProbe(c statusContext) {
	if !e.mayProbe(c) {
		return
	}
	probers := e.chooseProber(c, c.status.FailedReturns+c.status.FailedProbes)
	if len(probers) == 0 {
		return
	}
	e.next[c.key] = Status{
		State:         Probing,
		Since:         e.unixMS,
		FailedReturns: c.status.FailedReturns,
		FailedProbes:  c.status.FailedProbes,
		Reason:        c.status.Reason,
		Probers:       probers,
		Partial:       c.status.Partial,
	}
}

// endProbe ends a probe when it has a result. The zone returns if enough attempts were served (probeMinServed, and probeServedPerFailed
// for each failed one), or if after ProbeTimeout any were served and none failed. The zone is evacuated again if more than
// probeMaxFailed attempts failed. Otherwise another gateway probes after ProbeTimeout, or when the prober is no longer alive.
func (e *evaluation) endProbe(c statusContext) {
	evidence := e.sumEvidence(c.zone, c.startedAt+bucketSpan, slowFactor, c.status.Probers)
	expired := c.age > e.cfg.ProbeTimeout
	enough := evidence.served >= probeMinServed && evidence.served >= probeServedPerFailed*evidence.failed
	switch {
	case enough, expired && evidence.served > 0 && evidence.failed == 0:
		e.next[c.key] = Status{
			State:         Returning,
			Since:         e.unixMS,
			FailedReturns: c.status.FailedReturns,
			Partial:       c.status.Partial,
			Reason:        "a probe: " + evidence.String(),
		}
	case evidence.failed > probeMaxFailed:
		e.next[c.key] = Status{
			State:         Evacuated,
			Since:         e.unixMS,
			FailedReturns: c.status.FailedReturns,
			FailedProbes:  c.status.FailedProbes + 1,
			Reason:        "a probe: " + evidence.String(),
			Partial:       c.status.Partial,
		}
	case expired || !slices.ContainsFunc(c.status.Probers, e.alive):
		e.moveProbe(c, expired)
	}
}

// moveProbe moves a probe to another gateway. After a probe expired, probes may use any request: without idempotent requests the zone
// would otherwise never be probed.
func (e *evaluation) moveProbe(c statusContext, expired bool) {
	probers := e.chooseProber(c, int(e.unixMS/1000))
	if len(probers) == 0 {
		return
	}
	e.next[c.key] = Status{
		State:         Probing,
		Since:         e.unixMS,
		FailedReturns: c.status.FailedReturns,
		FailedProbes:  c.status.FailedProbes,
		Reason:        c.status.Reason,
		Probers:       probers,
		AnyRequest:    c.status.AnyRequest || expired,
		Partial:       c.status.Partial,
	}
}

// endReturn ends the return of a zone when it has a result. The zone is evacuated again if it is unhealthy, and is in service when it has
// been healthy for twice RecoveryTime.
func (e *evaluation) endReturn(c statusContext) {
	v, unhealthy := e.detectUnhealthy(c.zone, c.startedAt+bucketSpan, c.scope.gateways)
	switch {
	case unhealthy:
		e.next[c.key] = Status{
			State:         Evacuated,
			Since:         e.unixMS,
			FailedReturns: c.status.FailedReturns + 1,
			Reason:        "ill on its return: " + v.String(),
			Partial:       v.partial(),
		}
	case c.age > 2*e.cfg.RecoveryTime:
		delete(e.next, c.key)
	}
}
