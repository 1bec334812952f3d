package evacuation

import (
	"maps"
	"slices"
)

// evacuateZones evacuates unhealthy zones for all gateways, in the order of their names, as far as mayEvacuate permits.
func (e *evaluation) evacuateZones() {
	evacuated := 0
	unhealthy := map[string]verdict{}
	for _, zone := range e.zones {
		status, ok := e.next[zone]
		switch {
		case ok && !status.KeepInService:
			evacuated++
		case !ok:
			if v, isUnhealthy := e.detectUnhealthy(zone, e.statusesChangedAt, e.gateways); isUnhealthy {
				unhealthy[zone] = v
			}
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(unhealthy)) {
		if !e.mayEvacuate(zone, evacuated, unhealthy) {
			continue
		}
		v := unhealthy[zone]
		e.next[zone] = Status{State: Evacuated, Since: e.unixMS, Reason: v.String(), Partial: v.partial()}
		e.deletePathStatusesTo(zone)
		evacuated++
	}
}

// mayEvacuate returns true if an unhealthy zone may be evacuated. The number of evacuated zones must be within the limit, unless the
// zone's whole region fails. The other zones must be healthy and, if the zone still serves some requests, must have capacity.
func (e *evaluation) mayEvacuate(zone string, evacuated int, unhealthy map[string]verdict) bool {
	isUnhealthy := func(other string) bool { _, ok := unhealthy[other]; return ok }
	if evacuated >= e.maxEvacuated() && !(evacuated < len(e.zones)/2 && e.regionFailed(zone, isUnhealthy)) {
		return false
	}
	v := unhealthy[zone]
	allGateways := e.scopeOf("")
	if !e.othersHealthy(allGateways, v, isUnhealthy) {
		return false
	}
	_, saturated := e.saturated(e.zones, e.next, allGateways)
	return !saturated || !v.partial()
}

// maxEvacuated returns the limit on the number of zones that are evacuated at the same time for all gateways.
func (e *evaluation) maxEvacuated() int {
	if e.cfg.MaxEvacuated != 0 {
		return e.cfg.MaxEvacuated
	}
	return max(len(e.zones)/3, min(1, len(e.zones)-1))
}

// regionFailed returns true if the region of a zone fails as a whole: it has several zones, all of them are unhealthy, evacuated or
// probed, and they are at most half of all zones.
func (e *evaluation) regionFailed(zone string, unhealthy func(string) bool) bool {
	region := e.regionByZone[zone]
	if region == "" {
		return false
	}
	zonesInRegion := 0
	for _, other := range e.zones {
		if e.regionByZone[other] != region {
			continue
		}
		zonesInRegion++
		state := e.next[other].State
		if !unhealthy(other) && state != Evacuated && state != Probing {
			return false
		}
	}
	return zonesInRegion > 1 && 2*zonesInRegion <= len(e.zones)
}

// deletePathStatusesTo deletes the statuses of the paths to a zone, which a status for all gateways replaces.
func (e *evaluation) deletePathStatusesTo(zone string) {
	maps.DeleteFunc(e.next, func(key string, _ Status) bool {
		from, to := splitKey(key)
		return from != "" && to == zone
	})
}

// evacuatePaths evacuates a zone only for the gateways of one other zone if the path between the two is cut. At least one zone stays
// in service for the gateways of each zone.
func (e *evaluation) evacuatePaths() {
	for _, from := range e.zones {
		s := scope{from: from, gateways: e.gatewaysByZone[from]}
		if len(s.gateways) < quorumMin {
			continue
		}
		avoided := e.next.countAvoided(from, e.zones)
		for _, to := range e.zones {
			if avoided >= len(e.zones)-1 {
				break
			}
			if e.evacuatePath(s, to) {
				avoided++
			}
		}
	}
}

// evacuatePath evacuates a zone for the gateways of a scope if the path is cut. It returns true if it did.
func (e *evaluation) evacuatePath(s scope, to string) bool {
	_, hasStatus := e.next.For(s.from, to)
	if hasStatus || s.from == to || e.next[to].KeepInService {
		return false
	}
	v, unhealthy := e.detectUnhealthy(to, e.statusesChangedAt, s.gateways)
	if !unhealthy || !e.pathCut(s, to, v) {
		return false
	}
	e.next[pathKey(s.from, to)] = Status{State: Evacuated, Since: e.unixMS, Partial: v.partial(), Reason: "the way from " + s.from + ": " + v.String()}
	return true
}

// pathCut returns true if a verdict shows a fault of the path and not of the servers: nearly all attempts fail, gateways in other zones
// see the servers healthy, and the scope's gateways see the other zones healthy.
func (e *evaluation) pathCut(s scope, to string, v verdict) bool {
	if float64(v.failed) < pathUnhealthyRatio*float64(v.failed+v.served) {
		return false
	}
	gatewaysElsewhere := slices.DeleteFunc(slices.Clone(e.gateways), func(gateway string) bool { return e.zoneByGateway[gateway] == s.from })
	others := e.sumEvidence(to, v.windowStart, slowFactor, gatewaysElsewhere)
	if others.served <= 2*others.failed {
		return false
	}
	return e.othersHealthy(s, v, func(zone string) bool { return zone == to })
}

// restoreLastZones deletes the path statuses of the gateways that have no zone of servers left. That happens when a zone that was the
// last one for them is evacuated for all gateways.
func (e *evaluation) restoreLastZones() {
	for _, from := range e.zones {
		if e.next.countAvoided(from, e.zones) == len(e.zones) {
			maps.DeleteFunc(e.next, func(key string, _ Status) bool {
				keyFrom, _ := splitKey(key)
				return keyFrom == from
			})
		}
	}
}
