package evacuation

import "time"

// SelfMonitor decides whether a gateway drains itself: it is cut off from the servers, and the fleet has evacuated its zone or the
// fleet's view can't reach it. It uses only what this gateway sees. The zero value is ready. The owner calls Observe and then
// ShouldDrain, several times a second.
type SelfMonitor struct {
	samples   []sample // the oldest first
	drained   bool
	changedAt time.Duration // start of the present state
	healthyAt time.Duration // since when it could return; 0: it can't
}

// Bounds of a gateway's own isolation.
const (
	selfSpan        = 3 * time.Second         // of evidence
	selfMinSpan     = 1500 * time.Millisecond // between the first and the last failure
	selfMinFailed   = 8                       // attempts
	selfFailedRatio = 0.8                     // failed of all attempts
	selfMinDrain    = 5 * time.Second         // drained, at least
	selfMaxDrain    = 30 * time.Second        // drained, at most: without clients it sees no attempts that could show recovery
	selfReturnDelay = 2 * time.Second         // between the returns of two gateways of a zone
)

// Observe adds the attempts of this gateway since the last call.
func (m *SelfMonitor) Observe(now time.Duration, served, failed uint64) {
	m.samples = append(m.samples, sample{startedAt: now, served: served, failed: failed})
	for len(m.samples) > 0 && now-m.samples[0].startedAt > selfSpan {
		m.samples = m.samples[1:]
	}
}

// isolated tells whether nearly all attempts fail, to whatever server.
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

// Update tells whether the gateway's clients should be sent elsewhere now. evacuated: the fleet has evacuated the servers of its
// zone; fresh: its view of the fleet is not older than the lease; turn: its index among the gateways of its zone, which return one
// after the other.
//
// Where the fault is shared by all zones the fleet evacuates none and views stay fresh, so no gateway drains. Without a quorum every
// gateway may drain, hence the bound selfMaxDrain.
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

// mayReturn tells whether the gateway may take clients again, in its turn.
func (m *SelfMonitor) mayReturn(now time.Duration, returnIndex int) bool {
	return m.healthyAt > 0 &&
		now-m.healthyAt >= time.Duration(returnIndex)*selfReturnDelay &&
		now-m.changedAt >= selfMinDrain
}

// setDrained changes the state and drops the evidence from before.
func (m *SelfMonitor) setDrained(now time.Duration, drained bool) {
	m.drained = drained
	m.changedAt = now
	m.samples = nil
}
