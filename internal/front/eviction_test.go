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

// echo answers each command at once, but for WAIT, which it never answers.
type echo struct{}

func (echo) Do(_ time.Time, c resp.Command, s *Slot) {
	if string(c[0]) != "WAIT" {
		s.Fill(resp.AppendStatus(nil, "OK"))
	}
}

// Of clients that ask once and keep their connections, the longest idle lose theirs beyond the number to keep; one that
// asks again and again, and one that is owed an answer, keep theirs, and so does one that never asked: it has its own time.
func TestIdleSessionsEndBeyondThoseToKeep(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	f := &Server{Listener: l, Open: func() Commands { return echo{} }, Sessions: 100, KeepIdle: 10, Bounds: NewBounds(64 << 20),
		Log: zap.NewNop()}
	over := make(chan error, 1)
	go func() { over <- f.Serve(ctx) }()
	dial := func(word string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		r := bufio.NewReader(c)
		if word != "" {
			c.Write([]byte("*1\r\n$4\r\n" + word + "\r\n"))
		}
		if word == "ECHO" {
			if line, err := r.ReadString('\n'); line != "+OK\r\n" {
				t.Fatalf("%q, %v", line, err)
			}
		}
		return c, r
	}
	waits, _ := dial("WAIT")
	silent, _ := dial("")
	slow, _ := dial("ECHO") // it has asked, and is in the midst of asking again
	slow.Write([]byte("*1\r\n$4\r\nEC"))
	busy, answers := dial("ECHO")
	ended := make(chan int, 40)
	for i := range 40 {
		c, _ := dial("ECHO")
		go func() {
			if n, err := c.Read(make([]byte, 1)); n == 0 && err != nil && ctx.Err() == nil {
				ended <- i
			}
		}()
	}
	// Three that ask, are slow at it or are owed, and seven more, are kept: 33 end, and no more do in a while of asking.
	seen := 0
	asked := time.Now()
	for begin := asked; time.Since(begin) < 10*time.Second && seen < 33; {
		busy.Write([]byte("*1\r\n$4\r\nECHO\r\n"))
		line, err := answers.ReadString('\n')
		if gap := time.Since(asked); err != nil && gap < evictableAfter {
			t.Fatalf("the busy one, which asked %v ago: %q, %v", gap, line, err)
		} else if err != nil { // a machine that stands still has made it an idle one
			busy, answers = dial("ECHO")
		}
		asked = time.Now()
		select {
		case <-ended:
			seen++
		case <-time.After(5 * time.Millisecond):
		}
	}
	if seen < 33 {
		t.Fatalf("%d of 40 ended", seen)
	}
	if len(ended) > 0 {
		t.Errorf("%d more than 33 ended", len(ended))
	}
	for name, c := range map[string]net.Conn{"that is owed an answer": waits, "that never asked": silent, "that is slow": slow} {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the one %s: %v", name, err)
		}
	}
	waits.Close() // or the end waits for its answer
	stop()
	if err := <-over; err != nil {
		t.Error(err)
	}
}
