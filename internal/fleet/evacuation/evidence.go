package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dewhitch/internal/fleet"
)

// path identifies the connection to a zone of servers from one gateway (samples) or from the gateways of a zone (baselines).
type path struct{ from, to string }

// sample counts the attempts of one gateway to one zone in one time bucket.
type sample struct {
	startedAt    time.Duration // start of the bucket; in a SelfMonitor, the time of the observation
	served       uint64        // number of served attempts
	failed       uint64        // number of failed attempts
	rejected     uint64        // number of attempts that servers without capacity rejected
	answeredLate uint64        // number of attempts served in this bucket after they were counted as failed, in it or an earlier one
	answered     uint64        // number of attempts that were served, in time or late
	latencySum   float64       // total latency of the answered attempts, in seconds
}

// scope selects the gateways that a status applies to.
type scope struct {
	from     string   // home zone of the gateways; empty: all gateways
	gateways []string // sorted
}

// scopeOf returns the scope of the gateways in the zone from, or of all gateways if from is empty.
func (d *Detector) scopeOf(from string) scope {
	if from == "" {
		return scope{gateways: d.gateways}
	}
	return scope{from: from, gateways: d.gatewaysByZone[from]}
}

// Observe adds a gateway's counters since its last report to the evidence. homeZone is the gateway's zone and region the zone's region,
// which may be empty. now must not decrease between calls.
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

// expireGateways removes the gateways without a report for gatewayExpiry and indexes the others. It runs once in each evaluation. If it
// ran for each report or each pair of zones, the leader's cost would grow with the square of the fleet.
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

// zoneEvidence sums up the evidence of several gateways on a zone.
type zoneEvidence struct {
	served            uint64 // number of served attempts
	failed            uint64 // number of failed attempts
	rejected          uint64 // number of rejected attempts
	unhealthyGateways int    // number of gateways that saw more failed than served attempts
	healthyGateways   int    // number of other gateways with served attempts
	slowGateways      int    // number of gateways whose attempts all count as failed because of their latency
}

// sumEvidence adds up the evidence of gateways on a zone since a time. If the mean latency that a gateway saw is above factor times the
// baseline, all its attempts count as failed.
func (d *Detector) sumEvidence(zone string, since time.Duration, factor float64, gateways []string) (sum zoneEvidence) {
	for _, gateway := range gateways {
		evidence := d.sumSamples(path{gateway, zone}, since)
		sum.rejected += evidence.rejected
		switch {
		case d.warmingZones[zone]: // servers in slow start answer late, which is no failure
			answeredLate := min(evidence.answeredLate, evidence.failed)
			evidence.served += answeredLate
			evidence.failed -= answeredLate
		case d.isSlow(evidence, path{d.zoneByGateway[gateway], zone}, factor):
			evidence.failed += evidence.served
			evidence.served = 0
			sum.slowGateways++
		}
		sum.served += evidence.served
		sum.failed += evidence.failed
		switch {
		case evidence.failed > evidence.served:
			sum.unhealthyGateways++
		case evidence.served > 0:
			sum.healthyGateways++
		}
	}
	return sum
}

// sumSamples adds up the samples of one gateway since a time. If the zone has servers in slow start, failed attempts count only after
// lateAnswerDelay, because their answers may still arrive.
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

// String returns the text of the evidence for Status.Reason.
func (z zoneEvidence) String() string {
	text := fmt.Sprintf("%d of %d fetches ill, by %d of %d gateways", z.failed, z.failed+z.served, z.unhealthyGateways, z.unhealthyGateways+z.healthyGateways)
	if z.slowGateways > 0 {
		text += fmt.Sprintf(", slow for %d", z.slowGateways)
	}
	return text
}
