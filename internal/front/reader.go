package front

import (
	"context"
	"errors"
	"os"
	"time"

	"dewhitch/internal/resp"
)

// How a session's client is waited for.
const (
	readBuffer    = 2 << 10
	helloTime     = 1500 * time.Millisecond // from connecting to the first byte: a client connects to say something
	byteTime      = 2500 * time.Millisecond // between two bytes of a command: a client may spend 2 s on a head
	commandTime   = 10 * time.Second        // from a command's first byte to its last
	idleTime      = 5 * time.Second         // a client that asks for nothing for so long can connect again
	drainInterval = 50 * time.Millisecond   // between two looks at whether a draining session is owed nothing
	lastReadTime  = time.Millisecond        // for what is on its way, before a session ends
	stopTime      = 100 * time.Millisecond  // for a command that is on its way as the gateway ends
	goneInterval  = 50 * time.Millisecond   // while nothing is read: between two looks at whether the client has gone
	discardBytes  = 256 << 10               // of input that is discarded; a client that writes more waits for the close
)

// The penalties for commands that can't be used.
const (
	maxFaults   = 16 // after which the session ends
	penaltyStep = 50 * time.Millisecond
	maxPenalty  = time.Second
)

var (
	errOver = errors.New("the session takes no more commands")
	errSlow = errors.New("the command is not whole in time")
)

// read takes commands until the session ends or its client has broken the protocol.
func (s *session) read() {
	for r := resp.NewReader(s, readBuffer); s.readCommand(r); {
	}
}

// readCommand takes one command; false: it was the last.
func (s *session) readCommand(r *resp.Reader) bool {
	if err := s.await(r); err != nil {
		s.endReading(err)
		return false
	}
	c, err := r.ReadCommand()
	err = s.commandRead(err)
	if err != nil && !errors.Is(err, errSlow) && !errors.Is(err, resp.ErrProtocol) {
		s.endReading(err)
		return false
	}
	if time.Since(s.heard) > goneInterval {
		s.leaveIfGone() // it has waited behind others, or for a pause
	}
	slot := s.open(c)
	if slot == nil {
		return false
	}
	if err != nil {
		// Answered in its turn; then the session is over, as no command can be told from what follows.
		slot.Fill(resp.AppendFailure(nil, "ERR "+err.Error()))
		if errors.Is(err, errSlow) {
			s.finish(ClosedSlow)
		} else {
			s.finish(ClosedProtocol)
		}
		return false
	}
	before := s.faults()
	s.commands.Do(s.heard, c, slot)
	return s.goesOn(before)
}

// commandRead notes that no command is being read any more, and says what its error means.
func (s *session) commandRead(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Time{}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if s.evicted || s.life.state != stateOpen { // it was not taken: its client sends it elsewhere
		return errOver
	}
	return errSlow
}

// endReading ends a session by whose reader nothing more is taken. One that never asked is owed nothing, and its place is
// free at once; while draining, what it sends just then must not be reset.
func (s *session) endReading(err error) {
	s.mu.Lock()
	over := errors.Is(err, errOver)
	graceful := over && (s.taken > 0 || s.life.state != stateOpen)
	if over && s.life.state != stateOpen {
		s.because(s.ends)
	}
	s.mu.Unlock()
	switch {
	case graceful:
		s.finish(ClosedEvicted) // unless it is for another reason, which was noted
	case over:
		s.cut(ClosedIdle)
	default:
		s.cut(ClosedByClient)
	}
}

// faults is how many commands could not be used.
func (s *session) faults() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bad
}

// goesOn tells whether another command is read after one that was carried out, and has a client that sends what can't be
// used wait first; before that command, so many could not be used.
func (s *session) goesOn(before int) bool {
	s.mu.Lock()
	bad, closing := s.bad, s.life.state >= stateClosing
	s.mu.Unlock()
	return !closing && (bad == before || s.penalize(bad))
}

