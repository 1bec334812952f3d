// Package shutdown plans the end of a process that serves clients: until when it takes connections and requests, by when
// every request has its answer, and by when no connection is open. It has no clock and does no I/O.
//
// The platform sends SIGTERM, and SIGKILL no sooner than the deployment's longest deadline (counted as 3 s where it is
// longer) and 0.7 s after it. Until then clients use every connection that stays open; whatever they write is lost if it
// comes more than 0.7 s after SIGTERM and has no answer at SIGKILL. So it is not enough that each request is answered by its
// own deadline: a connection that waits for that would be open when SIGKILL comes.
package shutdown

import "time"

// The platform's terms.
const (
	longestCounted = 3 * time.Second        // a longer deadline counts as this
	killMargin     = 700 * time.Millisecond // from the end of the longest deadline to SIGKILL
)

// The times that the process keeps, so as to hold those terms.
const (
	// acceptTime is how long connections are taken: the platform's front sends new ones for 0.2 to 0.4 s.
	acceptTime = 500 * time.Millisecond
	// Stall is how long the process may be held up between reading its clock and acting.
	Stall = 150 * time.Millisecond
	// discardTime is for what clients still write when the last answer has been written.
	discardTime = 200 * time.Millisecond
	// answerReserve is left between the last answer and SIGKILL: for a stall, for discarding, and for a loaded machine.
	answerReserve = Stall + discardTime + 150*time.Millisecond
	// closeReserve is left between the last close and SIGKILL.
	closeReserve = Stall + 50*time.Millisecond
)

// Plan is the end of one process.
type Plan struct {
	AcceptUntil time.Time // then no more connections are taken, and no more is read on those that are open
	AnswerBy    time.Time // every request has its final answer
	CloseBy     time.Time // every connection that is owed nothing is closed
	KillAt      time.Time // the earliest SIGKILL
}

// New plans the end of a process that got SIGTERM at a time, in a deployment with that longest deadline.
func New(signalled time.Time, longestDeadline time.Duration) Plan {
	kill := signalled.Add(min(longestDeadline, longestCounted) + killMargin)
	return Plan{
		AcceptUntil: signalled.Add(acceptTime),
		AnswerBy:    kill.Add(-answerReserve),
		CloseBy:     kill.Add(-closeReserve),
		KillAt:      kill,
	}
}
