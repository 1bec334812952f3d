package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// endpoint is one end of a relayed connection. It tracks which outages of its outgoing direction may have delayed the bytes that
// its peer sends: those after the first outagesBefore outages.
type endpoint struct {
	*net.TCPConn
	raw      syscall.RawConn
	outgoing *direction // direction of the data that the peer sends

	mu            sync.Mutex
	outagesBefore int // number of outages that ended before the peer sent the oldest byte that may still be in the kernel's buffer
}

// newEndpoint wraps a connection that was just established; endedOutages is the count of its outgoing direction at that time.
func newEndpoint(c *net.TCPConn, outgoing *direction, endedOutages int) (*endpoint, error) {
	raw, err := c.SyscallConn()
	return &endpoint{TCPConn: c, raw: raw, outgoing: outgoing, outagesBefore: endedOutages}, err
}

// receive reads the bytes that have arrived. It returns io.EOF if the peer has closed its sending side. outagesBefore is the
// number of outages that ended before any of the bytes were sent; every later outage may have delayed them.
func (e *endpoint) receive(b []byte) (n, outagesBefore int, err error) {
	rawErr := e.raw.Read(func(fd uintptr) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		n, err = receiveNonblocking(fd, b, 0)
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		outagesBefore = e.outagesBefore
		if n < len(b) { // the kernel's buffer is empty, so the peer has yet to send the bytes that are read next
			e.outagesBefore = e.outgoing.endedOutages()
		}
		return true
	})
	switch {
	case rawErr != nil:
		return 0, outagesBefore, rawErr
	case err != nil:
		return 0, outagesBefore, err
	case n == 0:
		return 0, outagesBefore, io.EOF
	}
	return n, outagesBefore, nil
}

// onHealed is called when the direction delivers again. If the kernel's buffer is empty, none of the outages so far delayed the
// bytes that come later.
func (e *endpoint) onHealed() {
	_ = e.raw.Control(func(fd uintptr) {
		e.mu.Lock()
		defer e.mu.Unlock()
		var b [1]byte
		if _, err := receiveNonblocking(fd, b[:], syscall.MSG_PEEK); errors.Is(err, syscall.EAGAIN) {
			e.outagesBefore = e.outgoing.endedOutages()
		}
	})
}

// peerClosed returns true if the kernel has received the peer's FIN or a reset, or if the socket has failed. Bytes that the peer
// sent before may still be unread.
func (e *endpoint) peerClosed() bool {
	closed := true
	err := e.raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for {
			n, err := unix.Poll(events, 0)
			if !errors.Is(err, syscall.EINTR) {
				closed = n > 0
				return
			}
		}
	})
	return err != nil || closed
}

// receiveNonblocking reads from a socket. It returns EAGAIN if nothing has arrived.
func receiveNonblocking(fd uintptr, b []byte, flags int) (int, error) {
	for {
		n, _, err := syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
