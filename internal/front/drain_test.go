package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dewhitch/internal/memory"
	"dewhitch/internal/resp"
)

// drainReadingEndsSoon returns the times of a drain in which the time to accept requests ends in 100 ms.
func drainReadingEndsSoon() drainTimes {
	return newDrainTimes(time.Now().Add(100*time.Millisecond - drainReadTime))
}

// drainPastReading returns the times of a drain in which the time to accept requests has just ended.
func drainPastReading() drainTimes { return newDrainTimes(time.Now().Add(-drainReadTime)) }

// reached reports whether the session is in the given state or a later one.
func (s *session) reached(at state) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.state >= at
}

// readChecker is a connection that counts the bytes that are read after the session stops reading commands and before it closes its
// sending side. Commands in these bytes would be lost.
type readChecker struct {
	*net.TCPConn
	session           atomic.Pointer[session]
	bytesWhileClosing atomic.Int64 // bytes that are read in stateClosing
}

func (checker *readChecker) Read(b []byte) (int, error) {
	s := checker.session.Load()
	closing := s != nil && s.reached(stateClosing) && !s.reached(stateClosed)
	n, err := checker.TCPConn.Read(b)
	if closing {
		checker.bytesWhileClosing.Add(int64(n))
	}
	return n, err
}

// newCheckedPair returns a client's connection, the readChecker at its other end, and the session that serves it. run starts the
// session.
func newCheckedPair(t *testing.T, c Commands) (conn *net.TCPConn, checker *readChecker, s *session, run func()) {
	t.Helper()
	conn, serverConn := connectedPair(t)
	checker = &readChecker{TCPConn: serverConn}
	s = newSession(checker, c, NewBounds(64<<20))
	checker.session.Store(s)
	var running sync.WaitGroup
	t.Cleanup(func() {
		conn.Close()
		running.Wait()
	})
	return conn, checker, s, func() { running.Go(s.run) }
}

// TestNothingIsReadWhileAnswersArePending guards against the loss of commands that a session reads but does not answer while it closes.
// Input that arrives while the last answer is pending must stay unread, so that the client can send it elsewhere. The client then gets
// its answer and an end of the stream without a reset.
func TestNothingIsReadWhileAnswersArePending(t *testing.T) {
	for name, end := range map[string]func(*session){
		"by a drain": func(s *session) { s.drain(drainReadingEndsSoon()) },
		"at the end": (*session).stop,
	} {
		t.Run(name, func(t *testing.T) {
			commands := &delayedCommands{answer: make(chan struct{})}
			c, checker, s, run := newCheckedPair(t, commands)
			run()
			c.Write([]byte(ping))
			eventually(t, "the command was not started", func() bool { return commands.started.Load() == 1 })
			end(s)
			eventually(t, "the session did not stop reading", func() bool { return s.reached(stateClosing) })
			c.Write([]byte(ping + ping))
			// No event shows that nothing is read, so wait until the session has checked for a hang-up a few times.
			time.Sleep(3 * hangUpCheckInterval)
			close(commands.answer)
			if got := readUntilClosed(t, c); got != "+OK\r\n" {
				t.Errorf("got unexpected answers: %q", got)
			}
			if n := checker.bytesWhileClosing.Load(); n > 0 || commands.started.Load() != 1 {
				t.Errorf("%d bytes were read while closing, and %d commands were started, expected 0 and 1", n, commands.started.Load())
			}
		})
	}
}

// TestClientDepartsWhileSessionCloses checks that a departure is reported when the client disconnects while its answer is pending and
// the session reads nothing any more. Otherwise, the request would be attempted although no client waits for it.
func TestClientDepartsWhileSessionCloses(t *testing.T) {
	for name, closeConn := range map[string]func(*net.TCPConn) error{"closes": (*net.TCPConn).Close, "half-closes": (*net.TCPConn).CloseWrite} {
		t.Run(name, func(t *testing.T) {
			commands := &delayedCommands{answer: make(chan struct{})}
			defer close(commands.answer)
			c, _, s, run := newCheckedPair(t, commands)
			run()
			c.Write([]byte(ping))
			eventually(t, "the command was not started", func() bool { return commands.started.Load() == 1 })
			s.drain(drainPastReading())
			eventually(t, "the session did not stop reading", func() bool { return s.reached(stateClosing) })
			c.Write([]byte(ping))
			closeConn(c)
			eventually(t, "the departure of the client was not reported", func() bool { return commands.clientsDeparted.Load() == 1 })
		})
	}
}

