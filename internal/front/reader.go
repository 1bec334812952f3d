package front

import (
	"context"
	"errors"
	"os"
	"time"

	"dewhitch/internal/resp"
)

// Times for which a session waits for its client, and sizes of its input.
const (
	readBufferSize      = 2 << 10                 // bytes of the read buffer
	firstByteTimeout    = 1500 * time.Millisecond // maximum time from the accept to the first byte
	byteTimeout         = 2500 * time.Millisecond // maximum time between two bytes of a command; clients may take 2 s for a header
	commandTimeout      = 10 * time.Second        // maximum time from the first byte of a command to its last
	idleTimeout         = 5 * time.Second         // maximum time from an answer to the next command, after which a client must reconnect
	drainCheckInterval  = 50 * time.Millisecond   // time between two checks whether a draining session has pending answers
	finalReadTime       = time.Millisecond        // last wait for input before a session ends
	firstReadTime       = 100 * time.Millisecond  // wait for the first command of a session when the gateway shuts down
	minFinishTime       = 100 * time.Millisecond  // minimum wait for the rest of a command that is arriving when the gateway shuts down
	hangUpCheckInterval = 50 * time.Millisecond   // time between two checks whether the client has hung up while nothing is read
)

// Errors after which no more commands are read. The text of errCommandTimeout is sent to clients and must not change.
var (
	errNoMoreCommands = errors.New("the session takes no more commands")
	errCommandRefused = errors.New("the session ends within a command")
	errCommandTimeout = errors.New("the command is not whole in time")
)

// read reads commands until the session ends. It runs on the session's reading goroutine.
func (s *session) read() {
	r := resp.NewReader(s, readBufferSize)
	r.BeforeBulk = s.reserveArgument
	s.reading.AwaitFirst()
	s.readingWork.Resume()
	for s.readCommand(r) {
	}
}

// isAnswered reports whether a command that could not be read because of err gets an answer. The others ended with their connection.
func isAnswered(err error) bool {
	for _, answered := range []error{errCommandTimeout, errNoMemory, errCommandRefused, resp.ErrProtocol} {
		if errors.Is(err, answered) {
			return true
		}
	}
	return false
}

// readCommand reads and starts one command. It returns false if no more commands are to be read.
func (s *session) readCommand(r *resp.Reader) bool {
	now := s.readingWork.Pay()
	if err := s.awaitCommand(r, now); err != nil {
		s.endReading(err)
		return false
	}
	c, err := r.ReadCommand()
	err = s.finishCommandRead(err)
	if err != nil && !isAnswered(err) {
		s.endReading(err)
		return false
	}
	if s.command.acquired > 0 || now.Sub(s.lastReadAt) > hangUpCheckInterval {
		s.abortIfHungUp() // the client may have hung up while the command arrived, or was in the buffer
	}
	slot := s.openSlot()
	if slot == nil {
		return false
	}
	if err != nil {
		s.endWithError(slot, err)
		return false
	}
	faultsBefore := s.faultyCount()
	s.commands.Do(s.lastReadAt, c, slot)
	return s.mayContinue(r, faultsBefore)
}

// endWithError answers an unreadable command with its error, and ends the session because the start of the next command is unknown.
func (s *session) endWithError(slot *Slot, err error) {
	if errors.Is(err, errCommandRefused) {
		slot.refuse()
		s.finish(s.refusalReason())
		return
	}
	slot.Fill(resp.AppendError(nil, "ERR "+err.Error()))
	switch {
	case errors.Is(err, errCommandTimeout):
		s.finish(ClosedSlow)
	case errors.Is(err, errNoMemory):
		s.finish(ClosedSlow)
	default:
		s.finish(ClosedProtocol)
	}
}

// finishCommandRead records that no command is being read any more. It returns err, except if the session ends, or if the deadline of the
// command is exceeded: that becomes errCommandRefused or errCommandTimeout.
func (s *session) finishCommandRead(err error) error {
	s.inCommand = false
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commandBegun = false
	s.commandDeadline = time.Time{}
	s.finishReadBy = time.Time{}
	if err != nil {
		s.takeCommandMemory().Release()
	}
	ends := s.evicted || s.lifecycle.state != stateOpen
	switch {
	case errors.Is(err, errNoMoreCommands), errors.Is(err, os.ErrDeadlineExceeded) && ends:
		return errCommandRefused
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errCommandTimeout
	}
	return err
}

// endReading ends a session after the last read, which failed with err. If the client closed the connection or the connection failed,
// the session is closed immediately. The same holds if the gateway ends a session that has read no command while the gateway neither
// drains nor shuts down: the session releases its place. Any other session that the gateway ends is closed gracefully, so that input
// that arrives late does not reset the connection.
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
		s.finish(ClosedEvicted) // unless another reason is recorded
	case byGateway:
		s.abort(ClosedIdle)
	default:
		s.abort(ClosedByClient)
	}
}

