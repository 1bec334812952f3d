package standin

import (
	"cmp"
	"context"
	"net"
	"syscall"
)

// NonReadingPeer is a stand-in for a process that accepts one connection and reads nothing from it. Its receive buffer is the
// smallest that the kernel allows, so that most of a long command stays in the sender's kernel, as the whole command does while
// the network is cut.
type NonReadingPeer struct {
	Conns    chan net.Conn // receives the accepted connection, which the receiver closes
	listener net.Listener
}

// NewNonReadingPeer starts a peer that listens on an address of OwnAddr.
func NewNonReadingPeer() (*NonReadingPeer, error) {
	config := net.ListenConfig{Control: smallestReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp", OwnAddr())
	if err != nil {
		return nil, err
	}
	p := &NonReadingPeer{Conns: make(chan net.Conn, 1), listener: l}
	go func() {
		if c, err := l.Accept(); err == nil {
			p.Conns <- c
		}
	}()
	return p, nil
}

// smallestReceiveBuffer sets a receive buffer of 1 byte, which the kernel raises to its minimum.
func smallestReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	controlErr := socket.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
	})
	return cmp.Or(controlErr, optionErr)
}

// Addr returns the listen address.
func (p *NonReadingPeer) Addr() string { return p.listener.Addr().String() }

// Close closes the listener but not the connection.
func (p *NonReadingPeer) Close() { p.listener.Close() }
