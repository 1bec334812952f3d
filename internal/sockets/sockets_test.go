package sockets

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// syscallError wraps an error number as the net package does.
func syscallError(call string, n syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, n)}
}

// failingListener is a listener whose Accept returns the errors of errs in order, one for each call, and then accepts connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func repeatError(err error, n int) (errs []error) {
	for range n {
		errs = append(errs, err)
	}
	return errs
}

// TestAcceptRetries guards against a gateway that stops accepting after an error that leaves the listener usable. After each such error
// Accept calls the listener again, until it returns a connection. Five errors in a row that report a shortage are logged once, not five
// times; other errors are not logged.
func TestAcceptRetries(t *testing.T) {
	for errno, wantLogLines := range map[syscall.Errno]int{
		syscall.ECONNABORTED: 0, syscall.EINTR: 0, syscall.EAGAIN: 0, syscall.EPERM: 0, syscall.EPROTO: 0, syscall.ENETDOWN: 0,
		syscall.ENOPROTOOPT: 0, syscall.EHOSTDOWN: 0, syscall.ENONET: 0, syscall.EHOSTUNREACH: 0, syscall.ENETUNREACH: 0,
		syscall.ETIMEDOUT: 0, syscall.ECONNRESET: 0,
		syscall.EMFILE: 1, syscall.ENFILE: 1, syscall.ENOBUFS: 1, syscall.ENOMEM: 1,
		syscall.EXDEV: 1, // Linux does not document EXDEV for accept(2)
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			core, logs := observer.New(zap.WarnLevel)
			conn, err := Accept(&failingListener{l, repeatError(syscallError("accept4", errno), 5)}, zap.New(core), "a client")
			if err != nil {
				t.Fatal(err)
			}
			conn.Close()
			if logs.Len() != wantLogLines {
				t.Errorf("got %d log lines, expected %d", logs.Len(), wantLogLines)
			}
		})
	}
}

// TestAcceptReturnsFinalErrors checks that Accept returns the error of an unusable listener, and ErrEnded after the listener's deadline
// or its close.
func TestAcceptReturnsFinalErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT} {
		if _, err := Accept(&failingListener{errs: []error{syscallError("accept4", errno)}}, zap.NewNop(), "a client"); !errors.Is(err, errno) {
			t.Errorf("got error %[2]v, expected one that wraps %[1]v", errno, err)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.TCPListener).SetDeadline(time.Now())
	if _, err := Accept(l, zap.NewNop(), "a client"); !errors.Is(err, ErrEnded) {
		t.Errorf("after the deadline: got error %v, expected ErrEnded", err)
	}
	l.Close()
	if _, err := Accept(l, zap.NewNop(), "a client"); !errors.Is(err, ErrEnded) {
		t.Errorf("after Close: got error %v, expected ErrEnded", err)
	}
}

// TestDialClass checks that errors of a dial that are due to this machine's shortages are distinguished from errors of the peer
// and the network.
func TestDialClass(t *testing.T) {
	for _, c := range []struct {
		err  error
		want Class
	}{
		{nil, None},
		{syscallError("socket", syscall.EMFILE), Shortage}, {syscallError("socket", syscall.ENFILE), Shortage}, {syscallError("socket", syscall.ENOBUFS), Shortage},
		{syscallError("socket", syscall.ENOMEM), Shortage}, {syscallError("connect", syscall.EADDRNOTAVAIL), Shortage},
		{fmt.Errorf("to a server: %w", syscallError("connect", syscall.EADDRNOTAVAIL)), Shortage},
		{syscallError("connect", syscall.ECONNREFUSED), Peer}, {syscallError("connect", syscall.ECONNRESET), Peer},
		{syscallError("connect", syscall.EHOSTUNREACH), Peer}, {syscallError("connect", syscall.ENETUNREACH), Peer}, {syscallError("connect", syscall.ETIMEDOUT), Peer},
		{io.EOF, Peer}, {context.Canceled, Peer}, {net.ErrClosed, Ended}, {os.ErrDeadlineExceeded, Ended},
	} {
		if got := ClassifyDialError(c.err); got != c.want {
			t.Errorf("%v: got class %v, expected %v", c.err, got, c.want)
		}
	}
}
