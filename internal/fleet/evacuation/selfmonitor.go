package evacuation

import "time"

// SelfMonitor decides whether a gateway drains itself. A gateway drains if it is isolated from the servers while the fleet has evacuated
// its zone, or while its view of the fleet is out of date. SelfMonitor relies only on this gateway's own attempts. The zero value is
// ready to use. The owner calls Observe and then Update several times a second.
type SelfMonitor struct {
	samples   []sample // observations of the last selfSpan, oldest first
	drained   bool
	changedAt time.Duration // time of the last change of drained
	healthyAt time.Duration // start of the current period, while drained, with a fresh view and the zone not evacuated; 0: none
}

// Thresholds and intervals of a gateway's own draining.
const (
	selfSpan        = 3 * time.Second         // period of evidence
	selfMinSpan     = 1500 * time.Millisecond // shortest time from the first to the last observation with failures that shows isolation
	selfMinFailed   = 8                       // lowest number of failed attempts that shows isolation
	selfFailedRatio = 0.8                     // lowest fraction of failed attempts that shows isolation
	selfMinDrain    = 5 * time.Second         // shortest time in the drained state
	selfMaxDrain    = 30 * time.Second        // longest time in the drained state, because without clients no attempt shows the recovery
	selfReturnDelay = 2 * time.Second         // time between the returns of consecutive gateways of a zone
)

// Observe records how many of this gateway's attempts, over all servers, were served and failed since the last call.
func (m *SelfMonitor) Observe(now time.Duration, served, failed uint64) {
	m.samples = append(m.samples, sample{startedAt: now, served: served, failed: failed})
	for len(m.samples) > 0 && now-m.samples[0].startedAt > selfSpan {
		m.samples = m.samples[1:]
	}
}

// isolated returns true if nearly all attempts fail, over all servers.
func (m *SelfMonitor) isolated() bool {
	served, failed := uint64(0), uint64(0)
	first, last := time.Duration(-1), time.Duration(0)
	for _, s := range m.samples {
		served += s.served
		failed += s.failed
		if s.failed > 0 {
			if first < 0 {
				first = s.startedAt
			}
			last = s.startedAt
		}
	}
	return failed >= selfMinFailed &&
		float64(failed) >= selfFailedRatio*float64(served+failed) &&
		last-first >= selfMinSpan
}

// Update returns true if the gateway should be drained now, that is, send its clients to other gateways. zoneEvacuated is true if the
// fleet has evacuated the servers of the gateway's zone. viewFresh is true if the gateway's view of the fleet is not older than the
// lease. returnIndex is the gateway's index among the gateways of its zone, which return one after the other.
//
// If all zones share a fault, the fleet evacuates none and the views stay fresh, so that no gateway drains. Without a quorum every gateway
// may drain, hence the limit selfMaxDrain.
func (m *SelfMonitor) Update(now time.Duration, zoneEvacuated, viewFresh bool, returnIndex int) bool {
	if !m.drained {
		if m.isolated() && (zoneEvacuated || !viewFresh) {
			m.setDrained(now, true)
			m.healthyAt = 0
		}
		return m.drained
	}
	if !viewFresh || zoneEvacuated {
		m.healthyAt = 0
	} else if m.healthyAt == 0 {
		m.healthyAt = now
	}
	if m.mayReturn(now, returnIndex) || now-m.changedAt >= selfMaxDrain {
		m.setDrained(now, false)
	}
	return m.drained
}

// mayReturn returns true if the gateway may accept clients again: it has been drained for selfMinDrain, and its healthy period
// (healthyAt) has lasted returnIndex times selfReturnDelay.
func (m *SelfMonitor) mayReturn(now time.Duration, returnIndex int) bool {
	return m.healthyAt > 0 &&
		now-m.healthyAt >= time.Duration(returnIndex)*selfReturnDelay &&
		now-m.changedAt >= selfMinDrain
}

// setDrained changes the state and discards the earlier evidence.
func (m *SelfMonitor) setDrained(now time.Duration, drained bool) {
	m.drained = drained
	m.changedAt = now
	m.samples = nil
}