// TestDrainWithFullPipeline guards against lost commands when a client sends more commands than a session may hold. When the time to
// read ends, each command that the session has read must be answered, however long it has waited for capacity, and the session must
// read no more.
func TestDrainWithFullPipeline(t *testing.T) {
	commands := &delayedCommands{answer: make(chan struct{})}
	c, checker, s, run := newCheckedPair(t, commands)
	run()
	sent := make(chan int, 1)
	go func() {
		n := 0
		for err := error(nil); err == nil; n++ {
			_, err = c.Write([]byte(ping))
		}
		sent <- n
	}()
	eventually(t, "the pipeline did not fill up", func() bool { return commands.started.Load() == maxPipelined })
	s.drain(drainPastReading())
	close(commands.answer)
	got, err := io.ReadAll(c)
	if n := int64(bytes.Count(got, []byte("+OK\r\n"))); n != commands.started.Load() || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("got %d answers to %d started commands, error %v", n, commands.started.Load(), err)
	}
	if n := commands.started.Load(); n < maxPipelined || n > maxPipelined+readBufferSize/int64(len(ping))+1 {
		t.Errorf("%d commands were started, expected those that had been read", n)
	}
	if n := checker.bytesWhileClosing.Load(); n > 0 {
		t.Errorf("%d bytes were read while closing, expected none", n)
	}
	c.Close()
	<-sent
}

// misalignedConn is a connection on which every read ends within a command, however much its client writes.
type misalignedConn struct {
	*net.TCPConn
	read int // bytes read so far
}

func (conn *misalignedConn) Read(b []byte) (int, error) {
	const tailBytes = 5 // bytes of an incomplete command at the end of each read
	n := len(b) - (conn.read+len(b)-tailBytes)%len(ping)
	if n <= 0 {
		n = len(b)
	}
	n, err := io.ReadFull(conn.TCPConn, b[:n])
	conn.read += n
	return n, err
}

// TestDrainEndsWhileInputIsAlwaysBuffered guards against a drain that waits for an empty read buffer: with this client, the buffer
// always holds a part of the next command.
func TestDrainEndsWhileInputIsAlwaysBuffered(t *testing.T) {
	c, checker, _, _ := newCheckedPair(t, okCommands{})
	s := newSession(&misalignedConn{TCPConn: checker.TCPConn}, okCommands{}, NewBounds(64<<20))
	var running sync.WaitGroup
	running.Go(s.run)
	running.Go(func() {
		for err := error(nil); err == nil; {
			_, err = c.Write([]byte(strings.Repeat(ping, 100)))
		}
	})
	s.drain(drainReadingEndsSoon())
	c.SetReadDeadline(time.Now().Add(drainTimeLimit))
	if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection was still open after %v", drainTimeLimit)
	}
	c.Close()
	running.Wait()
}

// largeCommand returns a command that counts as large.
func largeCommand() []byte {
	return resp.AppendBulk(resp.AppendBulk(resp.AppendArray(nil, 2), "ECHO"), strings.Repeat("x", 2*minLargeCommand))
}

// acquireCommandMemory acquires all memory for large commands, and returns a function that releases it.
func acquireCommandMemory(t *testing.T, s *session) (release func()) {
	t.Helper()
	_, capacity := s.bounds.account.Used(memory.Commands)
	if !s.bounds.account.TryAcquire(memory.Commands, capacity) {
		t.Fatal("the memory for large commands could not be acquired")
	}
	return func() { s.bounds.account.Release(memory.Commands, capacity) }
}

// TestDrainWaitsForLargeCommand checks that a large command that has arrived, and waits for memory when the time to read ends, is
// answered when memory is free, and that the connection then ends.
func TestDrainWaitsForLargeCommand(t *testing.T) {
	commands := &delayedCommands{answer: make(chan struct{})}
	close(commands.answer)
	c, _, s, run := newCheckedPair(t, commands)
	release := acquireCommandMemory(t, s)
	run()
	c.Write(largeCommand())
	eventually(t, "the command was not read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.awaitingCommand && s.commandDeadline.IsZero() && !s.lastReadAt.IsZero() && s.commandsRead == 0
	})
	s.drain(drainPastReading())
	release()
	if got := readUntilClosed(t, c); got != "+OK\r\n" {
		t.Errorf("got unexpected answers: %q", got)
	}
}

