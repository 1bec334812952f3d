package dewhitch

import "math"

const (
	ejectionBase      = second      // length of the first ejection; each further failure doubles it
	ejectionIntervals = 3.0         // or so many intervals between two attempts on the server, if that is longer
	maxEjection       = 32 * second // length of any ejection
	maxEjected        = 0.5         // of the ready servers: if more are outliers, none is left out
	maxSuspects       = 256         // servers with failures that are recounted for each request
)

// failureRecord is what speaks against a server for one class. Its zero value is a server without failures.
type failureRecord struct {
	succeededAt  Instant // last success of the class
	count        int     // consecutive failures since
	firstAt      Instant // of the first of them
	ejectedUntil Instant // then the server is half-open: one attempt at a time, until one succeeds
}

// outlierDetector ejects servers whose attempts fail while no attempt of the class succeeds; an error and a
// rejection count as failures, as silence does. It owns the servers' failures, succeededAt and
// withoutSuccessSince.
type outlierDetector struct {
	ctx       *stepContext
	endpoints *endpointSet
	aperture  *aperture
	traffic   *trafficStatistics
	suspects  map[*server]bool // those that may have failures
	counts    []int            // by class: ejected servers, as last counted
	countedAt []Instant        // by class; 0: never
}

// reset forgets a server's failures; it has restarted.
func (o *outlierDetector) reset(s *server) {
	s.failures = make([]failureRecord, len(o.ctx.settings.Classes))
	delete(o.suspects, s)
}

// forget drops a server that is no longer listed.
func (o *outlierDetector) forget(s *server) { delete(o.suspects, s) }

// recordStart notes that an attempt starts on a server, before it counts as in flight.
func (o *outlierDetector) recordStart(s *server) {
	if s.inFlight == 0 {
		s.withoutSuccessSince = o.ctx.now
	}
}

// recordSuccess clears a server's failures of a class.
func (o *outlierDetector) recordSuccess(s *server, class int) {
	s.withoutSuccessSince, s.succeededAt = o.ctx.now, o.ctx.now
	s.failures[class] = failureRecord{succeededAt: o.ctx.now}
	o.traffic.recordZoneSuccess(s.Zone)
}

// recordFailure counts an attempt that failed or is unanswered as a failure of its server, once. It returns
// false, and counts nothing, if the server has served another request of the class since the attempt began:
// then the attempt is slow, and the server is not to blame.
func (o *outlierDetector) recordFailure(class int, a *attempt) (blamed bool) {
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
	// Where attempts are few each one lost costs more of them, so ejection lasts longer.
	length := max(seconds(ejectionBase), ejectionIntervals*o.aperture.attemptInterval()) *
		math.Pow(2, float64(record.count))
	record.count++
	if record.count == 1 {
		record.firstAt = o.ctx.now
	}
	record.ejectedUntil = o.ctx.now + Instant(min(length, seconds(maxEjection))*1e9)
	return true
}

// isEjected decides whether a server is left out for a request of a class: while it is ejected, and,
// half-open after that, while an attempt is out there. Failures of one class eject it for all classes until
// it has served any of them.
func (o *outlierDetector) isEjected(s *server, class int) bool {
	for k, record := range s.failures {
		applies := record.count > 0 && (k == class || s.succeededAt <= record.firstAt)
		if applies && (o.ctx.now < record.ejectedUntil || s.inFlight > 0) {
			return true
		}
	}
	return false
}

// ejectionApplies tells whether outliers are left out for a class. If more than maxEjected of the ready
// servers are outliers, the fault is not theirs alone, and the others could not carry the load.
func (o *outlierDetector) ejectionApplies(class int) bool {
	return float64(o.countEjected(class)) <= maxEjected*float64(len(o.endpoints.ready))
}

// countEjected counts the ready servers that are outliers for a class, and drops suspects without failures.
// With very many suspects the last count is used for the length of a sweep.
func (o *outlierDetector) countEjected(class int) int {
	counted := o.countedAt[class]
	recent := counted != 0 && o.ctx.now-counted < Instant(o.ctx.sweepInterval())
	if len(o.suspects) > maxSuspects && recent {
		return o.counts[class]
	}
	n := 0
	for s := range o.suspects { // in any order
		if !s.hasFailures() {
			delete(o.suspects, s)
		} else if s.State == Ready && o.isEjected(s, class) {
			n++
		}
	}
	o.counts[class], o.countedAt[class] = n, o.ctx.now
	return n
}

// hasFailures tells whether s has failures of any class since its last success of that class.
func (s *server) hasFailures() bool {
	for _, record := range s.failures {
		if record.count > 0 {
			return true
		}
	}
	return false
}

// countEjectedForAll counts the ready servers that get no attempt of any class; 0 where outliers are not left out.
func (o *outlierDetector) countEjectedForAll(now Instant) int {
	n := 0
	for s := range o.suspects { // in any order
		if s.State == Ready && s.ejectedForAll(now) {
			n++
		}
	}
	if float64(n) > maxEjected*float64(len(o.endpoints.ready)) {
		return 0
	}
	return n
}

// ejectedForAll tells whether a failure of one class ejects s for all of them.
func (s *server) ejectedForAll(now Instant) bool {
	for _, record := range s.failures {
		if record.count > 0 && now < record.ejectedUntil && s.succeededAt <= record.firstAt {
			return true
		}
	}
	return false
}
