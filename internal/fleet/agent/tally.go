package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"dewhitch/internal/fleet"
)

const (
	maxCountedServers = fleet.MaxObservedServers // limit on the servers with counters; beyond it all counters of servers are discarded
	maxOpenAttempts   = 1 << 16                  // limit on the attempts in flight that are counted; further ones are not

	// An attempt is late after lateFactor times the mean latency, or minLateAfter if that is longer.
	minLateAfter     = 120 * time.Millisecond
	lateFactor       = 2.5
	latencySmoothing = 0.02 // weight of a new latency in the moving average
)

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of attempts.
const (
	Served        Outcome = iota // answered with success
	ConnectFailed                // could not connect
	TimedOut                     // no answer in time
	Failed                       // ended with an error or a reset
	Rejected                     // rejected because the server's queue was full
	NoOutcome                    // cancelled or never sent, which is no evidence about the server
)

// AttemptID identifies an attempt in flight.
type AttemptID struct {
	Request string
	Attempt int
}

// AttemptCounter counts this process's attempts by zone and server, for its reports. An attempt counts as timed out as
// soon as it takes much longer than usual, not when its client or deadline abandons it, so that evidence of an outage
// is early. All methods may be called from any goroutine.
type AttemptCounter struct {
	mu          sync.Mutex
	now         func() time.Time
	zones       map[string]fleet.AttemptCounts
	servers     map[uint32]*serverCounter
	changed     []uint32                   // servers to report, in the order in which they changed since their last report
	attempts    map[AttemptID]*openAttempt // attempts in flight
	requests    uint64                     // number of requests received from clients
	meanLatency float64                    // exponential moving average of the latency of served attempts in seconds; 0: none was served
}

// openAttempt is an attempt in flight.
type openAttempt struct {
	zone      string
	server    uint32
	startedAt time.Time
	late      bool // true once the attempt counts as timed out
}

// serverCounter holds the counters of one server.
type serverCounter struct {
	fleet.ServerReport
	queued bool // true if the server is in AttemptCounter.changed
}

func newAttemptCounter(now func() time.Time) *AttemptCounter {
	return &AttemptCounter{
		now:      now,
		zones:    map[string]fleet.AttemptCounts{},
		servers:  map[uint32]*serverCounter{},
		attempts: map[AttemptID]*openAttempt{},
	}
}

// RequestReceived counts a client's request.
func (c *AttemptCounter) RequestReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
}

// AttemptStarted records that an attempt is in flight. Beyond maxOpenAttempts it ignores the attempt.
func (c *AttemptCounter) AttemptStarted(id AttemptID, zone string, server uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.attempts) < maxOpenAttempts {
		c.attempts[id] = &openAttempt{zone: zone, server: server, startedAt: c.now()}
	}
}

// AttemptEnded counts the outcome of an attempt and ignores unknown attempts. queue and inFlight are the load that the
// server reported last.
func (c *AttemptCounter) AttemptEnded(id AttemptID, outcome Outcome, queue, inFlight uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	if attempt == nil {
		return
	}
	delete(c.attempts, id)
	latency := c.now().Sub(attempt.startedAt)
	if outcome == Served || outcome == Rejected {
		if s := c.servers[attempt.server]; s != nil {
			s.Queue = queue
			s.InFlight = inFlight
		}
	}
	switch {
	case attempt.late && outcome == Served: // includes the latency, which is the strongest evidence of a slow zone
		c.add(attempt, fleet.AttemptCounts{AnsweredLate: 1, LatencyMicros: uint64(latency.Microseconds())})
	case !attempt.late && outcome != NoOutcome:
		if outcome == Served {
			c.updateMeanLatency(latency.Seconds())
		}
		c.add(attempt, countsOf(outcome, latency))
	}
}

// countsOf returns the counters of a single attempt.
func countsOf(outcome Outcome, latency time.Duration) fleet.AttemptCounts {
	counts := fleet.AttemptCounts{Attempts: 1}
	switch outcome {
	case Served:
		counts.Served = 1
		counts.LatencyMicros = uint64(latency.Microseconds())
	case ConnectFailed:
		counts.ConnectFailed = 1
	case TimedOut:
		counts.TimedOut = 1
	case Failed:
		counts.Failed = 1
	case Rejected:
		counts.Rejected = 1
	case NoOutcome:
	}
	return counts
}

// updateMeanLatency adds the latency of a served attempt to the moving average.
func (c *AttemptCounter) updateMeanLatency(seconds float64) {
	if c.meanLatency == 0 {
		c.meanLatency = seconds
	}
	c.meanLatency += latencySmoothing * (seconds - c.meanLatency)
}

// add adds to the counters of an attempt's zone and server.
func (c *AttemptCounter) add(attempt *openAttempt, counts fleet.AttemptCounts) {
	zone := c.zones[attempt.zone]
	zone.Add(counts)
	c.zones[attempt.zone] = zone
	s := c.servers[attempt.server]
	if s == nil {
		if len(c.servers) >= maxCountedServers {
			clear(c.servers)
			c.changed = nil
		}
		s = &serverCounter{}
		c.servers[attempt.server] = s
	}
	s.Zone = attempt.zone
	s.AttemptCounts.Add(counts)
	if !s.queued {
		s.queued = true
		c.changed = append(c.changed, attempt.server)
	}
}

// serversInFlight returns the servers to which attempts are in flight.
func (c *AttemptCounter) serversInFlight() map[uint32]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	servers := map[uint32]bool{}
	for _, attempt := range c.attempts {
		servers[attempt.server] = true
	}
	return servers
}

// lateAfter returns the time after which an attempt in flight counts as timed out.
func (c *AttemptCounter) lateAfter() time.Duration {
	return max(minLateAfter, time.Duration(lateFactor*c.meanLatency*float64(time.Second)))
}

// countLate counts attempts in flight that have become late as timed out.
func (c *AttemptCounter) countLate() {
	now := c.now()
	limit := c.lateAfter()
	for _, attempt := range c.attempts {
		if !attempt.late && now.Sub(attempt.startedAt) > limit {
			attempt.late = true
			c.add(attempt, fleet.AttemptCounts{Attempts: 1, TimedOut: 1})
		}
	}
}

// report returns the next report, or nil if nothing was counted yet. A full report includes servers that changed since
// they were last reported, MaxReportedServers at a time, the earliest change first.
func (c *AttemptCounter) report(full bool) *fleet.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countLate()
	if len(c.zones) == 0 && c.requests == 0 {
		return nil
	}
	r := &fleet.Report{Zones: maps.Clone(c.zones), Requests: c.requests}
	if !full {
		return r
	}
	r.Servers = map[uint32]fleet.ServerReport{}
	n := min(len(c.changed), fleet.MaxReportedServers)
	for _, id := range c.changed[:n] {
		s := c.servers[id]
		s.queued = false
		r.Servers[id] = s.ServerReport
	}
	c.changed = slices.Delete(c.changed, 0, n)
	return r
}