// TestDrainSkipsPenalties checks that the pauses after invalid commands do not delay a drain, and that the commands that were read are
// answered.
func TestDrainSkipsPenalties(t *testing.T) {
	commands := &rejectBadCommands{delayedCommands{answer: make(chan struct{})}}
	close(commands.answer)
	c, _, s := newSessionPair(t, commands, false)
	const commandCount = maxFaults - 1
	c.Write([]byte(strings.Repeat("*1\r\n$3\r\nBAD\r\n", commandCount)))
	eventually(t, "no command was rejected", func() bool { return s.faultyCount() > 2 })
	s.drain(drainPastReading())
	startedAt := time.Now()
	got := readUntilClosed(t, c)
	if n := strings.Count(got, "-ERR bad\r\n"); n != commandCount {
		t.Errorf("got %d answers, expected %d: %q", n, commandCount, got)
	}
	// All penalties together take over 5 s. The drain cuts short the current one.
	if elapsed := time.Since(startedAt); elapsed > maxPenalty*commandCount/3 {
		t.Errorf("the drain took %v", elapsed)
	}
}

// TestLateCommandIsRejected checks that a request that was read after the time to accept requests is rejected, as happens if the
// process stalls. A request that was read in time is carried out, even if it has waited since.
func TestLateCommandIsRejected(t *testing.T) {
	for name, c := range map[string]struct {
		times func() drainTimes
		want  string
	}{"read in time": {func() drainTimes { return newDrainTimes(time.Now()) }, "+taken\r\n"}, "read late": {drainPastReading, "-BUSY\r\n"}} {
		t.Run(name, func(t *testing.T) {
			client, buffered, s := newSessionPair(t, acceptOrBusy{}, true)
			client.Write([]byte(ping))
			<-buffered.holding
			s.drain(c.times())
			close(buffered.release)
			if got := readUntilClosed(t, client); got != c.want {
				t.Errorf("got %q, expected %q", got, c.want)
			}
		})
	}
}

// TestDrainReadsArrivingCommand guards against a connection that a drain closes while its client writes a command. The command is read to its
// end and rejected, and is refused if it is incomplete at finishBy.
func TestDrainReadsArrivingCommand(t *testing.T) {
	for name, c := range map[string]struct {
		pieces []string // written after the time to read, 200 ms apart
		want   string
	}{
		"completed": {[]string{ping[3:6], ping[6:9], ping[9:]}, "-LATE\r\n"},
		"left":      {[]string{ping[3:6]}, "-BUSY\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, _, s := newSessionPair(t, rejectLate{}, false)
			client.Write([]byte(ping + ping[:3]))
			r := bufio.NewReader(client)
			if line, err := r.ReadString('\n'); line != "+OK\r\n" {
				t.Fatalf("got answer %q, error %v", line, err)
			}
			eventually(t, "the incomplete command was not read", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.commandBegun && s.commandsRead == 1
			})
			s.drain(drainPastReading())
			startedAt := time.Now()
			for _, piece := range c.pieces {
				time.Sleep(200 * time.Millisecond)
				client.Write([]byte(piece))
			}
			if rest, err := io.ReadAll(r); string(rest) != c.want || err != nil {
				t.Errorf("got %q, error %v, expected %q", rest, err, c.want)
			}
			if took := time.Since(startedAt); drainReadTime+took > drainCloseTime {
				t.Errorf("the connection ended %v after the start of the drain", drainReadTime+took)
			}
		})
	}
}

// rejectLate answers each command with OK, or with LATE if the command must be rejected.
type rejectLate struct{}

func (rejectLate) Do(_ time.Time, _ resp.Command, s *Slot) {
	if s.MustReject() {
		s.Fill(resp.AppendError(nil, "LATE"))
		return
	}
	s.Fill(resp.AppendStatus(nil, "OK"))
}

// acceptOrBusy answers each command with "taken", or with BUSY if the command must be rejected.
type acceptOrBusy struct{}

func (acceptOrBusy) Do(_ time.Time, _ resp.Command, s *Slot) {
	if s.MustReject() {
		s.Fill(resp.AppendError(nil, "BUSY"))
		return
	}
	s.Fill(resp.AppendStatus(nil, "taken"))
}

// TestDrainEndsWhileClientKeepsWriting checks that a connection whose sending side is closed is also closed if its client never
// stops writing.
func TestDrainEndsWhileClientKeepsWriting(t *testing.T) {
	c, _, s, run := newCheckedPair(t, okCommands{})
	run()
	sendAndExpectOK(t, c, ping)
	s.drain(newDrainTimes(time.Now()))
	eventually(t, "the session did not end", func() bool { return s.reached(stateClosed) })
	junk := make([]byte, 64<<10)
	var err error
	for err == nil { // ends when the close resets the connection
		c.SetWriteDeadline(time.Now().Add(drainTimeLimit))
		_, err = c.Write(junk)
	}
	if strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection was still open after %v", drainTimeLimit)
	}
}

