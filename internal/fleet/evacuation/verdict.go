package evacuation

import "time"

// verdict is the evidence against a zone.
type verdict struct {
	zoneEvidence
	since time.Duration // start of the window that was decisive
}

// judge looks for a window in which some gateways see a zone unhealthy, by evidence not older than since. In a short window the
// served attempts from before the outage pass quickly; in a long one sparse traffic adds up to enough evidence.
func (d *Detector) judge(zone string, since time.Duration, gateways []string) (v verdict, unhealthy bool) {
	for _, window := range d.cfg.Windows {
		v.since = max(d.now-window, since)
		v.zoneEvidence = d.sumEvidence(zone, v.since, slowFactor, gateways)
		if v.unhealthy(len(gateways)) {
			return v, true
		}
	}
	return v, false
}

// unhealthy tells whether what a number of gateways saw is enough against a zone: minFailed attempts, half of all, and a quorum of
// the gateways that saw the zone, so that the fault of one gateway or its path is not taken for one of the zone.
func (t zoneEvidence) unhealthy(gateways int) bool {
	if t.slowBy > 0 && t.failed < minSlowFailed {
		return false // a few slow answers are within the noise
	}
	return t.failed >= minFailed &&
		float64(t.failed) >= unhealthyRatio*float64(t.failed+t.served) &&
		t.unhealthyBy >= min(quorumMin, gateways) &&
		float64(t.unhealthyBy) >= quorumRatio*float64(t.unhealthyBy+t.healthyBy)
}

// partial tells whether an unhealthy zone still serves some requests.
func (t zoneEvidence) partial() bool { return t.slowBy > 0 || 2*t.served >= t.failed }

// saturated tells whether the zones that a scope sends to reject requests, by the longest window.
func (d *Detector) saturated(zones []string, statuses Statuses, s scope) (rest zoneEvidence, saturated bool) {
	since := d.now - d.cfg.Windows[len(d.cfg.Windows)-1]
	for _, zone := range zones {
		if statuses.avoids(s.from, zone) {
			continue
		}
		t := d.sumEvidence(zone, since, neverSlow, s.gateways)
		rest.served += t.served
		rest.rejected += t.rejected
	}
	saturated = rest.rejected >= minRejected && float64(rest.rejected) >= rejectedRatio*float64(rest.rejected+rest.served)
	return rest, saturated
}

// restHealthy tells whether the zones that a scope would be left with are healthy, by the window of the verdict. Where all zones
// are unhealthy the cause is shared: an evacuation would not help, and would load the others. So the others have to be healthy, not
// only less unhealthy. excluded are the zones that are judged.
//
// It records when zones are slow together. They work off their queues at different speeds, so that the last one to recover looks
// slow alone; for sharedSlowHold no zone is evacuated by its latency.
func (e *evaluation) restHealthy(s scope, v verdict, excluded func(zone string) bool) bool {
	factor := restSlowFactor
	if v.slowBy == 0 {
		factor = neverSlow // the load of a zone that answers nothing has moved, and makes the others slow
	}
	var rest zoneEvidence
	for _, zone := range e.zones {
		if excluded(zone) || e.next.avoids(s.from, zone) {
			continue
		}
		t := e.sumEvidence(zone, v.since, factor, s.gateways)
		rest.served += t.served
		rest.failed += t.failed
	}
	if float64(rest.failed) > restFailedRatio*float64(rest.served+rest.failed) {
		if v.slowBy > 0 {
			e.sharedSlowAt = e.now
		}
		return false
	}
	if rest.served == 0 {
		return false
	}
	return v.slowBy == 0 || e.sharedSlowAt == 0 || e.now-e.sharedSlowAt > sharedSlowHold
}
