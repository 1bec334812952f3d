package main_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
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
func evacuate(t *testing.T, w *world) time.Time {
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
func (w *world) dial() *party {
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
func (w *world) hangingServer() *party {
	w.t.Helper()
	select {
	case conn := <-w.backends.conns:
		w.t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patience))
		p := &party{conn, bufio.NewReader(conn)}
		if _, err := readWords(p.r); err != nil {
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
	w := newWorld(t)
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
	w := newWorld(t)
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
			w := newWorld(t)
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
	w := newWorld(t)
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
	w := newWorld(t)
	w.start("serve")
	called := evacuate(t, w)
	silent, half := w.dial(), w.dial()
	half.Write([]byte("*1\r\n$4\r\nPI"))
	silent.endsBy(t, called.Add(drainTerm))
	half.endsBy(t, called.Add(drainTerm))
}

// After the time for taking requests, one that comes on a new connection is refused at once: it has not run.
func TestDrainRefusesLateRequests(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
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

// A drained planner leaves the registry, so that forwarders send their clients' commands elsewhere, and comes back with the
// end of the drain.
func TestDrainedPlannerLeavesTheRegistry(t *testing.T) {
	t.Parallel()
	z := newZookeeper(t)
	w := newWorld(t)
	w.registry = z.Addr()
	p := w.start("serve")
	const node = "/dewhitch/planners/gateway-0"
	registered := func(want bool) func() bool { return func() bool { return (z.Owner(node) != 0) == want } }
	if !eventually(registered(true)) {
		t.Fatalf("never registered\n%s", p.log())
	}
	evacuate(t, w)
	if !eventually(registered(false)) {
		t.Error("still registered while drained")
	}
	if answer := adminCall(t, w.admin, "activate"); answer != "YES" {
		t.Fatalf("activate: %q", answer)
	}
	if !eventually(registered(true)) {
		t.Errorf("not registered after the drain\n%s", p.log())
	}
}

// The process stands still from before the end of taking requests until after it. What a client wrote meanwhile is not sent
// on: it is refused or left unread.
func TestDrainOfAProcessThatStandsStill(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	p := w.start("serve")
	c := w.dial()
	c.Write(patientQuery("q1"))
	server := w.hangingServer()
	called := evacuate(t, w)
	waitUntil(called.Add(time.Second))
	p.cmd.Process.Signal(syscall.SIGSTOP)
	waitUntil(called.Add(recentRequest + 100*time.Millisecond))
	c.Write(patientQuery("q2"))
	p.cmd.Process.Signal(syscall.SIGCONT)
	waitUntil(called.Add(recentRequest + 500*time.Millisecond))
	server.serve("one")
	c.SetReadDeadline(called.Add(drainTerm))
	got, err := io.ReadAll(c.r)
	if text := string(got); err != nil || text != "$3\r\none\r\n" && text != "$3\r\none\r\n-BUSY\r\n" {
		t.Errorf("%q, %v", got, err)
	}
	if got := adminCall(t, w.admin, "telemetry"); !strings.Contains(got, `"dispatches":1,"concurrent":0`) {
		t.Errorf("%s", got)
	}
}

// A drain that comes twice, over a reload, over a broken configuration, and after its own end: an idle connection ends at
// once each time, and one whose request is out gets its answer, and ends.
func TestDrainBesideOtherCalls(t *testing.T) {
	t.Parallel()
	for name, calls := range map[string]func(t *testing.T, w *world, p *process) (called time.Time){
		"twice": func(t *testing.T, w *world, _ *process) time.Time {
			called := evacuate(t, w)
			evacuate(t, w)
			return called
		},
		"during a reload": func(t *testing.T, w *world, p *process) time.Time {
			p.cmd.Process.Signal(syscall.SIGHUP)
			called := evacuate(t, w)
			p.cmd.Process.Signal(syscall.SIGHUP)
			return called
		},
		"over a broken configuration": func(t *testing.T, w *world, p *process) time.Time {
			os.WriteFile(p.config, []byte(`{"name"`), 0o600)
			p.cmd.Process.Signal(syscall.SIGHUP)
			return evacuate(t, w)
		},
		"after its end": func(t *testing.T, w *world, _ *process) time.Time {
			evacuate(t, w)
			if answer := adminCall(t, w.admin, "activate"); answer != "YES" {
				t.Errorf("activate: %q", answer)
			}
			return evacuate(t, w)
		},
		"at SIGTERM": func(t *testing.T, w *world, p *process) time.Time {
			p.cmd.Process.Signal(syscall.SIGTERM)
			return evacuate(t, w)
		},
		"before SIGTERM": func(t *testing.T, w *world, p *process) time.Time {
			called := evacuate(t, w)
			p.cmd.Process.Signal(syscall.SIGTERM)
			return called
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			p := w.start("serve")
			owed, idle := w.dial(), w.dial()
			owed.Write(patientQuery("q1"))
			server := w.hangingServer()
			idle.Write([]byte("*1\r\n$4\r\nPING\r\n"))
			if err := expect(idle.r, []byte("+PONG\r\n")); err != nil {
				t.Fatal(err)
			}
			called := calls(t, w, p)
			idle.endsBy(t, called.Add(drainTerm))
			server.serve("one")
			if err := expect(owed.r, []byte("$3\r\none\r\n")); err != nil {
				t.Errorf("the request that was out: %v", err)
			}
			owed.endsBy(t, called.Add(drainTerm))
		})
	}
}

// Bad input during a drain gets the answers that it gets at any time: at the operators' address within a second, though
// others hold its connections, and of clients within the 3 s that are allowed to bad ones.
func TestBadInputDuringADrain(t *testing.T) {
	t.Parallel()
	const dueAdmin, dueClient = time.Second, 3 * time.Second
	w := newWorld(t)
	w.start("serve")
	evacuate(t, w)
	for range 40 { // more than the address has places
		conn, err := net.Dial("tcp", w.admin)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprint(conn, "activ")
	}
	for line, want := range map[string]string{
		"evacuate now":           "NO evacuate takes no argument",
		"evacuat":                `NO unknown call "evacuat"`,
		"":                       "NO empty call",
		"act\x00ivate":           "NO control characters in the call",
		strings.Repeat("x", 400): "NO line too long",
		"include s-ffffffff":     "NO no server of this id was ever listed",
		"readyz":                 "NO not ready",
		"evacuate":               "YES",
	} {
		began := time.Now()
		if got := adminCall(t, w.admin, line); got != want {
			t.Errorf("%.20q: %q, not %q", line, got, want)
		}
		if took := time.Since(began); took > dueAdmin {
			t.Errorf("%.20q was answered after %v", line, took)
		}
	}
	for says, want := range map[string]string{
		"PING\r\n":                             "-ERR protocol error: a command is an array\r\n",
		"*1\r\n$x\r\n":                         "-ERR protocol error: bad number \"x\"\r\n",
		"*99\r\n":                              "-ERR protocol error: length 99, 16 at most\r\n",
		"*1\r\n$4\r\nNONE\r\n":                 "-ERR unknown command \"NONE\"\r\n",
		"*2\r\n$9\r\nSVC.QUERY\r\n$1\r\nx\r\n": "-ERR wrong number of arguments\r\n",
		"*1\r\n$4\r\nPING\r\n*1\r\n$":          "-ERR draining\r\n",
		"\r\n":                                 "-ERR protocol error: a command is an array\r\n",
	} {
		c := w.dial()
		io.WriteString(c, says)
		c.SetReadDeadline(time.Now().Add(dueClient))
		if got, err := io.ReadAll(c.r); err != nil || string(got) != want {
			t.Errorf("%q: %q, %v, not %q", says, got, err, want)
		}
	}
}

// A request that was taken before the drain waits for a server that hangs, for longer than the term. Its client goes on writing on
// the connection: at the end of the term that may not be open with a request of the last 2 s, read or not. One whose client
// writes nothing more keeps its connection until it is answered.
func TestDrainEndsUnderAClientThatWritesBehindAHangingServer(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
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
