package fleet

import "errors"

// Bounds of a report, which must fit one datagram.
const (
	maxNameLength      = 64      // limit in bytes on the name of a member, zone or region
	maxZones           = 64      // limit on the zones in a report
	MaxReportedServers = 24      // limit on the servers in a report
	maxCounter         = 1 << 40 // limit on a counter of attempts or requests; no process runs long enough to reach it
)

var errInvalidReport = errors.New("fleet: report has inconsistent counters or exceeds its bounds")

// AttemptCounts holds a member's counters of attempts to a zone or a server since its process started. They
// never decrease.
type AttemptCounts struct {
	Attempts      uint64 `cbor:"1,keyasint" json:"tries"`                    // attempts that ended with an outcome or are overdue
	Served        uint64 `cbor:"2,keyasint" json:"served"`                   // attempts answered with success
	ConnectFailed uint64 `cbor:"3,keyasint" json:"refused"`                  // attempts that could not connect
	TimedOut      uint64 `cbor:"4,keyasint" json:"silent"`                   // attempts without an answer in time
	Failed        uint64 `cbor:"5,keyasint" json:"failed"`                   // attempts that ended with an error or a reset
	Rejected      uint64 `cbor:"6,keyasint" json:"turned"`                   // attempts rejected because the server's queue was full
	LatencyMicros uint64 `cbor:"7,keyasint" json:"micros"`                   // total latency of attempts in Served and AnsweredLate
	AnsweredLate  uint64 `cbor:"8,keyasint,omitempty" json:"late,omitempty"` // attempts served after they were counted in TimedOut
}

// ServerReport holds a member's attempts to one server, and the load that the server last reported to it.
type ServerReport struct {
	AttemptCounts `cbor:"1,keyasint"`
	Zone          string `cbor:"2,keyasint" json:"zone"`
	Queue         uint32 `cbor:"3,keyasint" json:"queue"`
	InFlight      uint32 `cbor:"4,keyasint" json:"in_flight"`
}

// Report is the load report in a member's status. It carries counters since the start of the member's process,
// not differences, so that late, duplicate and lost reports do not affect the totals.
type Report struct {
	Zones    map[string]AttemptCounts `cbor:"1,keyasint" json:"zones,omitempty"`
	Servers  map[uint32]ServerReport  `cbor:"2,keyasint" json:"servers,omitempty"` // up to MaxReportedServers changed servers, in rotation
	Requests uint64                   `cbor:"3,keyasint" json:"asked,omitempty"`   // requests received from clients, forwarded or not
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

// valid returns true if the counters are consistent and within bounds. The counters of a correct process
// always are.
func (c AttemptCounts) valid() bool {
	return c.Attempts < maxCounter &&
		c.LatencyMicros < maxCounter*1000 &&
		c.Served <= c.Attempts &&
		c.ConnectFailed <= c.Attempts &&
		c.TimedOut <= c.Attempts &&
		c.Failed <= c.Attempts &&
		c.Rejected <= c.Attempts &&
		c.AnsweredLate <= c.TimedOut
}

// since returns the counts since o, which is an earlier state of the same process. It returns false if a counter
// decreased.
func (c AttemptCounts) since(o AttemptCounts) (AttemptCounts, bool) {
	if c.Attempts < o.Attempts || c.Served < o.Served || c.ConnectFailed < o.ConnectFailed || c.TimedOut < o.TimedOut ||
		c.Failed < o.Failed || c.Rejected < o.Rejected || c.LatencyMicros < o.LatencyMicros || c.AnsweredLate < o.AnsweredLate {
		return AttemptCounts{}, false
	}
	return AttemptCounts{
		Attempts:      c.Attempts - o.Attempts,
		Served:        c.Served - o.Served,
		ConnectFailed: c.ConnectFailed - o.ConnectFailed,
		TimedOut:      c.TimedOut - o.TimedOut,
		Failed:        c.Failed - o.Failed,
		Rejected:      c.Rejected - o.Rejected,
		LatencyMicros: c.LatencyMicros - o.LatencyMicros,
		AnsweredLate:  c.AnsweredLate - o.AnsweredLate,
	}, true
}

// validate returns errInvalidReport for a report that no correct process can send.
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
