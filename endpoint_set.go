package dewhitch

// The servers that are listed, in the order in which this gateway uses them.

import (
	"cmp"
	"maps"
	"slices"
)

// list follows the server list. Rule 3: what drains or is gone gets nothing new from this moment on.
func (g *Gateway) list(e EndpointList) {
	if e.Kind == ListFailed {
		if g.set.ListOnRequest {
			g.after(second, func() { g.acts = append(g.acts, SubscribeEndpoints{}) })
		}
		return
	}
	if e.Kind != ListDelta {
		for _, s := range g.servers {
			s.State = Removed
		}
	}
	known := len(g.servers)
	for _, entry := range e.Servers {
		s := g.byID[entry.ID]
		if s == nil {
			s = &server{Endpoint: Endpoint{StartedAt: -1}, rank: entry.ID.rank(g.set.Self)}
			g.byID[entry.ID] = s
			g.servers = append(g.servers, s)
		}
		if entry.StartedAt != s.StartedAt { // it has started anew
			s.latency, s.verdicts = g.latency, make([]verdict, len(g.set.Classes))
			s.budget = bucket{level: g.rng.Float64(), at: g.now}
			delete(g.suspects, s)
		}
		s.Endpoint = entry
	}
	if len(g.servers) > known {
		slices.SortFunc(g.servers, func(a, b *server) int {
			return cmp.Compare(a.rank, b.rank)
		})
	}
	g.index()
}

// index forgets the servers that are gone and owe nothing, and finds those that may be sent to, in order of
// rank.
func (g *Gateway) index() {
	gone := func(s *server) bool { return s.State == Removed && s.out == 0 }
	if slices.ContainsFunc(g.servers, gone) {
		maps.DeleteFunc(g.byID, func(_ ServerID, s *server) bool { return gone(s) })
		maps.DeleteFunc(g.suspects, func(s *server, _ bool) bool { return gone(s) })
		g.servers = slices.DeleteFunc(g.servers, gone)
	}
	g.ready, g.fed = g.ready[:0], 0
	for _, s := range g.servers {
		if s.State != Ready {
			continue
		}
		g.ready = append(g.ready, s)
		if s.SlowStartRate > 0 {
			g.fed++
		}
	}
}
