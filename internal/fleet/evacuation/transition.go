package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// subject is a zone with a status, as one evaluation finds it.
type subject struct {
	key    string // in Statuses
	zone   string
	scope  scope
	status Status
	age    time.Duration // of the state, by the leader's clock; negative if the last leader's was ahead
	since  time.Duration // start of the state, on the clock of the evidence
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
		s := e.subject(key, status)
		if e.returnSaturated(s) {
			continue
		}
		switch status.State {
		case Evacuated:
			e.startProbe(s)
		case Probing:
			e.endProbe(s)
		case Returning:
			e.endReturn(s)
		}
	}
}

func (e *evaluation) subject(key string, status Status) subject {
	from, zone := splitKey(key)
	age := time.Duration(e.unix-status.Since) * time.Millisecond
	return subject{
		key:    key,
		zone:   zone,
		scope:  e.scopeOf(from),
		status: status,
		age:    age,
		since:  max(0, e.now-max(0, age)),
	}
}

// returnSaturated returns a zone that still served some requests to service while the other zones reject requests: it adds capacity
// that they lack. It tells whether they do; the zone then keeps Returning.
func (e *evaluation) returnSaturated(s subject) bool {
	if !s.status.Partial || s.status.By != "" {
		return false
	}
	rest, saturated := e.saturated(e.zones, e.next, s.scope)
	if saturated && s.status.State != Returning {
		e.next[s.key] = Status{
			State:         Returning,
			Since:         e.unix,
			FailedReturns: s.status.FailedReturns,
			Partial:       true,
			Reason:        fmt.Sprintf("the rest can't bear it: %d of %d turned away", rest.rejected, rest.rejected+rest.served),
		}
	}
	return saturated
}

// startProbe begins a half-open probe by one gateway once it is due.
func (e *evaluation) startProbe(s subject) {
	if !e.mayProbe(s) {
		return
	}
	probers := e.chooseProber(s, s.status.FailedReturns+s.status.FailedProbes)
	if len(probers) == 0 {
		return
	}
	e.next[s.key] = Status{
		State:         Probing,
		Since:         e.unix,
		FailedReturns: s.status.FailedReturns,
		FailedProbes:  s.status.FailedProbes,
		Reason:        s.status.Reason,
		Probers:       probers,
		Partial:       s.status.Partial,
	}
}

// endProbe settles a probe. Enough served (probeMinServed, and probeServedFactor for each failure), or at ProbeTimeout any served and
// none failed: the zone returns. More than probeMaxFailed failed: it is evacuated again. Otherwise at ProbeTimeout, or if the prober is
// gone: another gateway probes.
func (e *evaluation) endProbe(s subject) {
	seen := e.sumEvidence(s.zone, s.since+bucketSpan, slowFactor, s.status.Probers)
	expired := s.age > e.cfg.ProbeTimeout
	enough := seen.served >= probeMinServed && seen.served >= probeServedFactor*seen.failed
	switch {
	case enough, expired && seen.served > 0 && seen.failed == 0:
		e.next[s.key] = Status{
			State:         Returning,
			Since:         e.unix,
			FailedReturns: s.status.FailedReturns,
			Partial:       s.status.Partial,
			Reason:        "a probe: " + seen.String(),
		}
	case seen.failed > probeMaxFailed:
		e.next[s.key] = Status{
			State:         Evacuated,
			Since:         e.unix,
			FailedReturns: s.status.FailedReturns,
			FailedProbes:  s.status.FailedProbes + 1,
			Reason:        "a probe: " + seen.String(),
			Partial:       s.status.Partial,
		}
	case expired || !slices.ContainsFunc(s.status.Probers, e.alive):
		e.moveProbe(s, expired)
	}
}

// moveProbe has another gateway probe. After a probe that expired any request may be used: where none is idempotent, the zone would
// otherwise never be probed.
func (e *evaluation) moveProbe(s subject, expired bool) {
	probers := e.chooseProber(s, int(e.unix/1000))
	if len(probers) == 0 {
		return
	}
	e.next[s.key] = Status{
		State:         Probing,
		Since:         e.unix,
		FailedReturns: s.status.FailedReturns,
		FailedProbes:  s.status.FailedProbes,
		Reason:        s.status.Reason,
		Probers:       probers,
		AnyRequest:    s.status.AnyRequest || expired,
		Partial:       s.status.Partial,
	}
}

// endReturn settles a return: the zone is evacuated again if it is unhealthy, and in service once it was healthy for two recovery
// ramps.
func (e *evaluation) endReturn(s subject) {
	v, unhealthy := e.judge(s.zone, s.since+bucketSpan, s.scope.gateways)
	switch {
	case unhealthy:
		e.next[s.key] = Status{
			State:         Evacuated,
			Since:         e.unix,
			FailedReturns: s.status.FailedReturns + 1,
			Reason:        "ill on its return: " + v.String(),
			Partial:       v.partial(),
		}
	case s.age > 2*e.cfg.RecoveryTime:
		delete(e.next, s.key)
	}
}
