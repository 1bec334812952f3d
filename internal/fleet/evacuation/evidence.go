package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dewhitch/internal/fleet"
)

// path leads to a zone of servers, from a gateway (samples) or from a zone of gateways (baselines).
type path struct{ from, to string }

// sample is what one gateway saw of one zone in one bucket of time.
type sample struct {
	startedAt    time.Duration // start of the bucket
	served       uint64        // attempts
	failed       uint64        // attempts
	rejected     uint64        // attempts that servers without capacity rejected
	answeredLate uint64        // attempts counted as failed, here or earlier, that were served after all
	answered     uint64        // attempts with an answer, in whatever time
	latencySum   float64       // seconds, sum over the answered attempts
}

// scope is the gateways that a status holds for.
type scope struct {
	from     string // their zone; empty: all gateways
	gateways []string
}

// scopeOf returns the gateways of one zone, or all of them if from is empty.
func (d *Detector) scopeOf(from string) scope {
	if from == "" {
		return scope{gateways: d.gateways}
	}
	return scope{from: from, gateways: d.gatewaysByZone[from]}
}

// Observe adds what a gateway in zone home saw since its last report. region may be empty. now must not decrease.
func (d *Detector) Observe(now time.Duration, gateway, homeZone, region string, delta fleet.Report) {
	d.zoneByGateway[gateway] = homeZone
	d.lastReportAt[gateway] = now
	d.knownZones[homeZone] = true
	if region != "" {
		d.regionByZone[homeZone] = region
	}
	for zone, counts := range delta.Zones {
		d.knownZones[zone] = true
		failed := counts.ConnectFailed + counts.TimedOut + counts.Failed
		if failed == 0 && counts.Served == 0 && counts.AnsweredLate == 0 && counts.Rejected == 0 {
			continue
		}
		key := path{gateway, zone}
		samples := d.samples[key]
		bucket := now / bucketSpan * bucketSpan
		if n := len(samples); n == 0 || samples[n-1].startedAt != bucket {
			samples = append(samples, sample{startedAt: bucket})
		}
		s := &samples[len(samples)-1]
		s.served += counts.Served
		s.failed += failed
		s.answeredLate += counts.AnsweredLate
		s.rejected += counts.Rejected
		s.answered += counts.Served + counts.AnsweredLate
		s.latencySum += float64(counts.LatencyMicros) / 1e6
		for len(samples) > 0 && now-samples[0].startedAt > d.cfg.ProbeTimeout {
			samples = samples[1:]
		}
		d.samples[key] = samples
	}
}

// expireGateways forgets the gateways without a report for gatewayExpiry and indexes the others. It runs once an evaluation: done
// for each report or each pair of zones, the leader's cost would grow with the square of the fleet.
func (d *Detector) expireGateways() {
	d.gateways = nil
	d.gatewaysByZone = map[string][]string{}
	expired := map[string]bool{}
	for _, gateway := range slices.Sorted(maps.Keys(d.zoneByGateway)) {
		if d.now-d.lastReportAt[gateway] > gatewayExpiry {
			delete(d.lastReportAt, gateway)
			delete(d.zoneByGateway, gateway)
			expired[gateway] = true
			continue
		}
		homeZone := d.zoneByGateway[gateway]
		d.gateways = append(d.gateways, gateway)
		d.gatewaysByZone[homeZone] = append(d.gatewaysByZone[homeZone], gateway)
	}
	if len(expired) > 0 {
		maps.DeleteFunc(d.samples, func(p path, _ []sample) bool { return expired[p.from] })
	}
}

// zoneEvidence is what several gateways saw of a zone.
type zoneEvidence struct {
	served      uint64 // attempts
	failed      uint64 // attempts
	rejected    uint64 // attempts
	unhealthyBy int    // gateways that saw more attempts fail than served
	healthyBy   int    // gateways that saw the zone otherwise
	slowBy      int    // gateways whose attempts all count as failed, by latency
}

// sumEvidence adds up what gateways saw of a zone since a time. A gateway whose mean latency is above factor times its baseline counts all
// its attempts as failed.
func (d *Detector) sumEvidence(zone string, since time.Duration, factor float64, gateways []string) (sum zoneEvidence) {
	for _, gateway := range gateways {
		evidence := d.sumSamples(path{gateway, zone}, since)
		sum.rejected += evidence.rejected
		switch {
		case d.warmingZones[zone]: // servers in slow start answer late
			answeredLate := min(evidence.answeredLate, evidence.failed)
			evidence.served += answeredLate
			evidence.failed -= answeredLate
		case d.isSlow(evidence, path{d.zoneByGateway[gateway], zone}, factor):
			evidence.failed += evidence.served
			evidence.served = 0
			sum.slowBy++
		}
		sum.served += evidence.served
		sum.failed += evidence.failed
		switch {
		case evidence.failed > evidence.served:
			sum.unhealthyBy++
		case evidence.served > 0:
			sum.healthyBy++
		}
	}
	return sum
}

// sumSamples adds up the samples of one gateway since a time. Attempts to a zone in slow start count as failed only after lateAnswer, as
// their answers may still come.
func (d *Detector) sumSamples(p path, since time.Duration) (sum sample) {
	warming := d.warmingZones[p.to]
	samples := d.samples[p]
	for i := len(samples) - 1; i >= 0 && samples[i].startedAt >= since; i-- {
		s := samples[i]
		sum.served += s.served
		if !warming || s.startedAt <= d.now-lateAnswerDelay {
			sum.failed += s.failed
		}
		sum.answeredLate += s.answeredLate
		sum.rejected += s.rejected
		sum.answered += s.answered
		sum.latencySum += s.latencySum
	}
	return sum
}

// String is the text of the evidence in Status.Reason.
func (z zoneEvidence) String() string {
	text := fmt.Sprintf("%d of %d fetches ill, by %d of %d gateways", z.failed, z.failed+z.served, z.unhealthyBy, z.unhealthyBy+z.healthyBy)
	if z.slowBy > 0 {
		text += fmt.Sprintf(", slow for %d", z.slowBy)
	}
	return text
}
