package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// statusContext is a zone with a status, as one evaluation finds it.
type statusContext struct {
	key       string // in Statuses
	zone      string
	scope     scope
	status    Status
	age       time.Duration // of the state, by the leader's clock; negative if the last leader's was ahead
	startedAt time.Duration // start of the state, on the clock of the evidence
}

// advance moves every zone with a status through its states, in the order of the keys. A zone that an operator holds stays.
//
//	Evacuated --startProbe--> Probing --endProbe--> Returning --endReturn--> in service
//	Probing --endProbe--> Evacuated, or Probing by another gateway
//	Returning --endReturn--> Evacuated
//	Evacuated, Probing --returnSaturated--> Returning
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

// returnIfSaturated returns a zone that still served some requests to service while the other zones reject requests: it adds capacity
// that they lack. It tells whether they do; the zone then keeps Returning.
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

// startProbe begins a half-open probe by one gateway once it is due.
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

// endProbe settles a probe. Enough served (probeMinServed, and probeServedFactor for each failure), or at ProbeTimeout any served and
// none failed: the zone returns. More than probeMaxFailed failed: it is evacuated again. Otherwise at ProbeTimeout, or if the prober is
// gone: another gateway probes.
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

// moveProbe has another gateway probe. After a probe that expired any request may be used: where none is idempotent, the zone would
// otherwise never be probed.
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

// endReturn settles a return: the zone is evacuated again if it is unhealthy, and in service once it was healthy for two recovery
// ramps.
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
