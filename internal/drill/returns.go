package drill

import (
	"math"
	"sort"
	"time"

	"dewhitch/internal/standin"
)

// ServerReturn is what all gateways together sent to a server in slow start.
type ServerReturn struct {
	Server string  `json:"server"`
	At     float64 `json:"at"`    // of the restart, seconds since the load began
	Worst  float64 `json:"worst"` // highest ratio of the attempts in a second to the server's capacity in it
	Slack  float64 `json:"slack"` // the same to the capacity plus three times its square root, which chance alone explains
	Full   float64 `json:"full"`  // seconds until the server got fullRatio of the others' rate; 0: never
}

// serverRestart is one restart of a server.
type serverRestart struct {
	server *server
	at     time.Time
}

// Parameters of the measurement.
const (
	fullRatio   = 0.8                    // of the mean rate of the other servers
	fullSpan    = 2 * time.Second        // of the rates that are compared
	measureStep = 100 * time.Millisecond // between two measurements
)

// measureReturns measures every restart, in the order of their times.
func (cl *cluster) measureReturns() (all []ServerReturn) {
	cl.mu.Lock()
	restarts := append([]serverRestart(nil), cl.restarts...)
	cl.mu.Unlock()
	cl.checker.mu.Lock()
	defer cl.checker.mu.Unlock()
	for i, r := range restarts {
		end := cl.startedAt.Add(cl.Length)
		for _, later := range restarts[i+1:] {
			if later.server == r.server {
				end = later.at
				break
			}
		}
		all = append(all, cl.measureReturn(r, end))
	}
	return all
}

// measureReturn measures one restart, until the server's next one or the end of the drill. The caller holds the checker's lock.
func (cl *cluster) measureReturn(r serverRestart, end time.Time) ServerReturn {
	result := ServerReturn{Server: r.server.name, At: r.at.Sub(cl.startedAt).Seconds()}
	model := serverModel{cores: serverCores, meanSeconds: meanWork.Seconds(), slowFactor: 1, startedAt: r.at, slowStart: true}
	arrivals := cl.checker.arrivalsByServer[r.server.name]
	for t := r.at; t.Add(time.Second).Before(end); t = t.Add(measureStep) {
		if t.Sub(r.at) < standin.SlowStartSpan {
			attempts := float64(countBetween(arrivals, t, t.Add(time.Second)))
			capacity := model.capacity(t.Add(time.Second / 2))
			result.Worst = max(result.Worst, attempts/capacity)
			result.Slack = max(result.Slack, attempts/(capacity+3*math.Sqrt(capacity)))
		}
		if result.Full == 0 && t.Add(fullSpan).Before(end) && cl.hasFullRate(r.server, t) {
			result.Full = t.Add(fullSpan / 2).Sub(r.at).Seconds()
		}
	}
	return result
}

// hasFullRate tells whether a server gets fullRatio of the mean rate of the other servers that get any, in the fullSpan from t.
func (cl *cluster) hasFullRate(s *server, t time.Time) bool {
	others, total := 0, 0
	for _, other := range cl.servers {
		n := countBetween(cl.checker.arrivalsByServer[other.name], t, t.Add(fullSpan))
		if other != s && n > 0 {
			others++
			total += n
		}
	}
	own := float64(countBetween(cl.checker.arrivalsByServer[s.name], t, t.Add(fullSpan)))
	return others > 0 && own >= fullRatio*float64(total)/float64(others)
}

// countBetween counts the times from one to another; times are in order.
func countBetween(times []time.Time, from, to time.Time) int {
	index := func(t time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(t) })
	}
	return index(to) - index(from)
}
