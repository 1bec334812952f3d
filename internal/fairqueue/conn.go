package fairqueue

import (
	"net"
	"sync"
)

// Listener is a listener whose connections take turns. What the process does between two reads or writes of a connection counts as work
// for it.
type Listener struct {
	net.Listener
	scheduler *Scheduler
	kind      Kind
	accepting *Flow
}

// Listen returns a listener whose connections are flows of a kind.
func (s *Scheduler) Listen(l net.Listener, k Kind) *Listener {
	return &Listener{Listener: l, scheduler: s, kind: k, accepting: s.Open(Accepting, l.Addr().String())}
}

// Accept implements net.Listener. Each connection costs the listener a turn.
func (l *Listener) Accept() (net.Conn, error) {
	l.accepting.AwaitFirst()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	flow := l.scheduler.Open(l.kind, c.RemoteAddr().String())
	accepted := &conn{Conn: c, flow: flow, work: NewMeter(flow)}
	accepted.resume()
	return accepted, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.accepting.Close()
	return l.Listener.Close()
}

// conn is a connection that takes turns.
type conn struct {
	net.Conn
	flow *Flow

	mu   sync.Mutex // guards work: a read and a write may run at the same time
	work Meter
}

// pay counts the time since the last read or write, and waits if the connection has used its turn.
func (c *conn) pay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work.Pay()
}

// resume begins to count time again after a read or write, which may have waited for the peer.
func (c *conn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work.Resume()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.pay()
	defer c.resume()
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.pay()
	defer c.resume()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.flow.Close()
	return c.Conn.Close()
}

// CloseWrite shuts the sending side of the connection, if it has one of its own.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
