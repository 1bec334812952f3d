package front

import (
	"context"
	"errors"
	"os"
	"time"

	"dewhitch/internal/resp"
)

// How long a session waits for its client.
const (
	readBufferSize      = 2 << 10                 // bytes
	firstByteTimeout    = 1500 * time.Millisecond // from the connection to the first byte
	byteTimeout         = 2500 * time.Millisecond // between two bytes of a command: a client may send a head for 2 s
	commandTimeout      = 10 * time.Second        // from a command's first byte to its last
	idleTimeout         = 5 * time.Second         // between two commands: a client can reconnect
	drainCheckInterval  = 50 * time.Millisecond   // between two checks whether a draining session is owed nothing
	finalReadTime       = time.Millisecond        // before a session ends, for input that is on its way
	stopReadTime        = 100 * time.Millisecond  // at the end of the gateway, for a command that is on its way
	hangUpCheckInterval = 50 * time.Millisecond   // between two checks whether the client has hung up, while nothing is read
	maxDiscardBytes     = 256 << 10               // of input that is discarded at the end; a client that writes more waits for the close
)

// The pause before the next command is read, after a faulty one.
const (
	maxFaults       = 16                    // faulty commands, with which the session ends
	penaltyPerFault = 50 * time.Millisecond // for each faulty command so far
	maxPenalty      = time.Second
)

// Why no more commands are read. The texts are part of the wire.
var (
	errNoMoreCommands = errors.New("the session takes no more commands")
	errCommandTimeout = errors.New("the command is not whole in time")
)

// read reads commands until the session ends. It is the session's reading goroutine.
func (s *session) read() {
	r := resp.NewReader(s, readBufferSize)
	for s.readCommand(r) {
	}
}

// readCommand reads and starts one command; false: it was the last.
func (s *session) readCommand(r *resp.Reader) bool {
	if err := s.awaitCommand(r); err != nil {
		s.endReading(err)
		return false
	}
	c, err := r.ReadCommand()
	err = s.finishCommandRead(err)
	if err != nil && !errors.Is(err, errCommandTimeout) && !errors.Is(err, resp.ErrProtocol) {
		s.endReading(err)
		return false
	}
	if time.Since(s.lastReadAt) > hangUpCheckInterval {
		s.abortIfHungUp() // the command was in the buffer for a while
	}
	slot := s.openSlot(c)
	if slot == nil {
		return false
	}
	if err != nil {
		s.endWithError(slot, err)
		return false
	}
	faultsBefore := s.faultyCount()
	s.commands.Do(s.lastReadAt, c, slot)
	return s.mayContinue(faultsBefore)
}

// endWithError answers an unreadable command with its error, and ends the session, as the start of the next command is unknown.
func (s *session) endWithError(slot *Slot, err error) {
	slot.Fill(resp.AppendError(nil, "ERR "+err.Error()))
	if errors.Is(err, errCommandTimeout) {
		s.finish(ClosedSlow)
	} else {
		s.finish(ClosedProtocol)
	}
}

// finishCommandRead records that no command is being read any more, and tells a command's time-out from the end of the session.
func (s *session) finishCommandRead(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commandDeadline = time.Time{}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if s.evicted || s.lifecycle.state != stateOpen { // the command was not accepted: its client sends it elsewhere
		return errNoMoreCommands
	}
	return errCommandTimeout
}

// endReading ends a session after the last read, which failed with err. A session of an open gateway that never sent a command is
// closed at once, and releases its place; any other ends gracefully, so that input that is on its way does not reset it.
func (s *session) endReading(err error) {
	s.mu.Lock()
	byGateway := errors.Is(err, errNoMoreCommands)
	graceful := byGateway && (s.commandsRead > 0 || s.lifecycle.state != stateOpen)
	if byGateway && s.lifecycle.state != stateOpen {
		s.setCloseReason(s.shutdownReason)
	}
	s.mu.Unlock()
	switch {
	case graceful:
		s.finish(ClosedEvicted) // if no other reason is recorded
	case byGateway:
		s.abort(ClosedIdle)
	default:
		s.abort(ClosedByClient)
	}
}

