package main_test

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// repeatWindow is how long the servers of TestRepeatEndsWithItsWindow drop repeats of a request. It is shorter than the request's
// deadline, as it is for some customers.
const repeatWindow = time.Second

// The tolerance of the time limits on connections, and how long a gateway may be stalled between reading its clock and writing.
const (
	ruleSlack       = 50 * time.Millisecond
	maxProcessStall = 150 * time.Millisecond
)

// TestRepeatEndsWithItsWindow guards against a booking that runs twice. A server resets the connection of a booking that may have
// run, and the gateway repeats it at another server, which hangs. Servers forget the key of the first attempt after a second, so
// a repeat that is still open then runs again once that server recovers; dedup_window.go ends the repeat with the window. Without
// dedup_window.go, the second connection closed 2.0 s after the first attempt, at half of Aim, in 10 of 10 runs. In the drill of
// TestLeavers, seed 7, a key arrived again after 3.13 s, when a partition was healed, although servers forget keys after 3 s.
func TestRepeatEndsWithItsWindow(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.overrides = append(env.overrides, `{"settings":{"RequestClasses":[{"Name":"order","Aim":4000000000,"Deadline":4000000000,
		"DedupWindow":1000000000,"Effect":"keyed","Group":"all","Points":5}]}}`)
	env.discovery.Set(env.members("s-00000001=up s-00000002=up s-00000003=up"))
	p := env.start("serve")
	c := env.dial()
	c.Write(encode("SVC.SUBMIT 00000000b4d65521 q1 c=order,t=wide,d=4000,k=5c0f6e1a2b3d4c59,units=1,spread=2,first=0 BODY"))
	first := env.nextBackendCommand()
	firstAttemptAt := time.Now()
	first.Conn.(*net.TCPConn).SetLinger(0)
	first.Close()

	repeat := env.nextBackendCommand()
	repeat.SetReadDeadline(firstAttemptAt.Add(repeatWindow + ruleSlack + maxProcessStall))
	if _, err := repeat.r.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the repeat is still open %v after the first attempt, expected its end when servers forget that, after %v\n%s", time.Since(firstAttemptAt),
			repeatWindow, p.log())
	}
	c.SetReadDeadline(firstAttemptAt.Add(4 * time.Second))
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "-") {
		t.Errorf("the client got %q, %v, expected an error answer", answer, err)
	}
}
