package front

import "time"

// Limits that operators set for a drained gateway. Times are since the call that drains it.
const (
	drainTimeLimit = 4 * time.Second        // time from which a client connection must neither be idle nor have a recent request
	recentWindow   = 2 * time.Second        // maximum age at which a request counts as recent
	stallMargin    = 150 * time.Millisecond // allowance for a stall of the gateway between reading its clock and acting
)

// Times by which the gateway acts in order to meet drainTimeLimit.
const (
	// drainReadTime is how long requests are accepted. At drainTimeLimit, the last accepted request is older than recentWindow, even if
	// the gateway stalls twice for stallMargin.
	drainReadTime = drainTimeLimit - recentWindow - 500*time.Millisecond
	// drainFinishTime is how long a command that has begun may arrive. Its rejection and the close take the rest of drainTimeLimit.
	drainFinishTime = drainTimeLimit - time.Second
	// drainCloseTime is the time by which a connection without pending answers is closed.
	drainCloseTime = drainTimeLimit - stallMargin - 100*time.Millisecond
	// firstCommandTime is the time for the first command of a connection that is accepted during the drain.
	firstCommandTime = 200 * time.Millisecond
	// drainExpediteTime is when the answers of connections with unread input are expedited, because such a connection must not be
	// open at drainTimeLimit.
	drainExpediteTime = drainTimeLimit - time.Second
	// expediteInterval is the time between two checks for such connections.
	expediteInterval = 50 * time.Millisecond
)

// Times for which input is discarded after the sending side of a connection is closed.
const (
	maxDiscardTime = 300 * time.Millisecond // maximum time to discard input; closeAt may be earlier
	minDiscardTime = 50 * time.Millisecond  // minimum time to discard input, even if closeAt is earlier
	closeMargin    = 50 * time.Millisecond  // time by which the delivery of answers ends before the time of a shutdown for closing connections
)

// state is a stage of a client connection. It never goes back.
type state int

// The states of a client connection, in their order.
const (
	stateOpen     state = iota // commands are read
	stateDraining              // commands are read until readUntil; the connection may close earlier, between two commands
	stateClosing               // nothing is read; commands that were read are carried out and answered
	stateClosed                // nothing is written; input is discarded until closeAt
)

// String returns the name of the state in the log.
func (s state) String() string { return [...]string{"open", "draining", "closing", "closed"}[s] }

// drainTimes holds the times of one drain of the gateway.
type drainTimes struct {
	readUntil time.Time // time from which requests are rejected
	finishBy  time.Time // time until which a command that has begun may arrive, to be rejected
	closeAt   time.Time // time at which a connection without pending answers is closed
}

// newDrainTimes derives the times of a drain from the time of the operators' call.
func newDrainTimes(calledAt time.Time) drainTimes {
	return drainTimes{readUntil: calledAt.Add(drainReadTime), finishBy: calledAt.Add(drainFinishTime), closeAt: calledAt.Add(drainCloseTime)}
}

// lifecycle decides what a client connection may still do. It reads no clock and does no I/O. It is not safe for concurrent use: the
// lock of its session guards it. The zero value is an open connection.
type lifecycle struct {
	state      state
	readUntil  time.Time // while draining: time after which no read starts, except within a command that has begun
	finishBy   time.Time // while draining: time until which a command that has begun may arrive
	rejectFrom time.Time // time from which requests that are read are rejected; zero if none are
	closeAt    time.Time // time at which the connection is closed if no answer is pending; zero if not set
	closedAt   time.Time // time at which the sending side was shut; zero if it is not
	drainBy    time.Time // time of the drain for closing connections whose clients go on sending; zero if it does not drain
	shutdownBy time.Time // time of the shutdown for closing all connections; zero if not set
}

