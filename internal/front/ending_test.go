package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is the time after which a wait in a test fails.
const testTimeout = 20 * time.Second

// ping is an encoded command.
const ping = "*1\r\n$4\r\nPING\r\n"

// bufferedConn is the server's end of a connection, and holds back bytes that it has read: these bytes are no longer in the
// system's buffers, and have not reached the session.
type bufferedConn struct {
	*net.TCPConn
	holding chan int      // receives the number of bytes that were read and are held back
	release chan struct{} // closed when bytes are no longer held back
}

func (c *bufferedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		select {
		case c.holding <- n:
		case <-c.release:
		}
		<-c.release
	}
	return n, err
}

// delayedCommands answers each command with OK after a message on answer, and counts started commands and departed clients.
type delayedCommands struct {
	answer          chan struct{} // each message permits one answer; closing it permits all
	started         atomic.Int64
	clientsDeparted atomic.Int64
}

func (c *delayedCommands) Do(_ time.Time, _ resp.Command, s *Slot) {
	c.started.Add(1)
	s.OnClientDeparted(func() { c.clientsDeparted.Add(1) })
	go func() {
		<-c.answer
		s.Fill(resp.AppendStatus(nil, "OK"))
	}()
}

// connectedPair returns both ends of a connection. The client's end is closed at the end of the test.
func connectedPair(t *testing.T) (clientConn, serverConn *net.TCPConn) {
	t.Helper()
	l := listen(t)
	defer l.Close()
	clientConn = dialClient(t, l, "").(*net.TCPConn)
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return clientConn, conn.(*net.TCPConn)
}

// newSessionPair returns a client's connection, the server's end of it, and the running session. If hold is true, the server's end
// holds back input until its release channel is closed.
func newSessionPair(t *testing.T, c Commands, hold bool) (*net.TCPConn, *bufferedConn, *session) {
	t.Helper()
	client, serverConn := connectedPair(t)
	buffered := &bufferedConn{serverConn, make(chan int), make(chan struct{})}
	if !hold {
		close(buffered.release)
	}
	s := newSession(buffered, c, NewBounds(64<<20))
	var running sync.WaitGroup
	running.Go(s.run)
	t.Cleanup(func() {
		client.Close()
		running.Wait()
	})
	return client, buffered, s
}

// eventually waits until a condition holds, and fails the test with a message after testTimeout.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// readUntilClosed returns everything that the server sends until it closes the connection. It fails the test if the connection is
// reset.
func readUntilClosed(t *testing.T, c net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("read %q, then error %v", text, err)
	}
	return string(text)
}

func startDrain(s *session) { s.drain(newDrainTimes(time.Now())) }

// TestCommandReadBeforeTheEndIsServed guards against the loss of a command when its session is evicted, stopped or drained while the
// command has been read from the system's buffers, but has not reached the session.
func TestCommandReadBeforeTheEndIsServed(t *testing.T) {
	for name, end := range map[string]func(*session){"for room": (*session).evict, "at the end": (*session).stop,
		"by a drain": startDrain} {
		t.Run(name, func(t *testing.T) {
			c, buffered, s := newSessionPair(t, okCommands{}, true)
			c.Write([]byte(ping))
			<-buffered.holding
			end(s)
			close(buffered.release)
			r := bufio.NewReader(c)
			if line, err := r.ReadString('\n'); line != "+OK\r\n" {
				t.Errorf("got answer %q, error %v, expected OK", line, err)
			}
		})
	}
}

// TestStoppedSessionReadsNoMoreCommands checks that a session of a gateway that shuts down answers the commands that have arrived
// and then ends, even if its client goes on sending and always has pending answers.
func TestStoppedSessionReadsNoMoreCommands(t *testing.T) {
	commands := &delayedCommands{answer: make(chan struct{})}
	c, _, s := newSessionPair(t, commands, false)
	c.Write([]byte(ping + ping))
	eventually(t, "the commands were not started", func() bool { return commands.started.Load() == 2 })
	s.stop()
	eventually(t, "the session did not stop reading", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lifecycle.state >= stateClosing
	})
	c.Write([]byte(ping + ping))
	close(commands.answer)
	if got := readUntilClosed(t, c); got != "+OK\r\n+OK\r\n" {
		t.Errorf("got unexpected answers: %q", got)
	}
	if n := commands.started.Load(); n != 2 {
		t.Errorf("%d commands were started, expected 2", n)
	}
}

