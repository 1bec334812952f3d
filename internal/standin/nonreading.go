package standin

import (
	"cmp"
	"context"
	"net"
	"syscall"
)

// Stuck is a fake of a process that accepts one connection and reads nothing from it. Its receive buffer is the smallest that the
// system allows, so that most of a long command stays in the sender's kernel, as all of it does while a network is cut.
type Stuck struct {
	Conns    chan net.Conn // receives the connection; the receiver closes it
	listener net.Listener
}

// NewStuck starts one.
func NewStuck() (*Stuck, error) {
	config := net.ListenConfig{Control: smallestReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp", OwnAddr())
	if err != nil {
		return nil, err
	}
	s := &Stuck{Conns: make(chan net.Conn, 1), listener: l}
	go func() {
		if c, err := l.Accept(); err == nil {
			s.Conns <- c
		}
	}()
	return s, nil
}

// smallestReceiveBuffer asks for a receive buffer of 1 byte, which the kernel raises to its minimum.
func smallestReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	controlErr := socket.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
	})
	return cmp.Or(controlErr, optionErr)
}

// Addr returns where it listens.
func (s *Stuck) Addr() string { return s.listener.Addr().String() }

// Close closes the listener, not the connection.
func (s *Stuck) Close() { s.listener.Close() }
