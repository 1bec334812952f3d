package standin

import (
	"cmp"
	"context"
	"net"
	"syscall"
)

// Stuck stands in for a process that takes one connection and reads nothing from it. Its receive buffer is as small as the system
// allows, so that most of a long command stays in the sender's kernel, as all of it does while a network is cut.
type Stuck struct {
	Conns chan net.Conn // the connection, which whoever takes it closes
	l     net.Listener
}

// NewStuck opens one.
func NewStuck() (*Stuck, error) {
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		fault := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		return cmp.Or(fault, err)
	}}
	l, err := small.Listen(context.Background(), "tcp", OwnAddr())
	if err != nil {
		return nil, err
	}
	s := &Stuck{Conns: make(chan net.Conn, 1), l: l}
	go func() {
		if c, err := l.Accept(); err == nil {
			s.Conns <- c
		}
	}()
	return s, nil
}

// Addr is where it listens.
func (s *Stuck) Addr() string { return s.l.Addr().String() }

// Close ends the listener.
func (s *Stuck) Close() { s.l.Close() }
