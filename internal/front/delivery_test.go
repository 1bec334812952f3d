package front

import (
	"bytes"
	"io"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

// slowReadersBuffer is the size in bytes of what the system of a client that reads slowly holds unread.
const slowReadersBuffer = 8 << 10

// dialSlowReader connects to a listener. The client's system holds slowReadersBuffer bytes that the client has not read.
func dialSlowReader(t *testing.T, l net.Listener) *net.TCPConn {
	t.Helper()
	dialer := net.Dialer{Control: sockets.ControlBuffers(slowReadersBuffer, 0)}
	c, err := dialer.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn)
}

// newSlowReader returns a client that reads slowly, and the running session that carries out its commands.
func newSlowReader(t *testing.T, commands Commands) (*net.TCPConn, *session) {
	t.Helper()
	ln := listen(t)
	defer ln.Close()
	c := dialSlowReader(t, ln)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	sockets.LimitBuffers(conn, 0, 2*slowReadersBuffer)
	s := newSession(conn, commands, NewBounds(64<<20))
	var running sync.WaitGroup
	running.Go(s.run)
	t.Cleanup(func() {
		c.Close()
		running.Wait()
	})
	return c, s
}

// readUntilWritten reads a client's connection slowly, until its session has written all answers.
func readUntilWritten(t *testing.T, c net.Conn, s *session) (received []byte) {
	t.Helper()
	for written := false; !written; {
		b := make([]byte, 1<<10)
		n, err := c.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		received = append(received, b[:n]...)
		time.Sleep(2 * maxSendPoll) // the session goes on writing
		s.mu.Lock()
		written = s.hasNoPendingAnswers()
		s.mu.Unlock()
	}
	return received
}

// TestAnswerIsDeliveredBeforeTheClose guards against an answer that is cut off because its session ends while a part of it is still in
// the gateway's system: the client reads it late, and goes on sending, which resets a closed connection (review/7).
func TestAnswerIsDeliveredBeforeTheClose(t *testing.T) {
	const size = 60 << 10
	want := resp.AppendBulk(nil, make([]byte, size))
	for name, c := range map[string]struct {
		end   func(*session)
		sends bool // the client goes on sending
	}{
		"at the end":      {(*session).stop, true},
		"by a drain":      {startDrain, true},
		"for room":        {(*session).evict, true},
		"by a late drain": {func(s *session) { s.drain(newDrainTimes(time.Now().Add(-drainCloseTime))) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, s := newSlowReader(t, fixedSizeValues{size})
			client.Write([]byte(ping))
			received := readUntilWritten(t, client, s)
			c.end(s)
			eventually(t, "the session did not end", func() bool { return s.reached(stateClosed) })
			time.Sleep(2 * maxDiscardTime)
			if c.sends {
				client.Write([]byte(ping))
			}
			rest, err := io.ReadAll(client)
			if got := append(received, rest...); !bytes.Equal(got, want) {
				t.Errorf("got %d bytes of an answer of %d, the last %d after the end; %v", len(got), len(want), len(rest), err)
			}
			if len(rest) <= slowReadersBuffer {
				t.Errorf("%d bytes were unread at the end, expected more than the client's system holds", len(rest))
			}
		})
	}
}

// cutValueCommands answers ECHO with a value of size bytes, and any other command with a longer value that is cut off after size bytes.
type cutValueCommands struct{ size int }

func (c cutValueCommands) Do(_ time.Time, cmd resp.Command, s *Slot) {
	if string(cmd[0]) == "ECHO" {
		s.Fill(resp.AppendBulk(nil, make([]byte, c.size)))
		return
	}
	s.FillFrom(resp.AppendBulkHeader(nil, 2*c.size), &cutValue{remaining: c.size})
}

// cutValue is a value that fails after remaining bytes.
type cutValue struct{ remaining int }

func (v *cutValue) Read(b []byte) (int, error) {
	if v.remaining == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(b), v.remaining)
	v.remaining -= n
	return n, nil
}

func (v *cutValue) Close() {}

