// Package evacuation detects outages of zones from the evidence of all gateways of a fleet. It decides which zones are evacuated, by
// which gateways they are probed and when they return to service, and it carries the operators' commands on zones. SelfMonitor is
// a gateway's own detection that it is cut off.
//
// The package is pure: it has no clock, no goroutine and no I/O, and nothing in it may be called concurrently. The owner (package
// agent) calls Detector.Observe for each load report of a gateway. On the leader it then calls SetServerStarts and Evaluate several
// times a second, and proposes the returned statuses as the plan's section. A status holds once the plan has it.
//
// docs/design/zone.md has the rules and the alternatives that were rejected.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Detector holds the evidence of the last seconds. Every voter observes, so that the next leader has the evidence; only the leader
// evaluates. The zero value is not usable. All times of type time.Duration are on the owner's monotonic clock.
type Detector struct {
	cfg Config

	zoneByGateway map[string]string        // zone of each gateway that reported
	lastReportAt  map[string]time.Duration // last report of each gateway
	regionByZone  map[string]string        // by zone, where a gateway of the zone names one
	knownZones    map[string]bool          // every zone that was reported
	samples       map[path][]sample        // the oldest first

	baselines         map[path]*baseline  // from a zone of gateways to a zone of servers
	lastStartByZone   map[string]int64    // by zone, last start of one of its servers, Unix ms
	gateways          []string            // that reported of late, sorted
	gatewaysByZone    map[string][]string // the same by their zones
	warmingZones      map[string]bool     // zones with servers in slow start
	now               time.Duration       // of the last evaluation
	statusesChangedAt time.Duration       // when a status last changed; evidence from before is not used for an evacuation
	sharedSlownessAt  time.Duration       // when zones were last slow together; 0: never
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

// SetServerStarts sets the last start of a server by zone, Unix ms. Servers that started after their zone was evacuated are probed
// ahead of the backoff.
func (d *Detector) SetServerStarts(starts map[string]int64) { d.lastStartByZone = starts }

// ZoneOf returns the zone of a gateway that reported of late.
func (d *Detector) ZoneOf(gateway string) (zone string, ok bool) {
	zone, ok = d.zoneByGateway[gateway]
	return zone, ok
}

// Saturated tells whether servers reject requests, as of the last evaluation.
func (d *Detector) Saturated() bool {
	_, saturated := d.saturated(slices.Sorted(maps.Keys(d.knownZones)), nil, scope{gateways: d.gateways})
	return saturated
}

// evaluation is the state of one call of Evaluate.
type evaluation struct {
	*Detector
	unixMS int64 // leader's clock, Unix ms
	next   Statuses
	zones  []string // sorted
	alive  func(gateway string) bool
}

// Evaluate returns the statuses that should hold, given those that do; changed tells whether they differ. now is on the clock of
// Observe, unix is the leader's clock in Unix ms, and alive tells whether a gateway can probe. current is not modified.
//
// Zones that already have a status are advanced first, then zones are evacuated, then paths: each step sees what the steps before
// have taken out of service.
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

// markWarmingZones finds the zones with servers in slow start: they answer late, which is no failure.
func (d *Detector) markWarmingZones(unixMS int64) {
	d.warmingZones = map[string]bool{}
	for zone, startedAt := range d.lastStartByZone {
		age := time.Duration(unixMS-startedAt) * time.Millisecond
		d.warmingZones[zone] = startedAt > 0 && age < d.cfg.RecoveryTime
	}
}
