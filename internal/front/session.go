// Package front holds client sessions: it reads commands, keeps their answers in the order of the commands,
// and decides nothing. The fronts in the folders below say what the commands are.
package front

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

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

// Bounds are shared by all sessions of a gateway, and follow from its memory.
type Bounds struct {
	unsent    int64 // bytes of answers that wait for a client to read, beyond which no command of its is taken
	allUnsent int64 // and of those of all sessions, beyond which a session with so many is ended
	waiting   atomic.Int64
	large     *semaphore.Weighted // bytes of large commands in hand
}

// The shares of the memory limit. It guards against a constant that fits one machine and overflows a smaller one.
const (
	unsentPart    = 8         // of the memory: answers that wait
	sessionPart   = 8         // of those: of one session
	largePart     = 8         // of the memory: large commands in hand
	mostOfSession = 512 << 10 // bytes, whatever the memory
)

// NewBounds shares out so many bytes of memory.
func NewBounds(memory int) *Bounds {
	all := int64(memory / unsentPart)
	return &Bounds{unsent: min(all/sessionPart, mostOfSession), allUnsent: all,
		large: semaphore.NewWeighted(int64(max(memory/largePart, resp.MaxCommand)))}
}

// Commands carries out the commands of a client session. If it is an io.Closer, it is closed when that ends.
type Commands interface {
	// Do starts a command. It leads to one Fill of the slot.
	Do(came time.Time, c resp.Command, s *Slot)
}

// Slot is the place of one answer in the order of a client session.
type Slot struct {
	session *session
	answer  []byte
	value   Value // that follows the answer's bytes, with its end behind it; nil: none
	filled  bool
	large   int64  // bytes of the command that Bounds.large holds a place for
	gone    func() // called if the client leaves before the slot is filled
	settled func(Fate)
}

// Value is a large value as it comes.
type Value interface {
	io.Reader
	Close() // from any goroutine, and again
}

// Fate is what became of a slot's answer.
type Fate int

// The fates.
const (
	Written Fate = iota // its last byte was written
	Gone                // the client left before there was an answer
	Cut                 // there was one, and its last byte could not be written
)

