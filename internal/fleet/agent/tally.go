package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"dewhitch/internal/fleet"
)

const (
	maxServers  = fleet.MaxObservedServers // counted; beyond it all are forgotten and counted anew
	maxAttempts = 1 << 16                  // in flight and counted; more are not

	// An attempt is late after lateFactor times the mean latency, or minLateAfter if that is longer.
	minLateAfter     = 120 * time.Millisecond
	lateFactor       = 2.5
	latencySmoothing = 0.02 // weight of a new latency in the moving average
)

// Outcome is the result of an attempt.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	ConnectFailed
	TimedOut
	Failed
	Rejected
	NoOutcome // cancelled, or never sent: it tells nothing of the server
)

// AttemptID identifies an attempt in flight.
type AttemptID struct {
	Request string
	Attempt int
}

// AttemptCounter counts this process's attempts by zone and server, for its reports. An attempt counts as timed out as
// soon as it takes much longer than usual, not when a client or deadline gives it up, so that evidence of an
// outage is early. All methods may be called from any goroutine.
type AttemptCounter struct {
	mu          sync.Mutex
	now         func() time.Time
	zones       map[string]fleet.AttemptCounts
	servers     map[uint32]*tallyServer
	changed     []uint32 // servers to report, in the order in which they changed since their last report
	attempts    map[AttemptID]*openAttempt
	requests    uint64  // received from clients
	meanLatency float64 // seconds, of served attempts, exponential moving average; 0: none was served
}

type openAttempt struct {
	zone      string
	server    uint32
	startedAt time.Time
	late      bool // counted as timed out
}

type tallyServer struct {
	fleet.ServerReport
	queued bool // in changed
}

func newTally(now func() time.Time) *AttemptCounter {
	return &AttemptCounter{
		now:      now,
		zones:    map[string]fleet.AttemptCounts{},
		servers:  map[uint32]*tallyServer{},
		attempts: map[AttemptID]*openAttempt{},
	}
}

// RequestReceived counts a client's request.
func (t *AttemptCounter) RequestReceived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
}

// AttemptStarted records that an attempt is in flight.
func (t *AttemptCounter) AttemptStarted(id AttemptID, zone string, server uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.attempts) < maxAttempts {
		t.attempts[id] = &openAttempt{zone: zone, server: server, startedAt: t.now()}
	}
}

// AttemptEnded counts an attempt's outcome. queue and inFlight are the load that the server last reported.
func (t *AttemptCounter) AttemptEnded(id AttemptID, o Outcome, queue, inFlight uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	attempt := t.attempts[id]
	if attempt == nil {
		return
	}
	delete(t.attempts, id)
	latency := t.now().Sub(attempt.startedAt)
	if o == Served || o == Rejected {
		if s := t.servers[attempt.server]; s != nil {
			s.Queue = queue
			s.InFlight = inFlight
		}
	}
	switch {
	case attempt.late && o == Served: // its latency counts too: it tells most about a slow zone
		t.add(attempt, fleet.AttemptCounts{AnsweredLate: 1, LatencyMicros: uint64(latency.Microseconds())})
	case !attempt.late && o != NoOutcome:
		if o == Served {
			t.observeLatency(latency.Seconds())
		}
		t.add(attempt, countOf(o, latency))
	}
}

// countOf is one attempt as counters.
func countOf(o Outcome, latency time.Duration) fleet.AttemptCounts {
	c := fleet.AttemptCounts{Attempts: 1}
	switch o {
	case Served:
		c.Served = 1
		c.LatencyMicros = uint64(latency.Microseconds())
	case ConnectFailed:
		c.ConnectFailed = 1
	case TimedOut:
		c.TimedOut = 1
	case Failed:
		c.Failed = 1
	case Rejected:
		c.Rejected = 1
	case NoOutcome:
	}
	return c
}

func (t *AttemptCounter) observeLatency(seconds float64) {
	if t.meanLatency == 0 {
		t.meanLatency = seconds
	}
	t.meanLatency += latencySmoothing * (seconds - t.meanLatency)
}

// add adds to the counters of an attempt's zone and server.
func (t *AttemptCounter) add(attempt *openAttempt, c fleet.AttemptCounts) {
	zone := t.zones[attempt.zone]
	zone.Add(c)
	t.zones[attempt.zone] = zone
	s := t.servers[attempt.server]
	if s == nil {
		if len(t.servers) >= maxServers {
			clear(t.servers)
			t.changed = nil
		}
		s = &tallyServer{}
		t.servers[attempt.server] = s
	}
	s.Zone = attempt.zone
	s.AttemptCounts.Add(c)
	if !s.queued {
		s.queued = true
		t.changed = append(t.changed, attempt.server)
	}
}

// serversInFlight are the servers that attempts are in flight to.
func (t *AttemptCounter) serversInFlight() map[uint32]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := map[uint32]bool{}
	for _, attempt := range t.attempts {
		servers[attempt.server] = true
	}
	return servers
}

// lateAfter is how long an attempt may take before it counts as timed out.
func (t *AttemptCounter) lateAfter() time.Duration {
	return max(minLateAfter, time.Duration(lateFactor*t.meanLatency*float64(time.Second)))
}

// countLate counts attempts in flight as timed out once they are late.
func (t *AttemptCounter) countLate() {
	now := t.now()
	limit := t.lateAfter()
	for _, attempt := range t.attempts {
		if !attempt.late && now.Sub(attempt.startedAt) > limit {
			attempt.late = true
			t.add(attempt, fleet.AttemptCounts{Attempts: 1, TimedOut: 1})
		}
	}
}

// report returns the next report; a full one has the servers that changed, up to MaxReportedServers in turns.
// Nil: there is nothing to report yet.
func (t *AttemptCounter) report(full bool) *fleet.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countLate()
	if len(t.zones) == 0 && t.requests == 0 {
		return nil
	}
	r := &fleet.Report{Zones: maps.Clone(t.zones), Requests: t.requests}
	if !full {
		return r
	}
	r.Servers = map[uint32]fleet.ServerReport{}
	n := min(len(t.changed), fleet.MaxReportedServers)
	for _, id := range t.changed[:n] {
		s := t.servers[id]
		s.queued = false
		r.Servers[id] = s.ServerReport
	}
	t.changed = slices.Delete(t.changed, 0, n)
	return r
}
