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

	"golang.org/x/sync/semaphore"

	"dewhitch/internal/resp"
)

// drainReadingEndsSoon are the times of a drain that was called so long ago that taking requests ends in a moment.
func drainReadingEndsSoon() drainTimes {
	return newDrainTimes(time.Now().Add(100*time.Millisecond - drainReadTime))
}

// drainPastReading are those of one of which the time to take requests is over.
func drainPastReading() drainTimes { return newDrainTimes(time.Now().Add(-drainReadTime)) }

func (s *session) reached(at state) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.state >= at
}

// readChecker counts what is read of a connection, and notes reads between the end of reading commands and the shut of the
// sending side: what they got would be lost.
type readChecker struct {
	*net.TCPConn
	session           atomic.Pointer[session]
	bytesWhileClosing atomic.Int64 // bytes
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

// newCheckedPair is a client's connection and a session that has not begun to run, with what sees its reads.
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

// While an answer is owed at the end of a drain, nothing more is read of the client: what it writes stays unread, so that
// it can send it elsewhere. Its answer comes, and then an end that is no reset.
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
			eventually(t, "the command was not taken", func() bool { return commands.started.Load() == 1 })
			end(s)
			eventually(t, "the session goes on reading", func() bool { return s.reached(stateClosing) })
			c.Write([]byte(ping + ping))
			// Nobody would tell that nothing is read: the looks for a client that has gone have passed a few times.
			time.Sleep(3 * hangUpCheckInterval)
			close(commands.answer)
			if got := readUntilClosed(t, c); got != "+OK\r\n" {
				t.Errorf("%q", got)
			}
			if n := checker.bytesWhileClosing.Load(); n > 0 || commands.started.Load() != 1 {
				t.Errorf("%d bytes were read, and %d commands taken", n, commands.started.Load())
			}
		})
	}
}

// A client leaves while it is owed an answer and nothing is read any more: its attempt is given up.
func TestClientDepartsWhileSessionCloses(t *testing.T) {
	for name, closeConn := range map[string]func(*net.TCPConn) error{"closes": (*net.TCPConn).Close, "half-closes": (*net.TCPConn).CloseWrite} {
		t.Run(name, func(t *testing.T) {
			commands := &delayedCommands{answer: make(chan struct{})}
			defer close(commands.answer)
			c, _, s, run := newCheckedPair(t, commands)
			run()
			c.Write([]byte(ping))
			eventually(t, "the command was not taken", func() bool { return commands.started.Load() == 1 })
			s.drain(drainPastReading())
			eventually(t, "the session goes on reading", func() bool { return s.reached(stateClosing) })
			c.Write([]byte(ping))
			closeConn(c)
			eventually(t, "nobody knows that the client has gone", func() bool { return commands.clientsDeparted.Load() == 1 })
		})
	}
}

// A client with more commands on their way than may wait: as the time ends, those that were read are answered, all of them,
// and no more are read, however long the others had to wait for room.
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
	eventually(t, "the pipeline is not full", func() bool { return commands.started.Load() == maxPipelined })
	s.drain(drainPastReading())
	close(commands.answer)
	got, err := io.ReadAll(c)
	if n := int64(bytes.Count(got, []byte("+OK\r\n"))); n != commands.started.Load() || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("%d answers to %d commands, %v", n, commands.started.Load(), err)
	}
	if n := commands.started.Load(); n < maxPipelined || n > maxPipelined+readBufferSize/int64(len(ping))+1 {
		t.Errorf("%d commands were taken: not those that had been read", n)
	}
	if n := checker.bytesWhileClosing.Load(); n > 0 {
		t.Errorf("%d bytes were read and dropped", n)
	}
	c.Close()
	<-sent
}

// misalignedConn is a connection of which no read ends between two commands, however much its client writes.
type misalignedConn struct {
	*net.TCPConn
	read int
}

func (conn *misalignedConn) Read(b []byte) (int, error) {
	const tailBytes = 5 // bytes of a command, beyond the whole ones
	n := len(b) - (conn.read+len(b)-tailBytes)%len(ping)
	if n <= 0 {
		n = len(b)
	}
	n, err := io.ReadFull(conn.TCPConn, b[:n])
	conn.read += n
	return n, err
}

// The reader always has a part of the next command: no moment comes at which nothing is read ahead.
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
	c.SetReadDeadline(time.Now().Add(drainTerm))
	if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still held after %v", drainTerm)
	}
	c.Close()
	running.Wait()
}

// largeCommand is one that needs a place among the large commands in hand.
func largeCommand() []byte {
	return resp.AppendBulk(resp.AppendBulk(resp.AppendArray(nil, 2), "ECHO"), strings.Repeat("x", 2*minLargeCommand))
}

// A large command was read, and waits for memory as the time ends: it is answered once there is some, and the connection
// ends.
func TestDrainWaitsForLargeCommand(t *testing.T) {
	commands := &delayedCommands{answer: make(chan struct{})}
	close(commands.answer)
	c, _, s, run := newCheckedPair(t, commands)
	s.bounds.largeCommands = semaphore.NewWeighted(4 * minLargeCommand)
	if !s.bounds.largeCommands.TryAcquire(4 * minLargeCommand) {
		t.Fatal("no memory to take")
	}
	run()
	c.Write(largeCommand())
	eventually(t, "the command is not read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.awaitingCommand && s.commandDeadline.IsZero() && !s.lastReadAt.IsZero() && s.commandsRead == 0
	})
	s.drain(drainPastReading())
	s.bounds.largeCommands.Release(4 * minLargeCommand)
	if got := readUntilClosed(t, c); got != "+OK\r\n" {
		t.Errorf("%q", got)
	}
}

