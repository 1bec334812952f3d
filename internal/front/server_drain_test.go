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
	l := &counting{listener(t), make(chan struct{}, 8)}
	ready := make(chan struct{})
	f := &Server{Listener: l, MaxSessions: 4, Ready: ready}
	servingCommands(t, f, func() Commands { return refusable{} })
	waiting := client(t, l, ping)
	f.Drain(true)
	if got := answers(t, waiting); got != "-BUSY\r\n" {
		t.Errorf("while it is not ready: %q", got)
	}
	<-l.given
	f.Drain(false)
	held := client(t, l, ping)
	f.mu.Lock()
	sessions := len(f.sessions)
	f.mu.Unlock()
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
	l := &counting{listener(t), make(chan struct{}, 8)}
	f := &Server{Listener: l, MaxSessions: 1}
	serving(t, f)
	first := client(t, l, "*1\r\n$4\r\nWAIT\r\n")
	<-l.given
	second := client(t, l, ping)
	<-l.given
	f.Drain(true)
	if got := answers(t, second); got != "+OK\r\n" {
		t.Errorf("%q", got)
	}
	first.Close()
}

// The drain ends while connections are ending: they end, new ones stay, and a drain that follows ends those too.
func TestDrainEndsAndBeginsAgain(t *testing.T) {
	l := listener(t)
	f := &Server{Listener: l, MaxSessions: 8}
	d := &slow{answer: make(chan struct{})}
	servingCommands(t, f, func() Commands { return d })
	owed := client(t, l, ping)
	eventually(t, "the command was not taken", func() bool { return d.started.Load() == 1 })
	f.Drain(true)
	f.Drain(false)
	next := client(t, l, ping)
	eventually(t, "the command was not taken", func() bool { return d.started.Load() == 2 })
	close(d.answer)
	if got := answers(t, owed); got != "+OK\r\n" {
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
	f.Drain(true)
	if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
		t.Errorf("of the second drain: %q, %v", rest, err)
	}
}

// drainBy drains a server by given times.
func drainBy(f *Server, d drainTimes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drain = &d
}

// Connections that come during a drain: each ends, and what it said whole is answered.
func TestConnectionsThatComeDuringADrain(t *testing.T) {
	early := newDrainTimes(time.Now().Add(patience)) // its time to take requests does not end while the test goes on
	for name, c := range map[string]struct {
		times      drainTimes
		says, want string
	}{
		"silent":                  {early, "", ""},
		"whole":                   {early, ping, "+taken\r\n"},
		"half a command":          {newDrainTimes(time.Now()), ping[:9], ""},
		"late and silent":         {drainIsLate(), "", ""},
		"late and whole":          {drainIsLate(), ping, "-BUSY\r\n"},
		"late and half a command": {drainIsLate(), ping[:9], ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listener(t)
			f := &Server{Listener: l, MaxSessions: 8}
			servingCommands(t, f, func() Commands { return refusable{} })
			drainBy(f, c.times)
			if got := answers(t, client(t, l, c.says)); got != c.want {
				t.Errorf("%q, not %q", got, c.want)
			}
		})
	}
}

// Twenty connections in each of the states that a client can hold one in, ended at once by a drain: none is left.
func TestDrainClosesAllConnections(t *testing.T) {
	l := listener(t)
	f := &Server{Listener: l, MaxSessions: 200}
	servingCommands(t, f, func() Commands { return refusable{} })
	var conns []net.Conn
	for i := range 60 {
		conns = append(conns, client(t, l, []string{"", ping, ping[:5]}[i%3]))
	}
	eventually(t, "not all are taken in", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		taken := 0
		for s := range f.sessions {
			s.mu.Lock()
			taken += s.commandsRead
			s.mu.Unlock()
		}
		return len(f.sessions) == len(conns) && taken == len(conns)/3
	})
	f.Drain(true)
	for i, c := range conns {
		if got := answers(t, c); i%3 == 1 && got != "+taken\r\n" || i%3 != 1 && got != "" {
			t.Errorf("connection %d: %q", i, got)
		}
	}
	eventually(t, "connections are left", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.sessions) == 0
	})
}
