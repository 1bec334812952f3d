package dewhitch

import (
	"maps"
	"slices"
)

// shutdown answers requests before their deadlines: all of them when the gateway shuts down, or one whose
// client's connection must be closed.
type shutdown struct {
	ctx      *stepContext
	requests *requestTable
	attempts *attemptController
	by       Instant // time by which every request is answered; 0: this gateway does not shut down
}

// begin ensures that every request, open now or received later, is answered by an instant.
func (sd *shutdown) begin(by Instant) {
	sd.by = by
	sd.ctx.setTimer(by, sd.expediteAll)
}

// capWait limits the time that a client waits to the time that remains until the shutdown.
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

// expedite ends a request now if it is still open: with a rejection if its client may send it again,
// otherwise with a failure.
func (sd *shutdown) expedite(id RequestID) {
	r := sd.requests.byID[id]
	switch {
	case r == nil || r.done:
	case r.class == nil: // a limit query, or units to return
		sd.requests.finish(r, Fail{Request: r.id, Reason: ReasonCounterUnavailable})
	default:
		sd.attempts.giveUp(r)
	}
}
