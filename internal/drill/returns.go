package drill

import (
	"math"
	"sort"
	"time"

	"dewhitch/internal/standin"
)

// SlowStartResult measures what all gateways together sent to a server after a restart.
type SlowStartResult struct {
	Server       string  `json:"server"`
	At           float64 `json:"at"`    // time of the restart in seconds since the start of the load
	MaxLoadRatio float64 `json:"worst"` // highest ratio of the attempts in a second to the capacity, during slow start
	// MaxExcessRatio is the highest ratio of the attempts in a second, during slow start, to the capacity plus three times its
	// square root, which allows for chance.
	MaxExcessRatio float64 `json:"slack"`
	FullRateAfter  float64 `json:"full"` // seconds until the server's rate reached fullRatio of the others'; 0 if it never did
}

// serverRestart is one restart of a server.
type serverRestart struct {
	server *server
	at     time.Time
}

// Parameters of the measurement of slow starts.
const (
	fullRatio    = 0.8                    // fraction of the other servers' mean rate that counts as full
	fullRateSpan = 2 * time.Second        // time over which the rates are compared
	measureStep  = 100 * time.Millisecond // time between two measurements
)

// measureSlowStarts measures every restart of a server, in the order of their times.
func (c *cluster) measureSlowStarts() (results []SlowStartResult) {
	c.mu.Lock()
	restarts := append([]serverRestart(nil), c.restarts...)
	c.mu.Unlock()
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	for i, r := range restarts {
		end := c.startedAt.Add(c.Length)
		for _, later := range restarts[i+1:] {
			if later.server == r.server {
				end = later.at
				break
			}
		}
		results = append(results, c.measureSlowStart(r, end))
	}
	return results
}

// measureSlowStart measures one restart until end, which is the server's next restart or the end of the drill. The caller holds
// the checker's lock.
func (c *cluster) measureSlowStart(restart serverRestart, end time.Time) SlowStartResult {
	result := SlowStartResult{Server: restart.server.name, At: restart.at.Sub(c.startedAt).Seconds()}
	model := serverModel{cores: serverCores, meanSeconds: meanWork.Seconds(), slowFactor: 1, startedAt: restart.at, slowStart: true}
	arrivals := c.checker.arrivalsByServer[restart.server.name]
	for t := restart.at; t.Add(time.Second).Before(end); t = t.Add(measureStep) {
		if t.Sub(restart.at) < standin.SlowStartSpan {
			attempts := float64(countBetween(arrivals, t, t.Add(time.Second)))
			capacity := model.capacity(t.Add(time.Second / 2))
			result.MaxLoadRatio = max(result.MaxLoadRatio, attempts/capacity)
			result.MaxExcessRatio = max(result.MaxExcessRatio, attempts/(capacity+3*math.Sqrt(capacity)))
		}
		if result.FullRateAfter == 0 && t.Add(fullRateSpan).Before(end) && c.hasFullRate(restart.server, t) {
			result.FullRateAfter = t.Add(fullRateSpan / 2).Sub(restart.at).Seconds()
		}
	}
	return result
}

// hasFullRate reports whether a server receives at least fullRatio of the mean rate of the other servers in the fullRateSpan from
// t. Servers without attempts do not count towards the mean.
func (c *cluster) hasFullRate(s *server, t time.Time) bool {
	others, total := 0, 0
	for _, other := range c.servers {
		n := countBetween(c.checker.arrivalsByServer[other.name], t, t.Add(fullRateSpan))
		if other != s && n > 0 {
			others++
			total += n
		}
	}
	own := float64(countBetween(c.checker.arrivalsByServer[s.name], t, t.Add(fullRateSpan)))
	return others > 0 && own >= fullRatio*float64(total)/float64(others)
}

// countBetween counts the times in [from, to). The times must be in ascending order.
func countBetween(times []time.Time, from, to time.Time) int {
	index := func(t time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(t) })
	}
	return index(to) - index(from)
}
