package front

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestDrainBeforeReadiness checks that connections in the queue of the system are accepted, rejected and closed if the gateway is
// drained before it is ready. After the drain, new connections wait for readiness again.
func TestDrainBeforeReadiness(t *testing.T) {
	ln := &notifyingListener{listen(t), make(chan struct{}, 8)}
	ready := make(chan struct{})
	srv := &Server{Listener: ln, MaxSessions: 4, Ready: ready}
	startServerWith(t, srv, func() Commands { return acceptOrBusy{} })
	waiting := dialClient(t, ln, ping)
	srv.Drain(true)
	if got := readUntilClosed(t, waiting); got != "-BUSY\r\n" {
		t.Errorf("before readiness: got unexpected answers %q", got)
	}
	<-ln.accepted
	srv.Drain(false)
	held := dialClient(t, ln, ping)
	srv.mu.Lock()
	sessions := len(srv.sessions)
	srv.mu.Unlock()
	if sessions > 1 { // the session that ended may not be removed yet
		t.Errorf("%d sessions before readiness, expected at most 1", sessions)
	}
	close(ready)
	if line, err := bufio.NewReader(held).ReadString('\n'); line != "+taken\r\n" {
		t.Errorf("after readiness: got answer %q, error %v", line, err)
	}
	held.Close()
}

// TestNoPlaceDuringADrain checks that a connection that waits for a place during a drain is served without one, and closed, if
// sessions with pending answers hold all places.
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
		t.Errorf("got unexpected answers: %q", got)
	}
	first.Close()
}

// TestDrainEndsAndBeginsAgain checks that connections that are closing when a drain ends still close, that new connections stay
// open, and that the next drain closes these too.
func TestDrainEndsAndBeginsAgain(t *testing.T) {
	ln := listen(t)
	srv := &Server{Listener: ln, MaxSessions: 8}
	commands := &delayedCommands{answer: make(chan struct{})}
	startServerWith(t, srv, func() Commands { return commands })
	pending := dialClient(t, ln, ping)
	eventually(t, "the command was not started", func() bool { return commands.started.Load() == 1 })
	srv.Drain(true)
	srv.Drain(false)
	next := dialClient(t, ln, ping)
	eventually(t, "the command was not started", func() bool { return commands.started.Load() == 2 })
	close(commands.answer)
	if got := readUntilClosed(t, pending); got != "+OK\r\n" {
		t.Errorf("first drain: got unexpected answers %q", got)
	}
	r := bufio.NewReader(next)
	for i := range 3 {
		if line, err := r.ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("after the drain, command %d: got answer %q, error %v", i, line, err)
		}
		if i < 2 {
			next.Write([]byte(ping))
		}
	}
	srv.Drain(true)
	if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
		t.Errorf("second drain: got %q, error %v, expected the end of the stream", rest, err)
	}
}

// drainBy sets the drain of a server to the given times, for connections that are accepted later.
func drainBy(srv *Server, times drainTimes) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.drain = &times
}

// TestConnectionsAcceptedDuringADrain checks that each connection that is accepted during a drain is closed after its complete commands
// are answered, and an incomplete one is refused.
func TestConnectionsAcceptedDuringADrain(t *testing.T) {
	early := newDrainTimes(time.Now().Add(testTimeout)) // its time to read does not end during the test
	for name, c := range map[string]struct {
		times       drainTimes
		input, want string
	}{
		"silent":                  {early, "", ""},
		"whole":                   {early, ping, "+taken\r\n"},
		"half a command":          {newDrainTimes(time.Now()), ping[:9], "-BUSY\r\n"},
		"late and silent":         {drainPastReading(), "", ""},
		"late and whole":          {drainPastReading(), ping, "-BUSY\r\n"},
		"late and half a command": {drainPastReading(), ping[:9], "-BUSY\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := listen(t)
			srv := &Server{Listener: ln, MaxSessions: 8}
			startServerWith(t, srv, func() Commands { return acceptOrBusy{} })
			drainBy(srv, c.times)
			if got := readUntilClosed(t, dialClient(t, ln, c.input)); got != c.want {
				t.Errorf("got %q, expected %q", got, c.want)
			}
		})
	}
}

// TestDrainClosesAllConnections checks that a drain closes all connections: twenty each that have sent nothing, a complete command
// and an incomplete one.
func TestDrainClosesAllConnections(t *testing.T) {
	ln := listen(t)
	srv := &Server{Listener: ln, MaxSessions: 200}
	startServerWith(t, srv, func() Commands { return acceptOrBusy{} })
	var conns []net.Conn
	for i := range 60 {
		conns = append(conns, dialClient(t, ln, []string{"", ping, ping[:5]}[i%3]))
	}
	eventually(t, "not all connections were accepted, or not all commands were read", func() bool {
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
		if got, want := readUntilClosed(t, c), []string{"", "+taken\r\n", "-BUSY\r\n"}[i%3]; got != want {
			t.Errorf("connection %d: got %q, expected %q", i, got, want)
		}
	}
	eventually(t, "some sessions did not end", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return len(srv.sessions) == 0
	})
}
