// Package front serves client sessions: it reads commands, and writes their answers in the order of the commands. The packages
// in the folders below define and carry out the commands.
//
// A session (session.go) has a reading goroutine (reader.go) and a writing one (writer.go). Slot is the place of an answer;
// lifecycle.go decides what a connection may still do; eviction.go and closing.go end sessions; server.go accepts them.
package front

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"dewhitch/internal/resp"
)

// Commands carries out the commands of a client session. If it is an io.Closer, it is closed when the session ends.
type Commands interface {
	// Do starts a command, whose last byte was read at a time. It is called on the session's reading goroutine, in the order of
	// the commands. It leads to one Fill of the slot, at any time, and does not wait for that.
	Do(readAt time.Time, c resp.Command, s *Slot)
}

// session is one client's connection, which is closed at the end of run. The lifecycle decides what the connection may still do.
// Only the reader advances it to closing, between two commands: anyone else would close it over a command that was read and is
// not answered.
type session struct {
	id       uint64 // in the log
	conn     net.Conn
	commands Commands
	bounds   *Bounds
	ctx      context.Context // ends when the session is over
	cancel   context.CancelFunc

	wake         chan struct{} // has a buffer of one: something is unwritten, or the session is over
	drainStarted chan struct{} // closed once the session drains
	acceptedAt   time.Time
	lastReadAt   time.Time // of the last bytes; the reader's own

	mu        sync.Mutex // guards all fields below
	lifecycle lifecycle

	// Answers.
	slots         []*Slot     // in the order of the commands, those whose answers are not in unwritten yet
	capacity      *sync.Cond  // signalled when slots or unsentBytes become less, or the session is over
	unwritten     []byte      // answers for the writer
	streaming     *Slot       // whose value is written after unwritten; nil: none
	answerEnds    []answerEnd // of the answers in unwritten that have an onSettled
	unsentBytes   int         // of answers, in unwritten and in slots
	lastPendingAt time.Time

	// Commands.
	commandDeadline time.Time // of the command that is being read; zero: none is
	awaitingCommand bool      // the reader waits for the first byte of a command
	evicted         bool      // another client needs the place: the session ends if it owes nothing
	commandsRead    int
	faultyCommands  int // of commandsRead, those that could not be used

	// The end.
	shutdownReason CloseReason // if the session ends by the state of the gateway
	closeReasonSet bool
	closeReason    CloseReason
}

