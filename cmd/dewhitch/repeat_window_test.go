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

// repeatWindow is how long the servers of TestRepeatEndsWithItsWindow drop a repeat; shorter than the request's deadline, as
// some customers have it.
const repeatWindow = time.Second

// The slack of the rules on sockets, and how long a gateway may be held up between reading its clock and writing.
const (
	ruleSlack       = 50 * time.Millisecond
	maxProcessStall = 150 * time.Millisecond
)

// What happens: a server breaks the connection under a booking, which may have run; the gateway repeats it at another, which is
// stuck and never answers. Servers forget the first one's key after a second, so a repeat that is still open then runs a second
// time once that server comes to itself. Why: nothing ended a repeat with the window. What showed it: the second server saw its
// connection close 2.0 s after the first attempt, in ten runs of ten, at half of the aim, which has nothing to do with the
// window. In the drill of TestLeavers, seed 7, the same let a key come again after 3.13 s where servers forget after 3 s, as a way
// that had been cut was healed. Mended in repeat_window.go.
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
		t.Errorf("the repeat is open %v after the first attempt, and servers forget that after %v\n%s", time.Since(firstAttemptAt),
			repeatWindow, p.log())
	}
	c.SetReadDeadline(firstAttemptAt.Add(4 * time.Second))
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "-") {
		t.Errorf("the client was answered %q, %v", answer, err)
	}
}
