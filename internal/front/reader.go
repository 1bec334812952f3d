package front

import (
	"errors"
	"os"
	"time"

	"dewhitch/internal/resp"
)

// read takes commands until the session is over or the client has broken the protocol.
func (s *session) read() {
	r, before := resp.NewReader(s, readBuffer), 0
	for {
		if err := s.await(r); errors.Is(err, errOver) && s.taken > 0 {
			s.finish()
			return
		} else if err != nil { // one that never asked is owed nothing, and its place is free at once
			s.lost()
			return
		}
		c, err := r.ReadCommand()
		s.mu.Lock()
		asked := s.asked != nobody
		s.until = time.Time{}
		s.mu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if asked { // it was not taken: its client sends it elsewhere
				s.finish()
				return
			}
			err = errSlow
		} else if err != nil && !errors.Is(err, resp.ErrProtocol) {
			s.lost()
			return
		}
		if time.Since(s.heard) > goneLook {
			s.leaveIfGone() // it has waited behind others, or for a pause
		}
		slot := s.open(c)
		if slot == nil {
			return
		}
		if err != nil {
			// Answered in its turn; then the session is over, as no command can be told from what follows.
			slot.Fill(resp.AppendFailure(nil, "ERR "+err.Error()))
			s.finish()
			return
		}
		s.commands.Do(s.heard, c, slot)
		s.mu.Lock()
		bad, quit, late := s.bad, s.quit, s.drain && time.Since(s.drainedAt) >= drainLast
		s.mu.Unlock()
		if quit {
			return
		}
		if late && r.Buffered() == 0 {
			// A client that always has a command out would keep its session for good: after this one, what it writes
			// is not read, and it sends that again on a connection of another gateway.
			s.finish()
			return
		}
		if bad > before && !s.strike(bad) {
			return
		}
		before = bad
	}
}

// errOver says that the session takes no more commands.
var errOver = errors.New("the session is over")

var errSlow = errors.New("the command is not whole in time")

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
	switch s.until = time.Now().Add(commandTime); {
	case s.over:
		return errOver
	case s.asked == stop:
		s.until = time.Now().Add(stopTime)
	case s.asked == room: // it is busy: another may be asked, or this one again
		s.asked = nobody
	}
	return nil
}

// Read reads from the client's connection: in the midst of a command it bounds each read. A wait for a command, and what is
// passed over at the end, have deadlines of their own.
func (s *session) Read(b []byte) (int, error) {
	s.mu.Lock()
	if !s.until.IsZero() && !s.over {
		next := time.Now().Add(byteTime)
		if next.After(s.until) {
			next = s.until
		}
		s.conn.SetReadDeadline(next)
	}
	s.mu.Unlock()
	n, err := s.conn.Read(b)
	if n > 0 {
		s.heard = time.Now()
	}
	return n, err
}

// watch bounds a wait for the next command; false: the session is over. A drained session looks often, and one that others
// want to end at once.
func (s *session) watch(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return false
	}
	if s.drain {
		limit = drainLook
	}
	if s.asked != nobody {
		limit = lastLook
	}
	s.awaiting = true
	s.conn.SetReadDeadline(time.Now().Add(limit))
	return true
}

// The pace of a drained session.
const (
	drainLook = 50 * time.Millisecond   // between two looks at whether it is idle
	lastLook  = time.Millisecond        // for what is on its way, before a session ends
	drainLast = 1500 * time.Millisecond // after which it takes no command but those it has read
	newcomer  = 200 * time.Millisecond  // in which a new session's first command comes
	stopTime  = 100 * time.Millisecond  // after which nothing is taken any more, where the gateway ends
)

// leave tells whether the session ends now, between two commands: someone wants it to, or it has said nothing for so long.
// Danger: whatever came before the end was taken, and would be lost; so it looks once more, and serves what came.
func (s *session) leave(r *resp.Reader, limit time.Duration) bool {
	if !s.mayLeave(limit) {
		return false
	}
	if !s.deadline(lastLook) {
		return true
	}
	_, err := r.Peek()
	return err != nil
}

func (s *session) mayLeave(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, idle := time.Since(s.born), s.owesNothing()
	switch {
	case s.over:
		return true
	case s.asked == stop: // a new one's first command may be on its way
		return s.taken > 0 || age >= stopTime
	case s.asked == room:
		s.asked = nobody // if it is busy again, another is asked
		return idle
	case s.drain:
		return idle && (s.taken > 0 || age >= newcomer || time.Since(s.drainedAt) >= drainLast)
	}
	return idle && time.Since(s.busy) >= limit
}

// deadline bounds the next read; false: the session is over, and its last deadline stands.
func (s *session) deadline(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over {
		s.conn.SetReadDeadline(time.Now().Add(d))
	}
	return !s.over
}

// strike has a client that sends what can't be used wait before its next command is read: an error at full speed, and
// the same again, would take the time of all others. At last it ends the session.
func (s *session) strike(n int) bool {
	if n >= strikes {
		s.finish()
		return false
	}
	select {
	case <-s.ctx.Done():
	case <-time.After(min(time.Duration(n)*strikePause, longPause)):
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
		if !s.bounds.large.TryAcquire(int64(size)) {
			if s.bounds.large.Acquire(s.ctx, int64(size)) != nil {
				return nil
			}
			s.leaveIfGone()
		}
		slot.large = int64(size)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for (len(s.slots) >= pipelined || int64(s.owed) > s.bounds.unsent) && !s.over {
		look := time.AfterFunc(goneLook, func() {
			s.leaveIfGone()
			s.room.Broadcast()
		})
		s.room.Wait()
		look.Stop()
	}
	if s.over {
		s.bounds.large.Release(slot.large)
		return nil
	}
	s.taken++
	s.slots = append(s.slots, slot)
	return slot
}

// leaveIfGone ends the session if its client has closed or half-closed. Danger: the end of a client that sent much and went
// stands behind all that it sent, which is read only as there is room, and each would be sent on for nobody.
func (s *session) leaveIfGone() {
	if hungUp(s.conn) {
		s.lost()
	}
}

// passOver reads what still comes, which is not taken, until the client ends or a moment after all is answered: a
// close with something unread would reset the connection, and the client could lose answers that are on their way.
// It reads so much and no more, as a client may write without end; one that goes on waits for the close.
func (s *session) passOver() {
	buf := make([]byte, readBuffer)
	for left := lingerBytes; left > 0; {
		n, err := s.conn.Read(buf)
		if left -= n; err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !s.passesOver() {
			return
		}
	}
	<-s.ctx.Done() // what it is owed is on its way, or it has gone
	time.Sleep(linger)
}

// passesOver bounds the next read of what is passed over; false: the time for that is up, or the client has gone.
func (s *session) passesOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.closeBy
	if !s.over {
		until = time.Now().Add(linger)
	}
	s.conn.SetReadDeadline(until)
	return time.Now().Before(until)
}
