package front

import "time"

// The terms that operators set for a drained gateway, counted from their call.
const (
	drainTerm    = 4 * time.Second        // after which no client connection may be idle, or have a recent request
	recentWindow = 2 * time.Second        // a request of so long ago, or less, is recent
	stallMargin  = 150 * time.Millisecond // that the gateway may be held up between reading its clock and acting
)

// The times that the gateway keeps, so as to hold those terms.
const (
	// takeTime is how long it takes requests. The last one is then older than recentWindow at the end of the term, with
	// room for stallMargin, and for a machine that is late by as much again.
	takeTime = drainTerm - recentWindow - 500*time.Millisecond
	// goneTime is when a connection that is owed nothing has been closed.
	goneTime = drainTerm - stallMargin - 100*time.Millisecond
	// firstTime is how long a connection that came during the drain has for its first command.
	firstTime = 200 * time.Millisecond
	// hurryTime is when a connection on which more has come, unread, is no longer kept for what it is owed: it may not be open
	// at the end of the term. Until then its answer may come by itself.
	hurryTime = drainTerm - time.Second
	// hurryInterval is between two looks for such connections.
	hurryInterval = 50 * time.Millisecond
)

// How long input is discarded after the sending side was shut, and the least of that close before goneTime.
const (
	discardTime      = 300 * time.Millisecond
	leastDiscardTime = 50 * time.Millisecond
)

// String is the state's name in the log.
func (s state) String() string { return [...]string{"open", "draining", "closing", "closed"}[s] }

// drainTimes are the times of one drain of the gateway.
type drainTimes struct {
	takeUntil time.Time // requests that are read later are refused
	goneBy    time.Time // by when a connection that is owed nothing is closed
}

// newDrain derives the times of a drain from the operators' call.
func newDrain(called time.Time) drainTimes {
	return drainTimes{takeUntil: called.Add(takeTime), goneBy: called.Add(goneTime)}
}

// state is a stage in the life of a client connection. It only ever advances.
type state int

// The states.
const (
	stateOpen     state = iota // commands are read
	stateDraining              // commands are read until takeUntil; it may close sooner, between two commands
	stateClosing               // nothing is read; what was read is carried out and answered
	stateClosed                // nothing is answered any more; what comes is discarded until goneBy
)

// lifecycle decides what a client connection may still do. It has no clock, does no I/O and is not safe for concurrent
// use: its session guards it. The zero value is an open connection.
type lifecycle struct {
	state      state
	takeUntil  time.Time // while draining: when the last read begins
	refuseFrom time.Time // requests read from then on are refused; zero: none
	goneBy     time.Time // when the connection is closed, if it is owed nothing; zero: not set
}

// drain begins the drain of an open connection, which may read at least until first, if that is set. It reports whether
// the state changed. A connection that drains already keeps its times, which are no later.
func (l *lifecycle) drain(d drainTimes, first time.Time) bool {
	if l.state != stateOpen {
		return false
	}
	l.state = stateDraining
	l.takeUntil, l.refuseFrom, l.goneBy = later(d.takeUntil, first), d.takeUntil, d.goneBy
	return true
}

// closeBy bounds the time at which a connection that is owed nothing is closed.
func (l *lifecycle) closeBy(at time.Time) {
	if l.goneBy.IsZero() || at.Before(l.goneBy) {
		l.goneBy = at
	}
}

// stop lets a connection read until a time and no longer, as the gateway ends. It reports whether the state changed.
func (l *lifecycle) stop(until time.Time) bool {
	switch l.state {
	case stateOpen:
		l.state, l.takeUntil = stateDraining, until
		return true
	case stateDraining:
		l.takeUntil = earlier(l.takeUntil, until)
	}
	return false
}

// reads reports whether more may be read now.
func (l *lifecycle) reads(now time.Time) bool {
	return l.state == stateOpen || l.state == stateDraining && now.Before(l.takeUntil)
}

// readBy bounds a time by which a read must have ended.
func (l *lifecycle) readBy(at time.Time) time.Time {
	if l.state == stateDraining {
		return earlier(at, l.takeUntil)
	}
	return at
}

// refuses reports whether a request must be refused, the last byte of which was read then.
func (l *lifecycle) refuses(read time.Time) bool {
	return !l.refuseFrom.IsZero() && !read.Before(l.refuseFrom)
}

// close ends reading; what was read is still answered.
func (l *lifecycle) close() { l.state = max(l.state, stateClosing) }

// shut ends answering, and sets until when input is discarded: a close over unread input would reset the connection, and
// with it answers that are on their way.
func (l *lifecycle) shut(now time.Time) {
	if l.state == stateClosed {
		return
	}
	l.state = stateClosed
	until := now.Add(discardTime)
	if !l.goneBy.IsZero() {
		until = later(earlier(until, l.goneBy), now.Add(leastDiscardTime))
	}
	l.goneBy = until
}

// abandon ends a connection that nothing can be said to any more: it is closed at once.
func (l *lifecycle) abandon(now time.Time) { l.state, l.goneBy = stateClosed, now }

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
