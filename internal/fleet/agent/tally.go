package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"dewhitch/internal/fleet"
)

// Outcome is what a fetch came to, as the fleet counts it.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	ConnectFailed
	TimedOut
	Failed
	Rejected
	NoOutcome // it was withdrawn, or never left
)

// AttemptID names a fetch that is out.
type AttemptID struct {
	Request string
	Attempt int
}

// Tally counts what this process sees of zones and servers. A fetch that is out for longer than others take is counted as
// silent then, and not when somebody gives it up: evidence has to come in good time. The servers that changed since they
// were last told go first, so that all come in turns.
type Tally struct {
	mu      sync.Mutex
	now     func() time.Time
	zones   map[string]fleet.AttemptCounts
	servers map[uint32]*server
	changed []uint32 // in the order in which they first changed since they were told
	open    map[AttemptID]*open
	asked   uint64  // reqs that were taken in
	usual   float64 // seconds that a served fetch takes, smoothed
}

type open struct {
	zone  string
	id    uint32
	began time.Time
	late  bool
}

type server struct {
	fleet.ServerReport
	waits bool // it is among the changed
}

const (
	mostKept  = fleet.MaxObservedServers // servers
	mostOpen  = 1 << 16
	leastMark = 120 * time.Millisecond // before a fetch is late, at least
	markTimes = 2.5                    // what fetches usually take
	smooth    = 0.02
)

func newTally(now func() time.Time) *Tally {
	return &Tally{now: now, zones: map[string]fleet.AttemptCounts{}, servers: map[uint32]*server{}, open: map[AttemptID]*open{}}
}

// RequestReceived counts a req that was taken in.
func (t *Tally) RequestReceived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
}

// AttemptStarted counts a fetch that is out.
func (t *Tally) AttemptStarted(f AttemptID, zone string, id uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) < mostOpen {
		t.open[f] = &open{zone: zone, id: id, began: t.now()}
	}
}

// AttemptEnded counts what became of it; queue and inflight as the server last told.
func (t *Tally) AttemptEnded(f AttemptID, o Outcome, queue, inflight uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.open[f]
	if v == nil {
		return
	}
	delete(t.open, f)
	took := t.now().Sub(v.began)
	if o == Served || o == Rejected {
		if s := t.servers[v.id]; s != nil {
			s.Queue, s.InFlight = queue, inflight
		}
	}
	if v.late && o == Served { // how slow a zone is shows in those most of all
		t.add(v.zone, v.id, fleet.AttemptCounts{AnsweredLate: 1, LatencyMicros: uint64(took.Microseconds())})
	}
	if v.late || o == NoOutcome {
		return
	}
	one := fleet.AttemptCounts{Attempts: 1}
	switch o {
	case Served:
		one.Served, one.LatencyMicros = 1, uint64(took.Microseconds())
		if t.usual == 0 {
			t.usual = took.Seconds()
		}
		t.usual += smooth * (took.Seconds() - t.usual)
	case ConnectFailed:
		one.ConnectFailed = 1
	case TimedOut:
		one.TimedOut = 1
	case Failed:
		one.Failed = 1
	case Rejected:
		one.Rejected = 1
	}
	t.add(v.zone, v.id, one)
}

func (t *Tally) add(zone string, id uint32, c fleet.AttemptCounts) {
	z := t.zones[zone]
	z.Add(c)
	t.zones[zone] = z
	s := t.servers[id]
	if s == nil {
		if len(t.servers) >= mostKept {
			clear(t.servers) // those that are still there come anew; the zones go on
			t.changed = nil
		}
		s = &server{}
		t.servers[id] = s
	}
	s.Zone = zone
	s.AttemptCounts.Add(c)
	if !s.waits {
		s.waits = true
		t.changed = append(t.changed, id)
	}
}

// busy are the servers that fetches are out to.
func (t *Tally) busy() map[uint32]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := map[uint32]bool{}
	for _, v := range t.open {
		ids[v.id] = true
	}
	return ids
}

// mark is how long a fetch may be out before it is late.
func (t *Tally) mark() time.Duration {
	return max(leastMark, time.Duration(markTimes*t.usual*float64(time.Second)))
}

// report is the next one, with servers where it is whole.
func (t *Tally) report(whole bool) *fleet.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, mark := t.now(), t.mark()
	for _, v := range t.open {
		if !v.late && now.Sub(v.began) > mark {
			v.late = true
			t.add(v.zone, v.id, fleet.AttemptCounts{Attempts: 1, TimedOut: 1})
		}
	}
	if len(t.zones) == 0 && t.asked == 0 {
		return nil
	}
	r := &fleet.Report{Zones: maps.Clone(t.zones), Requests: t.asked}
	if !whole {
		return r
	}
	r.Servers = map[uint32]fleet.ServerReport{}
	n := min(len(t.changed), fleet.MaxReportedServers)
	for _, id := range t.changed[:n] {
		s := t.servers[id]
		s.waits = false
		r.Servers[id] = s.ServerReport
	}
	t.changed = slices.Delete(t.changed, 0, n)
	return r
}
