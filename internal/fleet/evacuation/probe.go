package evacuation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Backoff of probes. A failed probe costs two attempts and a failed return many, so the delay grows faster after failed returns.
const (
	returnBackoff    = 3.0 // factor on the delay for each failed return
	maxReturnBackoff = 6   // number of failed returns beyond which the delay no longer grows
	probeBackoff     = 1.5 // factor on the delay for each failed probe
	maxProbeBackoff  = 12  // number of failed probes beyond which the delay no longer grows
	backoffJitter    = 0.2 // largest fraction of the delay that the jitter adds
)

// mayProbe returns true if an evacuated zone may be probed. A zone that an operator evacuated may be probed at the end of that
// evacuation. Any other may be probed after the backoff, or as soon as a server has started after the evacuation, because the fault may
// then be gone.
func (e *evaluation) mayProbe(c statusContext) bool {
	if c.status.By != "" {
		return c.status.Until != 0 && e.unixMS >= c.status.Until
	}
	restarted := e.lastStartByZone[c.zone] > c.status.Since && c.age >= restartProbeDelay
	return restarted || c.age >= e.probeDelay(c.key, c.status)
}

// probeDelay returns the backoff from an evacuation to the next probe. The jitter keeps zones that failed together from being probed
// together. It is a hash of the status's key and start, so that every leader computes the same delay.
func (d *Detector) probeDelay(key string, status Status) time.Duration {
	delay := float64(d.cfg.ProbeDelay) *
		math.Pow(returnBackoff, float64(min(status.FailedReturns, maxReturnBackoff))) *
		math.Pow(probeBackoff, float64(min(status.FailedProbes, maxProbeBackoff)))
	jitter := float64(xxhash.Sum64String(fmt.Sprint(key, status.Since))%1000) / 1000
	return time.Duration(min(float64(d.cfg.MaxProbeDelay), delay) * (1 + backoffJitter*jitter))
}

// chooseProber returns one gateway of the scope that is alive, by an index into the rotation of these gateways. The rotation begins
// with the gateways in the zone itself, which have the shortest path. It returns nil if no gateway is alive.
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

// distance returns 0 for a gateway in the zone and 1 for any other.
func (d *Detector) distance(gateway, zone string) int {
	if d.zoneByGateway[gateway] == zone {
		return 0
	}
	return 1
}
