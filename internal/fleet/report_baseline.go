package fleet

import "maps"

// MaxObservedServers limits the servers whose counters are kept per member. It exceeds the size of the largest
// fleet. Replaced servers get new IDs. Once the limit is exceeded, a member therefore drops the counters of all
// servers and counts the existing ones from 0 again, and a receiver of its reports drops its copies.
const MaxObservedServers = 4096

// reportBaseline holds the counters that one process of a member reported last. The changes in its next report
// are relative to these.
type reportBaseline struct {
	zones    map[string]AttemptCounts
	servers  map[uint32]ServerReport
	requests uint64
}

// delta returns the changes of a report relative to the baseline, and makes the report the new baseline. If it
// returns an error, the baseline is unchanged.
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
			d = s.AttemptCounts // the member dropped the server's counters at its own limit, and started again
		}
		s.AttemptCounts = d
		delta.Servers[id] = s
	}
	b.replace(r)
	return delta, nil
}

// replace makes a report the baseline. It first drops all counters if they exceed MaxObservedServers.
func (b *reportBaseline) replace(r *Report) {
	if b.zones == nil || len(b.servers) > MaxObservedServers {
		b.zones = map[string]AttemptCounts{}
		b.servers = map[uint32]ServerReport{}
	}
	b.requests = r.Requests
	maps.Copy(b.zones, r.Zones)
	maps.Copy(b.servers, r.Servers)
}
