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

// The term of a drain, as operators state it: so long after the call no client connection may be open that is idle or
// whose last request came within the recent past.
const (
	drainTerm        = 4 * time.Second
	recentRequestAge = 2 * time.Second
)

// evacuate begins a drain and returns when the call was made.
func evacuate(t *testing.T, env *environment) time.Time {
	t.Helper()
	calledAt := time.Now()
	if answer := adminCall(t, env.adminAddr, "evacuate"); answer != "YES" {
		t.Fatalf("evacuate: %q", answer)
	}
	return calledAt
}

// waitUntil waits for a moment of the schedule that a test plays. A machine that is late by over a second would break the term
// that the gateway is held to, as it is one of real time.
func waitUntil(at time.Time) { time.Sleep(time.Until(at)) }

// queryWithLongDeadline is a request that the settings let wait for a minute.
func queryWithLongDeadline(id string) []byte {
	return encode("SVC.QUERY 00000000b4d65521 " + id + " c=lookup,t=wide,d=60000,units=1,spread=2,first=0")
}

// dial opens a client connection to the gateway.
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

// nextBackendCommand takes the next connection to a backend and the command on it, which it leaves unanswered.
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
		env.t.Fatal("no request reached a server")
		return nil
	}
}

// serve answers the command at hand.
func (c *peerConn) serve(value string) {
	fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// expectClosedBy fails the test unless the gateway ends the connection, with nothing said before, by that time.
func (c *peerConn) expectClosedBy(t *testing.T, deadline time.Time) {
	t.Helper()
	c.SetReadDeadline(deadline)
	rest, err := io.ReadAll(c.r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still held %v after the call", drainTerm)
	} else if err != nil && !strings.Contains(err.Error(), "reset") || len(rest) > 0 {
		t.Errorf("%q came, and %v", rest, err)
	}
}

// A request waits for a hanging server when the gateway is drained. It is answered more than 2 s into the drain, and its
// client writes the next at that moment: that one is not taken, as it would be out, and recent, at the end of the term.
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
		t.Fatalf("the request that was taken before the drain: %v\n%s", err, p.log())
	}
	c.Write(queryWithLongDeadline("q2"))
	c.expectClosedBy(t, drainedAt.Add(drainTerm))
}

// A client always has its next commands on their way, so that the gateway always has some of them read ahead.
func TestDrainEndsUnderAPipeline(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.start("serve")
	c := env.dial()
	go func() {
		// The first command has an odd length and all others 16 bytes, so that what fills a buffer never ends with one.
		c.Write([]byte("*01\r\n$4\r\nPING\r\n"))
		for pings := []byte(strings.Repeat("*01\r\n$04\r\nPING\r\n", 300)); ; {
			if _, err := c.Write(pings); err != nil {
				return
			}
		}
	}()
	drainedAt := evacuate(t, env)
	c.SetReadDeadline(drainedAt.Add(drainTerm))
	if _, err := io.Copy(io.Discard, c.r); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still held %v after the call", drainTerm)
	}
}

// Half a command, and one that comes byte by byte: neither keeps the connection beyond the term.
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
			c.expectClosedBy(t, drainedAt.Add(drainTerm))
		})
	}
}

// A client that sends what can't be used, one command after another, is made to wait between them; not beyond the term.
func TestDrainEndsWithinAPenalty(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.start("serve")
	c := env.dial()
	c.Write([]byte(strings.Repeat("*1\r\n$3\r\nBAD\r\n", 14)))
	drainedAt := evacuate(t, env)
	c.SetReadDeadline(drainedAt.Add(drainTerm))
	answers, err := io.ReadAll(c.r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still held %v after the call", drainTerm)
	}
	if n := strings.Count(string(answers), "-ERR unknown command"); n != 14 {
		t.Errorf("%d of the 14 commands, which had been read, were answered", n)
	}
}

// Connections that come at the call and after it: one that says nothing, and one that says half a command.
func TestDrainEndsNewConnections(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.start("serve")
	drainedAt := evacuate(t, env)
	silent, half := env.dial(), env.dial()
	half.Write([]byte("*1\r\n$4\r\nPI"))
	silent.expectClosedBy(t, drainedAt.Add(drainTerm))
	half.expectClosedBy(t, drainedAt.Add(drainTerm))
}

// After the time for taking requests, one that comes on a new connection is refused at once: it has not run.
func TestDrainRejectsLateRequests(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.start("serve")
	drainedAt := evacuate(t, env)
	waitUntil(drainedAt.Add(recentRequestAge))
	late := env.dial()
	late.Write(queryWithLongDeadline("q1"))
	late.SetReadDeadline(drainedAt.Add(drainTerm))
	if answer, err := io.ReadAll(late.r); err != nil || string(answer) != "-BUSY\r\n" {
		t.Errorf("%q, %v", answer, err)
	}
	if got := adminCall(t, env.adminAddr, "telemetry"); !strings.Contains(got, `"lookup":{"success":0,"overload":1,"error":0,"dispatches":0}`) {
		t.Errorf("%s", got)
	}
	if answer := adminCall(t, env.adminAddr, "activate"); answer != "YES" {
		t.Fatalf("activate: %q", answer)
	}
	again := env.dial()
	again.Write(queryWithLongDeadline("q2"))
	env.nextBackendCommand().serve("two")
	if err := expect(again.r, []byte("$3\r\ntwo\r\n")); err != nil {
		t.Errorf("after the drain: %v", err)
	}
}

// A request that was taken before the drain waits for a server that hangs, for longer than the term. Its client goes on writing on
// the connection: at the end of the term that may not be open with a request of the last 2 s, read or not. One whose client
// writes nothing more keeps its connection until it is answered.
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
	writing.SetReadDeadline(drainedAt.Add(drainTerm))
	answers, err := io.ReadAll(writing.r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection is still held %v after the call, with a request of 1.5 s before\n%s", drainTerm, p.log())
	}
	if got := string(answers); strings.Count(got, "\r\n") != 1 || got[0] != '-' {
		t.Errorf("%q came, and %v", got, err)
	}
	waitUntil(drainedAt.Add(drainTerm + 500*time.Millisecond))
	server.serve("two")
	if err := expect(waitingOnly.r, []byte("$3\r\ntwo\r\n")); err != nil {
		t.Errorf("the request whose client waits: %v", err)
	}
}
