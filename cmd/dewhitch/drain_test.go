package main_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// Operators' limits on a drain: drainTimeLimit after the call, no client connection may be open that is idle or whose last
// request is younger than recentRequestAge.
const (
	drainTimeLimit   = 4 * time.Second
	recentRequestAge = 2 * time.Second
)

// evacuate starts a drain and returns the time of the call.
func evacuate(t *testing.T, env *environment) time.Time {
	t.Helper()
	calledAt := time.Now()
	if answer := adminCall(t, env.adminAddr, "evacuate"); answer != "YES" {
		t.Fatalf("evacuate is answered %q, expected YES", answer)
	}
	return calledAt
}

// waitUntil sleeps until a time of the test's schedule. The time limit of a drain is real time, so tests fail on a machine that
// wakes them more than a second late.
func waitUntil(at time.Time) { time.Sleep(time.Until(at)) }

// queryWithLongDeadline returns an encoded request with a deadline of a minute, which the settings allow.
func queryWithLongDeadline(id string) []byte {
	return encode("SVC.QUERY 00000000b4d65521 " + id + " c=lookup,t=wide,d=60000,units=1,spread=2,first=0")
}

// dial opens a client connection to the gateway, which is closed at the end of the test.
func (env *environment) dial() *peerConn {
	env.t.Helper()
	conn, err := net.DialTimeout("tcp", env.listenAddr, waitLimit)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitLimit))
	return &peerConn{conn, bufio.NewReader(conn)}
}

// nextBackendCommand accepts the next connection to a backend, reads a command from it and leaves that unanswered.
func (env *environment) nextBackendCommand() *peerConn {
	env.t.Helper()
	select {
	case conn := <-env.backends.conns:
		env.t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(waitLimit))
		p := &peerConn{conn, bufio.NewReader(conn)}
		if _, err := readCommand(p.r); err != nil {
			env.t.Fatal(err)
		}
		return p
	case <-time.After(waitLimit):
		env.t.Fatal("no request reached a server within 20 s")
		return nil
	}
}

// serve answers the command that was read last.
func (c *peerConn) serve(value string) {
	fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// expectClosedBy fails the test unless the gateway closes the connection by the deadline without writing to it.
func (c *peerConn) expectClosedBy(t *testing.T, deadline time.Time) {
	t.Helper()
	c.expectLastAnswerBy(t, deadline, "")
}

// expectLastAnswerBy fails the test unless the gateway closes the connection by the deadline after it has written last and nothing else.
func (c *peerConn) expectLastAnswerBy(t *testing.T, deadline time.Time, last string) {
	t.Helper()
	c.SetReadDeadline(deadline)
	rest, err := io.ReadAll(c.r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still open %v after the start of the drain", drainTimeLimit)
	} else if err != nil && !strings.Contains(err.Error(), "reset") || string(rest) != last {
		t.Errorf("got %q and %v, expected %q and the end of the connection", rest, err, last)
	}
}

// TestDrainEndsBehindAHangingServer guards against a request that is taken too late in a drain. A request waits for a hanging
// server when the gateway is drained, and is answered more than 2 s into the drain. The client then writes the next request: the
// gateway must not take it, as it would still be in flight, and recent, at the time limit.
func TestDrainEndsBehindAHangingServer(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	p := env.start("serve")
	c := env.dial()
	c.Write(queryWithLongDeadline("q1"))
	server := env.nextBackendCommand()
	drainedAt := evacuate(t, env)
	waitUntil(drainedAt.Add(recentRequestAge + 100*time.Millisecond))
	server.serve("one")
	if err := expect(c.r, []byte("$3\r\none\r\n")); err != nil {
		t.Fatalf("the request that was taken before the drain was not served: %v\n%s", err, p.log())
	}
	c.Write(queryWithLongDeadline("q2"))
	c.expectClosedBy(t, drainedAt.Add(drainTimeLimit))
}

// TestDrainEndsUnderAPipeline guards against a drain that never ends because the gateway always has commands in its read buffer:
// the client writes them without a pause.
func TestDrainEndsUnderAPipeline(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.start("serve")
	c := env.dial()
	go func() {
		// The first command has an odd length and all others have 16 bytes, so that a full buffer never ends with a complete
		// command.
		c.Write([]byte("*01\r\n$4\r\nPING\r\n"))
		for pings := []byte(strings.Repeat("*01\r\n$04\r\nPING\r\n", 300)); ; {
			if _, err := c.Write(pings); err != nil {
				return
			}
		}
	}()
	drainedAt := evacuate(t, env)
	c.SetReadDeadline(drainedAt.Add(drainTimeLimit))
	if _, err := io.Copy(io.Discard, c.r); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still open %v after the start of the drain", drainTimeLimit)
	}
}

