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
	drainTerm     = 4 * time.Second
	recentRequest = 2 * time.Second
)

// evacuate begins a drain and returns when the call was made.
func evacuate(t *testing.T, w *environment) time.Time {
	t.Helper()
	called := time.Now()
	if answer := adminCall(t, w.admin, "evacuate"); answer != "YES" {
		t.Fatalf("evacuate: %q", answer)
	}
	return called
}

// waitUntil waits for a moment of the schedule that a test plays. A machine that is late by over a second would break the term
// that the gateway is held to, as it is one of real time.
func waitUntil(at time.Time) { time.Sleep(time.Until(at)) }

// patientQuery is a request that the settings let wait for a minute.
func patientQuery(id string) []byte {
	return encode("SVC.QUERY 00000000b4d65521 " + id + " c=lookup,t=wide,d=60000,units=1,spread=2,first=0")
}

// dial opens a client connection to the gateway.
func (w *environment) dial() *party {
	w.t.Helper()
	conn, err := net.DialTimeout("tcp", w.listen, patience)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return &party{conn, bufio.NewReader(conn)}
}

// hangingServer takes the next connection to a backend and the command on it, which it leaves unanswered.
func (w *environment) hangingServer() *party {
	w.t.Helper()
	select {
	case conn := <-w.backends.conns:
		w.t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patience))
		p := &party{conn, bufio.NewReader(conn)}
		if _, err := readCommand(p.r); err != nil {
			w.t.Fatal(err)
		}
		return p
	case <-time.After(patience):
		w.t.Fatal("no request reached a server")
		return nil
	}
}

// serve answers the command at hand.
func (p *party) serve(value string) {
	fmt.Fprintf(p, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// endsBy fails the test unless the gateway ends the connection, with nothing said before, by that time.
func (p *party) endsBy(t *testing.T, at time.Time) {
	t.Helper()
	p.SetReadDeadline(at)
	rest, err := io.ReadAll(p.r)
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
	w := newEnvironment(t)
	p := w.start("serve")
	c := w.dial()
	c.Write(patientQuery("q1"))
	server := w.hangingServer()
	called := evacuate(t, w)
	waitUntil(called.Add(recentRequest + 100*time.Millisecond))
	server.serve("one")
	if err := expect(c.r, []byte("$3\r\none\r\n")); err != nil {
		t.Fatalf("the request that was taken before the drain: %v\n%s", err, p.log())
	}
	c.Write(patientQuery("q2"))
	c.endsBy(t, called.Add(drainTerm))
}

// A client always has its next commands on their way, so that the gateway always has some of them read ahead.
func TestDrainEndsUnderAPipeline(t *testing.T) {
	t.Parallel()
	w := newEnvironment(t)
	w.start("serve")
	c := w.dial()
	go func() {
		// The first command has an odd length and all others 16 bytes, so that what fills a buffer never ends with one.
		c.Write([]byte("*01\r\n$4\r\nPING\r\n"))
		for pings := []byte(strings.Repeat("*01\r\n$04\r\nPING\r\n", 300)); ; {
			if _, err := c.Write(pings); err != nil {
				return
			}
		}
	}()
	called := evacuate(t, w)
	c.SetReadDeadline(called.Add(drainTerm))
	if _, err := io.Copy(io.Discard, c.r); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still held %v after the call", drainTerm)
	}
}

// Half a command, and one that comes byte by byte: neither keeps the connection beyond the term.
func TestDrainEndsWithinACommand(t *testing.T) {
	t.Parallel()
	for name, every := range map[string]time.Duration{"left": time.Hour, "trickled": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newEnvironment(t)
			w.start("serve")
			c := w.dial()
			c.Write([]byte("*2\r\n$4\r\nPING\r\n$9000\r\n"))
			called := evacuate(t, w)
			over := make(chan struct{})
			defer close(over)
			go func() {
				tick := time.NewTicker(every)
				defer tick.Stop()
				for {
					select {
					case <-tick.C:
						c.Write([]byte("x"))
					case <-over:
						return
					}
				}
			}()
			c.endsBy(t, called.Add(drainTerm))
		})
	}
}

// A client that sends what can't be used, one command after another, is made to wait between them; not beyond the term.
func TestDrainEndsWithinAPenalty(t *testing.T) {
	t.Parallel()
	w := newEnvironment(t)
	w.start("serve")
	c := w.dial()
	c.Write([]byte(strings.Repeat("*1\r\n$3\r\nBAD\r\n", 14)))
	called := evacuate(t, w)
	c.SetReadDeadline(called.Add(drainTerm))
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
	w := newEnvironment(t)
	w.start("serve")
	called := evacuate(t, w)
	silent, half := w.dial(), w.dial()
	half.Write([]byte("*1\r\n$4\r\nPI"))
	silent.endsBy(t, called.Add(drainTerm))
	half.endsBy(t, called.Add(drainTerm))
}

// After the time for taking requests, one that comes on a new connection is refused at once: it has not run.
func TestDrainRejectsLateRequests(t *testing.T) {
	t.Parallel()
	w := newEnvironment(t)
	w.start("serve")
	called := evacuate(t, w)
	waitUntil(called.Add(recentRequest))
	late := w.dial()
	late.Write(patientQuery("q1"))
	late.SetReadDeadline(called.Add(drainTerm))
	if answer, err := io.ReadAll(late.r); err != nil || string(answer) != "-BUSY\r\n" {
		t.Errorf("%q, %v", answer, err)
	}
	if got := adminCall(t, w.admin, "telemetry"); !strings.Contains(got, `"lookup":{"success":0,"overload":1,"error":0,"dispatches":0}`) {
		t.Errorf("%s", got)
	}
	if answer := adminCall(t, w.admin, "activate"); answer != "YES" {
		t.Fatalf("activate: %q", answer)
	}
	again := w.dial()
	again.Write(patientQuery("q2"))
	w.hangingServer().serve("two")
	if err := expect(again.r, []byte("$3\r\ntwo\r\n")); err != nil {
		t.Errorf("after the drain: %v", err)
	}
}

// A request that was taken before the drain waits for a server that hangs, for longer than the term. Its client goes on writing on
// the connection: at the end of the term that may not be open with a request of the last 2 s, read or not. One whose client
// writes nothing more keeps its connection until it is answered.
func TestDrainEndsUnderAClientThatWritesBehindAHangingServer(t *testing.T) {
	t.Parallel()
	w := newEnvironment(t)
	p := w.start("serve")
	writes, waits := w.dial(), w.dial()
	writes.Write(patientQuery("q1"))
	w.hangingServer()
	waits.Write(patientQuery("q2"))
	server := w.hangingServer()
	called := evacuate(t, w)
	waitUntil(called.Add(recentRequest + 500*time.Millisecond))
	writes.Write(patientQuery("q3"))
	writes.SetReadDeadline(called.Add(drainTerm))
	answers, err := io.ReadAll(writes.r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection is still held %v after the call, with a request of 1.5 s before\n%s", drainTerm, p.log())
	}
	if got := string(answers); strings.Count(got, "\r\n") != 1 || got[0] != '-' {
		t.Errorf("%q came, and %v", got, err)
	}
	waitUntil(called.Add(drainTerm + 500*time.Millisecond))
	server.serve("two")
	if err := expect(waits.r, []byte("$3\r\ntwo\r\n")); err != nil {
		t.Errorf("the request whose client waits: %v", err)
	}
}