// TestStoppedSessionServesReceivedCommands checks that all commands that arrived before the stop are served, even if the session is
// busy.
func TestStoppedSessionServesReceivedCommands(t *testing.T) {
	commands := &delayedCommands{answer: make(chan struct{})}
	close(commands.answer)
	c, buffered, s := newSessionPair(t, commands, true)
	c.Write([]byte(ping + ping + ping))
	<-buffered.holding
	s.stop()
	close(buffered.release)
	if got := readUntilClosed(t, c); got != "+OK\r\n+OK\r\n+OK\r\n" {
		t.Errorf("got unexpected answers: %q", got)
	}
}

// TestIncompleteCommandAtTheEnd guards against a client that writes the rest of its command to a session that has ended, and never gets
// an answer: an incomplete command is refused when the session ends, after the answers to earlier commands.
func TestIncompleteCommandAtTheEnd(t *testing.T) {
	for name, end := range map[string]func(*session){"for room": (*session).evict, "at the end": (*session).stop} {
		t.Run(name, func(t *testing.T) {
			c, _, s := newSessionPair(t, okCommands{}, false)
			c.Write([]byte(ping + ping[:9]))
			r := bufio.NewReader(c)
			if line, err := r.ReadString('\n'); line != "+OK\r\n" {
				t.Fatalf("got answer %q, error %v, expected OK", line, err)
			}
			// A session that is evicted while it is still busy with the first command does not end, so wait until it reads the second.
			eventually(t, "the incomplete command was not read", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.commandsRead == 1 && !s.commandDeadline.IsZero()
			})
			end(s)
			if line, err := r.ReadString('\n'); line != "-BUSY\r\n" {
				t.Fatalf("got answer %q, error %v, expected a refusal", line, err)
			}
			c.Write([]byte(ping[9:])) // the rest of the command does not reset the connection
			if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
				t.Errorf("got %q, error %v, expected the end of the stream", rest, err)
			}
		})
	}
}

// TestUnreadInputDoesNotLoseAnswers checks that input that arrives after a session has ended does not reset the connection, which
// would lose answers that the client has not read yet.
func TestUnreadInputDoesNotLoseAnswers(t *testing.T) {
	c, _, s := newSessionPair(t, okCommands{}, false)
	c.Write([]byte(ping))
	eventually(t, "the command was not answered", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.commandsRead == 1 && s.unsentBytes == 0 && s.awaitingCommand
	})
	s.evict()
	eventually(t, "the session did not end", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lifecycle.state == stateClosed
	})
	c.Write([]byte(ping)) // arrives after the session has ended
	if got := readUntilClosed(t, c); got != "+OK\r\n" {
		t.Errorf("got unexpected answers: %q", got)
	}
}

// TestClientDepartsWithFullPipeline checks that the departure of a client is reported for its open commands even though the session
// has not read all of its input, and that no more of its commands are started.
func TestClientDepartsWithFullPipeline(t *testing.T) {
	for name, closeConn := range map[string]func(*net.TCPConn) error{"closes": (*net.TCPConn).Close, "half-closes": (*net.TCPConn).CloseWrite} {
		t.Run(name, func(t *testing.T) {
			commands := &delayedCommands{answer: make(chan struct{})}
			defer close(commands.answer)
			c, _, _ := newSessionPair(t, commands, false)
			for range 3 * maxPipelined {
				c.Write([]byte(ping))
			}
			eventually(t, "the pipeline is not full", func() bool { return commands.started.Load() == maxPipelined })
			closeConn(c)
			eventually(t, "the departure of the client was not reported", func() bool { return commands.clientsDeparted.Load() == maxPipelined })
			if n := commands.started.Load(); n != maxPipelined {
				t.Errorf("%d commands were started, expected %d", n, maxPipelined)
			}
		})
	}
}

