package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"dewhitch/internal/resp"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

const ping = "*1\r\n$4\r\nPING\r\n"

// bufferedConn is the server's end of a connection on which what was read can be held back: it has left the machine's buffers, and
// the session does not have it yet.
type bufferedConn struct {
	*net.TCPConn
	holding chan int      // bytes were read, and are held
	release chan struct{} // closed: nothing is held any more
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

// delayedCommands answers each command when the test says so, and counts them.
type delayedCommands struct {
	answer          chan struct{} // one answer each; closed: all at once
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

// connectedPair is both ends of a connection; the client's is closed with the test.
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

// newSessionPair is a client's connection and the session at its other end.
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

func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// readUntilClosed reads all that comes until the session ends, which must be an end and no reset.
func readUntilClosed(t *testing.T, c net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("after %q: %v", text, err)
	}
	return string(text)
}

func startDrain(s *session) { s.drain(newDrainTimes(time.Now())) }

// A command that has been read as a session at rest is asked to end is served, whoever asks.
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
				t.Errorf("%q, %v", line, err)
			}
		})
	}
}

// Once the gateway ends, a session takes no more than what has come, answers that, and ends: also if its client goes on
// sending, and is owed answers all the while.
func TestStoppedSessionReadsNoMoreCommands(t *testing.T) {
	commands := &delayedCommands{answer: make(chan struct{})}
	c, _, s := newSessionPair(t, commands, false)
	c.Write([]byte(ping + ping))
	eventually(t, "the commands were not taken", func() bool { return commands.started.Load() == 2 })
	s.stop()
	eventually(t, "the session goes on taking", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lifecycle.state >= stateClosing
	})
	c.Write([]byte(ping + ping))
	close(commands.answer)
	if got := readUntilClosed(t, c); got != "+OK\r\n+OK\r\n" {
		t.Errorf("%q", got)
	}
	if n := commands.started.Load(); n != 2 {
		t.Errorf("%d commands were taken, want 2", n)
	}
}

// What has come by the end is taken, all of it, though the session is busy with what came before.
func TestStoppedSessionServesReceivedCommands(t *testing.T) {
	commands := &delayedCommands{answer: make(chan struct{})}
	close(commands.answer)
	c, buffered, s := newSessionPair(t, commands, true)
	c.Write([]byte(ping + ping + ping))
	<-buffered.holding
	s.stop()
	close(buffered.release)
	if got := readUntilClosed(t, c); got != "+OK\r\n+OK\r\n+OK\r\n" {
		t.Errorf("%q", got)
	}
}

// Half a command at the end was not taken: nothing is said to it, and what came before is answered.
func TestIncompleteCommandAtTheEnd(t *testing.T) {
	for name, end := range map[string]func(*session){"for room": (*session).evict, "at the end": (*session).stop} {
		t.Run(name, func(t *testing.T) {
			c, _, s := newSessionPair(t, okCommands{}, false)
			c.Write([]byte(ping + ping[:9]))
			r := bufio.NewReader(c)
			if line, err := r.ReadString('\n'); line != "+OK\r\n" {
				t.Fatalf("%q, %v", line, err)
			}
			// Before that it is busy with the first, and one that is asked to make room then goes on.
			eventually(t, "the half command is not being read", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.commandsRead == 1 && !s.commandDeadline.IsZero()
			})
			end(s)
			if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
				t.Errorf("%q, %v", rest, err)
			}
		})
	}
}

// A session that ends over unread bytes does not take answers back that are on their way.
func TestUnreadInputDoesNotLoseAnswers(t *testing.T) {
	c, _, s := newSessionPair(t, okCommands{}, false)
	c.Write([]byte(ping))
	eventually(t, "the command was not answered", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.commandsRead == 1 && s.unsentBytes == 0 && s.awaitingCommand
	})
	s.evict()
	eventually(t, "it does not end", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lifecycle.state == stateClosed
	})
	c.Write([]byte(ping)) // crosses the end
	if got := readUntilClosed(t, c); got != "+OK\r\n" {
		t.Errorf("%q", got)
	}
}

// A client that sent more than is taken at once, and left, is known to have gone while what it sent is unread: what waits
// is given up, and nothing more of it is taken.
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
			eventually(t, "nobody knows that the client has gone", func() bool { return commands.clientsDeparted.Load() == maxPipelined })
			if n := commands.started.Load(); n != maxPipelined {
				t.Errorf("%d commands were taken, want %d", n, maxPipelined)
			}
		})
	}
}

// queuedListener is a listener whose first connection stands in the machine's queue until the listener gets its last deadline.
type queuedListener struct {
	*net.TCPListener
	acceptErr                     error // of the first try to take it, if any
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

// startServer is a server at work, until stop.
func startServer(t *testing.T, srv *Server) (stop func()) {
	t.Helper()
	return startServerWith(t, srv, func() Commands { return okCommands{} })
}

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

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

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

func expectOK(t *testing.T, c net.Conn) {
	t.Helper()
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("%q, %v", line, err)
	}
}

// A connection that the machine has accepted before the end, with a command on it, is served, also if taking it in fails at
// first, as it does while descriptors are short.
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

// notifyingListener tells of each connection that it gives out.
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

// A connection that waits for a place when the end comes is served without one.
func TestNoPlaceAtTheEnd(t *testing.T) {
	ln := &notifyingListener{listen(t), make(chan struct{}, 8)}
	stop := startServer(t, &Server{Listener: ln, MaxSessions: 1})
	first := dialClient(t, ln, "*1\r\n$4\r\nWAIT\r\n") // is never answered, and keeps the place
	<-ln.accepted
	second := dialClient(t, ln, ping)
	<-ln.accepted
	stop()
	expectOK(t, second)
	second.Close()
	first.Close()
}

// rejectBadCommands rejects the commands BAD, and counts the others.
type rejectBadCommands struct{ delayedCommands }

func (c *rejectBadCommands) Do(readAt time.Time, cmd resp.Command, s *Slot) {
	if string(cmd[0]) == "BAD" {
		s.RejectInvalid("bad")
		return
	}
	c.delayedCommands.Do(readAt, cmd, s)
}

// A client leaves while a command of its waits behind a pause: it is not taken any more.
func TestClientDepartsDuringPenalty(t *testing.T) {
	commands := &rejectBadCommands{delayedCommands{answer: make(chan struct{})}}
	defer close(commands.answer)
	c, buffered, s := newSessionPair(t, commands, true)
	c.Write([]byte("*1\r\n$3\r\nBAD\r\n" + ping))
	<-buffered.holding
	c.Close()
	eventually(t, "the machine does not tell that the client has gone", func() bool { return hungUp(buffered) })
	close(buffered.release)
	eventually(t, "the session does not end", func() bool { return s.ctx.Err() != nil })
	if n := commands.started.Load(); n != 0 {
		t.Errorf("%d commands were taken for nobody", n)
	}
}
