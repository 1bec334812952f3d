package dewhitch

import (
	"cmp"
	"maps"
	"slices"
)

// subscribeRetryDelay is the delay before the gateway subscribes to the endpoint list again after a failure.
const subscribeRetryDelay = second

// server is a listed endpoint with this gateway's statistics of it since the endpoint last started.
type server struct {
	Endpoint
	rank                uint64          // position in this gateway's order of use; unique in a list
	inFlight            int             // number of this gateway's attempts that have not ended
	answering           int             // number of those whose answers have begun
	withoutSuccessSince Instant         // time since which attempts await an answer and none has succeeded
	succeededAt         Instant         // time of the last success of any class
	latency             float64         // seconds: moving average, corrected to a lone attempt on a warm server
	measuredAt          Instant         // time of the last sample in latency
	failures            []failureRecord // failures by class
	slowStartBudget     bucket          // attempts that may start while the server warms up
}

// awaited returns the number of this gateway's attempts to which the server has not begun to answer.
func (s *server) awaited() int { return s.inFlight - s.answering }

// endpointSet holds the endpoint list last received, in the order in which this gateway uses the servers. A
// removed server stays in the set while attempts are in flight there.
type endpointSet struct {
	ctx             *stepContext
	servers         []*server // all known servers, by rank
	ready           []*server // servers that take new attempts, by rank
	fleetRatedCount int       // number of ready servers whose slow-start rate the fleet has set
	byID            map[ServerID]*server
}

// update applies an endpoint list. From this event on, a draining or removed server gets no new attempt.
// started contains the servers that are new or have restarted, in the order of the list: the caller must
// reset their statistics. dropped contains the servers that are no longer in the set.
func (set *endpointSet) update(e EndpointList) (started, dropped []*server) {
	if e.Kind == ListFailed {
		set.resubscribe()
		return nil, nil
	}
	if e.Kind != ListDelta {
		for _, s := range set.servers {
			s.State = Removed
		}
	}
	previousCount := len(set.servers)
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
	if len(set.servers) > previousCount {
		slices.SortFunc(set.servers, func(a, b *server) int {
			return cmp.Compare(a.rank, b.rank)
		})
	}
	dropped = set.dropRemoved()
	set.indexReady()
	return started, dropped
}

// resubscribe requests the endpoint list again after a delay, if it has to be subscribed to.
func (set *endpointSet) resubscribe() {
	if set.ctx.settings.ListOnRequest {
		set.ctx.setTimerAfter(subscribeRetryDelay, func() { set.ctx.emit(SubscribeEndpoints{}) })
	}
}

// dropRemoved drops the removed servers that have no attempt in flight and returns them.
func (set *endpointSet) dropRemoved() (dropped []*server) {
	droppable := func(s *server) bool { return s.State == Removed && s.inFlight == 0 }
	if !slices.ContainsFunc(set.servers, droppable) {
		return nil
	}
	for _, s := range set.servers {
		if droppable(s) {
			dropped = append(dropped, s)
		}
	}
	maps.DeleteFunc(set.byID, func(_ ServerID, s *server) bool { return droppable(s) })
	set.servers = slices.DeleteFunc(set.servers, droppable)
	return dropped
}

// indexReady rebuilds the list of servers that take new attempts.
func (set *endpointSet) indexReady() {
	set.ready, set.fleetRatedCount = set.ready[:0], 0
	for _, s := range set.servers {
		if s.State != Ready {
			continue
		}
		set.ready = append(set.ready, s)
		if s.FleetSlowStartRate > 0 {
			set.fleetRatedCount++
		}
	}
}
