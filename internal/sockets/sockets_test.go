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

// op wraps an error number as the net package does.
func op(call string, n syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, n)}
}

// faulty is a listener that fails with the errors given, one a call, and then accepts.
type faulty struct {
	net.Listener
	errs []error
}

func (f *faulty) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return f.Listener.Accept()
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

func repeated(err error, n int) (errs []error) {
	for range n {
		errs = append(errs, err)
	}
	return errs
}

// Every transient error of accept(2) is passed over, and the connection behind it is accepted; a shortage
// is logged once, not at each attempt.
func TestAcceptGoesOn(t *testing.T) {
	for errno, lines := range map[syscall.Errno]int{
		syscall.ECONNABORTED: 0, syscall.EINTR: 0, syscall.EAGAIN: 0, syscall.EPERM: 0, syscall.EPROTO: 0, syscall.ENETDOWN: 0,
		syscall.ENOPROTOOPT: 0, syscall.EHOSTDOWN: 0, syscall.ENONET: 0, syscall.EHOSTUNREACH: 0, syscall.ENETUNREACH: 0,
		syscall.ETIMEDOUT: 0, syscall.ECONNRESET: 0,
		syscall.EMFILE: 1, syscall.ENFILE: 1, syscall.ENOBUFS: 1, syscall.ENOMEM: 1, syscall.EXDEV: 1, // the last is none that Linux names
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
			core, seen := observer.New(zap.WarnLevel)
			conn, err := Accept(&faulty{l, repeated(op("accept4", errno), 5)}, zap.New(core), "a client")
			if err != nil {
				t.Fatal(err)
			}
			conn.Close()
			if seen.Len() != lines {
				t.Errorf("%d log lines, not %d", seen.Len(), lines)
			}
		})
	}
}

// A listener that can't be used says so, and one that was ended ends the loop.
func TestAcceptEnds(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT} {
		if _, err := Accept(&faulty{errs: []error{op("accept4", errno)}}, zap.NewNop(), "a client"); !errors.Is(err, errno) {
			t.Errorf("%v: %v", errno, err)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.TCPListener).SetDeadline(time.Now())
	if _, err := Accept(l, zap.NewNop(), "a client"); !errors.Is(err, ErrEnded) {
		t.Errorf("at its deadline: %v", err)
	}
	l.Close()
	if _, err := Accept(l, zap.NewNop(), "a client"); !errors.Is(err, ErrEnded) {
		t.Errorf("closed: %v", err)
	}
}

// What a dial fails with is this machine's shortage, or a matter of the other side.
func TestDialClass(t *testing.T) {
	for _, c := range []struct {
		err  error
		want Class
	}{
		{nil, None},
		{op("socket", syscall.EMFILE), Shortage}, {op("socket", syscall.ENFILE), Shortage}, {op("socket", syscall.ENOBUFS), Shortage},
		{op("socket", syscall.ENOMEM), Shortage}, {op("connect", syscall.EADDRNOTAVAIL), Shortage},
		{fmt.Errorf("to a server: %w", op("connect", syscall.EADDRNOTAVAIL)), Shortage},
		{op("connect", syscall.ECONNREFUSED), Peer}, {op("connect", syscall.ECONNRESET), Peer},
		{op("connect", syscall.EHOSTUNREACH), Peer}, {op("connect", syscall.ENETUNREACH), Peer}, {op("connect", syscall.ETIMEDOUT), Peer},
		{io.EOF, Peer}, {context.Canceled, Peer}, {net.ErrClosed, Ended}, {os.ErrDeadlineExceeded, Ended},
	} {
		if got := ClassifyDialError(c.err); got != c.want {
			t.Errorf("%v: %v, not %v", c.err, got, c.want)
		}
	}
}
