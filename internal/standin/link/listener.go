package link

// This file applies the state of the two directions to new connections, which are accepted or refused, or time out.

import (
	"net"
	"syscall"
	"time"
)

// backlogFillTimeout is the timeout of the connection that fills the backlog, which a busy machine may establish late.
const backlogFillTimeout = 200 * time.Millisecond

// applyState adapts the listener to the state of the two directions: the listener accepts, is closed so that connections are
// refused, or is blackholed.
func (l *Link) applyState() {
	if l.closed.Load() {
		return
	}
	outbound, _ := l.outbound.current()
	inbound, _ := l.inbound.current()
	reachable := !outbound.Refused && !inbound.Refused
	silent := outbound.Silent || inbound.Silent
	l.mu.Lock()
	defer l.mu.Unlock()
	if !reachable && l.listener != nil {
		l.closeListener()
	}
	if reachable && l.listener == nil && l.listen() != nil {
		return // the next change of state retries
	}
	switch {
	case l.listener == nil || silent == l.blackholed:
	case silent:
		l.blackhole()
	default:
		// The listener is replaced, as connections in its backlog may have been abandoned and must not be accepted.
		l.closeListener()
		_ = l.listen()
	}
}

// listen opens the listener. l.mu is held, or no other goroutine uses the link yet.
func (l *Link) listen() error {
	opened, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.listener = opened.(*net.TCPListener)
	l.acceptDone = make(chan struct{})
	go l.accept(l.listener, l.acceptDone)
	return nil
}

// accept relays each connection until the listener is closed or blackholed, then closes done.
func (l *Link) accept(listener *net.TCPListener, done chan<- struct{}) {
	defer close(done)
	for {
		c, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		// The outages are counted before the goroutine starts. In the goroutine, an outage that begins meanwhile could end before
		// the count, and the connection would count as established after that outage.
		go l.relay(c, l.outbound.endedOutages())
	}
}

// blackhole makes new connections time out, as over a cut cable: no goroutine accepts, and the backlog of one connection is full,
// so that the kernel drops further SYNs. It first ends an accept in progress, which would take the connection that fills the
// backlog. The listener can't be used again. l.mu is held.
func (l *Link) blackhole() {
	l.blackholed = true
	l.listener.SetDeadline(time.Unix(1, 0))
	<-l.acceptDone
	setBacklog(l.listener, 0)
	// A backlog of 0 holds one connection. If this one times out, another process's connection has filled the backlog.
	if c, err := net.DialTimeout("tcp", l.addr, backlogFillTimeout); err == nil {
		l.backlogFillers = append(l.backlogFillers, c)
	}
}

// closeListener closes the listener, which resets the connections in its backlog. l.mu is held.
func (l *Link) closeListener() {
	l.blackholed = false
	for _, c := range l.backlogFillers {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	l.backlogFillers = nil
	l.listener.Close()
	l.listener = nil
}

// setBacklog sets the length of the listener's queue of connections that wait to be accepted.
func setBacklog(listener *net.TCPListener, n int) {
	raw, err := listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}
