package standin

import (
	"net"
	"sync"
)

// Listener serves each connection in its own goroutine with the owner's function, and closes the connection when the function
// returns. Its methods may be called from any goroutine.
type Listener struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{} // open connections
	closed   bool                  // true once the listener is closed; connections accepted after that are closed immediately
}

// Listen listens at a loopback address and calls serve for each connection. An empty addr stands for a free port of 127.0.0.1.
func Listen(addr string, serve func(net.Conn)) (*Listener, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Listener{listener: l, conns: map[net.Conn]struct{}{}}
	go s.acceptAll(serve)
	return s, nil
}

// acceptAll serves connections until the listener is closed.
func (l *Listener) acceptAll(serve func(net.Conn)) {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		if !l.register(c) {
			c.Close()
			continue
		}
		go func() {
			serve(c)
			c.Close()
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
		}()
	}
}

// register adds a connection to the open ones. It returns false if the listener is closed.
func (l *Listener) register(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// Addr returns the listen address.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// StopAccepting stops listening, so that new connections are refused. Open connections stay open.
func (l *Listener) StopAccepting() { l.listener.Close() }

// Reset resets all open connections, as a crash of the process can do, but continues to listen.
func (l *Listener) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		resetConn(c.(*net.TCPConn))
	}
}

// Close stops listening and closes all connections.
func (l *Listener) Close() { l.closeAll((*net.TCPConn).Close) }

// CloseWithReset stops listening and resets all connections, as a crash of the process can do.
func (l *Listener) CloseWithReset() { l.closeAll(resetConn) }

// closeAll stops listening and closes each open connection with closeConn.
func (l *Listener) closeAll(closeConn func(*net.TCPConn) error) {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		closeConn(c.(*net.TCPConn))
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c *net.TCPConn) error {
	c.SetLinger(0)
	return c.Close()
}
