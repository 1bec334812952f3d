package front

import (
	"errors"
	"math"
	"os"
	"time"

	"dewhitch/internal/sockets"
)

// Bounds of the discarding of input.
const (
	deliveryCheckInterval = 20 * time.Millisecond // time between two checks whether a connection may be closed
	maxDiscardBytes       = 64 << 10              // maximum input to discard after the last answer, in bytes; further writes of the client block
)

// delivery follows how a client's system receives what was written for it.
type delivery struct {
	unsent     int // bytes that it has not received
	progressAt time.Time
}

// observe updates the delivery with the bytes that are unsent at the time now.
func (d *delivery) observe(unsent int, now time.Time) {
	if unsent < d.unsent {
		d.progressAt = now
	}
	d.unsent = unsent
}

// stalled returns the time since the last progress, or 0 if everything was received.
func (d *delivery) stalled(now time.Time) time.Duration {
	if d.unsent == 0 {
		return 0
	}
	return now.Sub(d.progressAt)
}

// awaitDelivery reads and drops input until the connection may be closed: the lifecycle decides when. Closing a connection with unread
// input would reset it, and the client could lose answers that its system has not received yet. It reads at most maxDiscardBytes, because
// a client may write without end; such a client has minDiscardTime to receive its last answer, or as long as its system receives it.
func (s *session) awaitDelivery() {
	s.mu.Lock()
	s.discarding = s.lifecycle.state == stateClosed && !s.lifecycle.closedAt.IsZero()
	s.delivery = delivery{unsent: math.MaxInt}
	s.mu.Unlock()
	buf := make([]byte, readBufferSize)
	for remaining := maxDiscardBytes; !s.mayClose(remaining < maxDiscardBytes); {
		if remaining <= 0 {
			if hungUp(s.conn) {
				s.clientLeft()
				return
			}
			time.Sleep(deliveryCheckInterval)
			continue
		}
		s.conn.SetReadDeadline(time.Now().Add(deliveryCheckInterval))
		n, err := s.conn.Read(buf)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			s.clientLeft()
			return
		}
		remaining -= n
		if remaining <= 0 {
			s.limitDiscarding()
		}
	}
}

// mayClose reports whether the connection may be closed. received is whether input was discarded.
func (s *session) mayClose(received bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.discarding {
		return true
	}
	now := time.Now()
	s.owedAtEnd = s.undelivered(now)
	return s.lifecycle.mayClose(now, s.owedAtEnd, received)
}

// clientLeft records that the client is owed nothing any more, unless the gateway has closed the connection.
func (s *session) clientLeft() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.discarding {
		s.owedAtEnd = obligation{}
	}
}

// limitDiscarding ends the discarding of input in minDiscardTime.
func (s *session) limitDiscarding() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifecycle.closeAt = earlier(s.lifecycle.closeAt, time.Now().Add(minDiscardTime))
}

// undelivered returns what the client is owed, with what its system has not received. The caller holds the lock.
func (s *session) undelivered(now time.Time) obligation {
	s.delivery.observe(sockets.Unsent(s.conn), now)
	owed := s.obligation()
	owed.undelivered = s.delivery.unsent
	owed.stalled = s.delivery.stalled(now)
	return owed
}

// endDiscarding closes the connection if its input is only discarded, and the client's system has received all answers, or none of them
// for crowdStallTime. It reports whether it did.
func (s *session) endDiscarding(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.discarding || s.undelivered(now).delivering(crowdStallTime) {
		return false
	}
	s.discarding = false // only once
	s.owedAtEnd = s.undelivered(now)
	s.conn.Close()
	return true
}
