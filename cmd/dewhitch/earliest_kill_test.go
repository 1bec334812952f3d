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

// The platform sends SIGKILL no sooner than the longest deadline plus killMargin after SIGTERM, where a deadline above
// maxCountedDeadline counts as maxCountedDeadline. earliestKill is the resulting time after SIGTERM if the longest deadline is at
// least maxCountedDeadline.
const (
	maxCountedDeadline = 3 * time.Second
	killMargin         = 700 * time.Millisecond
	earliestKill       = maxCountedDeadline + killMargin
)

// TestNoConnectionIsOpenAtTheEarliestKill guards against requests that are lost because a connection is open at SIGKILL. A
// request waits for a hanging server for longer than the gateway has until then, and its client writes another on the same
// connection. The gateway must answer the first in time and end the connection.
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
		t.Fatalf("the connection is open with an unanswered request at the time of the earliest SIGKILL\n%s", p.log())
	}
	if got := string(answers); strings.Count(got, "\r\n") != 1 || got[0] != '-' {
		t.Errorf("got %q and %v, expected one error answer", got, err)
	}
	if err := p.wait(); err != nil {
		t.Error(err)
	}
}
