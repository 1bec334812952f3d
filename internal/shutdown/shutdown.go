// Package shutdown plans the graceful shutdown of a process that serves clients: until when it accepts connections and
// requests, by when every request has its answer, and by when no connection is open. It has no clock and does no I/O.
//
// The platform sends SIGTERM, and SIGKILL no sooner than the deployment's longest deadline (counted as 3 s where it is
// longer) and 0.7 s after it. Until then clients use every connection that stays open; whatever they write is lost if it
// comes more than 0.7 s after SIGTERM and has no answer at SIGKILL. So requests are answered by a common time before SIGKILL, and
// not by their own deadlines alone: a connection that waits for a later one would be open when SIGKILL comes.
package shutdown

import "time"

// The platform's terms.
const (
	maxCountedDeadline = 3 * time.Second        // a longer deadline counts as this
	killMargin         = 700 * time.Millisecond // from the end of the longest deadline to SIGKILL
)

// The times by which the process keeps those terms.
const (
	// acceptTime is how long connections are accepted: the platform's front opens new ones for 0.2 to 0.4 s.
	acceptTime = 500 * time.Millisecond
	// MaxStall is how long the process may be delayed between reading its clock and acting.
	MaxStall = 150 * time.Millisecond
	// discardTime is for reading what clients still write after the last answer.
	discardTime = 200 * time.Millisecond
	// answerReserve is the time between the last answer and SIGKILL: for a stall, for discarding, and for a loaded machine.
	answerReserve = MaxStall + discardTime + 150*time.Millisecond
	// closeReserve is the time between the last close and SIGKILL.
	closeReserve = MaxStall + 50*time.Millisecond
)

// Plan is the graceful shutdown of one process.
type Plan struct {
	AcceptUntil time.Time // then no more connections are accepted, and nothing is read from those that are open
	AnswerBy    time.Time // every request has its final answer
	CloseBy     time.Time // every connection without a request in flight is closed
	KillAt      time.Time // the earliest SIGKILL
}

// New plans the shutdown of a process that got SIGTERM at signalled, in a deployment whose requests have longestDeadline at
// most.
func New(signalled time.Time, longestDeadline time.Duration) Plan {
	kill := signalled.Add(min(longestDeadline, maxCountedDeadline) + killMargin)
	return Plan{
		AcceptUntil: signalled.Add(acceptTime),
		AnswerBy:    kill.Add(-answerReserve),
		CloseBy:     kill.Add(-closeReserve),
		KillAt:      kill,
	}
}