// faultyCount is how many commands so far could not be used.
func (s *session) faultyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultyCommands
}

// mayContinue tells whether another command is read after one that was started. If that one could not be used, which
// faultsBefore tells, the session pauses first, or ends.
func (s *session) mayContinue(faultsBefore int) bool {
	s.mu.Lock()
	faults := s.faultyCommands
	closing := s.lifecycle.state >= stateClosing
	s.mu.Unlock()
	return !closing && (faults == faultsBefore || s.penalize(faults))
}

// awaitCommand waits for the first byte of a command. The wait is bounded, as idle clients must not take the places of others.
func (s *session) awaitCommand(r *resp.Reader) error {
	for timeout := firstByteTimeout; r.Buffered() == 0; {
		if s.commandsRead > 0 {
			timeout = idleTimeout
		}
		if !s.beginWait(timeout) {
			return errNoMoreCommands
		}
		_, err := r.Peek()
		s.mu.Lock()
		s.awaitingCommand = false
		s.mu.Unlock()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if err != nil && s.endsBetweenCommands(r, timeout) {
			return errNoMoreCommands
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifecycle.state >= stateClosing {
		return errNoMoreCommands
	}
	s.commandDeadline = s.lifecycle.limitReadDeadline(time.Now().Add(commandTimeout))
	s.evicted = false // it is in use again; another session is evicted, or this one later
	return nil
}

// Read reads from the client's connection, which nothing else does while commands are read. Once the lifecycle forbids it,
// nothing more is read, even within a command. It sets the deadline of each read within a command; a wait for a command has a
// deadline of its own, by beginWait.
func (s *session) Read(b []byte) (int, error) {
	s.mu.Lock()
	now := time.Now()
	mayRead := s.lifecycle.mayRead(now)
	if mayRead && !s.commandDeadline.IsZero() {
		s.conn.SetReadDeadline(earlier(s.commandDeadline, now.Add(byteTimeout)))
	}
	s.mu.Unlock()
	if !mayRead {
		return 0, errNoMoreCommands
	}
	n, err := s.conn.Read(b)
	if n > 0 {
		s.lastReadAt = time.Now()
	}
	return n, err
}

// beginWait sets the deadline of a wait for the next command; false: no more commands are read. A draining session waits for
// drainInterval at a time, and an evicted one for lastReadTime.
func (s *session) beginWait(timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.lifecycle.mayRead(now) {
		return false
	}
	if s.lifecycle.state == stateDraining {
		timeout = drainCheckInterval
	}
	if s.evicted {
		timeout = finalReadTime
	}
	s.awaitingCommand = true
	s.conn.SetReadDeadline(s.lifecycle.limitReadDeadline(now.Add(timeout)))
	return true
}

// endsBetweenCommands tells whether the session ends now, between two commands. It reads once more before it does, as a command
// that came in the meantime would be lost, and must be served.
func (s *session) endsBetweenCommands(r *resp.Reader, timeout time.Duration) bool {
	if !s.mayEnd(timeout) {
		return false
	}
	s.conn.SetReadDeadline(time.Now().Add(finalReadTime))
	_, err := r.Peek()
	return err != nil
}

// mayEnd is the rule by which a session that waits for a command, and owes nothing, ends: it was evicted, it drains and has had time
// for its first command, or it has been idle for limit.
func (s *session) mayEnd(timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasEvicted := s.evicted
	s.evicted = false // if it owes something again, another session is evicted
	if !s.hasNoPendingAnswers() {
		return false
	}
	switch {
	case wasEvicted:
		s.setCloseReason(ClosedEvicted)
		return true
	case s.lifecycle.state == stateDraining:
		return s.commandsRead > 0 || time.Since(s.acceptedAt) >= firstCommandTime
	case time.Since(s.lastPendingAt) >= timeout:
		s.setCloseReason(ClosedIdle)
		return true
	}
	return false
}

// penalize pauses after a faulty command, by the number of them so far, as a client that repeats faults at full speed would take
// the CPU of all others. False: there were too many, and the session ends. A draining session does not pause: its time is short,
// and it reads little.
func (s *session) penalize(faults int) bool {
	if faults >= maxFaults {
		s.finish(ClosedFaults)
		return false
	}
	stop := s.watchForHangUp()
	defer stop()
	select {
	case <-s.ctx.Done():
	case <-s.drainStarted:
	case <-time.After(min(time.Duration(faults)*penaltyPerFault, maxPenalty)):
	}
	return true
}

// openSlot makes the slot of the next command, once there is capacity for it; nil: the session is over.
func (s *session) openSlot(c resp.Command) *Slot {
	slot := &Slot{session: s}
	bytes := 0
	for _, arg := range c {
		bytes += len(arg)
	}
	if bytes > minLargeCommand {
		if !s.acquireLargeCommand(int64(bytes)) {
			return nil
		}
		slot.largeBytes = int64(bytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.pipelineFull() && s.lifecycle.state < stateClosed {
		check := time.AfterFunc(hangUpCheckInterval, func() {
			s.abortIfHungUp()
			s.capacity.Broadcast()
		})
		s.capacity.Wait()
		check.Stop()
	}
	if s.lifecycle.state == stateClosed {
		s.bounds.largeCommands.Release(slot.largeBytes)
		return nil
	}
	s.commandsRead++
	slot.mustReject = s.lifecycle.mustReject(s.lastReadAt)
	s.slots = append(s.slots, slot)
	return slot
}

// pipelineFull tells whether a command has to wait until others of the session are answered; the lock is held.
func (s *session) pipelineFull() bool {
	return len(s.slots) >= maxPipelined || int64(s.unsentBytes) > s.bounds.maxUnsent
}

// acquireLargeCommand waits for memory for a large command of so many bytes; false: the session is over.
func (s *session) acquireLargeCommand(bytes int64) bool {
	if s.bounds.largeCommands.TryAcquire(bytes) {
		return true
	}
	stop := s.watchForHangUp()
	err := s.bounds.largeCommands.Acquire(s.ctx, bytes)
	stop()
	if err != nil {
		return false
	}
	s.abortIfHungUp()
	return true
}

// watchForHangUp checks whether the client has hung up in each hangUpInterval, until it is stopped. It is for a reader that waits
// for something other than its client: requests of a client that has left must not be forwarded meanwhile.
func (s *session) watchForHangUp() (stop func()) {
	ctx, stop := context.WithCancel(s.ctx)
	go s.abortOnHangUp(ctx)
	return stop
}

// abortOnHangUp aborts the session once its client has hung up, and returns when the context ends.
func (s *session) abortOnHangUp(ctx context.Context) {
	tick := time.NewTicker(hangUpCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.abortIfHungUp()
		}
	}
}

// abortIfHungUp aborts the session if its client has closed or half-closed the connection. The end of the input would be read only
// after all commands before it, each of which would be forwarded for nobody.
func (s *session) abortIfHungUp() {
	if hungUp(s.conn) {
		s.abort(ClosedByClient)
	}
}

// awaitAnswers waits until all commands are answered and the sending side is shut, or the client has hung up. Nothing is read
// meanwhile: a client may take what was read as accepted, and sends elsewhere what was not.
func (s *session) awaitAnswers() {
	s.abortOnHangUp(s.ctx)
}

// discard reads and drops input until the client closes, or until closeAt: closing a connection with unread input would reset it,
// and the client could lose answers that are on their way. It reads maxDiscardBytes at most, as a client may write without end,
// and then waits for closeAt.
func (s *session) discard() {
	s.mu.Lock()
	until := s.lifecycle.closeAt
	s.mu.Unlock()
	if !time.Now().Before(until) {
		return
	}
	buf := make([]byte, readBufferSize)
	for remaining := maxDiscardBytes; remaining > 0; {
		n, err := s.conn.Read(buf)
		if err != nil {
			return
		}
		remaining -= n
	}
	time.Sleep(time.Until(until))
}
