package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// side is one end of a relayed connection. It knows which outages of the way that it sends on may have met what comes from it.
type side struct {
	*net.TCPConn
	raw syscall.RawConn
	way *Way

	mu sync.Mutex
	// since counts the outages that were over before the oldest byte that may still wait in the kernel was sent.
	since int
}

// newSide takes an end that came up just now; over is how many outages of the way were over then.
func newSide(c *net.TCPConn, way *Way, over int) (*side, error) {
	raw, err := c.SyscallConn()
	return &side{TCPConn: c, raw: raw, way: way, since: over}, err
}

// receive reads what has come. The count is of the outages that were over before any of it was sent: it may have met every
// later one.
func (s *side) receive(b []byte) (n, since int, err error) {
	fault := s.raw.Read(func(fd uintptr) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		n, err = receiveNow(fd, b, 0)
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		since = s.since
		if n < len(b) { // nothing waits: what comes next is sent later than now
			s.since = s.way.outagesOver()
		}
		return true
	})
	switch {
	case fault != nil:
		return 0, since, fault
	case err != nil:
		return 0, since, err
	case n == 0:
		return 0, since, io.EOF
	}
	return n, since, nil
}

// healed tells that the way carries again: if nothing waits, what comes next met none of the outages so far.
func (s *side) healed() {
	_ = s.raw.Control(func(fd uintptr) {
		s.mu.Lock()
		defer s.mu.Unlock()
		var b [1]byte
		if _, err := receiveNow(fd, b[:], syscall.MSG_PEEK); errors.Is(err, syscall.EAGAIN) {
			s.since = s.way.outagesOver()
		}
	})
}

// left tells whether the process at this end has ended the connection, or its sending on it, by what the kernel knows: what it
// sent before that may not be read yet.
func (s *side) left() bool {
	left := true
	err := s.raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for {
			n, err := unix.Poll(events, 0)
			if !errors.Is(err, syscall.EINTR) {
				left = n > 0
				return
			}
		}
	})
	return err != nil || left
}

// receiveNow reads from a socket without waiting.
func receiveNow(fd uintptr, b []byte, flags int) (int, error) {
	for {
		n, _, err := syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
