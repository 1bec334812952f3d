package front

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/resp"
)

// okCommands answers each command with OK immediately, except WAIT, which it never answers.
type okCommands struct{}

func (okCommands) Do(_ time.Time, c resp.Command, s *Slot) {
	if string(c[0]) != "WAIT" {
		s.Fill(resp.AppendStatus(nil, "OK"))
	}
}

// evictionTest holds the state of a test with a server whose MaxIdleSessions is 10.
type evictionTest struct {
	t       *testing.T
	l       net.Listener
	ctx     context.Context // context of the server
	evicted chan int        // receives each client of idleClients whose connection has ended
}

// dial connects a client that sends command, unless it is empty. It waits for the answer to an ECHO.
func (e *evictionTest) dial(command string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", e.l.Addr().String())
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	r := bufio.NewReader(c)
	if command != "" {
		c.Write([]byte("*1\r\n$4\r\n" + command + "\r\n"))
	}
	if command == "ECHO" {
		if line, err := r.ReadString('\n'); line != "+OK\r\n" {
			e.t.Fatalf("got answer %q, error %v, expected OK", line, err)
		}
	}
	return c, r
}

// idleClients connects n clients that send one command each and then stay idle.
func (e *evictionTest) idleClients(n int) {
	for i := range n {
		c, _ := e.dial("ECHO")
		go func() {
			if n, err := c.Read(make([]byte, 1)); n == 0 && err != nil && e.ctx.Err() == nil {
				e.evicted <- i
			}
		}()
	}
}

// sendUntilEvicted makes a client send commands until want idle clients were evicted, and fails the test if the sending client is
// evicted. If the machine stalls, the sending client counts as idle and may be evicted; it then reconnects.
func (e *evictionTest) sendUntilEvicted(busy net.Conn, answers *bufio.Reader, want int) {
	evictedCount := 0
	lastSentAt := time.Now()
	for begin := lastSentAt; time.Since(begin) < 10*time.Second && evictedCount < want; {
		busy.Write([]byte("*1\r\n$4\r\nECHO\r\n"))
		line, err := answers.ReadString('\n')
		if gap := time.Since(lastSentAt); err != nil && gap < evictableAfter {
			e.t.Fatalf("the client that sends commands, the last %v ago, got %q, error %v", gap, line, err)
		} else if err != nil {
			busy, answers = e.dial("ECHO")
		}
		lastSentAt = time.Now()
		select {
		case <-e.evicted:
			evictedCount++
		case <-time.After(5 * time.Millisecond):
		}
	}
	if evictedCount < want {
		e.t.Fatalf("%d of 40 idle clients were evicted", evictedCount)
	}
}

// TestIdleSessionsAreEvicted guards against idle clients that hold connections which other clients need. The longest idle sessions
// above MaxIdleSessions are evicted. A client that keeps sending, one with a pending answer, one in the middle of a command, and
// one that has never sent a command, which has a timeout of its own, keep their connections.
func TestIdleSessionsAreEvicted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	srv := &Server{Listener: l, NewCommands: func() Commands { return okCommands{} }, MaxSessions: 100, MaxIdleSessions: 10, Bounds: NewBounds(64 << 20),
		Log: zap.NewNop()}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ctx) }()
	e := &evictionTest{t: t, l: l, ctx: ctx, evicted: make(chan int, 40)}
	pending, _ := e.dial("WAIT")
	silent, _ := e.dial("")
	slow, _ := e.dial("ECHO")
	slow.Write([]byte("*1\r\n$4\r\nEC"))
	busy, answers := e.dial("ECHO")
	e.idleClients(40)
	// The three clients that send, send slowly or have a pending answer stay, and seven more: 33 of 40 are evicted, and no more.
	e.sendUntilEvicted(busy, answers, 33)
	if len(e.evicted) > 0 {
		t.Errorf("%d clients were evicted in addition to the expected 33", len(e.evicted))
	}
	for name, c := range map[string]net.Conn{"with a pending answer": pending, "that never sent a command": silent, "that sends slowly": slow} {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the client %s: got error %v, expected an open connection", name, err)
		}
	}
	pending.Close() // otherwise, the shutdown would wait for its answer
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