// A client that sent what can't be used waits out no penalty once the gateway drains: what was read is answered.
func TestDrainSkipsPenalties(t *testing.T) {
	commands := &rejectBadCommands{delayedCommands{answer: make(chan struct{})}}
	close(commands.answer)
	c, _, s := newSessionPair(t, commands, false)
	const commandCount = maxFaults - 1
	c.Write([]byte(strings.Repeat("*1\r\n$3\r\nBAD\r\n", commandCount)))
	eventually(t, "nothing was rejected", func() bool { return s.faultyCount() > 2 })
	s.drain(drainPastReading())
	startedAt := time.Now()
	got := readUntilClosed(t, c)
	if n := strings.Count(got, "-ERR bad\r\n"); n != commandCount {
		t.Errorf("%d of %d commands were answered: %q", n, commandCount, got)
	}
	// The penalties together are over 5 s; one that had begun goes on for a moment at most.
	if elapsed := time.Since(startedAt); elapsed > maxPenalty*commandCount/3 {
		t.Errorf("it took %v", elapsed)
	}
}

// A command that was read although its time was over, as by a process that stood still, is refused and not carried out; one
// that was read in time is not, though it has waited since.
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
				t.Errorf("%q, not %q", got, c.want)
			}
		})
	}
}

// acceptOrBusy answers whether it must reject.
type acceptOrBusy struct{}

func (acceptOrBusy) Do(_ time.Time, _ resp.Command, s *Slot) {
	if s.MustReject() {
		s.Fill(resp.AppendError(nil, "BUSY"))
		return
	}
	s.Fill(resp.AppendStatus(nil, "taken"))
}

// After its sending side was shut, a connection is closed in time though its client goes on writing.
func TestDrainEndsWhileClientKeepsWriting(t *testing.T) {
	c, _, s, run := newCheckedPair(t, okCommands{})
	run()
	sendAndExpectOK(t, c, ping)
	s.drain(newDrainTimes(time.Now()))
	eventually(t, "the session does not end", func() bool { return s.reached(stateClosed) })
	junk := make([]byte, 64<<10)
	var err error
	for err == nil { // until the close resets the connection
		c.SetWriteDeadline(time.Now().Add(drainTerm))
		_, err = c.Write(junk)
	}
	if strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection is held for %v and more", drainTerm)
	}
}

func sendAndExpectOK(t *testing.T, c net.Conn, command string) *bufio.Reader {
	t.Helper()
	c.Write([]byte(command))
	r := bufio.NewReader(c)
	if line, err := r.ReadString('\n'); line != "+OK\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
	return r
}

// A client that has not read its answers yet gets all of them, though the gateway has nothing more to say to it.
func TestDrainDeliversAnswersToLateReader(t *testing.T) {
	const size, commands = 60 << 10, 40
	c, checker, s, run := newCheckedPair(t, fixedSizeValues{size})
	checker.SetWriteBuffer(16 << 10)
	run()
	c.Write([]byte(strings.Repeat(ping, commands)))
	eventually(t, "no answer waits to be read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.unsentBytes > 0
	})
	s.drain(drainPastReading())
	got, err := io.Copy(io.Discard, c)
	if want := int64(len(resp.AppendBulk(nil, make([]byte, size)))); got != commands*want || err != nil {
		t.Errorf("%d bytes came, of %d commands that had been read, %d bytes each: %v", got, commands, want, err)
	}
}

// fixedSizeValues answers each command with a value of that size.
type fixedSizeValues struct{ size int }

func (v fixedSizeValues) Do(_ time.Time, _ resp.Command, s *Slot) {
	s.Fill(resp.AppendBulk(nil, make([]byte, v.size)))
}

// slowValue is a large value that comes a byte at a time, each when the test says so.
type slowValue struct {
	remaining int
	next      chan struct{}
	closed    chan struct{}
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

type slowValueCommands struct{ v *slowValue }

func (d slowValueCommands) Do(_ time.Time, _ resp.Command, s *Slot) {
	s.FillFrom(resp.AppendBulkHeader(nil, d.v.remaining), d.v)
}

// A large value that was begun before the end of a drain goes out whole, however slowly it comes; then the connection ends.
func TestDrainDeliversLargeValue(t *testing.T) {
	v := &slowValue{remaining: 3, next: make(chan struct{}), closed: make(chan struct{})}
	c, _, s, run := newCheckedPair(t, slowValueCommands{v})
	run()
	c.Write([]byte(ping))
	v.next <- struct{}{}
	s.drain(drainPastReading())
	eventually(t, "the session goes on reading", func() bool { return s.reached(stateClosing) })
	v.next <- struct{}{}
	v.next <- struct{}{}
	if got := readUntilClosed(t, c); got != "$3\r\nxxx\r\n" {
		t.Errorf("%q", got)
	}
}

// Idle connections that are ended to make room for others, and a drain that comes meanwhile: it ends all the same.
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
				t.Errorf("%q, %v", rest, err)
			}
		})
	}
}
