package backend

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	dw "dewhitch"
	"dewhitch/internal/standin"
)

// failDials makes the given number of dials fail, with errors as the net package returns them, and further dials succeed. It returns
// the count of dials.
func (b *testBed) failDials(call string, errno syscall.Errno, failures int64) (dials *atomic.Int64) {
	dials = &atomic.Int64{}
	b.dial = func(context.Context, string, time.Time) (net.Conn, error) {
		if dials.Add(1) <= failures {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
		}
		return net.Dial("tcp", b.backend.Addr)
	}
	return dials
}

// Guards against attributing a shortage on this machine to a backend. A dial that fails because of a shortage is repeated; if
// the shortage lasts, the attempt ends as not sent. A dial that fails on the way to the backend is not repeated.
func TestDialDuringLocalShortage(t *testing.T) {
	const permanent = 1 << 40
	for _, c := range []struct {
		name     string
		call     string
		errno    syscall.Errno
		failures int64
		want     dw.Outcome
		retried  bool // true if more than one dial is expected
	}{
		{"short of descriptors briefly", "socket", syscall.EMFILE, 3, dw.OutcomeOK, true},
		{"short of system descriptors briefly", "socket", syscall.ENFILE, 3, dw.OutcomeOK, true},
		{"short of buffers briefly", "socket", syscall.ENOBUFS, 3, dw.OutcomeOK, true},
		{"short of memory briefly", "socket", syscall.ENOMEM, 3, dw.OutcomeOK, true},
		{"short of ports briefly", "connect", syscall.EADDRNOTAVAIL, 3, dw.OutcomeOK, true},
		{"short of descriptors permanently", "socket", syscall.EMFILE, permanent, dw.OutcomeNotSent, true},
		{"short of ports permanently", "connect", syscall.EADDRNOTAVAIL, permanent, dw.OutcomeNotSent, true},
		{"connection refused", "connect", syscall.ECONNREFUSED, permanent, dw.OutcomeConnectFailed, false},
		{"host unreachable", "connect", syscall.EHOSTUNREACH, permanent, dw.OutcomeConnectFailed, false},
		{"network unreachable", "connect", syscall.ENETUNREACH, permanent, dw.OutcomeConnectFailed, false},
		{"connection timed out", "connect", syscall.ETIMEDOUT, permanent, dw.OutcomeConnectFailed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, standin.Always(standin.Step{}))
			if c.failures == permanent {
				b.limits.ConnectTimeout = 50 * time.Millisecond
			}
			dials := b.failDials(c.call, c.errno, c.failures)
			_, ended := b.start(time.Time{})
			b.expectOutcome(ended, c.want)
			if n := dials.Load(); (n > 1) != c.retried {
				t.Errorf("got %d dials, expected more than one only for a shortage on this machine", n)
			}
			b.expectNoLeaks()
		})
	}
}

// Guards against a command that is sent after a shortage for a client that disconnected during it: the attempt must be withdrawn.
func TestClientDisconnectsDuringShortage(t *testing.T) {
	b := newBed(t, standin.Always(standin.Step{}))
	dials := b.failDials("socket", syscall.EMFILE, 1<<40)
	id, ended := b.start(time.Time{})
	for dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.Cancel(id, 0)
	b.expectOutcome(ended, dw.OutcomeNotSent)
	if n := len(b.server.Commands()); n != 0 {
		t.Errorf("the backend received %d commands, expected none", n)
	}
	b.expectNoLeaks()
}
