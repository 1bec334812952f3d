// Package shutdown plans the graceful shutdown of a process that serves clients: until when it accepts connections and
// requests, by when it answers every request, and by when it closes every connection. It has no clock and does no I/O.
//
// The platform sends SIGTERM, and later SIGKILL. The time between them is at least the deployment's longest deadline, of which
// at most 3 s count, plus 0.7 s. Until SIGKILL clients use every connection that is open. A request that arrives more than 0.7 s
// after SIGTERM and has no answer at SIGKILL is lost. Requests are therefore answered by a common time before SIGKILL, and not
// only by their own deadlines: a connection that waits for a later deadline would still be open at SIGKILL.
package shutdown

import "time"

// Times between SIGTERM and SIGKILL that the platform defines.
const (
	maxCountedDeadline = 3 * time.Second        // greatest deadline that counts; a longer one counts as this
	killMargin         = 700 * time.Millisecond // time from the end of the longest deadline to SIGKILL
)

// Times by which the process completes its shutdown before SIGKILL.
const (
	// acceptTime is the time for which connections are accepted after SIGTERM. The platform's front opens new ones for 0.2 to 0.4 s.
	acceptTime = 500 * time.Millisecond
	// MaxStall is the assumed maximum delay of the process between reading its clock and acting.
	MaxStall = 150 * time.Millisecond
	// discardTime is the time to read and discard what clients still write after the last answer.
	discardTime = 200 * time.Millisecond
	// answerReserve is the time between the last answer and SIGKILL: for a stall, for discarding, and for a loaded machine.
	answerReserve = MaxStall + discardTime + 150*time.Millisecond
	// closeReserve is the time between the last close and SIGKILL.
	closeReserve = MaxStall + 50*time.Millisecond
)

// Plan holds the times of the graceful shutdown of one process, in the order in which they occur.
type Plan struct {
	AcceptUntil time.Time // end of accepting connections and of reading from open ones
	AnswerBy    time.Time // deadline for the final answer to every request
	CloseBy     time.Time // deadline for closing every connection without a request in flight
	KillAt      time.Time // earliest time of SIGKILL
}

// New plans the shutdown of a process that received SIGTERM at signalled. longestDeadline is the longest deadline of a request in
// the deployment.
func New(signalled time.Time, longestDeadline time.Duration) Plan {
	kill := signalled.Add(min(longestDeadline, maxCountedDeadline) + killMargin)
	return Plan{
		AcceptUntil: signalled.Add(acceptTime),
		AnswerBy:    kill.Add(-answerReserve),
		CloseBy:     kill.Add(-closeReserve),
		KillAt:      kill,
	}
}
