package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// endpoint is one end of a relayed connection. It knows which outages of its outgoing direction may have met the bytes that its peer
// sends: those that began after the outages in outagesBefore.
type endpoint struct {
	*net.TCPConn
	raw      syscall.RawConn
	outgoing *direction // of what its peer sends

	mu            sync.Mutex
	outagesBefore int // outages that were over before the oldest byte that may still wait in the kernel was sent
}

// newEndpoint wraps a connection that has just come up; endedOutages is of its outgoing direction at that time.
func newEndpoint(c *net.TCPConn, outgoing *direction, endedOutages int) (*endpoint, error) {
	raw, err := c.SyscallConn()
	return &endpoint{TCPConn: c, raw: raw, outgoing: outgoing, outagesBefore: endedOutages}, err
}

// receive reads what has arrived; io.EOF: the peer has closed its sending side. outagesBefore counts the outages that were over before
// any of the bytes were sent: they may have met every later one.
func (e *endpoint) receive(b []byte) (n, outagesBefore int, err error) {
	rawErr := e.raw.Read(func(fd uintptr) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		n, err = receiveNonblocking(fd, b, 0)
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		outagesBefore = e.outagesBefore
		if n < len(b) { // the kernel's buffer is empty: what comes next is sent after now
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

// onHealed runs when the direction delivers again: if the kernel's buffer is empty, later bytes have met none of the outages so far.
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

// peerClosed reports whether the kernel has received the peer's FIN or a reset, or the socket has failed. Bytes that were sent before
// it may still be unread.
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

// receiveNonblocking reads from a socket; EAGAIN: nothing has arrived.
func receiveNonblocking(fd uintptr, b []byte, flags int) (int, error) {
	for {
		n, _, err := syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
