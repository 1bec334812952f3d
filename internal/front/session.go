// Package front serves client sessions: it reads commands, and writes their answers in the order of the commands. The packages in its
// subdirectories define and carry out the commands.
//
// A session (session.go) has a reading goroutine (reader.go, penalty.go, read_ahead.go) and a writing one (writer.go). A Slot holds the place
// of an answer. obligation.go has the rule on ending a connection, and lifecycle.go decides by it what a connection may still do. eviction.go,
// session_eviction.go and closing.go end sessions, refusal.go refuses what they do not carry out any more, delivery.go waits until the
// client's system has the answers, and server.go accepts sessions.
//
// An answer is pending from the time its command was read until the answer is written completely.
package front

import (
	"context"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dewhitch/internal/fairqueue"
	"dewhitch/internal/resp"
)

// Commands carries out the commands of a client session. If it implements io.Closer, it is closed when the session ends.
type Commands interface {
	// Do starts a command whose last byte was read at readAt. It is called on the session's reading goroutine, in the order of the
	// commands. It must not wait for the answer. The implementation fills the slot once, at any time and on any goroutine.
	Do(readAt time.Time, c resp.Command, s *Slot)
}

// session serves one client connection, which is closed at the end of run. The lifecycle decides what the connection may still do.
// Only the reading goroutine advances it to stateClosing, between two commands: any other goroutine could close the connection
// between the reading and the answer of a command.
type session struct {
	id       uint64 // number of the session in the log
	conn     net.Conn
	commands Commands
	bounds   *Bounds
	ctx      context.Context // ends with the session
	cancel   context.CancelFunc

	wake         chan struct{} // signals the writer that there is something to write or that the session has ended; buffer of one
	drainStarted chan struct{} // closed when the session starts to drain
	acceptedAt   time.Time
	readingWork  fairqueue.Meter // counts the time for which commands are read and started; used by the reading goroutine alone
	inCommand    bool            // a command is being read; used by the reading goroutine alone
	lastReadAt   time.Time       // time of the last bytes received; used by the reading goroutine alone
	refusing     bool            // nothing more is read, and buffered commands are refused; used by the reading goroutine alone

	reading   *fairqueue.Flow // of the reading goroutine
	writing   *fairqueue.Flow // of the writing goroutine
	writeTime time.Duration   // time of the last write, which is not counted yet; used by the writing goroutine alone

	streams       streamReading // guarded by Bounds.mu
	streamedBytes atomic.Int64  // bytes of streamed values that the client has read since it has been reading one

	mu        sync.Mutex // guards all fields below
	lifecycle lifecycle

	// State of the answers.
	slots           []*Slot     // commands whose answers are not in unwritten yet, in the order of the commands
	capacity        *sync.Cond  // signalled when slots or unsentBytes shrink, and when the session ends
	unwritten       []byte      // encoded answers that the writer takes next
	streaming       *Slot       // slot whose value is written after unwritten; nil if none is
	answerEnds      []answerEnd // ends of the answers in unwritten that have an onSettled
	unsentBytes     int         // bytes of answers in unwritten and in slots; a long value counts as streamingBytes
	wokenAt         time.Time   // time since which the writer has had something to write; zero if it has nothing
	gatheredCount   int         // number of answers in unwritten and streaming
	pendingCount    int         // number of commands that were read and whose answers are not written
	readsAhead      bool        // the receive buffer is enlarged
	furtherRequests int         // number of requests, beyond the first, for which memory is acquired
	lastPendingAt   time.Time   // time at which the last answer was given, or its value written; the accept time if there was none

	// State of the commands.
	commandDeadline time.Time // deadline of the command that is being read; zero if none is, or while it waits for memory
	finishReadBy    time.Time // time until which a command that has waited for memory may be read even if no other may; zero if none
	command         commandMemory
	cancelWait      func() // ends a wait of the reading goroutine for something other than its client; nil if it does not wait
	commandBegun    bool   // a part of a command was read, and the rest was not
	begunInTime     bool   // the first part of that command was read while commands were
	awaitingCommand bool   // the reading goroutine waits for the first byte of a command
	evicted         bool   // chosen for eviction: the session ends if no answer is pending
	commandsRead    int    // number of commands read
	faultyCommands  int    // number of invalid commands among commandsRead

	// State of the closing.
	discarding      bool        // input is only discarded
	delivery        delivery    // of the answers, while input is discarded
	commandsBy      time.Time   // time until which a command that is arriving at the shutdown may be read; zero if not set
	shutdownReason  CloseReason // close reason if the gateway drains or shuts down
	closeReasonSet  bool        // closeReason is valid
	shedForMemory   bool        // the session was closed because others waited for the memory that it held
	closeReason     CloseReason
	owedAtEnd       obligation // what the client was still owed when the gateway ended the connection
	refusedCommands int        // number of commands that were refused because the gateway ended the connection
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
		delivery:      delivery{unsent: math.MaxInt},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.capacity = sync.NewCond(&s.mu)
	return s
}