// TestClientDepartsBehindUnreadCommands guards against attempts that begin long after their client has gone: the end of its stream is
// behind more commands than the system holds unread (review/8).
func TestClientDepartsBehindUnreadCommands(t *testing.T) {
	const commandCount, bodyBytes = 200, 300
	commands := &delayedCommands{answer: make(chan struct{})}
	defer close(commands.answer)
	ln := listen(t)
	startServerWith(t, &Server{Listener: ln, MaxSessions: 4}, func() Commands { return commands })
	command := resp.AppendBulk(resp.AppendBulk(resp.AppendArray(nil, 2), "ECHO"), make([]byte, bodyBytes))
	c := dialClient(t, ln, string(bytes.Repeat(command, commandCount)))
	eventually(t, "the commands were not started", func() bool { return commands.started.Load() == maxPipelined })
	c.Close()
	eventually(t, "the departure of the client was not reported", func() bool { return commands.clientsDeparted.Load() > 0 })
	if started, departed := commands.started.Load(), commands.clientsDeparted.Load(); started != maxPipelined || departed > started {
		t.Errorf("%d commands were started and %d departures reported, expected %d of each at most", started, departed, maxPipelined)
	}
}

// TestClientDepartsBeforeItIsAccepted guards against commands that begin although their client had closed the connection while it waited to
// be accepted, and against a reset of the connection of a client that has closed its sending side only.
func TestClientDepartsBeforeItIsAccepted(t *testing.T) {
	commands := &delayedCommands{answer: make(chan struct{})}
	defer close(commands.answer)
	ln := listen(t)
	c := dialClient(t, ln, strings.Repeat(ping, 300))
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of the client's stream did not arrive", func() bool { return peerHasAll(c) })
	startServerWith(t, &Server{Listener: ln, MaxSessions: 4}, func() Commands { return commands })
	if answers, err := io.ReadAll(c); err != nil || len(answers) > 0 {
		t.Errorf("%d bytes of answers and %v, expected the end of the stream", len(answers), err)
	}
	if n := commands.started.Load(); n != 0 {
		t.Errorf("%d commands of a departed client were started, expected none", n)
	}
}

// peerHasAll reports whether the peer's system has received all that was sent on a connection.
func peerHasAll(c net.Conn) bool { return sockets.Unsent(c) == 0 }

// departBeforeRelease closes a client's connection while its input is held back, then releases the input and waits until the session has ended.
func departBeforeRelease(t *testing.T, c net.Conn, buffered *bufferedConn, s *session) {
	t.Helper()
	<-buffered.holding
	c.Close()
	eventually(t, "the system did not report the hang-up", func() bool { return hungUp(buffered) })
	close(buffered.release)
	eventually(t, "the session did not end", func() bool { return s.ctx.Err() != nil })
}

// TestLargeCommandOfDepartedClient guards against a large command that is started although its client has closed the connection: what
// the client has written may take long to arrive.
func TestLargeCommandOfDepartedClient(t *testing.T) {
	commands := &delayedCommands{answer: make(chan struct{})}
	defer close(commands.answer)
	c, buffered, s := newSessionPair(t, commands, true)
	c.Write(largeCommand())
	departBeforeRelease(t, c, buffered, s)
	if n := commands.started.Load(); n != 0 {
		t.Errorf("%d commands of a departed client were started, expected none", n)
	}
}

// queuedListener is a listener whose first connection waits in the queue of the system until the listener gets its deadline at
// shutdown.
type queuedListener struct {
	*net.TCPListener
	acceptErr                     error // error of the first Accept; nil if there is none
	deadlineSet, accepted         chan struct{}
	onceDeadlineSet, onceAccepted sync.Once
}

func (ln *queuedListener) Accept() (net.Conn, error) {
	<-ln.deadlineSet
	if err := ln.acceptErr; err != nil {
		ln.acceptErr = nil
		return nil, err
	}
	c, err := ln.TCPListener.Accept()
	ln.onceAccepted.Do(func() { close(ln.accepted) })
	return c, err
}

