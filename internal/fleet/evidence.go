package fleet

import "errors"

// AttemptCounts is what a member saw of a zone or a server, since its process began; it only grows.
type AttemptCounts struct {
	Attempts      uint64 `cbor:"1,keyasint" json:"tries"`                    // fetches that ended
	Served        uint64 `cbor:"2,keyasint" json:"served"`                   // of these, well
	ConnectFailed uint64 `cbor:"3,keyasint" json:"refused"`                  // could not connect
	TimedOut      uint64 `cbor:"4,keyasint" json:"silent"`                   // timed out
	Failed        uint64 `cbor:"5,keyasint" json:"failed"`                   // errors and resets
	Rejected      uint64 `cbor:"6,keyasint" json:"turned"`                   // turned away: the queue was full
	LatencyMicros uint64 `cbor:"7,keyasint" json:"micros"`                   // that the served ones took, all together, and the late ones
	AnsweredLate  uint64 `cbor:"8,keyasint,omitempty" json:"late,omitempty"` // served after they were counted as silent
}

// Report is what a member tells of what it sees, in counters since its process began, so that late, doubled and lost
// reports change nothing.
type Report struct {
	Zones    map[string]AttemptCounts `cbor:"1,keyasint" json:"zones,omitempty"`
	Servers  map[uint32]ServerReport  `cbor:"2,keyasint" json:"servers,omitempty"` // those that changed last, in turns
	Requests uint64                   `cbor:"3,keyasint" json:"asked,omitempty"`   // reqs that were to be sent on, whether one was or not
}

// ServerReport is what a member saw of one server, with the load that it last reported.
type ServerReport struct {
	AttemptCounts `cbor:"1,keyasint"`
	Zone          string `cbor:"2,keyasint" json:"zone"`
	Queue         uint32 `cbor:"3,keyasint" json:"queue"`
	InFlight      uint32 `cbor:"4,keyasint" json:"in_flight"`
}

// The bounds of a report; a member's datagram holds it whole.
const (
	maxNameLength      = 64 // bytes, of a member or zone
	maxZones           = 64
	MaxReportedServers = 24
	maxCounter         = 1 << 40 // no process lives to see so much
)

var errInvalidReport = errors.New("fleet: a report with absurd numbers")

func (c AttemptCounts) valid() bool {
	return c.Attempts < maxCounter && c.LatencyMicros < maxCounter*1000 && c.Served <= c.Attempts && c.ConnectFailed <= c.Attempts && c.TimedOut <= c.Attempts &&
		c.Failed <= c.Attempts && c.Rejected <= c.Attempts && c.AnsweredLate <= c.TimedOut
}

// since is what came between two counts of one life; false: the later one is less, which no honest one can be.
func (c AttemptCounts) since(o AttemptCounts) (AttemptCounts, bool) {
	if c.Attempts < o.Attempts || c.Served < o.Served || c.ConnectFailed < o.ConnectFailed || c.TimedOut < o.TimedOut || c.Failed < o.Failed ||
		c.Rejected < o.Rejected || c.LatencyMicros < o.LatencyMicros || c.AnsweredLate < o.AnsweredLate {
		return AttemptCounts{}, false
	}
	return AttemptCounts{c.Attempts - o.Attempts, c.Served - o.Served, c.ConnectFailed - o.ConnectFailed, c.TimedOut - o.TimedOut, c.Failed - o.Failed,
		c.Rejected - o.Rejected, c.LatencyMicros - o.LatencyMicros, c.AnsweredLate - o.AnsweredLate}, true
}

// Add adds o to c.
func (c *AttemptCounts) Add(o AttemptCounts) {
	c.Attempts += o.Attempts
	c.Served += o.Served
	c.ConnectFailed += o.ConnectFailed
	c.TimedOut += o.TimedOut
	c.Failed += o.Failed
	c.Rejected += o.Rejected
	c.LatencyMicros += o.LatencyMicros
	c.AnsweredLate += o.AnsweredLate
}

// validate refuses what no honest process could say.
func (r *Report) validate() error {
	if len(r.Zones) > maxZones || len(r.Servers) > MaxReportedServers {
		return errInvalidReport
	}
	for zone, c := range r.Zones {
		if len(zone) > maxNameLength || !c.valid() {
			return errInvalidReport
		}
	}
	for _, s := range r.Servers {
		if len(s.Zone) > maxNameLength || !s.valid() {
			return errInvalidReport
		}
	}
	return nil
}

// reportBaseline is what is kept of a member's reports: the last counts, of which the next report's difference is taken.
type reportBaseline struct {
	zones    map[string]AttemptCounts
	servers  map[uint32]ServerReport
	requests uint64
}

// MaxObservedServers bounds the servers that are kept of one member: more than the largest fleet has. New ones come under new ids all
// day, and then those that are still there are met anew.
const MaxObservedServers = 4096

// delta gives what is new in a report against those before, and keeps it.
func (s *reportBaseline) delta(r *Report) (delta Report, err error) {
	if err := r.validate(); err != nil {
		return delta, err
	}
	if r.Requests < s.requests || r.Requests > maxCounter {
		return Report{}, errInvalidReport
	}
	delta = Report{Zones: map[string]AttemptCounts{}, Servers: map[uint32]ServerReport{}, Requests: r.Requests - s.requests}
	for zone, c := range r.Zones {
		d, ok := c.since(s.zones[zone])
		if !ok {
			return Report{}, errInvalidReport
		}
		if d.Attempts > 0 || d.AnsweredLate > 0 {
			delta.Zones[zone] = d
		}
	}
	for id, v := range r.Servers {
		d, ok := v.AttemptCounts.since(s.servers[id].AttemptCounts)
		if !ok {
			d = v.AttemptCounts // whoever reports has forgotten the server, and met it again
		}
		v.AttemptCounts = d
		delta.Servers[id] = v
	}
	if s.zones == nil || len(s.servers) > MaxObservedServers {
		s.zones, s.servers = map[string]AttemptCounts{}, map[uint32]ServerReport{}
	}
	s.requests = r.Requests
	for zone, c := range r.Zones {
		s.zones[zone] = c
	}
	for id, v := range r.Servers {
		s.servers[id] = v
	}
	return delta, nil
}
