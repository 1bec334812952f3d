package front

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// withDescriptor calls f with the descriptor of a connection, where the system has one.
func withDescriptor(c net.Conn, f func(fd int)) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// unread tells whether something has come on a connection that is not read yet. False where the system does not tell.
func unread(c net.Conn) (more bool) {
	withDescriptor(c, func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		more = err == nil && n > 0
	})
	return more
}

// hungUp tells whether the far side of a connection has closed it or its sending, though what came before is not read yet.
// False where the system does not tell.
func hungUp(c net.Conn) (gone bool) {
	withDescriptor(c, func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		gone = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone
}