func newSession(conn net.Conn, c Commands, b *Bounds) *session {
	s := &session{
		id:            lastSessionID.Add(1),
		conn:          conn,
		commands:      c,
		bounds:        b,
		wake:          make(chan struct{}, 1),
		drainStarted:  make(chan struct{}),
		acceptedAt:    time.Now(),
		lastPendingAt: time.Now(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.capacity = sync.NewCond(&s.mu)
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
	s.abandon()
	writer.Wait()
}

// drain lets the session read commands for as long as a drain of the gateway allows, and end earlier between two of them, once
// nothing is owed.
func (s *session) drain(times drainTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var firstCommandBy time.Time
	if s.commandsRead == 0 { // the first command may be on its way
		firstCommandBy = s.acceptedAt.Add(firstCommandTime)
	}
	if s.lifecycle.drain(times, firstCommandBy) {
		s.shutdownReason = ClosedDrained
		s.notifyDrain()
	}
}

// stop has the session read no more than what has come by now, and end once that is answered. A client that goes on sending would
// otherwise be served until the process is killed, and have no answers to its last commands.
func (s *session) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	readTime := finalReadTime
	if s.commandsRead == 0 || !s.commandDeadline.IsZero() { // a command is on its way
		readTime = stopReadTime
	}
	s.shutdownReason = ClosedEnding
	if s.lifecycle.limitReading(time.Now().Add(readTime)) {
		s.notifyDrain()
	} else {
		s.interruptRead()
	}
}

// closeBy has the session closed by a time, if it is owed nothing then.
func (s *session) closeBy(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifecycle.limitCloseAt(at)
}

// notifyDrain wakes the reader, wherever it waits, as the session drains; the lock is held.
func (s *session) notifyDrain() {
	close(s.drainStarted)
	s.interruptRead()
}

// interruptRead has a reader that waits for a command check whether the session ends, and shortens the deadline of one within a
// command; the lock is held.
func (s *session) interruptRead() {
	now := time.Now()
	switch {
	case s.lifecycle.state >= stateClosing:
	case s.awaitingCommand:
		s.conn.SetReadDeadline(now)
	case !s.commandDeadline.IsZero():
		s.commandDeadline = s.lifecycle.limitReadDeadline(s.commandDeadline)
		s.conn.SetReadDeadline(earlier(s.commandDeadline, now.Add(byteTimeout)))
	}
}

// finish ends the session, for a reason, as soon as all commands that it has read are answered. Only the reader calls it, and reads
// nothing after.
func (s *session) finish(r CloseReason) {
	s.mu.Lock()
	s.setCloseReason(r)
	s.lifecycle.stopReading()
	s.wakeWriter()
	s.mu.Unlock()
}

// idle tells whether nothing is owed to the client, since when, and whether it has sent a usable command.
func (s *session) idle() (since time.Time, useful, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastPendingAt, s.commandsRead > s.faultyCommands, s.hasNoPendingAnswers() && s.isOpen()
}

// isOpen tells whether the session neither ends nor was evicted; the lock is held.
func (s *session) isOpen() bool { return s.lifecycle.state == stateOpen && !s.evicted }

// hasNoPendingAnswers tells whether no answer is to be given or written; the lock is held.
func (s *session) hasNoPendingAnswers() bool {
	return len(s.slots) == 0 && len(s.unwritten) == 0 && s.unsentBytes == 0
}

// idleBetweenCommands is idle for a session that waits for its client's next command: a client in the middle of a command, which may send
// slowly, is not resting. A session that ends is neither useful nor resting.
func (s *session) idleBetweenCommands() (since time.Time, useful, idleBetweenCommands bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := s.isOpen()
	return s.lastPendingAt, open && s.commandsRead > s.faultyCommands, open && s.hasNoPendingAnswers() && s.awaitingCommand
}

// evict has the session end if nothing is owed to its client. A command that crosses the end was not accepted; its client sends it
// again.
func (s *session) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOpen() {
		return
	}
	s.evicted = true
	if !s.commandDeadline.IsZero() {
		s.commandDeadline = time.Now()
	}
	s.interruptRead()
}

// abort ends the session at once, for a reason: nothing is written to its client any more.
func (s *session) abort(r CloseReason) {
	s.mu.Lock()
	s.setCloseReason(r)
	s.mu.Unlock()
	s.abandon()
}

// abandon ends the session at once: nothing is read or written any more, and all that work for its client are notified.
func (s *session) abandon() {
	s.mu.Lock()
	s.lifecycle.abandon(time.Now())
	answerEnds := s.answerEnds
	notify := s.abandonAnswers()
	s.capacity.Broadcast()
	s.wakeWriter()
	s.mu.Unlock()
	s.cancel()
	settleAnswers(answerEnds, 0)
	for _, f := range notify {
		f()
	}
}

// abandonAnswers drops all answers, and returns what is to be called for them without the lock; the lock is held. The fate of an
// answer is reported before anyone is notified that the client left.
func (s *session) abandonAnswers() (notify []func()) {
	if s.streaming != nil {
		notify = append(notify, s.streaming.value.Close) // the writer may wait for more of it
	}
	for _, slot := range s.slots {
		if slot.value != nil {
			notify = append(notify, slot.value.Close)
		}
		if slot.onSettled != nil {
			outcome := ClientDeparted
			if slot.filled {
				outcome = WriteFailed
			}
			notify = append(notify, func() { slot.onSettled(outcome) })
		}
		if slot.filled {
			continue
		}
		s.bounds.largeCommands.Release(slot.largeBytes)
		slot.largeBytes = 0
		if slot.onClientDeparted != nil {
			notify = append(notify, slot.onClientDeparted)
		}
	}
	s.slots = nil
	s.unwritten = nil
	s.answerEnds = nil
	s.releaseUnsent(s.unsentBytes)
	return notify
}