// awaitCommand waits for the first byte of a command. The wait is bounded, because idle clients must not take the places of others. It
// returns errNoMoreCommands if the session ends, or the error of the connection. now is the current time.
func (s *session) awaitCommand(r *resp.Reader, now time.Time) error {
	readAhead := r.Buffered() > 0
	for timeout := firstByteTimeout; r.Buffered() == 0; {
		if s.commandsRead > 0 {
			timeout = idleTimeout
		}
		if !s.beginWait(timeout) {
			return errNoMoreCommands
		}
		_, err := r.Peek()
		now = time.Now()
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
	s.inCommand = true
	s.commandBegun = true
	s.begunInTime = !readAhead || s.lifecycle.mayRead(now)
	s.commandDeadline = s.limitCommandDeadline(now.Add(commandTimeout))
	s.evicted = false // the session is in use again; another one is evicted, or this one later
	return nil
}

// Read reads from the client's connection. Nothing else reads from it while commands are read. When the lifecycle forbids reading, it
// returns errNoMoreCommands, even within a command. It sets the deadline of each read within a command; beginWait sets the deadline
// of a wait for a command.
func (s *session) Read(b []byte) (int, error) {
	if s.refusing {
		return 0, errNoMoreCommands
	}
	if s.inCommand {
		s.readingWork.Pay()
	}
	s.mu.Lock()
	now := time.Now()
	mayRead := s.mayRead(now) || now.Before(s.finishReadBy)
	if mayRead && !s.commandDeadline.IsZero() {
		deadline := earlier(s.commandDeadline, now.Add(byteTimeout))
		if !s.finishReadBy.IsZero() {
			deadline = earlier(deadline, s.finishReadBy)
		}
		s.conn.SetReadDeadline(deadline)
	}
	s.mu.Unlock()
	if !mayRead {
		return 0, errNoMoreCommands
	}
	n, err := s.conn.Read(b)
	now = s.readingWork.Resume()
	if n > 0 {
		s.lastReadAt = now
	}
	return n, err
}

// mayRead reports whether more may be read at the time now: of the command that has begun, or of the next one. The caller holds the lock.
func (s *session) mayRead(now time.Time) bool {
	if s.commandBegun && s.begunInTime {
		return s.lifecycle.mayFinishCommand(now)
	}
	return s.lifecycle.mayRead(now)
}

// limitCommandDeadline returns the deadline of the command that has begun, or the time until which it may be read if that is earlier. The
// caller holds the lock.
func (s *session) limitCommandDeadline(deadline time.Time) time.Time {
	if s.begunInTime {
		return s.lifecycle.limitCommandDeadline(deadline)
	}
	return s.lifecycle.limitReadDeadline(deadline)
}

// beginWait sets the deadline of a wait for the next command. It returns false if no more commands are read. A draining session waits
// for drainCheckInterval at a time, and an evicted one for finalReadTime.
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

// endsBetweenCommands reports whether the session ends now, between two commands. It reads once more before the end, because a command
// that has arrived in the meantime must be served and would be lost.
func (s *session) endsBetweenCommands(r *resp.Reader, timeout time.Duration) bool {
	if !s.mayEnd(timeout) {
		return false
	}
	s.conn.SetReadDeadline(time.Now().Add(finalReadTime))
	_, err := r.Peek()
	return err != nil
}

// mayEnd reports whether a session that waits for a command ends. It ends only if no answer is pending and one of these holds: it
// was evicted; it drains, and its client has had time for a first command; or it has been idle for timeout.
func (s *session) mayEnd(timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasEvicted := s.evicted
	s.evicted = false // if an answer is pending again, another session is evicted
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

// beginWaitForOthers begins a wait of the reading goroutine for something other than its client. The context ends when the session
// ends or is evicted. The requests of a client that has hung up must not be forwarded meanwhile, so that this is watched for until end
// is called.
func (s *session) beginWaitForOthers() (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	go s.abortOnHangUp(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelWait = cancel
	if s.evicted {
		cancel()
	}
	return ctx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancelWait = nil
	}
}

// openSlot waits until there is capacity for the command that was read, and returns its slot, or nil if the session has ended.
func (s *session) openSlot() *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := &Slot{session: s, command: s.takeCommandMemory()}
	for s.lifecycle.state < stateClosed && !s.acquireRequest() {
		check := time.AfterFunc(hangUpCheckInterval, func() {
			s.abortIfHungUp()
			s.capacity.Broadcast()
		})
		s.capacity.Wait()
		check.Stop()
	}
	if s.lifecycle.state == stateClosed {
		slot.command.Release()
		return nil
	}
	s.commandsRead++
	slot.mustReject = s.lifecycle.mustReject(s.lastReadAt)
	s.slots = append(s.slots, slot)
	return slot
}

// abortOnHangUp aborts the session when its client hangs up. It returns when the context ends.
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

// abortIfHungUp aborts the session if its client has closed or half-closed the connection. A read would return the end of the input
// only after all commands before it, and each of these would be forwarded although no client waits for the answer.
func (s *session) abortIfHungUp() {
	if hungUp(s.conn) {
		s.abort(ClosedByClient)
	}
}

// awaitAnswers waits until all commands are answered and the sending side is closed, or the client has hung up. Nothing is read
// meanwhile: a client may assume that commands that were read are accepted, and sends the others elsewhere.
func (s *session) awaitAnswers() {
	s.abortOnHangUp(s.ctx)
}