// sendAndExpectOK sends a command, fails the test unless the answer is OK, and returns a reader of the rest.
func sendAndExpectOK(t *testing.T, c net.Conn, command string) *bufio.Reader {
	t.Helper()
	c.Write([]byte(command))
	r := bufio.NewReader(c)
	if line, err := r.ReadString('\n'); line != "+OK\r\n" {
		t.Fatalf("got answer %q, error %v", line, err)
	}
	return r
}

// TestDrainDeliversAnswersToLateReader checks that a client that reads its answers only after the drain has started gets all of them.
func TestDrainDeliversAnswersToLateReader(t *testing.T) {
	const size, commands = 60 << 10, 40
	c, checker, s, run := newCheckedPair(t, fixedSizeValues{size})
	checker.SetWriteBuffer(16 << 10)
	run()
	c.Write([]byte(strings.Repeat(ping, commands)))
	eventually(t, "no answer is unsent", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.unsentBytes > 0
	})
	s.drain(drainPastReading())
	got, err := io.Copy(io.Discard, c)
	if want := int64(len(resp.AppendBulk(nil, make([]byte, size)))); got != commands*want || err != nil {
		t.Errorf("got %d bytes of the answers to %d commands, expected %d bytes for each: %v", got, commands, want, err)
	}
}

// fixedSizeValues answers each command with a value of size bytes.
type fixedSizeValues struct{ size int }

func (v fixedSizeValues) Do(_ time.Time, _ resp.Command, s *Slot) {
	s.Fill(resp.AppendBulk(nil, make([]byte, v.size)))
}

// slowValue is a large value that yields one byte for each message on next.
type slowValue struct {
	remaining int // bytes that were not read
	next      chan struct{}
	closed    chan struct{} // closed by Close
	once      sync.Once
}

func (v *slowValue) Read(b []byte) (int, error) {
	if v.remaining == 0 {
		return 0, io.EOF
	}
	select {
	case <-v.next:
		v.remaining--
		b[0] = 'x'
		return 1, nil
	case <-v.closed:
		return 0, net.ErrClosed
	}
}

func (v *slowValue) Close() { v.once.Do(func() { close(v.closed) }) }

// slowValueCommands answers each command with value v.
type slowValueCommands struct{ v *slowValue }

func (c slowValueCommands) Do(_ time.Time, _ resp.Command, s *Slot) {
	s.FillFrom(resp.AppendBulkHeader(nil, c.v.remaining), c.v)
}

// TestDrainDeliversLargeValue checks that a large value whose transfer has started is sent completely during a drain, however slow
// its source is, and that the connection then ends.
func TestDrainDeliversLargeValue(t *testing.T) {
	v := &slowValue{remaining: 3, next: make(chan struct{}), closed: make(chan struct{})}
	c, _, s, run := newCheckedPair(t, slowValueCommands{v})
	run()
	c.Write([]byte(ping))
	v.next <- struct{}{}
	s.drain(drainPastReading())
	eventually(t, "the session did not stop reading", func() bool { return s.reached(stateClosing) })
	v.next <- struct{}{}
	v.next <- struct{}{}
	if got := readUntilClosed(t, c); got != "$3\r\nxxx\r\n" {
		t.Errorf("got unexpected answers: %q", got)
	}
}

// TestDrainAndEvictionTogether checks that an idle connection ends without a reset for each order of eviction, drain and stop.
func TestDrainAndEvictionTogether(t *testing.T) {
	for name, action := range map[string]func(*session){
		"evicted first": func(s *session) { s.evict(); s.drain(newDrainTimes(time.Now())) },
		"drained first": func(s *session) { s.drain(newDrainTimes(time.Now())); s.evict() },
		"stopped first": func(s *session) { s.stop(); s.drain(newDrainTimes(time.Now())) },
		"drained again": func(s *session) { s.drain(newDrainTimes(time.Now())); s.drain(newDrainTimes(time.Now())); s.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			c, _, s, run := newCheckedPair(t, okCommands{})
			run()
			r := sendAndExpectOK(t, c, ping)
			action(s)
			if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
				t.Errorf("got %q, error %v, expected the end of the stream", rest, err)
			}
		})
	}
}
