package main_test

import (
	"errors"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The platform kills a process no sooner than this after SIGTERM, where the longest deadline is longestCounted or above.
const (
	longestCounted = 3 * time.Second
	killMargin     = 700 * time.Millisecond
	earliestKill   = longestCounted + killMargin
)

// A request waits for a server that hangs, for longer than the gateway is given to end. Its client writes another on the same
// connection, which is open until the first is answered: killed with that, the gateway would lose the second. So it answers
// the first in time, and ends the connection.
func TestNoConnectionIsOpenAtTheEarliestKill(t *testing.T) {
	t.Parallel()
	w := newEnvironment(t)
	p := w.start("serve")
	c := w.dial()
	c.Write(patientQuery("q1"))
	w.hangingServer()
	signalled := time.Now()
	p.cmd.Process.Signal(syscall.SIGTERM)
	waitUntil(signalled.Add(time.Second))
	c.Write(patientQuery("q2"))
	c.SetReadDeadline(signalled.Add(earliestKill))
	answers, err := io.ReadAll(c.r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection is open, and owed an answer, when the gateway may be killed\n%s", p.log())
	}
	if got := string(answers); strings.Count(got, "\r\n") != 1 || got[0] != '-' {
		t.Errorf("%q came, and %v", got, err)
	}
	if err := p.wait(); err != nil {
		t.Error(err)
	}
}
