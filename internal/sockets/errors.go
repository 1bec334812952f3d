// Package sockets classifies the errors of calls on sockets by what their callers can do about them, and accepts
// connections by that. It owns no connection.
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
	None      Class = iota // there is no error
	Ended                  // the caller's own side closed the socket, or its deadline passed
	Transient              // the call can be repeated at once: what failed was one connection, or nothing
	Shortage               // this machine lacks descriptors, memory or ports: the call can be repeated after a moment
	Peer                   // the other side, or the way to it, failed
	Broken                 // the socket can't be used any more
)

// String is the name of the class.
func (c Class) String() string {
	return [...]string{"none", "ended", "transient", "shortage", "peer", "broken"}[c]
}

// transientAccept are the errors of accept(2) that concern the one connection that was being accepted: Linux returns errors that
// are already pending on it.
var transientAccept = []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EPERM, syscall.EPROTO,
	syscall.ENOPROTOOPT, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.ETIMEDOUT, syscall.ECONNRESET}

// shortage are the errors of accept(2), socket(2) and connect(2) for want of something on this machine.
var shortage = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// broken are the errors after which a socket can't be used any more.
var broken = []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}

// ClassifyAcceptError is the class of an error of accept. An unknown one is a shortage: a listener that was good is tried again.
func ClassifyAcceptError(err error) Class {
	class, errno := classify(err)
	switch {
	case class != Peer:
		return class
	case slices.Contains(transientAccept, errno):
		return Transient
	case slices.Contains(broken, errno):
		return Broken
	}
	return Shortage
}

// ClassifyDialError is the class of an error of a dial. Whatever the class, nothing was sent.
func ClassifyDialError(err error) Class {
	class, _ := classify(err)
	return class
}

// classify gives the class that an error has whatever the call, and its number, if it has one.
func classify(err error) (class Class, errno syscall.Errno) {
	errors.As(err, &errno)
	switch {
	case err == nil:
		return None, errno
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return Ended, errno
	case slices.Contains(shortage, errno):
		return Shortage, errno
	}
	return Peer, errno
}
