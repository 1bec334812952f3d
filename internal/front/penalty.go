package front

import (
	"time"

	"dewhitch/internal/resp"
)

// Limit on invalid commands, and the pause after each of them before the next command is read.
const (
	maxFaults       = 16                    // number of invalid commands at which the session ends
	penaltyPerFault = 50 * time.Millisecond // increase of the pause with each invalid command
	maxPenalty      = time.Second           // maximum pause
)

// faultyCount returns the number of invalid commands so far.
func (s *session) faultyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultyCommands
}

// mayContinue reports whether another command may be read after one that was started. If the number of invalid commands has grown since
// faultsBefore, it pauses first, or ends the session.
func (s *session) mayContinue(r *resp.Reader, faultsBefore int) bool {
	s.mu.Lock()
	faults := s.faultyCommands
	closing := s.lifecycle.state >= stateClosing
	s.mu.Unlock()
	return !closing && (faults == faultsBefore || s.penalize(r, faults))
}

// penalize pauses after an invalid command, in proportion to the number of invalid commands so far, because a client that repeats
// them at full speed would take the CPU time of all others. It returns false if there were too many, or if another client needs the
// place meanwhile; this ends the session. A draining session does not pause: its time is short, and it reads little.
func (s *session) penalize(r *resp.Reader, faults int) bool {
	if faults >= maxFaults {
		s.refuseBuffered(r)
		s.finish(ClosedFaults)
		return false
	}
	ctx, endWait := s.beginWaitForOthers()
	defer endWait()
	select {
	case <-ctx.Done():
	case <-s.drainStarted:
	case <-time.After(min(time.Duration(faults)*penaltyPerFault, maxPenalty)):
	}
	s.mu.Lock()
	evicted := s.evicted && s.hasNoPendingAnswers()
	s.mu.Unlock()
	if evicted {
		s.refuseBuffered(r)
		s.finish(ClosedEvicted)
		return false
	}
	return true
}