// drain starts the drain of an open connection. The connection may read at least until firstCommandBy, if that is set. It reports
// whether the state changed. A connection that drains already keeps its times, which are no later than those of a new drain.
func (l *lifecycle) drain(times drainTimes, firstCommandBy time.Time) bool {
	if l.state != stateOpen {
		return false
	}
	l.state = stateDraining
	l.readUntil = later(times.readUntil, firstCommandBy)
	l.finishBy = later(times.finishBy, l.readUntil)
	l.rejectFrom = times.readUntil
	l.closeAt = times.closeAt
	l.drainBy = times.closeAt
	return true
}

// shutDownBy sets the time by which the connection is closed as the gateway shuts down.
func (l *lifecycle) shutDownBy(at time.Time) {
	l.shutdownBy = at
	if l.closeAt.IsZero() || at.Before(l.closeAt) {
		l.closeAt = at
	}
}

// limitReading lets a connection read until the given time at the latest, and a command that has begun until finishBy if that is later,
// as the gateway shuts down. It reports whether the state changed.
func (l *lifecycle) limitReading(until, finishBy time.Time) bool {
	switch l.state {
	case stateOpen:
		l.state = stateDraining
		l.readUntil = until
		l.finishBy = later(until, finishBy)
		return true
	case stateDraining:
		l.readUntil = earlier(l.readUntil, until)
		l.finishBy = later(l.readUntil, earlier(l.finishBy, finishBy))
	}
	return false
}

// mayRead reports whether more may be read at the time now.
func (l *lifecycle) mayRead(now time.Time) bool {
	return l.state == stateOpen || l.state == stateDraining && now.Before(l.readUntil)
}

// mayFinishCommand reports whether more of a command that has begun in time may be read at the time now.
func (l *lifecycle) mayFinishCommand(now time.Time) bool {
	return l.state == stateOpen || l.state == stateDraining && now.Before(l.finishBy)
}

// limitReadDeadline returns deadline, or the end of the time to read if that is earlier.
func (l *lifecycle) limitReadDeadline(deadline time.Time) time.Time {
	if l.state == stateDraining {
		return earlier(deadline, l.readUntil)
	}
	return deadline
}

// limitCommandDeadline returns deadline, or the end of the time for a command that has begun in time if that is earlier.
func (l *lifecycle) limitCommandDeadline(deadline time.Time) time.Time {
	if l.state == stateDraining {
		return earlier(deadline, l.finishBy)
	}
	return deadline
}

// mustReject reports whether a request whose last byte was read at readAt must be rejected.
func (l *lifecycle) mustReject(readAt time.Time) bool {
	return !l.rejectFrom.IsZero() && !readAt.Before(l.rejectFrom)
}

// stopReading ends reading. Commands that were read are still answered.
func (l *lifecycle) stopReading() { l.state = max(l.state, stateClosing) }

// closeWrite ends writing, and sets the time until which input is discarded. Closing a connection with unread input would reset it
// and lose answers that the client has not received yet.
func (l *lifecycle) closeWrite(now time.Time) {
	if l.state == stateClosed {
		return
	}
	l.state = stateClosed
	l.closedAt = now
	until := now.Add(maxDiscardTime)
	if !l.closeAt.IsZero() {
		until = later(earlier(until, l.closeAt), now.Add(minDiscardTime))
	}
	l.closeAt = until
}

// mayClose reports whether a connection whose sending side is shut may be closed at the time now. received is whether the client has sent
// anything since nothing is read any more.
func (l *lifecycle) mayClose(now time.Time, owed obligation, received bool) bool {
	if l.closedAt.IsZero() || !owed.delivering(sendTimeout) {
		return !now.Before(l.closeAt)
	}
	until := l.closedAt.Add(maxDeliveryTime)
	if received && !l.drainBy.IsZero() { // a drained gateway must not hold a client that has just sent a request
		until = earlier(until, later(l.drainBy, l.closeAt))
	}
	if !l.shutdownBy.IsZero() {
		until = earlier(until, l.shutdownBy.Add(-closeMargin))
	}
	return !now.Before(until)
}

// abandon ends a connection to which nothing can be written any more. The connection is closed immediately.
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