// await waits for the first byte of a command. Danger: clients that connect and say nothing, or keep a session for
// good, must take nobody's place.
func (s *session) await(r *resp.Reader) error {
	for limit := helloTime; r.Buffered() == 0; {
		if s.taken > 0 {
			limit = idleTime
		}
		if !s.watch(limit) {
			return errOver
		}
		_, err := r.Peek()
		s.mu.Lock()
		s.awaiting = false
		s.mu.Unlock()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if err != nil && s.leave(r, limit) {
			return errOver
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.state >= stateClosing {
		return errOver
	}
	s.until = s.life.readBy(time.Now().Add(commandTime))
	s.evicted = false // it is busy: another may be asked to make room, or this one again
	return nil
}

// Read reads from the client's connection, which nothing else does while commands are taken: once the lifecycle forbids it,
// no more is read, wherever in a command that is. In the midst of a command it bounds each read; a wait for a command has a
// deadline of its own.
func (s *session) Read(b []byte) (int, error) {
	s.mu.Lock()
	now := time.Now()
	reads := s.life.reads(now)
	if reads && !s.until.IsZero() {
		s.conn.SetReadDeadline(earlier(s.until, now.Add(byteTime)))
	}
	s.mu.Unlock()
	if !reads {
		return 0, errOver
	}
	n, err := s.conn.Read(b)
	if n > 0 {
		s.heard = time.Now()
	}
	return n, err
}

// watch bounds a wait for the next command; false: none is taken any more. A draining session looks often, and one that is
// to make room at once.
func (s *session) watch(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.life.reads(now) {
		return false
	}
	if s.life.state == stateDraining {
		limit = drainInterval
	}
	if s.evicted {
		limit = lastReadTime
	}
	s.awaiting = true
	s.conn.SetReadDeadline(s.life.readBy(now.Add(limit)))
	return true
}

// leave tells whether the session ends now, between two commands: someone wants it to, or it has said nothing for so long.
// Danger: whatever came before the end was taken, and would be lost; so it looks once more, and serves what came.
func (s *session) leave(r *resp.Reader, limit time.Duration) bool {
	if !s.mayLeave(limit) {
		return false
	}
	s.conn.SetReadDeadline(time.Now().Add(lastReadTime))
	_, err := r.Peek()
	return err != nil
}

func (s *session) mayLeave(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := s.owesNothing()
	switch {
	case s.evicted:
		if s.evicted = false; idle { // if it is busy again, another is asked
			s.because(ClosedEvicted)
		}
		return idle
	case s.life.state == stateDraining: // a new one's first command may be on its way
		return idle && (s.taken > 0 || time.Since(s.born) >= firstTime)
	}
	if idle = idle && time.Since(s.busy) >= limit; idle {
		s.because(ClosedIdle)
	}
	return idle
}

// penalize has a client that sends what can't be used wait before its next command is read: an error at full speed, and
// the same again, would take the time of all others. At last it ends the session. While it drains there is no time to wait,
// and not much is read.
func (s *session) penalize(n int) bool {
	if n >= maxFaults {
		s.finish(ClosedFaults)
		return false
	}
	defer s.watchForClose()()
	select {
	case <-s.ctx.Done():
	case <-s.drained:
	case <-time.After(min(time.Duration(n)*penaltyStep, maxPenalty)):
	}
	return true
}

// open makes the slot of the next command, once there is room.
func (s *session) open(c resp.Command) *Slot {
	slot, size := &Slot{session: s}, 0
	for _, word := range c {
		size += len(word)
	}
	if size > largeSize {
		if !s.acquireLarge(int64(size)) {
			return nil
		}
		slot.large = int64(size)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for (len(s.slots) >= maxPipelined || int64(s.owed) > s.bounds.unsent) && s.life.state < stateClosed {
		look := time.AfterFunc(goneInterval, func() {
			s.leaveIfGone()
			s.room.Broadcast()
		})
		s.room.Wait()
		look.Stop()
	}
	if s.life.state == stateClosed {
		s.bounds.large.Release(slot.large)
		return nil
	}
	s.taken++
	slot.refuse = s.life.refuses(s.heard)
	s.slots = append(s.slots, slot)
	return slot
}

// acquireLarge waits for room for a large command; false: the session is over.
func (s *session) acquireLarge(size int64) bool {
	if s.bounds.large.TryAcquire(size) {
		return true
	}
	stop := s.watchForClose()
	err := s.bounds.large.Acquire(s.ctx, size)
	if stop(); err != nil {
		return false
	}
	s.leaveIfGone()
	return true
}

// watchForClose looks at whether the client has gone, again and again until it is stopped. It is for a reader that waits for
// something other than its client. Danger: the requests that are out for a client that has gone would be sent on meanwhile.
func (s *session) watchForClose() (stop func()) {
	ctx, stop := context.WithCancel(s.ctx)
	go s.leaveOnClose(ctx)
	return stop
}

// leaveOnClose ends the session once its client has gone, or returns when the context ends.
func (s *session) leaveOnClose(ctx context.Context) {
	look := time.NewTicker(goneInterval)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
			s.leaveIfGone()
		}
	}
}

// leaveIfGone ends the session if its client has closed or half-closed. Danger: the end of a client that sent much and went
// stands behind all that it sent, which is read only as there is room, and each would be sent on for nobody.
func (s *session) leaveIfGone() {
	if hungUp(s.conn) {
		s.cut(ClosedByClient)
	}
}

// awaitAnswers waits until all that was taken is answered and the sending side is shut. Danger: nothing may be read
// meanwhile, as what was read and is not answered would be lost; unread, its client sends it elsewhere.
func (s *session) awaitAnswers() {
	s.leaveOnClose(s.ctx)
}

// discard reads what still comes until the client ends, or its time is up: a close over unread input would reset the
// connection, and the client could lose answers that are on their way. It reads so much and no more, as a client may write
// without end; one that goes on waits for the close.
func (s *session) discard() {
	s.mu.Lock()
	until := s.life.goneBy
	s.mu.Unlock()
	if !time.Now().Before(until) {
		return
	}
	buf := make([]byte, readBuffer)
	for left := discardBytes; left > 0; {
		n, err := s.conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
	time.Sleep(time.Until(until))
}
