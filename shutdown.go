package dewhitch

import (
	"maps"
	"slices"
)

// shutdown answers requests before their deadlines: all of them when the gateway shuts down, one when its
// client's connection has to end.
type shutdown struct {
	ctx      *stepContext
	requests *requestTable
	attempts *attemptController
	by       Instant // every request is answered by then; 0: this gateway does not shut down
}

// begin has every request answered by an instant: those that are open, and those that still come.
func (sd *shutdown) begin(by Instant) {
	sd.by = by
	sd.ctx.setTimer(by, sd.expediteAll)
}

// capWait bounds the time that a client would wait by what the gateway has left.
func (sd *shutdown) capWait(wait Span) Span {
	if sd.by == 0 {
		return wait
	}
	return min(wait, Span(sd.by-sd.ctx.now))
}

// expediteAll ends the requests that are still open, in the order of their identifiers.
func (sd *shutdown) expediteAll() {
	for _, id := range slices.Sorted(maps.Keys(sd.requests.byID)) {
		sd.expedite(id)
	}
}

// expedite ends a request now, if it is still open: rejected if its client may send it again, else failed.
func (sd *shutdown) expedite(id RequestID) {
	r := sd.requests.byID[id]
	switch {
	case r == nil || r.done:
	case r.class == nil: // a limit query, or units given back
		sd.requests.finish(r, Fail{Request: r.id, Reason: ReasonCounterUnavailable})
	default:
		sd.attempts.giveUp(r)
	}
}
