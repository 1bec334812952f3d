package front

import "time"

// The terms that operators set for a drained gateway, from their call on.
const (
	drainTerm    = 4 * time.Second        // after it no client connection may be idle, or have a recent request
	recentWindow = 2 * time.Second        // a request that is no older than this is recent
	stallMargin  = 150 * time.Millisecond // the gateway may be held up so long between reading its clock and acting
)

// The times that the gateway keeps, so as to hold those terms.
const (
	// drainReadTime is how long requests are read. At drainTerm the last is older than recentWindow, with stallMargin, and as
	// much again for a late machine, to spare.
	drainReadTime = drainTerm - recentWindow - 500*time.Millisecond
	// drainCloseTime is when a connection that is owed nothing has been closed.
	drainCloseTime = drainTerm - stallMargin - 100*time.Millisecond
	// firstCommandTime is how long a connection that came during the drain has for its first command.
	firstCommandTime = 200 * time.Millisecond
	// drainExpediteTime is when the answers of a connection with unread input are expedited: it may not be open at drainTerm.
	drainExpediteTime = drainTerm - time.Second
	// expediteInterval is the time between two checks for such connections.
	expediteInterval = 50 * time.Millisecond
)

// How long input is discarded after the sending side was shut.
const (
	discardTime    = 300 * time.Millisecond
	minDiscardTime = 50 * time.Millisecond // even if the connection should be closed by then
)

// state is a stage of a client connection. It only ever advances.
type state int

// The states.
const (
	stateOpen     state = iota // commands are read
	stateDraining              // commands are read until readUntil; it may close earlier, between two commands
	stateClosing               // nothing is read; what was read is carried out and answered
	stateClosed                // nothing is answered any more; input is discarded until closeAt
)

// String is the state's name in the log.
func (s state) String() string { return [...]string{"open", "draining", "closing", "closed"}[s] }

// drainTimes are the times of one drain of the gateway.
type drainTimes struct {
	readUntil time.Time // requests that are read later are rejected
	closeAt   time.Time // when a connection that is owed nothing is closed
}

// newDrainTimes derives the times of a drain from the time of the operators' call.
func newDrainTimes(calledAt time.Time) drainTimes {
	return drainTimes{readUntil: calledAt.Add(drainReadTime), closeAt: calledAt.Add(drainCloseTime)}
}

// lifecycle decides what a client connection may still do. It reads no clock, does no I/O, and is not safe for concurrent use:
// its session's lock guards it. The zero value is an open connection.
type lifecycle struct {
	state      state
	readUntil  time.Time // while draining: when the last read starts
	rejectFrom time.Time // requests read from then on are rejected; zero: none
	closeAt    time.Time // when the connection is closed, if it is owed nothing; zero: not set
}

// drain starts the drain of an open connection, which may read until first at least, if that is set. It reports whether the
// state changed. A connection that drains already keeps its times, which are no later.
func (l *lifecycle) drain(times drainTimes, firstCommandBy time.Time) bool {
	if l.state != stateOpen {
		return false
	}
	l.state = stateDraining
	l.readUntil = later(times.readUntil, firstCommandBy)
	l.rejectFrom = times.readUntil
	l.closeAt = times.closeAt
	return true
}

// limitCloseAt bounds the time at which a connection that is owed nothing is closed.
func (l *lifecycle) limitCloseAt(at time.Time) {
	if l.closeAt.IsZero() || at.Before(l.closeAt) {
		l.closeAt = at
	}
}

// limitReading lets a connection read until a time and no longer, as the gateway ends. It reports whether the state changed.
func (l *lifecycle) limitReading(until time.Time) bool {
	switch l.state {
	case stateOpen:
		l.state = stateDraining
		l.readUntil = until
		return true
	case stateDraining:
		l.readUntil = earlier(l.readUntil, until)
	}
	return false
}

// mayRead reports whether more may be read now.
func (l *lifecycle) mayRead(now time.Time) bool {
	return l.state == stateOpen || l.state == stateDraining && now.Before(l.readUntil)
}

// limitReadDeadline bounds the time by which a read must have ended.
func (l *lifecycle) limitReadDeadline(deadline time.Time) time.Time {
	if l.state == stateDraining {
		return earlier(deadline, l.readUntil)
	}
	return deadline
}

// mustReject reports whether a request must be rejected, by when its last byte was read.
func (l *lifecycle) mustReject(readAt time.Time) bool {
	return !l.rejectFrom.IsZero() && !readAt.Before(l.rejectFrom)
}

// stopReading ends reading; what was read is still answered.
func (l *lifecycle) stopReading() { l.state = max(l.state, stateClosing) }

// closeWrite ends answering, and sets how long input is discarded: closing a connection with unread input would reset it, and lose
// answers that are on their way.
func (l *lifecycle) closeWrite(now time.Time) {
	if l.state == stateClosed {
		return
	}
	l.state = stateClosed
	until := now.Add(discardTime)
	if !l.closeAt.IsZero() {
		until = later(earlier(until, l.closeAt), now.Add(minDiscardTime))
	}
	l.closeAt = until
}

// abandon ends a connection that nothing can be written to any more: it is closed at once.
func (l *lifecycle) abandon(now time.Time) {
	l.state = stateClosed
	l.closeAt = now
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
