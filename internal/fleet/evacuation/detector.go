// Package evacuation detects outages of zones from the evidence of all gateways of a fleet. It decides which zones are evacuated, which
// gateways probe them and when they return to service. It also implements the operators' commands on zones. With a SelfMonitor, a
// gateway detects that it is itself isolated.
//
// The package has no clock, no goroutines and no I/O. Its types are not safe for concurrent use. The owner (package agent) calls
// Detector.Observe for each load report of a gateway. On the leader it also calls SetServerStarts and Evaluate several times a second,
// and proposes the returned statuses as a section of the plan. A status takes effect when it is part of the plan.
//
// docs/design/zone.md describes the rules and the rejected alternatives.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Detector holds the evidence of the last seconds on every zone, and the latency baselines. Every voter calls Observe, so that a new
// leader has the evidence; only the leader calls Evaluate. Nothing in a Detector is durable. The zero value is not usable. Times of
// type time.Duration are on the owner's monotonic clock.
type Detector struct {
	cfg Config

	zoneByGateway map[string]string        // home zone of each gateway that reported
	lastReportAt  map[string]time.Duration // time of each gateway's last report
	regionByZone  map[string]string        // region of each zone whose gateways report one
	knownZones    map[string]bool          // zones of gateways and of servers in any report so far
	samples       map[path][]sample        // samples of each path from a gateway to a zone of servers, oldest first

	baselines         map[path]*baseline  // latency baseline of each path from a zone of gateways to a zone of servers
	lastStartByZone   map[string]int64    // last start of a server in each zone, Unix ms
	gateways          []string            // gateways that reported within gatewayExpiry, sorted
	gatewaysByZone    map[string][]string // gateways that reported within gatewayExpiry, by home zone
	warmingZones      map[string]bool     // zones with servers in slow start
	now               time.Duration       // time of the last evaluation
	statusesChangedAt time.Duration       // time when Evaluate last changed a status; evacuations use only later evidence
	sharedSlownessAt  time.Duration       // time when several zones were last slow together; 0: never
}

// New returns a Detector without evidence.
func New(cfg Config) *Detector {
	return &Detector{
		cfg:           cfg,
		zoneByGateway: map[string]string{},
		lastReportAt:  map[string]time.Duration{},
		regionByZone:  map[string]string{},
		knownZones:    map[string]bool{},
		samples:       map[path][]sample{},
		baselines:     map[path]*baseline{},
		warmingZones:  map[string]bool{},
	}
}

// SetServerStarts sets the time of the last start of a server in each zone, in Unix ms. A zone with a server that started after the
// evacuation is probed without waiting for the backoff.
func (d *Detector) SetServerStarts(starts map[string]int64) { d.lastStartByZone = starts }

// ZoneOf returns the home zone of a gateway. ok is false if the gateway never reported, or if the last
// evaluation found no report of it within gatewayExpiry.
func (d *Detector) ZoneOf(gateway string) (zone string, ok bool) {
	zone, ok = d.zoneByGateway[gateway]
	return zone, ok
}

// Saturated returns true if the servers of all zones together reject too many requests, as of the last evaluation.
func (d *Detector) Saturated() bool {
	_, saturated := d.saturated(slices.Sorted(maps.Keys(d.knownZones)), nil, scope{gateways: d.gateways})
	return saturated
}

// evaluation holds the state of one call of Evaluate.
type evaluation struct {
	*Detector
	unixMS int64                     // time by the leader's clock, Unix ms
	next   Statuses                  // result, modified step by step
	zones  []string                  // all known zones, sorted
	alive  func(gateway string) bool // returns true if a gateway can probe
}

// Evaluate returns the statuses that should replace the current ones. changed is true if they differ. now is on the clock of Observe,
// unixMS is the leader's clock in Unix ms, and alive returns true if a gateway can probe. current is not modified.
//
// Evaluate first advances the zones that have a status, then evacuates zones, then paths. Each step takes into account what the
// previous steps took out of service.
func (d *Detector) Evaluate(now time.Duration, unixMS int64, current Statuses, alive func(gateway string) bool) (next Statuses, changed bool) {
	next = maps.Clone(current)
	if next == nil {
		next = Statuses{}
	}
	e := &evaluation{Detector: d, unixMS: unixMS, next: next, zones: slices.Sorted(maps.Keys(d.knownZones)), alive: alive}
	d.now = now
	d.expireGateways()
	d.markWarmingZones(unixMS)
	d.updateBaselines(next, e.zones)
	e.advance()
	e.evacuateZones()
	e.evacuatePaths()
	e.restoreLastZones()
	changed = !maps.EqualFunc(current, next, equal)
	if changed {
		d.statusesChangedAt = now
	}
	return next, changed
}

// markWarmingZones determines the zones with servers in slow start. Such servers answer late, which does not count as a failure.
func (d *Detector) markWarmingZones(unixMS int64) {
	d.warmingZones = map[string]bool{}
	for zone, startedAt := range d.lastStartByZone {
		age := time.Duration(unixMS-startedAt) * time.Millisecond
		d.warmingZones[zone] = startedAt > 0 && age < d.cfg.RecoveryTime
	}
}