// TestDrainEndsWithinACommand guards against connections that stay open beyond the time limit because a command is incomplete: the
// client stops in the middle of it, or goes on byte by byte. The command is refused, as its client could complete it at any time.
func TestDrainEndsWithinACommand(t *testing.T) {
	t.Parallel()
	for name, interval := range map[string]time.Duration{"left": time.Hour, "trickled": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			env.start("serve")
			c := env.dial()
			c.Write([]byte("*2\r\n$4\r\nPING\r\n$9000\r\n"))
			drainedAt := evacuate(t, env)
			done := make(chan struct{})
			defer close(done)
			go func() {
				tick := time.NewTicker(interval)
				defer tick.Stop()
				for {
					select {
					case <-tick.C:
						c.Write([]byte("x"))
					case <-done:
						return
					}
				}
			}()
			c.expectLastAnswerBy(t, drainedAt.Add(drainTimeLimit), "-BUSY\r\n")
		})
	}
}

// TestDrainEndsWithinAPenalty guards against connections that stay open beyond the time limit because of the delay between the
// answers to invalid commands.
func TestDrainEndsWithinAPenalty(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.start("serve")
	c := env.dial()
	c.Write([]byte(strings.Repeat("*1\r\n$3\r\nBAD\r\n", 14)))
	drainedAt := evacuate(t, env)
	c.SetReadDeadline(drainedAt.Add(drainTimeLimit))
	answers, err := io.ReadAll(c.r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still open %v after the start of the drain", drainTimeLimit)
	}
	if n := strings.Count(string(answers), "-ERR unknown command"); n != 14 {
		t.Errorf("%d of the 14 commands were answered, expected all, as they had been read", n)
	}
}

// TestDrainEndsNewConnections guards against connections that stay open beyond the time limit because they were opened after the
// start of the drain: one sends nothing, the other half a command, which is refused.
func TestDrainEndsNewConnections(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.start("serve")
	drainedAt := evacuate(t, env)
	silent, half := env.dial(), env.dial()
	half.Write([]byte("*1\r\n$4\r\nPI"))
	silent.expectClosedBy(t, drainedAt.Add(drainTimeLimit))
	half.expectLastAnswerBy(t, drainedAt.Add(drainTimeLimit), "-BUSY\r\n")
}

// TestDrainRejectsLateRequests guards against requests on new connections that are sent to a server late in a drain. After the
// time for taking requests they are refused immediately, without an attempt, and requests are served again after the drain.
func TestDrainRejectsLateRequests(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.start("serve")
	drainedAt := evacuate(t, env)
	waitUntil(drainedAt.Add(recentRequestAge))
	late := env.dial()
	late.Write(queryWithLongDeadline("q1"))
	late.SetReadDeadline(drainedAt.Add(drainTimeLimit))
	if answer, err := io.ReadAll(late.r); err != nil || string(answer) != "-BUSY\r\n" {
		t.Errorf("got %q, %v; expected -BUSY and the end of the connection", answer, err)
	}
	if got := adminCall(t, env.adminAddr, "telemetry"); !strings.Contains(got, `"lookup":{"success":0,"overload":1,"error":0,"dispatches":0}`) {
		t.Errorf("telemetry: got %s, expected one overload and no dispatch", got)
	}
	if answer := adminCall(t, env.adminAddr, "activate"); answer != "YES" {
		t.Fatalf("activate is answered %q, expected YES", answer)
	}
	again := env.dial()
	again.Write(queryWithLongDeadline("q2"))
	env.nextBackendCommand().serve("two")
	if err := expect(again.r, []byte("$3\r\ntwo\r\n")); err != nil {
		t.Errorf("a request after the drain was not served: %v", err)
	}
}

// TestDrainEndsUnderAClientThatWritesBehindAHangingServer guards against connections that are open at the time limit with a
// request of the last 2 s, whether the gateway has read it or not. A request that was taken before the drain waits for a hanging
// server for longer than the time limit, and its client writes another. A client that writes nothing more keeps its connection
// until its request is answered.
func TestDrainEndsUnderAClientThatWritesBehindAHangingServer(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	p := env.start("serve")
	writing, waitingOnly := env.dial(), env.dial()
	writing.Write(queryWithLongDeadline("q1"))
	env.nextBackendCommand()
	waitingOnly.Write(queryWithLongDeadline("q2"))
	server := env.nextBackendCommand()
	drainedAt := evacuate(t, env)
	waitUntil(drainedAt.Add(recentRequestAge + 500*time.Millisecond))
	writing.Write(queryWithLongDeadline("q3"))
	writing.SetReadDeadline(drainedAt.Add(drainTimeLimit))
	answers, err := io.ReadAll(writing.r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection is open %v after the start of the drain, with a request sent 1.5 s earlier\n%s", drainTimeLimit, p.log())
	}
	if got := string(answers); strings.Count(got, "\r\n") != 1 || got[0] != '-' {
		t.Errorf("got %q and %v, expected one error answer", got, err)
	}
	waitUntil(drainedAt.Add(drainTimeLimit + 500*time.Millisecond))
	server.serve("two")
	if err := expect(waitingOnly.r, []byte("$3\r\ntwo\r\n")); err != nil {
		t.Errorf("the request of the client that only waits was not served: %v", err)
	}
}
