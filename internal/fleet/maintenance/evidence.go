package maintenance

import "time"

// Limits on the evidence of health and load.
const (
	healthSpan        = 4 * time.Second         // age up to which a server's samples are kept
	lateAnswerDelay   = 1200 * time.Millisecond // age from which reported timeouts count as failures, because a server in slow start may answer late
	maxTrackedServers = 1024                    // limit on the servers with samples
	loadSpan          = time.Hour               // age up to which peak loads are kept
	loadBucket        = time.Minute             // period for which one peak load is kept
)

// sample holds one gateway's attempts to a server, from one load report.
type sample struct {
	at           time.Duration // arrival time of the report
	served       uint64
	failed       uint64
	timedOut     uint64 // number of attempts without an answer for much longer than usual
	answeredLate uint64 // number of attempts served after they were counted in timedOut, by this report or an earlier one
}

// peakLoad is the highest mean load of the servers in use within one loadBucket, at times when the fleet was not saturated and all zones
// were in service.
type peakLoad struct {
	at   time.Duration // start of the bucket
	rate float64       // attempts a second per server in use
}

// Observe adds the attempts of one gateway to a server since the gateway's last report. timedOut counts attempts without an answer for
// much longer than usual, and answeredLate those that were served after they were counted in timedOut. now must not decrease.
func (s *Scheduler) Observe(now time.Duration, server string, served, failed, timedOut, answeredLate uint64) {
	if served+failed+timedOut+answeredLate == 0 {
		return
	}
	samples := append(s.samples[server], sample{now, served, failed, timedOut, answeredLate})
	for len(samples) > 0 && now-samples[0].at > healthSpan {
		samples = samples[1:]
	}
	s.samples[server] = samples
	if len(s.samples) > maxTrackedServers {
		clear(s.samples) // servers are continually replaced under new names; the next reports add those in use again
	}
}

// healthSince returns the numbers of served and failed attempts to a server since a time, at most healthSpan ago. A server in slow start
// answers later than others, so a timed-out attempt counts as failed only after lateAnswerDelay, and not if it was answered late.
func (s *Scheduler) healthSince(server string, now, since time.Duration) (served, failed uint64) {
	timedOut, answeredLate := uint64(0), uint64(0)
	for _, report := range s.samples[server] {
		if report.at < since {
			continue
		}
		served += report.served + report.answeredLate
		failed += report.failed
		answeredLate += report.answeredLate
		if now-report.at >= lateAnswerDelay {
			timedOut += report.timedOut
		}
	}
	return served, failed + timedOut - min(timedOut, answeredLate)
}

// recordLoad records rate, the mean attempts a second per server in use, if the fleet is faultless. It keeps one peak for each loadBucket
// and drops the peaks older than loadSpan.
func (s *Scheduler) recordLoad(now time.Duration, rate float64, faultless bool) {
	if faultless {
		if n := len(s.peakLoads); n == 0 || now-s.peakLoads[n-1].at >= loadBucket {
			s.peakLoads = append(s.peakLoads, peakLoad{at: now})
		}
		last := &s.peakLoads[len(s.peakLoads)-1]
		last.rate = max(last.rate, rate)
	}
	for len(s.peakLoads) > 0 && now-s.peakLoads[0].at > loadSpan {
		s.peakLoads = s.peakLoads[1:]
	}
}

// maxLoad returns the highest peak load of the last loadSpan, in attempts a second per server.
func (s *Scheduler) maxLoad() (rate float64) {
	for _, l := range s.peakLoads {
		rate = max(rate, l.rate)
	}
	return rate
}