// TestAnswersBeforeACutValueAreDelivered guards against whole answers that are lost because the value behind them is incomplete: their
// client reads them late and goes on sending, which resets a closed connection.
func TestAnswersBeforeACutValueAreDelivered(t *testing.T) {
	const size = 8 << 10 / 3 // three of these are more than the client's system holds, and less than both ends do
	client, s := newSlowReader(t, cutValueCommands{size})
	client.Write([]byte("*1\r\n$4\r\nECHO\r\n" + "*1\r\n$4\r\nECHO\r\n" + ping))
	eventually(t, "the session did not end", func() bool { return s.reached(stateClosed) })
	time.Sleep(2 * maxDiscardTime)
	client.Write([]byte(ping))
	answer := resp.AppendBulk(nil, make([]byte, size))
	want := 2*len(answer) + len(resp.AppendBulkHeader(nil, 2*size)) + size
	if got, err := io.ReadAll(client); len(got) != want || err != nil {
		t.Errorf("got %d bytes and %v, expected two answers and a part of a value, %d bytes, and the end of the stream", len(got), err, want)
	}
}

// TestStalledDeliveryFreesItsPlace checks that clients whose sessions have ended, and that read nothing of their answers, hold the places
// of a full gateway for little longer than crowdStallTime.
func TestStalledDeliveryFreesItsPlace(t *testing.T) {
	const places, size = 2, 8 << 10 // more than the system of a client holds, and less than both ends do
	ln := listen(t)
	srv := &Server{Listener: ln, MaxSessions: places}
	startServerWith(t, srv, func() Commands { return fixedSizeValues{size} })
	for range places {
		dialSlowReader(t, ln).Write([]byte(ping + "~\r\n")) // ends with an error
	}
	eventually(t, "not all sessions have ended", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		closed := 0
		for s := range srv.sessions {
			if s.reached(stateClosed) {
				closed++
			}
		}
		return closed == places
	})
	startedAt := time.Now()
	if _, err := dialClient(t, ln, ping).Read(make([]byte, 1)); err != nil {
		t.Error(err)
	}
	if took := time.Since(startedAt); took < crowdStallTime/2 || took > 2*crowdStallTime {
		t.Errorf("a client had to wait for a place for %v, expected about %v", took, crowdStallTime)
	}
}

// TestMayClose checks how long the delivery of answers keeps a connection open.
func TestMayClose(t *testing.T) {
	start := time.Now()
	nothing := obligation{}
	receiving := obligation{undelivered: 1, stalled: sendTimeout - 1}
	stalled := obligation{undelivered: 1, stalled: sendTimeout}
	open := func(*lifecycle) {}
	drained := func(l *lifecycle) { l.drain(newDrainTimes(start.Add(-time.Second)), time.Time{}) }
	for name, c := range map[string]struct {
		before   func(*lifecycle)
		owed     obligation
		received bool
		want     time.Duration // from the end of writing until the connection may be closed
	}{
		"nothing is owed":                {open, nothing, true, maxDiscardTime},
		"the client stalls":              {open, stalled, true, maxDiscardTime},
		"the client receives":            {open, receiving, true, maxDeliveryTime},
		"drained, nothing is owed":       {drained, nothing, true, maxDiscardTime},
		"drained, the client receives":   {drained, receiving, false, maxDeliveryTime},
		"drained, the client also sends": {drained, receiving, true, drainCloseTime - time.Second},
		"shut down":                      {func(l *lifecycle) { l.shutDownBy(start.Add(time.Second)) }, receiving, true, time.Second - closeMargin},
		"shut down soon":                 {func(l *lifecycle) { l.shutDownBy(start) }, nothing, true, minDiscardTime},
	} {
		t.Run(name, func(t *testing.T) {
			var l lifecycle
			c.before(&l)
			l.stopReading()
			l.closeWrite(start)
			if l.mayClose(start.Add(c.want-1), c.owed, c.received) {
				t.Errorf("the connection may be closed before %v", c.want)
			}
			if !l.mayClose(start.Add(c.want), c.owed, c.received) {
				t.Errorf("the connection may not be closed after %v", c.want)
			}
		})
	}
}

// TestDelivery checks when a client's system counts as receiving.
func TestDelivery(t *testing.T) {
	start := time.Now()
	d := delivery{unsent: math.MaxInt}
	for i, step := range []struct {
		unsent int
		want   time.Duration
	}{{100, 0}, {100, time.Second}, {120, 2 * time.Second}, {119, 0}, {119, time.Second}, {0, 0}, {0, 0}} {
		now := start.Add(time.Duration(i) * time.Second)
		d.observe(step.unsent, now)
		if got := d.stalled(now); got != step.want {
			t.Errorf("step %d: stalled for %v, expected %v", i, got, step.want)
		}
	}
}
