package evacuation

import "time"

// verdict is the evidence against a zone.
type verdict struct {
	zoneEvidence
	windowStart time.Duration // start of the window that was decisive
}

// detectUnhealthy looks for a window in which some gateways see a zone unhealthy, by evidence not older than since. In a short window the
// served attempts from before the outage pass quickly; in a long one sparse traffic adds up to enough evidence.
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

// unhealthy tells whether what a number of gateways saw is enough against a zone: minFailed attempts, half of all, and a quorum of
// the gateways that saw the zone, so that the fault of one gateway or its path is not taken for one of the zone.
func (z zoneEvidence) unhealthy(gateways int) bool {
	if z.slowBy > 0 && z.failed < minSlowFailed {
		return false // a few slow answers are within the noise
	}
	return z.failed >= minFailed &&
		float64(z.failed) >= unhealthyRatio*float64(z.failed+z.served) &&
		z.unhealthyBy >= min(quorumMin, gateways) &&
		float64(z.unhealthyBy) >= quorumRatio*float64(z.unhealthyBy+z.healthyBy)
}

// partial tells whether an unhealthy zone still serves some requests.
func (z zoneEvidence) partial() bool { return z.slowBy > 0 || 2*z.served >= z.failed }

// saturated tells whether the zones that a scope sends to reject requests, by the longest window.
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

// othersHealthy tells whether the zones that a scope would be left with are healthy, by the window of the verdict. Where all zones
// are unhealthy the cause is shared: an evacuation would not help, and would load the others. So the others have to be healthy, not
// only less unhealthy. excluded are the zones that are judged.
//
// It records when zones are slow together. They work off their queues at different speeds, so that the last one to recover looks
// slow alone; for sharedSlowHold no zone is evacuated by its latency.
func (e *evaluation) othersHealthy(s scope, v verdict, excluded func(zone string) bool) bool {
	factor := othersSlowFactor
	if v.slowBy == 0 {
		factor = neverSlow // the load of a zone that answers nothing has moved, and makes the others slow
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
		if v.slowBy > 0 {
			e.sharedSlownessAt = e.now
		}
		return false
	}
	if others.served == 0 {
		return false
	}
	return v.slowBy == 0 || e.sharedSlownessAt == 0 || e.now-e.sharedSlownessAt > sharedSlownessHold
}
