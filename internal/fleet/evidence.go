package fleet

import "errors"

// Count is what a member saw of a zone or a server, since its process began; it only grows.
type Count struct {
	Tries   uint64 `cbor:"1,keyasint" json:"tries"`                    // fetches that ended
	Served  uint64 `cbor:"2,keyasint" json:"served"`                   // of these, well
	Refused uint64 `cbor:"3,keyasint" json:"refused"`                  // could not connect
	Silent  uint64 `cbor:"4,keyasint" json:"silent"`                   // timed out
	Failed  uint64 `cbor:"5,keyasint" json:"failed"`                   // errors and resets
	Turned  uint64 `cbor:"6,keyasint" json:"turned"`                   // turned away: the queue was full
	Micros  uint64 `cbor:"7,keyasint" json:"micros"`                   // that the served ones took, all together, and the late ones
	Late    uint64 `cbor:"8,keyasint,omitempty" json:"late,omitempty"` // served after they were counted as silent
}

// Report is what a member tells of what it sees, in counters since its process began, so that late, doubled and lost
// reports change nothing.
type Report struct {
	Zones   map[string]Count  `cbor:"1,keyasint" json:"zones,omitempty"`
	Servers map[uint32]Server `cbor:"2,keyasint" json:"servers,omitempty"` // those that changed last, in turns
	Asked   uint64            `cbor:"3,keyasint" json:"asked,omitempty"`   // reqs that were to be sent on, whether one was or not
}

// Server is what a member saw of one server, with the load that it last reported.
type Server struct {
	Count    `cbor:"1,keyasint"`
	Zone     string `cbor:"2,keyasint" json:"zone"`
	Queue    uint32 `cbor:"3,keyasint" json:"queue"`
	InFlight uint32 `cbor:"4,keyasint" json:"in_flight"`
}

// The bounds of a report; a member's datagram holds it whole.
const (
	mostName    = 64 // bytes, of a member or zone
	mostZones   = 64
	MostServers = 24
	absurd      = 1 << 40 // no process lives to see so much
)

var errAbsurd = errors.New("fleet: a report with absurd numbers")

func (c Count) sane() bool {
	return c.Tries < absurd && c.Micros < absurd*1000 && c.Served <= c.Tries && c.Refused <= c.Tries && c.Silent <= c.Tries &&
		c.Failed <= c.Tries && c.Turned <= c.Tries && c.Late <= c.Silent
}

// since is what came between two counts of one life; false: the later one is less, which no honest one can be.
func (c Count) since(o Count) (Count, bool) {
	if c.Tries < o.Tries || c.Served < o.Served || c.Refused < o.Refused || c.Silent < o.Silent || c.Failed < o.Failed ||
		c.Turned < o.Turned || c.Micros < o.Micros || c.Late < o.Late {
		return Count{}, false
	}
	return Count{c.Tries - o.Tries, c.Served - o.Served, c.Refused - o.Refused, c.Silent - o.Silent, c.Failed - o.Failed,
		c.Turned - o.Turned, c.Micros - o.Micros, c.Late - o.Late}, true
}

// Add adds o to c.
func (c *Count) Add(o Count) {
	c.Tries += o.Tries
	c.Served += o.Served
	c.Refused += o.Refused
	c.Silent += o.Silent
	c.Failed += o.Failed
	c.Turned += o.Turned
	c.Micros += o.Micros
	c.Late += o.Late
}

// check refuses what no honest process could say.
func (r *Report) check() error {
	if len(r.Zones) > mostZones || len(r.Servers) > MostServers {
		return errAbsurd
	}
	for zone, c := range r.Zones {
		if len(zone) > mostName || !c.sane() {
			return errAbsurd
		}
	}
	for _, s := range r.Servers {
		if len(s.Zone) > mostName || !s.sane() {
			return errAbsurd
		}
	}
	return nil
}

// seen is what is kept of a member's reports: the last counts, of which the next report's difference is taken.
type seen struct {
	zones   map[string]Count
	servers map[uint32]Server
	asked   uint64
}

// MostSeen bounds the servers that are kept of one member: more than the largest fleet has. New ones come under new ids all
// day, and then those that are still there are met anew.
const MostSeen = 4096

// take gives what is new in a report against those before, and keeps it.
func (s *seen) take(r *Report) (delta Report, err error) {
	if err := r.check(); err != nil {
		return delta, err
	}
	if r.Asked < s.asked || r.Asked > absurd {
		return Report{}, errAbsurd
	}
	delta = Report{Zones: map[string]Count{}, Servers: map[uint32]Server{}, Asked: r.Asked - s.asked}
	for zone, c := range r.Zones {
		d, ok := c.since(s.zones[zone])
		if !ok {
			return Report{}, errAbsurd
		}
		if d.Tries > 0 || d.Late > 0 {
			delta.Zones[zone] = d
		}
	}
	for id, v := range r.Servers {
		d, ok := v.Count.since(s.servers[id].Count)
		if !ok {
			d = v.Count // whoever reports has forgotten the server, and met it again
		}
		v.Count = d
		delta.Servers[id] = v
	}
	if s.zones == nil || len(s.servers) > MostSeen {
		s.zones, s.servers = map[string]Count{}, map[uint32]Server{}
	}
	s.asked = r.Asked
	for zone, c := range r.Zones {
		s.zones[zone] = c
	}
	for id, v := range r.Servers {
		s.servers[id] = v
	}
	return delta, nil
}
