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
	at       time.Duration // start of the bucket
	served   uint64        // attempts
	failed   uint64        // attempts
	rejected uint64        // attempts that servers without capacity rejected
	late     uint64        // attempts counted as failed, here or earlier, that were served after all
	answered uint64        // attempts with an answer, in whatever time
	latency  float64       // seconds, sum over the answered attempts
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
	return scope{from: from, gateways: d.byZone[from]}
}

// Observe adds what a gateway in zone home saw since its last report. region may be empty. now must not decrease.
func (d *Detector) Observe(now time.Duration, gateway, home, region string, delta fleet.Report) {
	d.homes[gateway] = home
	d.heardAt[gateway] = now
	d.zones[home] = true
	if region != "" {
		d.regions[home] = region
	}
	for zone, counts := range delta.Zones {
		d.zones[zone] = true
		failed := counts.ConnectFailed + counts.TimedOut + counts.Failed
		if failed == 0 && counts.Served == 0 && counts.AnsweredLate == 0 && counts.Rejected == 0 {
			continue
		}
		key := path{gateway, zone}
		list := d.samples[key]
		bucket := now / bucketSpan * bucketSpan
		if n := len(list); n == 0 || list[n-1].at != bucket {
			list = append(list, sample{at: bucket})
		}
		s := &list[len(list)-1]
		s.served += counts.Served
		s.failed += failed
		s.late += counts.AnsweredLate
		s.rejected += counts.Rejected
		s.answered += counts.Served + counts.AnsweredLate
		s.latency += float64(counts.LatencyMicros) / 1e6
		for len(list) > 0 && now-list[0].at > d.cfg.ProbeTimeout {
			list = list[1:]
		}
		d.samples[key] = list
	}
}

// expireGateways forgets the gateways without a report for gatewayExpiry and indexes the others. It runs once an evaluation: done
// for each report or each pair of zones, the leader's cost would grow with the square of the fleet.
func (d *Detector) expireGateways() {
	d.gateways = nil
	d.byZone = map[string][]string{}
	expired := map[string]bool{}
	for _, gateway := range slices.Sorted(maps.Keys(d.homes)) {
		if d.now-d.heardAt[gateway] > gatewayExpiry {
			delete(d.heardAt, gateway)
			delete(d.homes, gateway)
			expired[gateway] = true
			continue
		}
		home := d.homes[gateway]
		d.gateways = append(d.gateways, gateway)
		d.byZone[home] = append(d.byZone[home], gateway)
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
func (d *Detector) sumEvidence(zone string, since time.Duration, factor float64, gateways []string) (t zoneEvidence) {
	for _, gateway := range gateways {
		seen := d.total(path{gateway, zone}, since)
		t.rejected += seen.rejected
		switch {
		case d.warming[zone]: // servers in slow start answer late
			late := min(seen.late, seen.failed)
			seen.served += late
			seen.failed -= late
		case d.isSlow(seen, path{d.homes[gateway], zone}, factor):
			seen.failed += seen.served
			seen.served = 0
			t.slowBy++
		}
		t.served += seen.served
		t.failed += seen.failed
		switch {
		case seen.failed > seen.served:
			t.unhealthyBy++
		case seen.served > 0:
			t.healthyBy++
		}
	}
	return t
}

// total adds up the samples of one gateway since a time. Attempts to a zone in slow start count as failed only after lateAnswer, as
// their answers may still come.
func (d *Detector) total(p path, since time.Duration) (sum sample) {
	warming := d.warming[p.to]
	list := d.samples[p]
	for i := len(list) - 1; i >= 0 && list[i].at >= since; i-- {
		s := list[i]
		sum.served += s.served
		if !warming || s.at <= d.now-lateAnswer {
			sum.failed += s.failed
		}
		sum.late += s.late
		sum.rejected += s.rejected
		sum.answered += s.answered
		sum.latency += s.latency
	}
	return sum
}

// String is the text of the evidence in Status.Reason.
func (t zoneEvidence) String() string {
	text := fmt.Sprintf("%d of %d fetches ill, by %d of %d gateways", t.failed, t.failed+t.served, t.unhealthyBy, t.unhealthyBy+t.healthyBy)
	if t.slowBy > 0 {
		text += fmt.Sprintf(", slow for %d", t.slowBy)
	}
	return text
}