func (ln *queuedListener) SetDeadline(at time.Time) error {
	ln.onceDeadlineSet.Do(func() { close(ln.deadlineSet) })
	<-ln.accepted
	return ln.TCPListener.SetDeadline(at)
}

func (ln *queuedListener) Close() error {
	err := ln.TCPListener.Close()
	ln.onceDeadlineSet.Do(func() { close(ln.deadlineSet) })
	ln.onceAccepted.Do(func() { close(ln.accepted) })
	return err
}

// startServer starts a server that answers all commands with OK, until stop is called.
func startServer(t *testing.T, srv *Server) (stop func()) {
	t.Helper()
	return startServerWith(t, srv, func() Commands { return okCommands{} })
}

// startServerWith starts a server with the commands of newCommands, until stop is called.
func startServerWith(t *testing.T, srv *Server, newCommands func() Commands) (stop func()) {
	t.Helper()
	srv.Bounds, srv.Log, srv.NewCommands = NewBounds(64<<20), zap.NewNop(), newCommands
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return stop
}

// listen returns a listener on a free port.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// dialClient connects to a listener and sends a command.
func dialClient(t *testing.T, l net.Listener, command string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	c.Write([]byte(command))
	return c
}

// expectOK fails the test unless the next answer is OK.
func expectOK(t *testing.T, c net.Conn) {
	t.Helper()
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("got answer %q, error %v, expected OK", line, err)
	}
}

// TestQueuedConnectionAtTheEnd checks that a connection in the queue of the system is accepted at shutdown and its command is
// served, even if the first attempt to accept it fails for lack of descriptors.
func TestQueuedConnectionAtTheEnd(t *testing.T) {
	for name, acceptErr := range map[string]error{"at once": nil, "descriptors are short": syscall.EMFILE} {
		t.Run(name, func(t *testing.T) {
			ln := &queuedListener{TCPListener: listen(t), acceptErr: acceptErr, deadlineSet: make(chan struct{}), accepted: make(chan struct{})}
			stop := startServer(t, &Server{Listener: ln, MaxSessions: 4})
			c := dialClient(t, ln, ping)
			stop()
			expectOK(t, c)
			c.Close()
		})
	}
}

// stoppedListener is a listener whose process is stopped when the context ends, until the deadline has passed.
type stoppedListener struct {
	*net.TCPListener
	stopped   chan struct{} // closed when SetDeadline is called
	onceStop  sync.Once
	onceAwake sync.Once
}

func (l *stoppedListener) Accept() (net.Conn, error) {
	<-l.stopped
	l.onceAwake.Do(func() { time.Sleep(3 * finalAcceptTime) })
	return l.TCPListener.Accept()
}

func (l *stoppedListener) SetDeadline(at time.Time) error {
	l.onceStop.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(at)
}

// TestQueuedConnectionsOfStoppedProcess guards against the reset of connections that waited to be accepted while the process was stopped
// after SIGTERM.
func TestQueuedConnectionsOfStoppedProcess(t *testing.T) {
	ln := &stoppedListener{TCPListener: listen(t), stopped: make(chan struct{})}
	stop := startServer(t, &Server{Listener: ln, MaxSessions: 4})
	first, second := dialClient(t, ln, ping), dialClient(t, ln, ping)
	silent := dialClient(t, ln, "")
	stop()
	expectOK(t, first)
	expectOK(t, second)
	if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection of a silent client ended with %v, expected EOF", err)
	}
}

// notifyingListener sends a message on accepted for each connection that it accepts.
type notifyingListener struct {
	*net.TCPListener
	accepted chan struct{}
}

func (l *notifyingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
	}
	return c, err
}

// TestNoPlaceAtTheEnd checks that a connection that waits for a place when the gateway shuts down is served without one.
func TestNoPlaceAtTheEnd(t *testing.T) {
	ln := &notifyingListener{listen(t), make(chan struct{}, 8)}
	stop := startServer(t, &Server{Listener: ln, MaxSessions: 1})
	first := dialClient(t, ln, "*1\r\n$4\r\nWAIT\r\n") // never answered, so that it keeps the only place
	<-ln.accepted
	second := dialClient(t, ln, ping)
	<-ln.accepted
	stop()
	expectOK(t, second)
	second.Close()
	first.Close()
}

