package agent

import (
	"slices"
	"sync"

	"dewhitch/internal/fleet"
)

// What a fetch came to, as the fleet counts it.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Refused
	Silent
	Failed
	Turned
	Nothing // it was withdrawn, or never left
)

// Tally counts what this process sees of zones and servers, from any goroutine. The servers that changed since they were
// last told go first, so that all come in turns.
type Tally struct {
	mu      sync.Mutex
	zones   map[string]fleet.Count
	servers map[uint32]*server
	changed []uint32 // in the order in which they first changed since they were told
}

type server struct {
	fleet.Server
	waits bool // it is among the changed
}

// mostKept bounds the servers of a tally: new ones come under new ids all day.
const mostKept = 1024

func newTally() *Tally {
	return &Tally{zones: map[string]fleet.Count{}, servers: map[uint32]*server{}}
}

// Tried counts a fetch that ended; micros: what it took, if it was served; queue and inflight as the server last told.
func (t *Tally) Tried(zone string, id uint32, o Outcome, micros uint64, queue, inflight uint32) {
	if o == Nothing {
		return
	}
	one := fleet.Count{Tries: 1}
	switch o {
	case Served:
		one.Served, one.Micros = 1, micros
	case Refused:
		one.Refused = 1
	case Silent:
		one.Silent = 1
	case Failed:
		one.Failed = 1
	case Turned:
		one.Turned = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	z := t.zones[zone]
	z.Add(one)
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
	s.Count.Add(one)
	if o == Served || o == Turned {
		s.Queue, s.InFlight = queue, inflight
	}
	if !s.waits {
		s.waits = true
		t.changed = append(t.changed, id)
	}
}

// report is the next one.
func (t *Tally) report() *fleet.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changed) == 0 && len(t.zones) == 0 {
		return nil
	}
	r := &fleet.Report{Zones: map[string]fleet.Count{}, Servers: map[uint32]fleet.Server{}}
	for zone, c := range t.zones {
		r.Zones[zone] = c
	}
	n := min(len(t.changed), fleet.MostServers)
	for _, id := range t.changed[:n] {
		s := t.servers[id]
		s.waits = false
		r.Servers[id] = s.Server
	}
	t.changed = slices.Delete(t.changed, 0, n)
	return r
}
