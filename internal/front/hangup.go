package front

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"dewhitch/internal/sockets"
)

// hasUnread reports whether a connection has received bytes that are not read yet. It returns false if the system cannot tell. It
// does not block and consumes nothing.
func hasUnread(c net.Conn) (unread bool) {
	sockets.WithDescriptor(c, func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// discardUnread drops the bytes that a connection has received, up to maxDiscardBytes: the close of a connection with unread bytes
// resets it. It does not block.
func discardUnread(c net.Conn) {
	sockets.WithDescriptor(c, func(fd int) {
		var b [8 << 10]byte
		for dropped := 0; dropped < maxDiscardBytes; {
			n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
			dropped += n
		}
	})
}

// hungUp reports whether the peer has closed a connection or its sending side, even if earlier bytes are not read yet. It returns
// false if the system cannot tell. It does not block.
func hungUp(c net.Conn) (closed bool) {
	sockets.WithDescriptor(c, func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		closed = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}