// run serves the session until it has ended.
func (s *session) run() {
	defer s.conn.Close()
	defer s.closeFlows()
	if c, ok := s.commands.(io.Closer); ok {
		defer c.Close()
	}
	var writer sync.WaitGroup
	writer.Go(s.write)
	s.read()
	s.awaitAnswers()
	s.awaitDelivery()
	s.abandon()
	writer.Wait()
}

// drain limits the time in which the session reads commands to that of a drain of the gateway. The session ends earlier, between two
// commands, as soon as no answer is pending.
func (s *session) drain(times drainTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var firstCommandBy time.Time
	if s.commandsRead == 0 { // the first command may not have arrived yet
		firstCommandBy = s.acceptedAt.Add(firstCommandTime)
	}
	if s.lifecycle.drain(times, firstCommandBy) {
		s.shutdownReason = ClosedDrained
		s.notifyDrain()
	}
}

// stop makes the session read only the commands that have arrived by now, finish the one that is arriving, and end when these are answered.
// Otherwise, a client that goes on sending would be served until the process is killed, and would get no answers to its last commands.
func (s *session) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	readTime := finalReadTime
	if s.commandsRead == 0 { // the first command may be arriving
		readTime = firstReadTime
	}
	s.shutdownReason = ClosedEnding
	if s.lifecycle.limitReading(now.Add(readTime), later(s.commandsBy, now.Add(minFinishTime))) {
		s.notifyDrain()
	} else {
		s.interruptRead()
	}
}

// shutDown sets the times of the shutdown of the gateway.
func (s *session) shutDown(times ShutdownTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commandsBy = times.CommandsBy
	s.lifecycle.shutDownBy(times.CloseBy)
}

// notifyDrain wakes the reading goroutine from any wait when the session starts to drain. The caller holds the lock.
func (s *session) notifyDrain() {
	close(s.drainStarted)
	s.interruptRead()
}

// interruptRead makes a reading goroutine that waits for a command check whether the session ends. Within a command, it shortens the
// read deadline as the lifecycle requires. The caller holds the lock.
func (s *session) interruptRead() {
	now := time.Now()
	switch {
	case s.lifecycle.state >= stateClosing:
	case s.awaitingCommand:
		s.conn.SetReadDeadline(now)
	case !s.commandDeadline.IsZero():
		s.commandDeadline = s.limitCommandDeadline(s.commandDeadline)
		s.conn.SetReadDeadline(earlier(s.commandDeadline, now.Add(byteTimeout)))
	}
}

// finish ends the session for a reason, as soon as all commands that it has read are answered. Only the reading goroutine calls it,
// and reads nothing afterwards.
func (s *session) finish(r CloseReason) {
	s.mu.Lock()
	s.setCloseReason(r)
	s.lifecycle.stopReading()
	s.wakeWriter()
	s.mu.Unlock()
}

// isOpen reports whether the session is neither ending nor evicted. The caller holds the lock.
func (s *session) isOpen() bool { return s.lifecycle.state == stateOpen && !s.evicted }

// obligation returns what the client is owed, without what its system has not received. The caller holds the lock.
func (s *session) obligation() obligation {
	return obligation{commandBegun: s.commandBegun, answerPending: !s.hasNoPendingAnswers()}
}

// hasNoPendingAnswers reports whether no answer remains to be given or written. The caller holds the lock.
func (s *session) hasNoPendingAnswers() bool {
	return len(s.slots) == 0 && len(s.unwritten) == 0 && s.unsentBytes == 0
}

// abort ends the session immediately for a reason. Nothing more is written to its client.
func (s *session) abort(r CloseReason) {
	s.mu.Lock()
	s.setCloseReason(r)
	s.owedAtEnd = s.undelivered(time.Now())
	s.mu.Unlock()
	s.abandon()
}

// abandon ends the session immediately. Nothing more is read or written, and the callbacks of all open commands are called.
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

// abandonAnswers drops all answers, and returns the callbacks to call after the lock is released. The outcome of an answer is reported
// before the departure of its client. The caller holds the lock.
func (s *session) abandonAnswers() (notify []func()) {
	if s.streaming != nil {
		notify = append(notify, s.streaming.value.Close) // unblocks a writer that waits for more of the value
	}
	for _, slot := range s.slots {
		if slot.value != nil {
			notify = append(notify, slot.value.Close)
		}
		slot.command.Release()
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
		if slot.onClientDeparted != nil {
			notify = append(notify, slot.onClientDeparted)
		}
	}
	s.slots = nil
	s.unwritten = nil
	s.answerEnds = nil
	s.unsentBytes = 0
	s.releaseRequests(s.pendingCount)
	return notify
}