// rejectBadCommands rejects the command BAD as invalid, and passes the others on.
type rejectBadCommands struct{ delayedCommands }

func (c *rejectBadCommands) Do(readAt time.Time, cmd resp.Command, s *Slot) {
	if string(cmd[0]) == "BAD" {
		s.RejectInvalid("bad")
		return
	}
	c.delayedCommands.Do(readAt, cmd, s)
}

// TestClientDepartsDuringPenalty checks that a command that waits behind the pause after an invalid one is not started if its client
// disconnects meanwhile.
func TestClientDepartsDuringPenalty(t *testing.T) {
	commands := &rejectBadCommands{delayedCommands{answer: make(chan struct{})}}
	defer close(commands.answer)
	c, buffered, s := newSessionPair(t, commands, true)
	c.Write([]byte("*1\r\n$3\r\nBAD\r\n" + ping))
	departBeforeRelease(t, c, buffered, s)
	if n := commands.started.Load(); n != 0 {
		t.Errorf("%d commands of a departed client were started, expected none", n)
	}
}

// newSessionWithinCommand returns a client that has had an answer and has sent a part of its next command, and its session, which reads that.
func newSessionWithinCommand(t *testing.T) (c net.Conn, r *bufio.Reader, s *session) {
	t.Helper()
	c, _, s = newSessionPair(t, okCommands{}, false)
	r = sendAndExpectOK(t, c, ping)
	c.Write([]byte(ping[:3]))
	eventually(t, "the incomplete command was not read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.commandBegun && s.commandsRead == 1
	})
	return c, r, s
}

// TestStoppedSessionFinishesArrivingCommand guards against the loss of a command that its client writes slowly while the gateway shuts
// down, although there is time to serve it (review/9). What comes behind it in the same packet is refused.
func TestStoppedSessionFinishesArrivingCommand(t *testing.T) {
	c, r, s := newSessionWithinCommand(t)
	now := time.Now()
	s.shutDown(ShutdownTimes{CommandsBy: now.Add(testTimeout / 2), CloseBy: now.Add(testTimeout)})
	s.stop()
	for _, piece := range []string{ping[3:6], ping[6:9], ping[9:] + ping[:5]} {
		time.Sleep(2 * minFinishTime)
		c.Write([]byte(piece))
	}
	if rest, err := io.ReadAll(r); string(rest) != "+OK\r\n-BUSY\r\n" || err != nil {
		t.Errorf("got %q, error %v, expected an answer and a refusal", rest, err)
	}
	if took := time.Since(now); took > testTimeout/2 {
		t.Errorf("the session ended after %v, expected it to end with the command", took)
	}
}

// TestStoppedSessionRefusesLateCommand checks that a command whose client stalls, or goes on byte by byte, while the gateway shuts down is
// refused at CommandsBy.
func TestStoppedSessionRefusesLateCommand(t *testing.T) {
	const commandTime = time.Second
	for name, interval := range map[string]time.Duration{"stalls": testTimeout, "trickles": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, r, s := newSessionWithinCommand(t)
			now := time.Now()
			s.shutDown(ShutdownTimes{CommandsBy: now.Add(commandTime), CloseBy: now.Add(testTimeout)})
			s.stop()
			tick := time.NewTicker(interval)
			defer tick.Stop()
			done := make(chan struct{})
			defer close(done)
			go func() {
				for {
					select {
					case <-tick.C:
						c.Write([]byte("0"))
					case <-done:
						return
					}
				}
			}()
			if line, err := r.ReadString('\n'); line != "-BUSY\r\n" {
				t.Errorf("got %q, error %v, expected a refusal", line, err)
			}
			if took := time.Since(now); took < commandTime || took > 2*commandTime {
				t.Errorf("the refusal came after %v, expected it after %v", took, commandTime)
			}
		})
	}
}
