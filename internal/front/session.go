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

// The bounds of one client session.
const (
	pipelined   = 64 // commands that may wait for their answers; more are left unread
	readBuffer  = 2 << 10
	keptBuffer  = 16 << 10 // a larger buffer of answers is not kept
	largeSize   = 2 << 10  // of a command; those that are larger share what memory there is for them
	linger      = 300 * time.Millisecond
	lingerBytes = 256 << 10               // that are read and passed over meanwhile
	sendTime    = 5 * time.Second         // a client that takes nothing for so long has gone
	sendWaits   = 10                      // looks at whether it has taken something meanwhile
	helloTime   = 1500 * time.Millisecond // from connecting to the first byte: a client connects to say something
	byteTime    = 2500 * time.Millisecond // between two bytes of a command: a client may spend 2 s on a head
	commandTime = 10 * time.Second        // from a command's first byte to its last
	idleTime    = 5 * time.Second         // a client that asks for nothing for so long can connect again
	strikes     = 16                      // commands that can't be used, after which the session ends
	strikePause = 50 * time.Millisecond
	longPause   = time.Second
	goneLook    = 50 * time.Millisecond // while commands are left unread: between two looks at whether the client has gone
)

// Commands carries out the commands of a client session. If it is an io.Closer, it is closed when that ends.
type Commands interface {
	// Do starts a command. It leads to one Fill of the slot.
	Do(came time.Time, c resp.Command, s *Slot)
}

// session is one client's connection. It is given back at the end of run.
type session struct {
	conn     net.Conn
	commands Commands
	bounds   *Bounds
	ctx      context.Context // ends when the session is over
	cancel   context.CancelFunc

	mu        sync.Mutex
	slots     []*Slot // in the order of the commands, those whose answers are not in out yet
	room      *sync.Cond
	out       []byte
	value     *Slot         // whose value is written behind out
	marks     []mark        // of the answers in out whose fate someone wants to know
	owed      int           // bytes of answers that wait to be written, in out and in slots
	wake      chan struct{} // something is in out, or the session is over
	busy      time.Time     // when it last owed something
	quit      bool          // its client asked for its end: nothing that follows is read as a command
	drain     bool          // operators drain the gateway: it ends between two commands
	drainedAt time.Time
	born      time.Time
	until     time.Time // by which the command that is being read must be whole; zero: none is
	awaiting  bool      // the reader waits for the first byte of a command
	asked     ask       // for the session's end, by others
	last      bool      // it ends as soon as nothing is owed; the reader says so, which takes nothing after that
	over      bool      // nothing more is taken or answered
	closeBy   time.Time // once over, and all is answered: how long what still comes is read and passed over
	heard     time.Time // when the last bytes came; the reader's own
	taken     int       // commands
	bad       int       // of those, that could not be used
}

// ask is who wants a session to end. The reader alone ends it, between two commands, when it has nothing in hand: whoever
// closed it beside the reader would close over a command that was read and is not answered.
type ask int

const (
	nobody ask = iota
	room       // another client needs its place: if it is idle
	stop       // the gateway ends: whatever it is owed, it takes no more
)

func newSession(conn net.Conn, c Commands, b *Bounds) *session {
	s := &session{conn: conn, commands: c, bounds: b, wake: make(chan struct{}, 1), busy: time.Now(), born: time.Now()}
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
	s.passOver()
	s.lost()
	writer.Wait()
}

// stop has the session take no more than what has come by now, and end once that is answered. Danger: a client that goes on
// sending would have the gateway serve on until it is killed, with its last ones unanswered.
func (s *session) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ask(stop, stopTime)
}

// ask has the reader look at whether the session ends: at once, or within that time if it is in the midst of a command. The
// lock is held.
func (s *session) ask(a ask, within time.Duration) {
	s.asked = a
	switch now := time.Now(); {
	case s.over || s.last:
	case s.awaiting:
		s.conn.SetReadDeadline(now)
	case !s.until.IsZero():
		s.until = now.Add(within)
		s.conn.SetReadDeadline(s.until)
	}
}

// finish has the session end as soon as all that it has taken is answered. Only the reader calls it, and takes nothing after.
func (s *session) finish() {
	s.mu.Lock()
	s.last = true
	s.signal()
	s.mu.Unlock()
}

// drained has the session end between two commands, once idle: see leave.
func (s *session) drained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drain || s.over {
		return
	}
	s.drain, s.drainedAt = true, time.Now()
	if s.awaiting { // a reader that waits for a command looks at once; one in the middle of a command finishes it
		s.conn.SetReadDeadline(s.drainedAt)
	}
}

// idle tells whether nothing is owed to the client, since when, and whether it has asked for anything that could be
// used.
func (s *session) idle() (since time.Time, useful, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy, s.taken > s.bad, s.owesNothing() && !s.ends()
}

// ends tells that it ends already, or has been asked to; the lock is held.
func (s *session) ends() bool { return s.last || s.asked != nobody }

// owesNothing tells that no answer waits, to be given or to be written; the lock is held.
func (s *session) owesNothing() bool { return len(s.slots) == 0 && len(s.out) == 0 && s.owed == 0 }

// resting tells the same of a session that waits for its client's next command: one that is in the midst of sending it, and
// may be slow at that, is not resting. One that ends is of no more use.
func (s *session) resting() (since time.Time, useful, resting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stays := !s.ends()
	return s.busy, stays && s.taken > s.bad, stays && s.owesNothing() && s.awaiting
}

// makeRoom asks for the session's end, if nothing is owed to its client. A command that crosses the end was not taken; the
// client sends it once more.
func (s *session) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asked == nobody {
		s.ask(room, 0)
	}
}

// lost tells those that work for the client that it has left.
func (s *session) lost() {
	s.mu.Lock()
	s.over = true
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
