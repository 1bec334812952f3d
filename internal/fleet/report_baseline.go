package fleet

import "maps"

// MaxObservedServers bounds the servers whose counters are kept of one member: more than the largest fleet
// has. Replaced servers come under new IDs, so beyond the bound all are forgotten, and those that still exist
// are counted anew.
const MaxObservedServers = 4096

// reportBaseline holds the counters that one process of a member reported last; the next report's differences
// are to these.
type reportBaseline struct {
	zones    map[string]AttemptCounts
	servers  map[uint32]ServerReport
	requests uint64
}

// delta returns what a report adds to those before, and makes it the new baseline. With an error the baseline
// stays.
func (b *reportBaseline) delta(r *Report) (Report, error) {
	if err := r.validate(); err != nil {
		return Report{}, err
	}
	if r.Requests < b.requests || r.Requests > maxCounter {
		return Report{}, errInvalidReport
	}
	delta := Report{
		Zones:    map[string]AttemptCounts{},
		Servers:  map[uint32]ServerReport{},
		Requests: r.Requests - b.requests,
	}
	for zone, c := range r.Zones {
		d, ok := c.since(b.zones[zone])
		if !ok {
			return Report{}, errInvalidReport
		}
		if d.Attempts > 0 || d.AnsweredLate > 0 {
			delta.Zones[zone] = d
		}
	}
	for id, s := range r.Servers {
		d, ok := s.AttemptCounts.since(b.servers[id].AttemptCounts)
		if !ok {
			d = s.AttemptCounts // the member forgot the server (its own bound), and counts it anew
		}
		s.AttemptCounts = d
		delta.Servers[id] = s
	}
	b.replace(r)
	return delta, nil
}

// replace makes a report the baseline, within the bound on servers.
func (b *reportBaseline) replace(r *Report) {
	if b.zones == nil || len(b.servers) > MaxObservedServers {
		b.zones = map[string]AttemptCounts{}
		b.servers = map[uint32]ServerReport{}
	}
	b.requests = r.Requests
	maps.Copy(b.zones, r.Zones)
	maps.Copy(b.servers, r.Servers)
}
