package dewhitch

import (
	"cmp"
	"maps"
	"slices"
)

// subscribeRetryDelay is the pause before the endpoint list is subscribed to again after a failure.
const subscribeRetryDelay = second

// server is a listed endpoint and this gateway's statistics of it since the endpoint's last start.
type server struct {
	Endpoint
	rank                uint64          // place in this gateway's order; unique in a list
	inFlight            int             // attempts out from this gateway
	withoutSuccessSince Instant         // since when attempts are out without any success
	succeededAt         Instant         // last success of any class
	latency             float64         // seconds: moving average, of an attempt sent alone to a warm server
	measuredAt          Instant         // last sample in latency
	failures            []failureRecord // by class
	slowStartBudget     bucket          // attempts that may be sent while it warms up
}

// endpointSet is the endpoint list as last received, in the order in which this gateway uses it.
type endpointSet struct {
	ctx        *stepContext
	servers    []*server // by rank
	ready      []*server // of servers, those that take new attempts; by rank
	fleetRated int       // of ready, those with a slow-start rate set by the fleet
	byID       map[ServerID]*server
}

// update applies an endpoint list. A server that drains or is removed gets no new attempt from this event
// on. It returns the servers that are new or have restarted, whose statistics have to start anew, in the
// list's order, and those that are forgotten.
func (set *endpointSet) update(e EndpointList) (started, forgotten []*server) {
	if e.Kind == ListFailed {
		set.resubscribe()
		return nil, nil
	}
	if e.Kind != ListDelta {
		for _, s := range set.servers {
			s.State = Removed
		}
	}
	known := len(set.servers)
	for _, entry := range e.Servers {
		s := set.byID[entry.ID]
		if s == nil {
			s = &server{Endpoint: Endpoint{StartedAt: -1}, rank: entry.ID.rank(set.ctx.settings.Self)}
			set.byID[entry.ID] = s
			set.servers = append(set.servers, s)
		}
		if entry.StartedAt != s.StartedAt {
			started = append(started, s)
		}
		s.Endpoint = entry
	}
	if len(set.servers) > known {
		slices.SortFunc(set.servers, func(a, b *server) int {
			return cmp.Compare(a.rank, b.rank)
		})
	}
	forgotten = set.dropRemoved()
	set.indexReady()
	return started, forgotten
}

// resubscribe asks for the list again after a pause.
func (set *endpointSet) resubscribe() {
	if set.ctx.settings.ListOnRequest {
		set.ctx.setTimerAfter(subscribeRetryDelay, func() { set.ctx.emit(SubscribeEndpoints{}) })
	}
}

// dropRemoved forgets the servers that are removed and have no attempt out.
func (set *endpointSet) dropRemoved() (forgotten []*server) {
	removed := func(s *server) bool { return s.State == Removed && s.inFlight == 0 }
	if !slices.ContainsFunc(set.servers, removed) {
		return nil
	}
	for _, s := range set.servers {
		if removed(s) {
			forgotten = append(forgotten, s)
		}
	}
	maps.DeleteFunc(set.byID, func(_ ServerID, s *server) bool { return removed(s) })
	set.servers = slices.DeleteFunc(set.servers, removed)
	return forgotten
}

// indexReady finds the servers that take new attempts.
func (set *endpointSet) indexReady() {
	set.ready, set.fleetRated = set.ready[:0], 0
	for _, s := range set.servers {
		if s.State != Ready {
			continue
		}
		set.ready = append(set.ready, s)
		if s.FleetSlowStartRate > 0 {
			set.fleetRated++
		}
	}
}
