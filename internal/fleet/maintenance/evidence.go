package maintenance

import "time"

// Bounds of the evidence.
const (
	healthSpan        = 4 * time.Second         // of samples that are kept of a server
	lateAnswerDelay   = 1200 * time.Millisecond // that a server in slow start may take to answer
	maxTrackedServers = 1024                    // servers with samples
	loadSpan          = time.Hour               // for which the highest load is remembered
	loadBucket        = time.Minute
)

// sample is what one load report says of a server, in attempts.
type sample struct {
	at           time.Duration
	served       uint64
	failed       uint64
	timedOut     uint64 // without an answer for longer than other attempts take
	answeredLate uint64 // silent in this report or an earlier one, and served after all
}

// peakLoad is the highest rate of a server in use in one loadBucket in which no server rejected any request.
type peakLoad struct {
	at   time.Duration // start of the bucket
	rate float64       // attempts a second
}

// Observe adds the attempts of one gateway to a server since its last report: served, failed, silent (without an answer for longer than
// others take) and late (served after they had been silent). now must not decrease.
func (s *Scheduler) Observe(now time.Duration, server string, served, failed, timedOut, answeredLate uint64) {
	if served+failed+timedOut+answeredLate == 0 {
		return
	}
	samples := append(s.health[server], sample{now, served, failed, timedOut, answeredLate})
	for len(samples) > 0 && now-samples[0].at > healthSpan {
		samples = samples[1:]
	}
	s.health[server] = samples
	if len(s.health) > maxTrackedServers {
		clear(s.health) // servers get new names all day; those in use are observed again at once
	}
}

// healthSince adds up the attempts to a server since a time within healthSpan. A server in slow start answers later than others:
// a silent attempt counts as failed only after lateAnswer, and not if it was served late.
func (s *Scheduler) healthSince(server string, now, since time.Duration) (served, failed uint64) {
	timedOut, answeredLate := uint64(0), uint64(0)
	for _, report := range s.health[server] {
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

// recordLoad remembers the load of a server in use, in attempts a second, while the fleet is faultless.
func (s *Scheduler) recordLoad(now time.Duration, rate float64, faultless bool) {
	if faultless {
		if n := len(s.loads); n == 0 || now-s.loads[n-1].at >= loadBucket {
			s.loads = append(s.loads, peakLoad{at: now})
		}
		last := &s.loads[len(s.loads)-1]
		last.rate = max(last.rate, rate)
	}
	for len(s.loads) > 0 && now-s.loads[0].at > loadSpan {
		s.loads = s.loads[1:]
	}
}

// maxLoad is the highest load that servers bore within loadSpan, in attempts a second of each.
func (s *Scheduler) maxLoad() (rate float64) {
	for _, l := range s.loads {
		rate = max(rate, l.rate)
	}
	return rate
}
