package link

// This file relays one connection through a link. Data from each side is delivered in order, delayed by the state of its
// direction. Data that an outage may have held up is not delivered if the process that opened the connection has closed it since.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one relayed connection. Its near side faces the process that opened it, its far side the target.
type conn struct {
	near         *endpoint // accepted connection of the process that opened it
	far          *endpoint // connection to the target
	commands     commandTimes
	nearClosedAt atomic.Int64  // Unix time in ns when the near side closed the connection or its sending side; 0 before
	done         chan struct{} // closed by close
	closeOnce    sync.Once
}

// relay relays an accepted connection until both sides have ended it. endedOutages is the count of ended outages of the outbound
// direction when the connection was accepted.
func (l *Link) relay(near *net.TCPConn, endedOutages int) {
	c, err := l.dialTarget(near, endedOutages)
	if err != nil { // the connection is accepted already, and a reset is the closest to a refusal
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

// dialTarget connects to the target on behalf of an accepted connection.
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

// close closes both sides, by a TCP reset if reset is set. Calls after the first one do nothing.
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

// segment is the result of one read.
type segment struct {
	data          []byte    // empty if the sender has closed the connection or its sending side
	reset         bool      // true if the sender closed the connection by a TCP reset
	deliverAt     time.Time // earliest time of delivery
	outagesBefore int       // number of the direction's outages that ended before the segment was sent
}

// forward delivers the data from one side to the other in order. When the sending side ends, it sets closedAt, if not nil, to the
// Unix time in ns.
func (c *conn) forward(from, to *endpoint, closedAt *atomic.Int64) {
	segments := make(chan segment, maxQueuedSegments)
	go func() {
		defer close(segments)
		c.readSegments(from, segments, closedAt)
	}()
	defer func() { // unblocks the reader, which has ended or ends once the connection is closed
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
				// The relay can't distinguish a full close from a half close, so it closes only the sending side: answers may still
				// come. After a full close, the other side's next write fails with a reset.
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

// readSegments reads from one side until that side ends or the connection is closed.
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

// awaitDelivery waits until a segment's delivery time has come and its direction is not silent. It returns false if the segment
// must not be delivered because the connection is closed.
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

// deliverable returns true if a segment may be delivered. A segment that an outage may have held up is not delivered if the
// process that opened the connection has closed it, as that process's kernel would have stopped retransmitting; then deliverable
// resets the connection. It queries the kernel because the relay may read a segment, and the sender's close, long after they were
// sent: the time of the read does not show which came first.
func (c *conn) deliverable(d *direction, s segment) bool {
	if s.outagesBefore == d.startedOutages() || !c.near.peerClosed() {
		return true
	}
	c.close(true)
	return false
}
