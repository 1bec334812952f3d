package link

// One connection through a link: what comes from each side is passed on in its order, as late as the way wants, and not at all if it
// met an outage and its sender has left.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one connection through a link.
type conn struct {
	near, far  *side
	commands   commandTimes
	nearClosed atomic.Int64 // when the side that opened it ended its sending or the connection, Unix ns; 0: it has not
	ended      chan struct{}
	once       sync.Once
}

// pass carries one connection that came up when so many outages of its way were over.
func (l *Link) pass(near *net.TCPConn, over int) {
	c, err := l.connect(near, over)
	if err != nil { // as near as a relay comes to a refusal
		near.SetLinger(0)
		near.Close()
		return
	}
	name := c.far.LocalAddr().String()
	l.mu.Lock()
	l.conns[c], l.byFar[name] = struct{}{}, c
	l.mu.Unlock()
	if l.over.Load() {
		c.end(true)
	}
	var both sync.WaitGroup
	both.Go(func() { l.carry(c, c.near, c.far, &c.nearClosed) })
	both.Go(func() { l.carry(c, c.far, c.near, nil) })
	both.Wait()
	c.end(false)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	time.AfterFunc(10*time.Second, func() { // Left is asked a little later
		l.mu.Lock()
		delete(l.byFar, name)
		l.mu.Unlock()
	})
}

// connect opens the other side of a connection.
func (l *Link) connect(accepted *net.TCPConn, over int) (*conn, error) {
	near, err := newSide(accepted, l.there, over)
	if err != nil {
		return nil, err
	}
	dialled, err := net.DialTimeout("tcp", l.target, dialTime)
	if err != nil {
		return nil, err
	}
	far, err := newSide(dialled.(*net.TCPConn), l.back, l.back.outagesOver())
	if err != nil {
		dialled.Close()
		return nil, err
	}
	return &conn{near: near, far: far, ended: make(chan struct{})}, nil
}

// end closes both sides, with a reset or not.
func (c *conn) end(reset bool) {
	c.once.Do(func() {
		close(c.ended)
		for _, s := range []*side{c.near, c.far} {
			if reset {
				s.SetLinger(0)
			}
			s.Close()
		}
	})
}

// parcel is what was read from one side at once, or its end.
type parcel struct {
	b     []byte // empty: the side sends no more
	reset bool   // it ended so
	due   time.Time
	since int // outages of the way that were over before it was sent
}

// carry passes on what comes from one side, in its order, when the way lets it.
func (l *Link) carry(c *conn, from, to *side, closed *atomic.Int64) {
	parcels := make(chan parcel, held)
	go func() {
		defer close(parcels)
		c.collect(from, parcels, closed)
	}()
	defer func() { // the reader has ended, or ends with the connection
		for range parcels {
		}
	}()
	for p := range parcels {
		if !c.wait(from.way, p) {
			return
		}
		if len(p.b) == 0 {
			if p.reset {
				c.end(true)
			} else {
				to.CloseWrite()
				// Danger: a process that closes a connection whole looks here as one that ends its sending alone; what still
				// comes for it would be read for ever. The other side's next write finds out.
			}
			return
		}
		if _, err := to.Write(p.b); err != nil {
			c.end(true)
			return
		}
		from.way.count(len(p.b))
	}
}

// collect reads a side until its end.
func (c *conn) collect(from *side, parcels chan<- parcel, closed *atomic.Int64) {
	for {
		b := make([]byte, chunk)
		n, since, err := from.receive(b)
		if n > 0 {
			c.commands.bytes(from == c.near, time.Now())
		}
		if err != nil && closed != nil {
			closed.CompareAndSwap(0, time.Now().UnixNano())
		}
		select {
		case parcels <- parcel{b[:n], errors.Is(err, syscall.ECONNRESET), from.way.due(n), since}:
		case <-c.ended:
			return
		}
		if err != nil {
			return
		}
	}
}

// wait waits until a parcel is due and its way is not silent; false: the connection is over.
func (c *conn) wait(w *Way, p parcel) bool {
	if d := time.Until(p.due); d > 0 {
		select {
		case <-c.ended:
			return false
		case <-time.After(d):
		}
	}
	for {
		s, changed := w.now()
		if !s.Silent {
			return c.survives(w, p)
		}
		select {
		case <-c.ended:
			return false
		case <-changed:
		}
	}
}

// survives tells whether a parcel that may have met an outage still arrives. It does not if the side that opened the connection has
// left: its kernel gave up what was under way meanwhile. Danger: when this relay reads something says nothing of when it was sent. On a
// busy machine the sender's end, and the parcel too, may be read after the outage, so that the kernel is asked.
func (c *conn) survives(w *Way, p parcel) bool {
	if p.since == w.outagesBegun() || !c.near.left() {
		return true
	}
	c.end(true)
	return false
}

// healed tells the connections that a way carries again.
func (l *Link) healed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.near.healed()
		c.far.healed()
	}
}
