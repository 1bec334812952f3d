package evacuation

import "time"

// verdict is the evidence that a zone is unhealthy.
type verdict struct {
	zoneEvidence
	windowStart time.Duration // start of the evidence window that shows it
}

// detectUnhealthy returns true, with the evidence, if a zone is unhealthy for the given gateways in one of the evidence windows. It ignores
// evidence from before since. The served attempts from before an outage soon fall out of a short window; in a long window, sparse traffic
// adds up to enough evidence.
func (d *Detector) detectUnhealthy(zone string, since time.Duration, gateways []string) (v verdict, unhealthy bool) {
	for _, window := range d.cfg.Windows {
		v.windowStart = max(d.now-window, since)
		v.zoneEvidence = d.sumEvidence(zone, v.windowStart, slowFactor, gateways)
		if v.unhealthy(len(gateways)) {
			return v, true
		}
	}
	return v, false
}

// unhealthy returns true if the evidence of a number of gateways shows that a zone is unhealthy: at least minFailed attempts and half of
// all attempts failed, and a quorum of the gateways with evidence agrees. The quorum prevents an evacuation for the fault of one
// gateway or of its path.
func (z zoneEvidence) unhealthy(gateways int) bool {
	if z.slowGateways > 0 && z.failed < minSlowFailed {
		return false // a few slow answers are noise
	}
	return z.failed >= minFailed &&
		float64(z.failed) >= unhealthyRatio*float64(z.failed+z.served) &&
		z.unhealthyGateways >= min(quorumMin, gateways) &&
		float64(z.unhealthyGateways) >= quorumRatio*float64(z.unhealthyGateways+z.healthyGateways)
}

// partial returns true if an unhealthy zone still serves some requests: it is slow, or a third or more of its attempts are served.
func (z zoneEvidence) partial() bool { return z.slowGateways > 0 || 2*z.served >= z.failed }

// saturated returns true if the zones that the gateways of a scope send to reject too many requests in the longest window. others has the
// served and rejected attempts in these zones.
func (d *Detector) saturated(zones []string, statuses Statuses, s scope) (others zoneEvidence, saturated bool) {
	since := d.now - d.cfg.Windows[len(d.cfg.Windows)-1]
	for _, zone := range zones {
		if statuses.avoids(s.from, zone) {
			continue
		}
		evidence := d.sumEvidence(zone, since, neverSlow, s.gateways)
		others.served += evidence.served
		others.rejected += evidence.rejected
	}
	saturated = others.rejected >= minRejected && float64(others.rejected) >= rejectedRatio*float64(others.rejected+others.served)
	return others, saturated
}

// othersHealthy returns true if the zones that a scope would still use are healthy in the window of the verdict. excluded returns true
// for the unhealthy zones. If all zones are unhealthy they have a cause in common: an evacuation would not help, and would load the
// other zones. Therefore the other zones must be healthy, and not just less unhealthy.
//
// It records when zones are slow together. Such zones work off their queues at different speeds, so that the last one to recover looks
// like the only slow one. For sharedSlownessHold after that, no zone is evacuated because of its latency.
func (e *evaluation) othersHealthy(s scope, v verdict, excluded func(zone string) bool) bool {
	factor := othersSlowFactor
	if v.slowGateways == 0 {
		factor = neverSlow // the load of a zone that does not answer moves to the others and makes them slow
	}
	var others zoneEvidence
	for _, zone := range e.zones {
		if excluded(zone) || e.next.avoids(s.from, zone) {
			continue
		}
		evidence := e.sumEvidence(zone, v.windowStart, factor, s.gateways)
		others.served += evidence.served
		others.failed += evidence.failed
	}
	if float64(others.failed) > othersFailedRatio*float64(others.served+others.failed) {
		if v.slowGateways > 0 {
			e.sharedSlownessAt = e.now
		}
		return false
	}
	if others.served == 0 {
		return false
	}
	return v.slowGateways == 0 || e.sharedSlownessAt == 0 || e.now-e.sharedSlownessAt > sharedSlownessHold
}
