package dewhitch

import "math"

const (
	trafficMemory     = 5 * second // time constant of the exponential decay of all counts
	zoneFailureWeight = 0.1        // weight of a new outcome in a zone's failure fraction
)

// trafficStatistics counts this gateway's recent traffic. All counts decay together, which keeps them
// comparable; the times of the decays are part of the replayed decisions.
type trafficStatistics struct {
	ctx              *stepContext
	sentAttempts     float64         // attempts sent
	endpointRequests float64         // requests for which the balancer was to choose a server
	throttleRequests float64         // requests that the adaptive throttle has checked, by their evidence
	throttleAccepts  float64         // attempts answered within the latency objective, by their evidence
	zoneFailures     map[int]float64 // by zone: moving average of the fraction of failed attempts, from 0 to 1
	decayedAt        Instant         // time of the last decay
}

// decay brings all counts up to date.
func (t *trafficStatistics) decay() {
	factor := math.Exp(-seconds(t.ctx.now-t.decayedAt) / seconds(trafficMemory))
	t.sentAttempts *= factor
	t.throttleRequests *= factor
	t.throttleAccepts *= factor
	t.endpointRequests *= factor
	t.decayedAt = t.ctx.now
	for zone := range t.zoneFailures { // in any order
		t.zoneFailures[zone] *= factor
	}
}

// attemptRate returns the number of attempts per second that this gateway sends.
func (t *trafficStatistics) attemptRate() float64 {
	t.decay()
	return t.sentAttempts / seconds(trafficMemory)
}

// recordAttempt counts an attempt that starts now.
func (t *trafficStatistics) recordAttempt() {
	t.decay()
	t.sentAttempts++
}

// recordAccept counts an answer within the latency objective as an accept for the throttle, by its evidence.
func (t *trafficStatistics) recordAccept(evidence float64) {
	t.decay()
	t.throttleAccepts += evidence
}

// withdraw takes back a part of the evidence of a request that was counted for the throttle at a time.
func (t *trafficStatistics) withdraw(evidence float64, countedAt Instant) {
	t.decay()
	evidence *= math.Exp(-seconds(t.ctx.now-countedAt) / seconds(trafficMemory))
	t.throttleRequests = max(0, t.throttleRequests-evidence)
}

// recordZoneSuccess lowers a zone's failure fraction.
func (t *trafficStatistics) recordZoneSuccess(zone int) {
	t.zoneFailures[zone] *= 1 - zoneFailureWeight
}

// recordZoneFailure raises a zone's failure fraction.
func (t *trafficStatistics) recordZoneFailure(zone int) {
	t.zoneFailures[zone] += (1 - t.zoneFailures[zone]) * zoneFailureWeight
}
