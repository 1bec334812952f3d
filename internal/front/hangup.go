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
func hungUp(c net.Conn) bool {
	return poll(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// hasQueued reports whether a connection to a listener is in the queue of the system. It returns false if the listener is closed or the
// system cannot tell. It does not block.
func hasQueued(l net.Listener) bool { return poll(l, unix.POLLIN)&unix.POLLIN != 0 }

// poll returns the events of a connection or listener: those asked for, hang-ups and errors. It returns 0 if the system cannot tell. It
// does not block.
func poll(c any, asked int16) (events int16) {
	sockets.WithDescriptor(c, func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: asked}}
		if n, err := unix.Poll(p, 0); err == nil && n > 0 {
			events = p[0].Revents
		}
	})
	return events
}
