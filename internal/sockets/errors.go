// Package sockets classifies errors of socket calls by how the caller can react to them, and accepts connections accordingly. It
// owns no connection.
package sockets

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
)

// Class is a class of socket errors that call for the same reaction.
type Class int

// The classes of errors, by what the caller can do.
const (
	None      Class = iota // the call succeeded
	Ended                  // this process closed the socket, or its deadline has passed
	Transient              // the call can be repeated immediately: at most one connection failed
	Shortage               // this machine lacks descriptors, memory or ports: the call can be repeated after a pause
	Peer                   // the peer or the network failed
	Broken                 // the socket is unusable
)

// String returns the name of the class.
func (c Class) String() string {
	return [...]string{"none", "ended", "transient", "shortage", "peer", "broken"}[c]
}

// transientAccept lists the errors of accept(2) that concern only the connection that was being accepted: Linux returns the network
// errors that are already pending on the new socket.
var transientAccept = []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EPERM, syscall.EPROTO,
	syscall.ENOPROTOOPT, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.ETIMEDOUT, syscall.ECONNRESET}

// shortage lists the errors of accept(2), socket(2) and connect(2) that are due to a lack of resources on this machine.
var shortage = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// broken lists the errors after which a socket is unusable.
var broken = []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}

// ClassifyAcceptError returns the class of an error of accept. An unknown error counts as a shortage, so that the caller retries: the
// listener worked before.
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

// ClassifyDialError returns the class of an error of a dial. Whatever the class, nothing was sent to the peer.
func ClassifyDialError(err error) Class {
	class, _ := classify(err)
	return class
}

// classify returns the class that an error has for any socket call, and its error number, or 0 if it has none.
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
