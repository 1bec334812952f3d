package front

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// Connections stand in the system's queue as the gateway is drained before it is ready: they are accepted, get a rejection, and
// ended. A drain that ends before readiness has new ones wait again.
func TestDrainBeforeReadiness(t *testing.T) {
	ln := &notifyingListener{listen(t), make(chan struct{}, 8)}
	ready := make(chan struct{})
	srv := &Server{Listener: ln, MaxSessions: 4, Ready: ready}
	startServerWith(t, srv, func() Commands { return acceptOrBusy{} })
	waiting := dialClient(t, ln, ping)
	srv.Drain(true)
	if got := readUntilClosed(t, waiting); got != "-BUSY\r\n" {
		t.Errorf("while it is not ready: %q", got)
	}
	<-ln.accepted
	srv.Drain(false)
	held := dialClient(t, ln, ping)
	srv.mu.Lock()
	sessions := len(srv.sessions)
	srv.mu.Unlock()
	if sessions > 1 { // the one that ended may still be leaving
		t.Errorf("%d sessions before readiness", sessions)
	}
	close(ready)
	if line, err := bufio.NewReader(held).ReadString('\n'); line != "+taken\r\n" {
		t.Errorf("once it is ready: %q, %v", line, err)
	}
	held.Close()
}

// All places are taken by sessions that are owed answers as the gateway is drained: a connection that waits for a place is
// served without one, and ended.
func TestNoPlaceDuringADrain(t *testing.T) {
	ln := &notifyingListener{listen(t), make(chan struct{}, 8)}
	srv := &Server{Listener: ln, MaxSessions: 1}
	startServer(t, srv)
	first := dialClient(t, ln, "*1\r\n$4\r\nWAIT\r\n")
	<-ln.accepted
	second := dialClient(t, ln, ping)
	<-ln.accepted
	srv.Drain(true)
	if got := readUntilClosed(t, second); got != "+OK\r\n" {
		t.Errorf("%q", got)
	}
	first.Close()
}

// The drain ends while connections are ending: they end, new ones stay, and a drain that follows ends those too.
func TestDrainEndsAndBeginsAgain(t *testing.T) {
	ln := listen(t)
	srv := &Server{Listener: ln, MaxSessions: 8}
	commands := &delayedCommands{answer: make(chan struct{})}
	startServerWith(t, srv, func() Commands { return commands })
	pending := dialClient(t, ln, ping)
	eventually(t, "the command was not taken", func() bool { return commands.started.Load() == 1 })
	srv.Drain(true)
	srv.Drain(false)
	next := dialClient(t, ln, ping)
	eventually(t, "the command was not taken", func() bool { return commands.started.Load() == 2 })
	close(commands.answer)
	if got := readUntilClosed(t, pending); got != "+OK\r\n" {
		t.Errorf("of the drain: %q", got)
	}
	r := bufio.NewReader(next)
	for i := range 3 {
		if line, err := r.ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("after the drain, command %d: %q, %v", i, line, err)
		}
		if i < 2 {
			next.Write([]byte(ping))
		}
	}
	srv.Drain(true)
	if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
		t.Errorf("of the second drain: %q, %v", rest, err)
	}
}

// drainBy drains a server by given times.
func drainBy(srv *Server, times drainTimes) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.drain = &times
}

// Connections that come during a drain: each ends, and what it said whole is answered.
func TestConnectionsAcceptedDuringADrain(t *testing.T) {
	early := newDrainTimes(time.Now().Add(testTimeout)) // its time to take requests does not end while the test goes on
	for name, c := range map[string]struct {
		times       drainTimes
		input, want string
	}{
		"silent":                  {early, "", ""},
		"whole":                   {early, ping, "+taken\r\n"},
		"half a command":          {newDrainTimes(time.Now()), ping[:9], ""},
		"late and silent":         {drainPastReading(), "", ""},
		"late and whole":          {drainPastReading(), ping, "-BUSY\r\n"},
		"late and half a command": {drainPastReading(), ping[:9], ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := listen(t)
			srv := &Server{Listener: ln, MaxSessions: 8}
			startServerWith(t, srv, func() Commands { return acceptOrBusy{} })
			drainBy(srv, c.times)
			if got := readUntilClosed(t, dialClient(t, ln, c.input)); got != c.want {
				t.Errorf("%q, not %q", got, c.want)
			}
		})
	}
}

// Twenty connections in each of the states that a client can hold one in, ended at once by a drain: none is left.
func TestDrainClosesAllConnections(t *testing.T) {
	ln := listen(t)
	srv := &Server{Listener: ln, MaxSessions: 200}
	startServerWith(t, srv, func() Commands { return acceptOrBusy{} })
	var conns []net.Conn
	for i := range 60 {
		conns = append(conns, dialClient(t, ln, []string{"", ping, ping[:5]}[i%3]))
	}
	eventually(t, "not all are taken in", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		commandsRead := 0
		for s := range srv.sessions {
			s.mu.Lock()
			commandsRead += s.commandsRead
			s.mu.Unlock()
		}
		return len(srv.sessions) == len(conns) && commandsRead == len(conns)/3
	})
	srv.Drain(true)
	for i, c := range conns {
		if got := readUntilClosed(t, c); i%3 == 1 && got != "+taken\r\n" || i%3 != 1 && got != "" {
			t.Errorf("connection %d: %q", i, got)
		}
	}
	eventually(t, "connections are left", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return len(srv.sessions) == 0
	})
}
