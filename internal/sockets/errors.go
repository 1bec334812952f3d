// Package sockets sorts the errors of calls on sockets by what their callers can do about them, and accepts connections by
// that. It owns no connection.
package sockets

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
)

// Class says what can be done about an error.
type Class int

// The classes.
const (
	None     Class = iota // there is no error
	Ended                 // the caller's own side closed the socket, or its deadline passed
	Passing               // the call can be repeated at once: what failed was one connection, or nothing
	Shortage              // this machine lacks descriptors, memory or ports: the call can be repeated after a moment
	Peer                  // the other side, or the way to it, failed
	Broken                // the socket can't be used any more
)

// String is the name of the class.
func (c Class) String() string {
	return [...]string{"none", "ended", "passing", "shortage", "peer", "broken"}[c]
}

// passing are the errors of accept(2) that concern the one connection that was being accepted: Linux passes on errors that
// are already pending on it.
var passing = []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EPERM, syscall.EPROTO,
	syscall.ENOPROTOOPT, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.ETIMEDOUT, syscall.ECONNRESET}

// shortages are the errors of accept(2), socket(2) and connect(2) for want of something on this machine.
var shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// broken are the errors by which a socket can't be used any more, whatever is waited for.
var broken = []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}

// AcceptClass is the class of an error of accept. One that is not known is a shortage: a listener that was good is tried
// again.
func AcceptClass(err error) Class {
	errno, c := inspect(err)
	switch {
	case c != Peer:
		return c
	case slices.Contains(passing, errno):
		return Passing
	case slices.Contains(broken, errno):
		return Broken
	}
	return Shortage
}

// DialClass is the class of an error of a dial. None of them leaves anything sent.
func DialClass(err error) Class {
	_, c := inspect(err)
	return c
}

// inspect gives an error's number, if it has one, and the class that it has whatever the call.
func inspect(err error) (errno syscall.Errno, c Class) {
	errors.As(err, &errno)
	switch {
	case err == nil:
		return errno, None
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return errno, Ended
	case slices.Contains(shortages, errno):
		return errno, Shortage
	}
	return errno, Peer
}
