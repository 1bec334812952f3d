package link

// One connection through a link. What comes from each side is delivered in its order, delayed by the state of its direction, and not
// at all if an outage may have held it up and its sender has closed the connection since.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one relayed connection.
type conn struct {
	near         *endpoint // of the process that opened it
	far          *endpoint // of the target
	commands     commandTimes
	nearClosedAt atomic.Int64 // when the near side closed it, or its sending side, Unix ns; 0: it has not
	done         chan struct{}
	closeOnce    sync.Once
}

// relay carries an accepted connection until both sides have ended it; endedOutages is of the outbound direction when it came up.
func (l *Link) relay(near *net.TCPConn, endedOutages int) {
	c, err := l.dialTarget(near, endedOutages)
	if err != nil { // the connection is accepted already: a reset is the closest to a refusal
		near.SetLinger(0)
		near.Close()
		return
	}
	far := c.far.LocalAddr().String()
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.connsByFarAddr[far] = c
	l.mu.Unlock()
	if l.closed.Load() {
		c.close(true)
	}
	var forwarders sync.WaitGroup
	forwarders.Go(func() { c.forward(c.near, c.far, &c.nearClosedAt) })
	forwarders.Go(func() { c.forward(c.far, c.near, nil) })
	forwarders.Wait()
	c.close(false)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	time.AfterFunc(knownAfterClose, func() {
		l.mu.Lock()
		delete(l.connsByFarAddr, far)
		l.mu.Unlock()
	})
}

// dialTarget opens the far side of an accepted connection.
func (l *Link) dialTarget(accepted *net.TCPConn, endedOutages int) (*conn, error) {
	near, err := newEndpoint(accepted, l.outbound, endedOutages)
	if err != nil {
		return nil, err
	}
	dialled, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		return nil, err
	}
	far, err := newEndpoint(dialled.(*net.TCPConn), l.inbound, l.inbound.endedOutages())
	if err != nil {
		dialled.Close()
		return nil, err
	}
	return &conn{near: near, far: far, done: make(chan struct{})}, nil
}

// close closes both sides, with a TCP reset or without. Calls after the first do nothing.
func (c *conn) close(reset bool) {
	c.closeOnce.Do(func() {
		close(c.done)
		for _, e := range []*endpoint{c.near, c.far} {
			if reset {
				e.SetLinger(0)
			}
			e.Close()
		}
	})
}

// segment is what one read returned.
type segment struct {
	data          []byte // empty: the sender has closed its sending side
	reset         bool   // by a TCP reset
	deliverAt     time.Time
	outagesBefore int // outages of the direction that were over before it was sent
}

// forward delivers what comes from one side to the other, in its order. It sets closedAt, if not nil, when the side ends.
func (c *conn) forward(from, to *endpoint, closedAt *atomic.Int64) {
	segments := make(chan segment, maxQueuedSegments)
	go func() {
		defer close(segments)
		c.readSegments(from, segments, closedAt)
	}()
	defer func() { // the reader has ended, or ends when the connection is closed
		for range segments {
		}
	}()
	for s := range segments {
		if !c.awaitDelivery(from.outgoing, s) {
			return
		}
		if len(s.data) == 0 {
			if s.reset {
				c.close(true)
			} else {
				// A full close looks like a half close from here, so only the sending side is closed: answers may still come.
				// If it was a full close, the other side's next write fails with a reset.
				to.CloseWrite()
			}
			return
		}
		if _, err := to.Write(s.data); err != nil {
			c.close(true)
			return
		}
		from.outgoing.countBytes(len(s.data))
	}
}

// readSegments reads one side until it ends or the connection is closed.
func (c *conn) readSegments(from *endpoint, segments chan<- segment, closedAt *atomic.Int64) {
	for {
		buffer := make([]byte, chunkBytes)
		n, outagesBefore, err := from.receive(buffer)
		if n > 0 {
			c.commands.observeBytes(from == c.near, time.Now())
		}
		if err != nil && closedAt != nil {
			closedAt.CompareAndSwap(0, time.Now().UnixNano())
		}
		s := segment{
			data:          buffer[:n],
			reset:         errors.Is(err, syscall.ECONNRESET),
			deliverAt:     from.outgoing.deliveryTime(n),
			outagesBefore: outagesBefore,
		}
		select {
		case segments <- s:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// awaitDelivery waits until a segment's time has come and its direction is not silent; false: it is not to be delivered, as the
// connection is closed.
func (c *conn) awaitDelivery(d *direction, s segment) bool {
	if wait := time.Until(s.deliverAt); wait > 0 {
		select {
		case <-c.done:
			return false
		case <-time.After(wait):
		}
	}
	for {
		state, changed := d.current()
		if !state.Silent {
			return c.deliverable(d, s)
		}
		select {
		case <-c.done:
			return false
		case <-changed:
		}
	}
}

// deliverable decides whether a segment that may have met an outage is still delivered: not if the process that opened the connection
// has closed it, as its kernel would have stopped retransmitting; then the connection is reset. The kernel is asked, as this relay may
// read a segment, and the sender's end, long after they were sent: the time of the read proves nothing.
func (c *conn) deliverable(d *direction, s segment) bool {
	if s.outagesBefore == d.startedOutages() || !c.near.peerClosed() {
		return true
	}
	c.close(true)
	return false
}
