package evacuation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Backoff of probes. A failed probe costs two attempts and a failed return many, so the delay grows faster after a return.
const (
	returnBackoff    = 3.0 // factor for each failed return
	maxReturnBackoff = 6   // failed returns that count
	probeBackoff     = 1.5 // factor for each failed probe
	maxProbeBackoff  = 12  // failed probes that count
	backoffJitter    = 0.2 // of the delay
)

// mayProbe tells whether an evacuated zone may be probed: at the end of an operator's evacuation; or after the backoff; or as soon as
// a server started after the evacuation, as the fault may be over.
func (e *evaluation) mayProbe(c statusContext) bool {
	if c.status.By != "" {
		return c.status.Until != 0 && e.unixMS >= c.status.Until
	}
	restarted := e.lastStartByZone[c.zone] > c.status.Since && c.age >= restartProbeDelay
	return restarted || c.age >= e.probeDelay(c.key, c.status)
}

// probeDelay is the backoff from an evacuation to its next probe. The jitter keeps zones that failed together from being probed
// together; it is a hash of the status, so that every leader computes the same delay.
func (d *Detector) probeDelay(key string, status Status) time.Duration {
	delay := float64(d.cfg.ProbeDelay) *
		math.Pow(returnBackoff, float64(min(status.FailedReturns, maxReturnBackoff))) *
		math.Pow(probeBackoff, float64(min(status.FailedProbes, maxProbeBackoff)))
	jitter := float64(xxhash.Sum64String(fmt.Sprint(key, status.Since))%1000) / 1000
	return time.Duration(min(float64(d.cfg.MaxProbeDelay), delay) * (1 + backoffJitter*jitter))
}

// chooseProber selects one gateway of the scope that is alive, the turn-th in a round robin that begins with the gateways of the zone
// itself: they have the shortest path. It returns nil if none is alive.
func (e *evaluation) chooseProber(c statusContext, index int) []string {
	var candidates []string
	for _, gateway := range c.scope.gateways {
		if e.alive(gateway) {
			candidates = append(candidates, gateway)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.distance(a, c.zone), e.distance(b, c.zone)), cmp.Compare(a, b))
	})
	return []string{candidates[max(0, index)%len(candidates)]}
}

// distance is 0 for a gateway in the zone and 1 for any other.
func (d *Detector) distance(gateway, zone string) int {
	if d.zoneByGateway[gateway] == zone {
		return 0
	}
	return 1
}
