package front

import (
	"context"
	"errors"
	"time"

	"dewhitch/internal/memory"
)

// errNoMemory means that there was no memory for a command within maxMemoryWait. Its text is sent to clients.
var errNoMemory = errors.New("no memory for the command in time")

// commandMemory is the memory of the command that a session is reading. The lock of the session guards it, except read.
type commandMemory struct {
	read       int       // bytes of the arguments announced so far; used by the reading goroutine alone
	acquired   int64     // bytes that are acquired for them
	acquiredAt time.Time // time of the first acquisition; zero if there was none
}

// reserveArgument acquires the memory of the next argument of the command that is being read, if the command is large. It waits if there
// is none: nothing is read from the client meanwhile.
func (s *session) reserveArgument(length int) error {
	if s.refusing { // no more than the read buffer holds is read
		return nil
	}
	s.command.read += length
	missing := int64(s.command.read) - s.command.acquired
	if s.command.read <= minLargeCommand || missing <= 0 {
		return nil
	}
	if !s.bounds.account.TryAcquire(memory.Commands, missing) {
		if err := s.awaitCommandMemory(missing); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.command.acquired += missing
	if s.command.acquiredAt.IsZero() {
		s.command.acquiredAt = time.Now()
	}
	return nil
}

// awaitCommandMemory waits for memory. The client's time for the command stands still meanwhile. If the time to read ends during the
// wait, the rest of the command may still be read if it has arrived.
func (s *session) awaitCommandMemory(bytes int64) error {
	s.mu.Lock()
	remaining := time.Until(s.commandDeadline)
	s.commandDeadline = time.Time{}
	s.mu.Unlock()
	ctx, endWait := s.beginWaitForOthers()
	defer endWait()
	ctx, cancel := context.WithTimeout(ctx, maxMemoryWait)
	defer cancel()
	err := s.bounds.account.Acquire(ctx, memory.Commands, bytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.commandDeadline = now.Add(remaining)
	if s.evicted { // during the wait, which may have ended with the memory nevertheless
		s.commandDeadline = now
	}
	if !s.mayRead(now) {
		s.finishReadBy = now.Add(minFinishTime)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return errNoMemory
	}
	return errNoMoreCommands
}

// takeCommandMemory passes the memory of the command that was read to its slot. The caller holds the lock.
func (s *session) takeCommandMemory() *memory.Hold {
	hold := memory.NewHold(s.bounds.account, memory.Commands, s.command.acquired)
	s.command = commandMemory{}
	return hold
}

// commandOverdue returns by how much the large command that is being read exceeds maxArrivalTime.
func (s *session) commandOverdue(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.command.acquired == 0 || s.commandDeadline.IsZero() || s.evicted {
		return 0
	}
	return now.Sub(s.command.acquiredAt) - maxArrivalTime
}

// shedCommand closes the session as soon as the commands before the one that is being read are answered.
func (s *session) shedCommand() {
	s.mu.Lock()
	s.shedForMemory = true
	s.setCloseReason(ClosedSlow)
	s.mu.Unlock()
	s.bounds.account.CountShed(memory.Commands)
	s.evict()
}

// heldValue is a long answer in memory. It implements Value.
type heldValue struct {
	text []byte
	hold *memory.Hold
}

// Read implements Value. It is not used: the text is written as a whole.
func (v *heldValue) Read([]byte) (int, error) { return 0, errors.ErrUnsupported }

// Close implements Value. It releases the memory.
func (v *heldValue) Close() { v.hold.Release() }