// mark is where an answer ends in what is being written.
type mark struct {
	end     int
	settled func(Fate)
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

// deadline bounds the next read; false: the session is over, and its last deadline stands.
func (s *session) deadline(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over {
		s.conn.SetReadDeadline(time.Now().Add(d))
	}
	return !s.over
}

// errOver says that the session takes no more commands.
var errOver = errors.New("the session is over")

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

var errSlow = errors.New("the command is not whole in time")

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

// Reject gives the slot an error, for a command that can't be used.
func (o *Slot) Reject(why string) {
	o.session.mu.Lock()
	o.session.bad++
	o.session.mu.Unlock()
	o.Fill(resp.AppendFailure(nil, "ERR "+why))
}

// Last gives the slot its answer, and has the session end as soon as all that came before it is answered too.
func (o *Slot) Last(answer []byte) {
	s := o.session
	s.mu.Lock()
	s.quit = true
	s.mu.Unlock()
	o.Fill(answer)
	s.finish()
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

// OnSettled has f told, once, what becomes of the answer. It must be set before the slot can be filled; f may not block.
func (o *Slot) OnSettled(f func(Fate)) {
	o.session.mu.Lock()
	defer o.session.mu.Unlock()
	o.settled = f
}

// Fill gives the slot its answer. It does not block; a second answer is passed over.
func (o *Slot) Fill(answer []byte) { o.fill(answer, nil) }

// FillFrom gives the slot an answer of a bulk string's head and a value of that length, which the session copies when its
// turn has come, and closes in any case.
func (o *Slot) FillFrom(head []byte, v Value) { o.fill(head, v) }

func (o *Slot) fill(answer []byte, v Value) {
	s := o.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if v != nil && (o.filled || s.over) {
		v.Close()
	}
	if o.filled {
		return
	}
	o.answer, o.value, o.filled, o.gone = answer, v, true, nil
	s.bounds.large.Release(o.large)
	if s.over {
		return
	}
	s.owed += len(answer)
	if s.bounds.waiting.Add(int64(len(answer))) > s.bounds.allUnsent && int64(s.owed) > s.bounds.unsent {
		s.conn.Close() // a client that does not read may not fill the gateway's memory; read sees the end
	}
	if s.slots[0] != o {
		return
	}
	s.busy = time.Now()
	s.gather()
	s.signal()
}

// gather moves answers whose turn has come to what is written next, up to the first with a value; the lock is held. Until
// that value is written its answer counts as owed.
func (s *session) gather() {
	n := 0
	for n < len(s.slots) && s.slots[n].filled && s.value == nil {
		o := s.slots[n]
		if s.out = append(s.out, o.answer...); o.value != nil {
			s.value = o
			s.owed++
			s.bounds.waiting.Add(1)
		} else if o.settled != nil {
			s.marks = append(s.marks, mark{len(s.out), o.settled})
		}
		s.slots[n] = nil
		n++
	}
	s.slots = s.slots[n:]
	s.room.Signal()
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends answers as they come into order.
func (s *session) write() {
	defer s.cancel()
	var buf []byte
	var marks []mark
	for {
		s.mu.Lock()
		buf, s.out = s.out, buf[:0]
		marks, s.marks = s.marks, marks[:0]
		value := s.value
		if s.last && len(s.slots) == 0 && len(buf) == 0 && value == nil {
			s.over = true // all is answered, and nothing more is taken from here on
			s.closeBy = time.Now().Add(linger)
			s.conn.SetReadDeadline(s.closeBy)
		}
		over := s.over
		s.mu.Unlock()
		if over {
			settle(marks, 0)
			if value != nil {
				value.end(Cut)
			}
			if tcp, ok := s.conn.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			return
		}
		if len(buf) == 0 && value == nil {
			<-s.wake
			continue
		}
		n, err := s.send(buf)
		settle(marks, n)
		if value != nil {
			fate := Written
			if err == nil {
				err = s.copy(value.value)
			}
			if err != nil {
				fate = Cut // the client can tell by the length that it is not whole
			}
			value.end(fate)
		}
		if err != nil {
			// Danger: read may be waiting for room, which only this goroutine makes. It would wait for good, and with it
			// the session's place and all that it holds.
			s.mu.Lock()
			s.over = true
			s.room.Broadcast()
			s.mu.Unlock()
			s.conn.Close() // read sees the end
			return
		}
		s.mu.Lock()
		s.paid(len(buf))
		if value != nil {
			s.paid(1)
			s.value = nil
			s.busy = time.Now()
			s.gather()
		}
		s.room.Signal()
		s.mu.Unlock()
		if cap(buf) > keptBuffer {
			buf = nil
		}
	}
}

// send writes b whole. A client may read slowly, but must take something every so often. Danger: a write that takes a little at
// once and then waits for its whole time tells nothing of when; by one long wait a client that reads nothing was given two.
func (s *session) send(b []byte) (n int, err error) {
	for waits := 0; n < len(b); {
		s.conn.SetWriteDeadline(time.Now().Add(sendTime / sendWaits))
		m, err := s.conn.Write(b[n:])
		if n += m; m > 0 {
			waits = 0
		} else {
			waits++
		}
		if err != nil && (waits >= sendWaits || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return n, err
		}
	}
	return n, nil
}

// copy writes a value and the end of its bulk string. It guards the memory: of all that a server sends, no more is held
// than a piece, and no more is read than the client takes.
func (s *session) copy(v Value) error {
	buf := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(buf)
	for {
		n, err := v.Read(buf[:])
		if errors.Is(err, io.EOF) {
			_, err = s.send([]byte(resp.End))
			return err
		}
		if err == nil {
			_, err = s.send(buf[:n])
		}
		if err != nil {
			return err
		}
	}
}

const pieceSize = 16 << 10

var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// end tells the fate of an answer with a value, which is no longer needed.
func (o *Slot) end(f Fate) {
	o.value.Close()
	if o.settled != nil {
		o.settled(f)
	}
}

// settle tells the fates of answers of which so many bytes were written, one behind the other.
func settle(marks []mark, written int) {
	for _, m := range marks {
		if m.end <= written {
			m.settled(Written)
		} else {
			m.settled(Cut)
		}
	}
	clear(marks)
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

// paid takes note that n bytes of answers wait no longer; the lock is held.
func (s *session) paid(n int) {
	n = min(n, s.owed) // a session that is lost has let go of all
	s.owed -= n
	s.bounds.waiting.Add(-int64(n))
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
