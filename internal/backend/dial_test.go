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

// failDials has dials fail so often before they succeed, as the net package words it; the count of dials is given back.
func (b *testBed) failDials(call string, errno syscall.Errno, times int64) (dials *atomic.Int64) {
	dials = &atomic.Int64{}
	b.dial = func(context.Context, string, time.Time) (net.Conn, error) {
		if dials.Add(1) <= times {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
		}
		return net.Dial("tcp", b.backend.Addr)
	}
	return dials
}

// This machine lacks something for a moment: the connection is opened once it has it. Where it goes on lacking it, nothing was
// sent, and that is no fault of the backend's; a failure on the way to the backend is not tried again.
func TestDialFailsForWantOfSomething(t *testing.T) {
	const forGood = 1 << 40
	for _, c := range []struct {
		name  string
		call  string
		errno syscall.Errno
		times int64
		want  dw.Outcome
		tries bool // more than once
	}{
		{"descriptors, for a moment", "socket", syscall.EMFILE, 3, dw.OutcomeOK, true},
		{"descriptors of the system, for a moment", "socket", syscall.ENFILE, 3, dw.OutcomeOK, true},
		{"buffers, for a moment", "socket", syscall.ENOBUFS, 3, dw.OutcomeOK, true},
		{"memory, for a moment", "socket", syscall.ENOMEM, 3, dw.OutcomeOK, true},
		{"ports, for a moment", "connect", syscall.EADDRNOTAVAIL, 3, dw.OutcomeOK, true},
		{"descriptors, for good", "socket", syscall.EMFILE, forGood, dw.OutcomeNotSent, true},
		{"ports, for good", "connect", syscall.EADDRNOTAVAIL, forGood, dw.OutcomeNotSent, true},
		{"it is refused", "connect", syscall.ECONNREFUSED, forGood, dw.OutcomeConnectFailed, false},
		{"there is no way there", "connect", syscall.EHOSTUNREACH, forGood, dw.OutcomeConnectFailed, false},
		{"the network is away", "connect", syscall.ENETUNREACH, forGood, dw.OutcomeConnectFailed, false},
		{"nobody answers", "connect", syscall.ETIMEDOUT, forGood, dw.OutcomeConnectFailed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, standin.Always(standin.Step{}))
			if c.times == forGood {
				b.limits.ConnectTimeout = 50 * time.Millisecond
			}
			dials := b.failDials(c.call, c.errno, c.times)
			_, end := b.start(time.Time{})
			b.expectOutcome(end, c.want)
			if n := dials.Load(); (n > 1) != c.tries {
				t.Errorf("%d dials", n)
			}
			b.expectNothingLeft()
		})
	}
}

// An attempt whose client leaves while this machine lacks something is withdrawn: nothing is sent once it has it.
func TestClientLeavesDuringAShortage(t *testing.T) {
	b := newBed(t, standin.Always(standin.Step{}))
	dials := b.failDials("socket", syscall.EMFILE, 1<<40)
	id, end := b.start(time.Time{})
	for dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.Cancel(id, 0)
	b.expectOutcome(end, dw.OutcomeNotSent)
	if n := len(b.node.Commands()); n != 0 {
		t.Errorf("%d commands came to the backend", n)
	}
	b.expectNothingLeft()
}
