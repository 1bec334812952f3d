package front

import (
	"dewhitch/internal/memory"
	"dewhitch/internal/sockets"
)

// Read-ahead by the system for a session with many pending answers. The session soon reads nothing more, and a client that has sent many
// commands and gone could not be told from one that waits: its end of the stream is behind the commands, which the system takes only as far
// as the receive buffer goes.
const (
	readAheadFrom  = maxPipelined / 2 // number of pending answers from which the receive buffer is larger
	readAheadBytes = 256 << 10        // size of that buffer in bytes; the system uses about half of it for input
	readAheadShare = 2                // part of the memory for commands that these buffers may take: one in this many bytes
)

// readAhead enlarges the receive buffer once many answers are pending, if there is memory. The caller holds the lock.
func (s *session) readAhead() {
	if s.readsAhead || s.pendingCount < readAheadFrom {
		return
	}
	account := s.bounds.account
	if used, capacity := account.Used(memory.Commands); used+readAheadBytes > capacity/readAheadShare {
		return
	}
	if account.TryAcquire(memory.Commands, readAheadBytes) {
		s.readsAhead = true
		sockets.LimitBuffers(s.conn, readAheadBytes, 0)
	}
}

// endReadAhead restores the size of the receive buffer once no answer is pending. The caller holds the lock.
func (s *session) endReadAhead() {
	if !s.readsAhead || s.pendingCount > 0 {
		return
	}
	s.readsAhead = false
	sockets.LimitBuffers(s.conn, s.bounds.receiveBuffer, 0)
	s.bounds.account.Release(memory.Commands, readAheadBytes)
}
