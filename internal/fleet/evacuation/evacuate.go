package evacuation

import (
	"maps"
	"slices"
)

// evacuateZones evacuates unhealthy zones for all gateways, in the order of their names, within maxEvacuated.
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

// mayEvacuate is the rule that admits the evacuation of an unhealthy zone: within the limit, or as part of a lost region; while the
// other zones are healthy; and, if the zone still serves some requests, while the others have capacity.
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

// maxEvacuated is the number of zones that may be out of service at once for all gateways.
func (e *evaluation) maxEvacuated() int {
	if e.cfg.MaxEvacuated != 0 {
		return e.cfg.MaxEvacuated
	}
	return max(len(e.zones)/3, min(1, len(e.zones)-1))
}

// regionFailed tells whether a zone's region fails as one: it has several zones, all of them are unhealthy or out of service, and they
// are at most half of all zones.
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

// deletePathStatusesTo drops the statuses of the paths to a zone, as a status for all gateways replaces them.
func (e *evaluation) deletePathStatusesTo(zone string) {
	maps.DeleteFunc(e.next, func(key string, _ Status) bool {
		from, to := splitKey(key)
		return from != "" && to == zone
	})
}

// evacuatePaths evacuates zones for the gateways of one zone alone, where other gateways see the servers healthy. At least one zone
// stays in service for each.
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

// evacuatePath evacuates one zone for one scope if the path is cut.
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

// pathCut tells whether a verdict is against the path and not the servers: nearly all attempts fail, gateways in other zones see the
// servers healthy, and the other zones are healthy for this scope.
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

// restoreLastZones deletes the path statuses of a zone of gateways that would have no zone left: an evacuation for all gateways may
// have taken the last one.
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
