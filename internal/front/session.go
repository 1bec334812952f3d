// Package front holds client sessions: it reads commands, keeps their answers in the order of the commands,
// and decides nothing. The fronts in the folders below say what the commands are.
package front

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"dewhitch/internal/resp"
)

// Commands carries out the commands of a client session. If it is an io.Closer, it is closed when that ends.
type Commands interface {
	// Do starts a command. It leads to one Fill of the slot.
	Do(came time.Time, c resp.Command, s *Slot)
}

// session is one client's connection. It is given back at the end of run. What the connection may still do is the
// lifecycle's to say. Its reader alone advances that to closing, when it has nothing in hand: whoever closed a session
// beside its reader would close it over a command that was read and is not answered.
type session struct {
	id       uint64 // in the log
	conn     net.Conn
	commands Commands
	bounds   *Bounds
	ctx      context.Context // ends when the session is over
	cancel   context.CancelFunc

	mu       sync.Mutex
	slots    []*Slot // in the order of the commands, those whose answers are not in out yet
	room     *sync.Cond
	out      []byte
	value    *Slot         // whose value is written behind out
	marks    []mark        // of the answers in out whose fate someone wants to know
	owed     int           // bytes of answers that wait to be written, in out and in slots
	wake     chan struct{} // something is in out, or the session is over
	busy     time.Time     // when it last owed something
	life     lifecycle
	drained  chan struct{} // closed once the session drains
	born     time.Time
	until    time.Time   // by which the command that is being read must be whole; zero: none is
	awaiting bool        // the reader waits for the first byte of a command
	evicted  bool        // another client needs its place: it ends if nothing is owed
	heard    time.Time   // when the last bytes came; the reader's own
	taken    int         // commands
	bad      int         // of those, that could not be used
	ends     CloseReason // if it ends by the state of the gateway
	closing  bool        // reason is set
	reason   CloseReason
}

func newSession(conn net.Conn, c Commands, b *Bounds) *session {
	s := &session{id: sessionIDs.Add(1), conn: conn, commands: c, bounds: b, wake: make(chan struct{}, 1), drained: make(chan struct{}),
		busy: time.Now(), born: time.Now()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.room = sync.NewCond(&s.mu)
	return s
}

// run serves the session until it has ended.
func (s *session) run() {
	defer s.conn.Close()
	if c, ok := s.commands.(io.Closer); ok {
		defer c.Close()
	}
	var writer sync.WaitGroup
	writer.Go(s.write)
	s.read()
	s.awaitAnswers()
	s.discard()
	s.lost()
	writer.Wait()
}

// drain has the session take commands for as long as a drain of the gateway allows, and end sooner between two of them,
// once nothing is owed.
func (s *session) drain(d drainTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	if s.taken == 0 { // its first command may be on its way
		first = s.born.Add(firstTime)
	}
	if s.life.drain(d, first) {
		s.ends = ClosedDrained
		s.draining()
	}
}

// stop has the session take no more than what has come by now, and end once that is answered. Danger: a client that goes on
// sending would have the gateway serve on until it is killed, with its last ones unanswered.
func (s *session) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	within := lastReadTime
	if s.taken == 0 || !s.until.IsZero() { // a command is on its way
		within = stopTime
	}
	s.ends = ClosedEnding
	if s.life.stop(time.Now().Add(within)) {
		s.draining()
	} else {
		s.rouse()
	}
}

// closeBy has the session closed by a time, if it is owed nothing then.
func (s *session) closeBy(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life.closeBy(at)
}

// draining tells the reader that the session drains, wherever it waits; the lock is held.
func (s *session) draining() {
	close(s.drained)
	s.rouse()
}

// rouse has a reader that waits for a command look at whether the session ends, and one within a command go by the time
// that is left; the lock is held.
func (s *session) rouse() {
	switch now := time.Now(); {
	case s.life.state >= stateClosing:
	case s.awaiting:
		s.conn.SetReadDeadline(now)
	case !s.until.IsZero():
		s.until = s.life.readBy(s.until)
		s.conn.SetReadDeadline(earlier(s.until, now.Add(byteTime)))
	}
}

// finish has the session end, for a reason, as soon as all that it has taken is answered. Only the reader calls it, and takes
// nothing after.
func (s *session) finish(r CloseReason) {
	s.mu.Lock()
	s.because(r)
	s.life.close()
	s.signal()
	s.mu.Unlock()
}

// idle tells whether nothing is owed to the client, since when, and whether it has asked for anything that could be
// used.
func (s *session) idle() (since time.Time, useful, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy, s.taken > s.bad, s.owesNothing() && s.stays()
}

// stays tells that nobody has asked for its end yet; the lock is held.
func (s *session) stays() bool { return s.life.state == stateOpen && !s.evicted }

// owesNothing tells that no answer waits, to be given or to be written; the lock is held.
func (s *session) owesNothing() bool { return len(s.slots) == 0 && len(s.out) == 0 && s.owed == 0 }

// resting tells the same of a session that waits for its client's next command: one that is in the midst of sending it, and
// may be slow at that, is not resting. One that ends is of no more use.
func (s *session) resting() (since time.Time, useful, resting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stays := s.stays()
	return s.busy, stays && s.taken > s.bad, stays && s.owesNothing() && s.awaiting
}

// evict asks for the session's end, if nothing is owed to its client. A command that crosses the end was not taken; the
// client sends it once more.
func (s *session) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stays() {
		return
	}
	s.evicted = true
	if !s.until.IsZero() {
		s.until = time.Now()
	}
	s.rouse()
}

// cut ends the session at once, for a reason: nothing can be said to its client any more.
func (s *session) cut(r CloseReason) {
	s.mu.Lock()
	s.because(r)
	s.mu.Unlock()
	s.lost()
}

// lost tells those that work for the client that it has left.
func (s *session) lost() {
	s.mu.Lock()
	s.life.abandon(time.Now())
	slots, marks := s.slots, s.marks
	s.slots, s.out, s.marks = nil, nil, nil
	s.paid(s.owed)
	var gone []func()
	if s.value != nil {
		gone = append(gone, s.value.value.Close) // the writer may wait for more of it
	}
	for _, o := range slots {
		if o.value != nil {
			gone = append(gone, o.value.Close)
		}
		if o.settled != nil {
			fate := Gone
			if o.filled {
				fate = Cut
			}
			gone = append(gone, func() { o.settled(fate) }) // before anyone is told that the client left
		}
		if o.filled {
			continue
		}
		s.bounds.large.Release(o.large)
		if o.large = 0; o.gone != nil {
			gone = append(gone, o.gone)
		}
	}
	s.room.Broadcast()
	s.signal()
	s.mu.Unlock()
	s.cancel()
	settle(marks, 0)
	for _, f := range gone {
		f()
	}
}
