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

// okCommands answers each command at once, but for WAIT, which it never answers.
type okCommands struct{}

func (okCommands) Do(_ time.Time, c resp.Command, s *Slot) {
	if string(c[0]) != "WAIT" {
		s.Fill(resp.AppendStatus(nil, "OK"))
	}
}

// evictionTest is a server of KeepIdle 10 that evicts, and its clients.
type evictionTest struct {
	t     *testing.T
	l     net.Listener
	ctx   context.Context // of the server
	ended chan int        // clients of idleClients whose connection has ended
}

// dial connects a client, which sends a command, or none, and reads the answer to an ECHO.
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
			e.t.Fatalf("%q, %v", line, err)
		}
	}
	return c, r
}

// idleClients connects clients that send one command each.
func (e *evictionTest) idleClients(n int) {
	for i := range n {
		c, _ := e.dial("ECHO")
		go func() {
			if n, err := c.Read(make([]byte, 1)); n == 0 && err != nil && e.ctx.Err() == nil {
				e.ended <- i
			}
		}()
	}
}

// sendUntilEnded has a client send one command after another until so many others have ended, and fails if it is ended while it
// does. A machine that stands still makes it an idle one: then it connects again.
func (e *evictionTest) sendUntilEnded(busy net.Conn, answers *bufio.Reader, want int) {
	endedCount := 0
	lastSentAt := time.Now()
	for begin := lastSentAt; time.Since(begin) < 10*time.Second && endedCount < want; {
		busy.Write([]byte("*1\r\n$4\r\nECHO\r\n"))
		line, err := answers.ReadString('\n')
		if gap := time.Since(lastSentAt); err != nil && gap < evictableAfter {
			e.t.Fatalf("the busy one, which asked %v ago: %q, %v", gap, line, err)
		} else if err != nil {
			busy, answers = e.dial("ECHO")
		}
		lastSentAt = time.Now()
		select {
		case <-e.ended:
			endedCount++
		case <-time.After(5 * time.Millisecond):
		}
	}
	if endedCount < want {
		e.t.Fatalf("%d of 40 ended", endedCount)
	}
}

// Of clients that send one command and keep their connections, the longest idle lose theirs beyond KeepIdle. One that sends again
// and again, one that is owed an answer, and one in the middle of a command keep theirs, and so does one that never sent any: it
// has its own time.
func TestIdleSessionsBeyondKeepIdleAreEvicted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	srv := &Server{Listener: l, NewCommands: func() Commands { return okCommands{} }, MaxSessions: 100, MaxIdleSessions: 10, Bounds: NewBounds(64 << 20),
		Log: zap.NewNop()}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ctx) }()
	e := &evictionTest{t: t, l: l, ctx: ctx, ended: make(chan int, 40)}
	pending, _ := e.dial("WAIT")
	silent, _ := e.dial("")
	slow, _ := e.dial("ECHO")
	slow.Write([]byte("*1\r\n$4\r\nEC"))
	busy, answers := e.dial("ECHO")
	e.idleClients(40)
	// Three that send, are slow at it or are owed, and seven more, are kept: 33 end, and no more do in a while of sending.
	e.sendUntilEnded(busy, answers, 33)
	if len(e.ended) > 0 {
		t.Errorf("%d more than 33 ended", len(e.ended))
	}
	for name, c := range map[string]net.Conn{"that is owed an answer": pending, "that never asked": silent, "that is slow": slow} {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the one %s: %v", name, err)
		}
	}
	pending.Close() // or the end waits for its answer
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
