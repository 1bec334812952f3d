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
	maxCountedDeadline = 3 * time.Second
	killMargin         = 700 * time.Millisecond
	earliestKill       = maxCountedDeadline + killMargin
)

// A request waits for a server that hangs, for longer than the gateway is given to end. Its client writes another on the same
// connection, which is open until the first is answered: killed with that, the gateway would lose the second. So it answers
// the first in time, and ends the connection.
func TestNoConnectionIsOpenAtTheEarliestKill(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	p := env.start("serve")
	c := env.dial()
	c.Write(queryWithLongDeadline("q1"))
	env.nextBackendCommand()
	signalledAt := time.Now()
	p.cmd.Process.Signal(syscall.SIGTERM)
	waitUntil(signalledAt.Add(time.Second))
	c.Write(queryWithLongDeadline("q2"))
	c.SetReadDeadline(signalledAt.Add(earliestKill))
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
