// Package front holds client sessions: it reads commands, keeps their answers in the order of the commands,
// and decides nothing. The fronts in the folders below say what the commands are.
package front

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dewhitch/internal/resp"
)

// The bounds of one client session.
const (
	pipelined  = 64        // commands that may wait for their answers; more are left unread
	unsent     = 512 << 10 // bytes of answers that wait for a client to read, beyond which no command is taken
	allUnsent  = 24 << 20  // and of those of all sessions, beyond which a session with so many is ended
	readBuffer = 2 << 10
	keptBuffer = 16 << 10 // a larger buffer of answers is not kept
	linger     = 300 * time.Millisecond
	sendTime   = 10 * time.Second // for one write; a client that takes nothing for so long has gone
)

// Commands carries out the commands of a client session. If it is an io.Closer, it is closed when that ends.
type Commands interface {
	// Do starts a command. It leads to one Fill of the slot.
	Do(came time.Time, c resp.Command, s *Slot)
}

// Slot is the place of one answer in the order of a client session.
type Slot struct {
	session *session
	answer  []byte
	filled  bool
	gone    func() // called if the client leaves before the slot is filled
}

// session is one client's connection. It is given back at the end of run.
type session struct {
	conn     net.Conn
	commands Commands
	all      *atomic.Int64 // bytes of answers that wait, of all sessions

	mu    sync.Mutex
	slots []*Slot // in the order of the commands, those whose answers are not in out yet
	room  *sync.Cond
	out   []byte
	owed  int           // bytes of answers that wait to be written, in out and in slots
	wake  chan struct{} // something is in out, or the session is over
	busy  time.Time     // when it last owed something
	last  bool          // it ends as soon as nothing is owed
	over  bool          // nothing more is taken or answered
}

func newSession(conn net.Conn, c Commands, all *atomic.Int64) *session {
	s := &session{conn: conn, commands: c, all: all, wake: make(chan struct{}, 1), busy: time.Now()}
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
	// What still comes is not taken. It is read for a moment all the same: a close with something unread would
	// reset the connection, and the client could lose answers that are on their way.
	io.Copy(io.Discard, s.conn)
	s.lost()
	writer.Wait()
}

// read takes commands until the session is over or the client has broken the protocol.
func (s *session) read() {
	r := resp.NewReader(s.conn, readBuffer)
	for {
		c, err := r.ReadCommand()
		came := time.Now()
		if err != nil && !errors.Is(err, resp.ErrProtocol) {
			s.lost()
			return
		}
		slot := s.open()
		if slot == nil {
			return
		}
		if err != nil {
			// Answered in its turn; then the session is over, as no command can be told from what follows.
			slot.Fill(resp.AppendFailure(nil, "ERR "+err.Error()))
			s.finish()
			return
		}
		s.commands.Do(came, c, slot)
	}
}

// open makes the slot of the next command, once there is room.
func (s *session) open() *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	for (len(s.slots) >= pipelined || s.owed > unsent) && !s.over {
		s.room.Wait()
	}
	if s.over {
		return nil
	}
	slot := &Slot{session: s}
	s.slots = append(s.slots, slot)
	return slot
}

// OnGone sets what is to happen if the client leaves before the slot is filled.
func (o *Slot) OnGone(f func()) {
	s := o.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over && !o.filled {
		o.gone = f
	} else if !o.filled {
		go f() // it left while the command was being taken in
	}
}

// Fill gives the slot its answer. It does not block; a second answer is passed over.
func (o *Slot) Fill(answer []byte) {
	s := o.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.filled {
		return
	}
	o.answer, o.filled, o.gone = answer, true, nil
	if s.over {
		return
	}
	s.owed += len(answer)
	if s.all.Add(int64(len(answer))) > allUnsent && s.owed > unsent {
		s.conn.Close() // a client that does not read may not fill the gateway's memory; read sees the end
	}
	if s.slots[0] != o {
		return
	}
	s.busy = time.Now()
	n := 0
	for n < len(s.slots) && s.slots[n].filled {
		s.out = append(s.out, s.slots[n].answer...)
		s.slots[n] = nil
		n++
	}
	s.slots = s.slots[n:]
	s.room.Signal()
	s.signal()
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends answers as they come into order.
func (s *session) write() {
	var buf []byte
	for {
		s.mu.Lock()
		buf, s.out = s.out, buf[:0]
		if s.last && len(s.slots) == 0 && len(buf) == 0 {
			s.over = true // all is answered, and nothing more is taken from here on
		}
		over := s.over
		s.mu.Unlock()
		if over {
			if tcp, ok := s.conn.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			s.conn.SetReadDeadline(time.Now().Add(linger))
			return
		}
		if len(buf) == 0 {
			<-s.wake
			continue
		}
		s.conn.SetWriteDeadline(time.Now().Add(sendTime))
		if _, err := s.conn.Write(buf); err != nil {
			s.conn.Close() // read sees the end
			return
		}
		s.mu.Lock()
		s.paid(len(buf))
		s.room.Signal()
		s.mu.Unlock()
		if cap(buf) > keptBuffer {
			buf = nil
		}
	}
}

// finish has the session end as soon as all that it has taken is answered.
func (s *session) finish() {
	s.mu.Lock()
	s.last = true
	s.signal()
	s.mu.Unlock()
}

// idle tells whether nothing is owed to the client, and since when.
func (s *session) idle() (since time.Time, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy, len(s.slots) == 0 && len(s.out) == 0 && !s.last
}

// paid takes note that n bytes of answers wait no longer; the lock is held.
func (s *session) paid(n int) {
	n = min(n, s.owed) // a session that is lost has let go of all
	s.owed -= n
	s.all.Add(-int64(n))
}

// lost tells those that work for the client that it has left.
func (s *session) lost() {
	s.mu.Lock()
	s.over = true
	slots := s.slots
	s.slots, s.out = nil, nil
	s.paid(s.owed)
	s.room.Broadcast()
	s.signal()
	s.mu.Unlock()
	for _, o := range slots {
		if f := o.gone; f != nil && !o.filled {
			f()
		}
	}
}
