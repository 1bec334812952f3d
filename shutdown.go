package dewhitch

// Answers before their time: the gateway ends, or a client's connection must.

import (
	"maps"
	"slices"
)

// end has every request answered by a time: those that are open, and those that still come.
func (g *Gateway) end(by Instant) {
	g.endBy = by
	g.at(by, g.answerAll)
}

// untilEnd bounds what a client would wait by what the gateway has left.
func (g *Gateway) untilEnd(wait Span) Span {
	if g.endBy == 0 {
		return wait
	}
	return min(wait, Span(g.endBy-g.now))
}

// answerAll ends the requests that are still open, in the kindest way that rule 2 allows.
func (g *Gateway) answerAll() {
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		g.answerNow(id)
	}
}

// answerNow ends a request, if it is still open.
func (g *Gateway) answerNow(id RequestID) {
	switch r := g.requests[id]; {
	case r == nil || r.done:
	case r.class == nil: // a query, or a give-back
		g.finish(r, Fail{Request: r.id, Reason: ReasonCounterUnread})
	default:
		g.giveUp(r)
	}
}
