package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Waiting for the peer to take what was written.
const (
	minDrainPoll = time.Millisecond
	maxDrainPoll = 16 * time.Millisecond
)

// WithDescriptor calls f with the file descriptor of a connection or listener, if it has one.
func WithDescriptor(c any, f func(fd int)) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// LimitBuffers limits the system's buffers of a connection, or of the connections that a listener accepts, to a number of bytes in each
// direction, and switches off that they grow by themselves. 0 leaves a direction to the system, which rounds tiny sizes up. It does
// nothing where the system can't.
func LimitBuffers(c any, receive, send int) {
	WithDescriptor(c, func(fd int) { limitBuffers(fd, receive, send) })
}

// ControlBuffers returns a function for net.Dialer.Control that does what LimitBuffers does, before the connection is established.
func ControlBuffers(receive, send int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { limitBuffers(int(fd), receive, send) })
	}
}

// limitBuffers sets the sizes of a socket's buffers. The system doubles them, for its own bookkeeping.
func limitBuffers(fd, receive, send int) {
	if receive > 0 {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receive/2)
	}
	if send > 0 {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, send/2)
	}
}

// Unsent returns the number of bytes that were written to a connection and not acknowledged by the peer's system. It returns 0 if the
// system cannot tell.
func Unsent(c net.Conn) (bytes int) {
	WithDescriptor(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// WriteWithin writes all of b, with at most limit bytes unsent at any time: the system itself lets the data of one write grow far
// beyond the size of its buffer. It returns the number of bytes written, and an error of the connection, such as an exceeded write
// deadline, if they are not all.
func WriteWithin(c net.Conn, b []byte, limit int) (n int, err error) {
	for poll := minDrainPoll; n < len(b); {
		allowed := min(len(b)-n, limit-Unsent(c))
		if allowed <= 0 {
			time.Sleep(poll)
			poll = min(2*poll, maxDrainPoll)
			if _, err := c.Write(nil); err != nil { // fails if the deadline has passed or the connection is closed
				return n, err
			}
			continue
		}
		poll = minDrainPoll
		m, err := c.Write(b[n : n+allowed])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
