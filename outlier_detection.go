package dewhitch

import "math"

const (
	baseEjectionTime      = second      // duration of the first ejection; each further failure doubles it
	baseEjectionIntervals = 3.0         // least first ejection, in intervals between attempts on a server
	maxEjectionTime       = 32 * second // longest duration of an ejection
	maxEjectedFraction    = 0.5         // fraction of the ready servers; if more are outliers, none is excluded
	maxSuspects           = 256         // number of suspects up to which outliers are counted for each request
)

// failureRecord holds the failures of a server for one class. The zero value has no failures.
type failureRecord struct {
	succeededAt         Instant // time of the last success of the class
	consecutiveFailures int     // number of failures since the last success
	firstFailedAt       Instant // time of the first failure since the last success
	ejectedUntil        Instant // afterwards the server is half-open: one attempt at a time until a success
}

// outlierDetector ejects servers whose attempts fail while no attempt of the class succeeds. Errors,
// rejections and missing answers all count as failures. It owns the servers' failures, succeededAt and
// withoutSuccessSince.
type outlierDetector struct {
	ctx           *stepContext
	endpoints     *endpointSet
	aperture      *aperture
	traffic       *trafficStatistics
	suspects      map[*server]bool // servers that may have failures, including all that have any
	ejectedCounts []int            // by class: number of ejected servers at the last count
	countedAt     []Instant        // by class: time of the last count; 0: never
}

// reset clears the failures of a server that is new or has restarted.
func (o *outlierDetector) reset(s *server) {
	s.failures = make([]failureRecord, len(o.ctx.settings.Classes))
	delete(o.suspects, s)
}

// forget removes a server that is no longer listed from the suspects.
func (o *outlierDetector) forget(s *server) { delete(o.suspects, s) }

// recordStart records the start of an attempt on a server. It is called before the attempt is in flight.
func (o *outlierDetector) recordStart(s *server) {
	if s.awaited() == 0 {
		s.withoutSuccessSince = o.ctx.now
	}
}

// recordSuccess records a success of a class on a server and clears the server's failures of that class.
func (o *outlierDetector) recordSuccess(s *server, class int) {
	s.withoutSuccessSince, s.succeededAt = o.ctx.now, o.ctx.now
	s.failures[class] = failureRecord{succeededAt: o.ctx.now}
	o.traffic.recordZoneSuccess(s.Zone)
}

// recordFailure counts an attempt that failed or is unanswered as a failure of its server, at most once. It
// returns false and counts nothing if the server has served another request of the class since the attempt
// started: then the attempt is only slow. Otherwise it returns true.
func (o *outlierDetector) recordFailure(class int, a *attempt) (counted bool) {
	s := a.server
	record := &s.failures[class]
	if record.succeededAt > a.startedAt {
		return false
	}
	if a.failureCounted {
		return true
	}
	a.failureCounted = true
	o.suspects[s] = true
	o.traffic.recordZoneFailure(s.Zone)
	// With fewer attempts, each lost one is a larger share of them, so the ejection lasts longer.
	duration := max(seconds(baseEjectionTime), baseEjectionIntervals*o.aperture.attemptInterval()) *
		math.Pow(2, float64(record.consecutiveFailures))
	record.consecutiveFailures++
	if record.consecutiveFailures == 1 {
		record.firstFailedAt = o.ctx.now
	}
	record.ejectedUntil = o.ctx.now + Instant(min(duration, seconds(maxEjectionTime))*1e9)
	return true
}

// isEjected returns true if a server is excluded for a request of a class: during its ejection and, while it
// is half-open after that, as long as an attempt is in flight there. Failures of one class eject the server
// for all classes until it has served a request of any class.
func (o *outlierDetector) isEjected(s *server, class int) bool {
	for k, record := range s.failures {
		applies := record.consecutiveFailures > 0 && (k == class || s.succeededAt <= record.firstFailedAt)
		if applies && (o.ctx.now < record.ejectedUntil || s.awaited() > 0) {
			return true
		}
	}
	return false
}

// ejectionApplies returns true if outliers are excluded for a class. If more than maxEjectedFraction of the
// ready servers are outliers, the cause is not these servers alone, and the others could not carry the load.
func (o *outlierDetector) ejectionApplies(class int) bool {
	return float64(o.countEjected(class)) <= maxEjectedFraction*float64(len(o.endpoints.ready))
}

// countEjected returns the number of ready servers that are outliers for a class, and removes the suspects
// without failures. With more than maxSuspects suspects, it reuses the last count for one sweep interval.
func (o *outlierDetector) countEjected(class int) int {
	countedAt := o.countedAt[class]
	recent := countedAt != 0 && o.ctx.now-countedAt < Instant(o.ctx.sweepInterval())
	if len(o.suspects) > maxSuspects && recent {
		return o.ejectedCounts[class]
	}
	n := 0
	for s := range o.suspects { // the order has no effect
		if !s.hasFailures() {
			delete(o.suspects, s)
		} else if s.State == Ready && o.isEjected(s, class) {
			n++
		}
	}
	o.ejectedCounts[class], o.countedAt[class] = n, o.ctx.now
	return n
}

// hasFailures returns true if s has failed for any class since its last success of that class.
func (s *server) hasFailures() bool {
	for _, record := range s.failures {
		if record.consecutiveFailures > 0 {
			return true
		}
	}
	return false
}

// countEjectedForAll returns the number of ready servers that get no attempt of any class. It returns 0 if
// there are so many that outliers are not excluded.
func (o *outlierDetector) countEjectedForAll(now Instant) int {
	n := 0
	for s := range o.suspects { // the order has no effect
		if s.State == Ready && s.ejectedForAll(now) {
			n++
		}
	}
	if float64(n) > maxEjectedFraction*float64(len(o.endpoints.ready)) {
		return 0
	}
	return n
}

// ejectedForAll returns true if failures of one class eject s for all classes.
func (s *server) ejectedForAll(now Instant) bool {
	for _, record := range s.failures {
		if record.consecutiveFailures > 0 && now < record.ejectedUntil && s.succeededAt <= record.firstFailedAt {
			return true
		}
	}
	return false
}
