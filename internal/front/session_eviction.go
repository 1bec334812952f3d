package front

import "time"

// evictable describes the session to an eviction at the time now. It returns false if the session reads no more or has pending answers. A
// session that drains reads its command to the end, which may take as long as it would without a drain.
func (s *session) evictable(now time.Time) (e evictable, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e = evictable{session: s, idleSince: s.lastPendingAt, owed: s.obligation()}
	if !s.mayBeEvicted() || e.owed.answerPending {
		return evictable{}, false
	}
	e.served = s.commandsRead > s.faultyCommands || s.commandsRead == 0 && now.Sub(s.lastPendingAt) < firstCommandTime
	return e, true
}

// mayBeEvicted reports whether the session reads commands and is not evicted. The caller holds the lock.
func (s *session) mayBeEvicted() bool { return s.lifecycle.state <= stateDraining && !s.evicted }

// idleBetweenCommands returns lastPendingAt, whether the client has sent a valid command, and whether the session waits for the next
// command. A client in the middle of a command may send slowly and is not idle. For a session that is ending, both booleans are false.
func (s *session) idleBetweenCommands() (since time.Time, sentValidCommand, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := s.isOpen()
	return s.lastPendingAt, open && s.commandsRead > s.faultyCommands, open && s.hasNoPendingAnswers() && s.awaitingCommand
}

// evict makes a session that reads commands end if no answer is pending. A command that its client is writing is refused.
func (s *session) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startEviction()
}

// evictBetweenCommands is like evict, but does nothing if the client has begun a command.
func (s *session) evictBetweenCommands() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.commandBegun {
		s.startEviction()
	}
}

// startEviction carries out evict. The caller holds the lock.
func (s *session) startEviction() {
	if !s.mayBeEvicted() {
		return
	}
	s.evicted = true
	if s.cancelWait != nil {
		s.cancelWait()
	}
	if !s.commandDeadline.IsZero() {
		s.commandDeadline = time.Now()
	}
	s.interruptRead()
}
