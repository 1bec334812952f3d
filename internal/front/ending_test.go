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

const patience = 20 * time.Second

const ping = "*1\r\n$4\r\nPING\r\n"

// bufferedConn is the server's end of a connection on which what was read can be held back: it has left the machine's buffers, and
// the session does not have it yet.
type bufferedConn struct {
	*net.TCPConn
	received chan int      // bytes were read, and are held
	release  chan struct{} // closed: nothing is held any more
}

func (h *bufferedConn) Read(b []byte) (int, error) {
	n, err := h.TCPConn.Read(b)
	if n > 0 {
		select {
		case h.received <- n:
		case <-h.release:
		}
		<-h.release
	}
	return n, err
}

// slow answers each command when the test says so, and counts them.
type slow struct {
	answer      chan struct{} // one answer each; closed: all at once
	started     atomic.Int64
	clientsLeft atomic.Int64
}

func (c *slow) Do(_ time.Time, _ resp.Command, s *Slot) {
	c.started.Add(1)
	s.OnClientDeparted(func() { c.clientsLeft.Add(1) })
	go func() {
		<-c.answer
		s.Fill(resp.AppendStatus(nil, "OK"))
	}()
}

// connected is both ends of a connection; the client's is closed with the test.
func connected(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l := listener(t)
	defer l.Close()
	near = client(t, l, "").(*net.TCPConn)
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, conn.(*net.TCPConn)
}

// pair is a client's connection and the session at its other end.
func pair(t *testing.T, c Commands, hold bool) (*net.TCPConn, *bufferedConn, *session) {
	t.Helper()
	client, far := connected(t)
	h := &bufferedConn{far, make(chan int), make(chan struct{})}
	if !hold {
		close(h.release)
	}
	s := newSession(h, c, NewBounds(64<<20))
	var over sync.WaitGroup
	over.Go(s.run)
	t.Cleanup(func() {
		client.Close()
		over.Wait()
	})
	return client, h, s
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// answers reads all that comes until the session ends, which must be an end and no reset.
func answers(t *testing.T, c net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("after %q: %v", text, err)
	}
	return string(text)
}

func drainNow(s *session) { s.drain(newDrainTimes(time.Now())) }

// A command that has been read as a session at rest is asked to end is served, whoever asks.
func TestCommandThatCrossesTheEndIsServed(t *testing.T) {
	for name, ask := range map[string]func(*session){"for room": (*session).evict, "at the end": (*session).stop,
		"by a drain": drainNow} {
		t.Run(name, func(t *testing.T) {
			c, h, s := pair(t, echo{}, true)
			c.Write([]byte(ping))
			<-h.received
			ask(s)
			close(h.release)
			r := bufio.NewReader(c)
			if line, err := r.ReadString('\n'); line != "+OK\r\n" {
				t.Errorf("%q, %v", line, err)
			}
		})
	}
}

// Once the gateway ends, a session takes no more than what has come, answers that, and ends: also if its client goes on
// sending, and is owed answers all the while.
func TestEndingSessionTakesNoMore(t *testing.T) {
	d := &slow{answer: make(chan struct{})}
	c, _, s := pair(t, d, false)
	c.Write([]byte(ping + ping))
	eventually(t, "the commands were not taken", func() bool { return d.started.Load() == 2 })
	s.stop()
	eventually(t, "the session goes on taking", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lifecycle.state >= stateClosing
	})
	c.Write([]byte(ping + ping))
	close(d.answer)
	if got := answers(t, c); got != "+OK\r\n+OK\r\n" {
		t.Errorf("%q", got)
	}
	if n := d.started.Load(); n != 2 {
		t.Errorf("%d commands were taken, want 2", n)
	}
}

// What has come by the end is taken, all of it, though the session is busy with what came before.
func TestEndingSessionTakesWhatHasCome(t *testing.T) {
	d := &slow{answer: make(chan struct{})}
	close(d.answer)
	c, h, s := pair(t, d, true)
	c.Write([]byte(ping + ping + ping))
	<-h.received
	s.stop()
	close(h.release)
	if got := answers(t, c); got != "+OK\r\n+OK\r\n+OK\r\n" {
		t.Errorf("%q", got)
	}
}

// Half a command at the end was not taken: nothing is said to it, and what came before is answered.
func TestHalfACommandAtTheEnd(t *testing.T) {
	for name, ask := range map[string]func(*session){"for room": (*session).evict, "at the end": (*session).stop} {
		t.Run(name, func(t *testing.T) {
			c, _, s := pair(t, echo{}, false)
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
			ask(s)
			if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
				t.Errorf("%q, %v", rest, err)
			}
		})
	}
}

// A session that ends over unread bytes does not take answers back that are on their way.
func TestEndOverUnreadBytes(t *testing.T) {
	c, _, s := pair(t, echo{}, false)
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
	if got := answers(t, c); got != "+OK\r\n" {
		t.Errorf("%q", got)
	}
}

// A client that sent more than is taken at once, and left, is known to have gone while what it sent is unread: what waits
// is given up, and nothing more of it is taken.
func TestClientLeftBehindAFullPipeline(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{"closes": (*net.TCPConn).Close, "half-closes": (*net.TCPConn).CloseWrite} {
		t.Run(name, func(t *testing.T) {
			d := &slow{answer: make(chan struct{})}
			defer close(d.answer)
			c, _, _ := pair(t, d, false)
			for range 3 * maxPipelined {
				c.Write([]byte(ping))
			}
			eventually(t, "the pipeline is not full", func() bool { return d.started.Load() == maxPipelined })
			leave(c)
			eventually(t, "nobody knows that the client has gone", func() bool { return d.clientsLeft.Load() == maxPipelined })
			if n := d.started.Load(); n != maxPipelined {
				t.Errorf("%d commands were taken, want %d", n, maxPipelined)
			}
		})
	}
}

// queue is a listener whose first connection stands in the machine's queue until the listener gets its last deadline.
type queue struct {
	*net.TCPListener
	fault                 error // of the first try to take it, if any
	deadlineSet, accepted chan struct{}
	tell, once            sync.Once
}

func (q *queue) Accept() (net.Conn, error) {
	<-q.deadlineSet
	if err := q.fault; err != nil {
		q.fault = nil
		return nil, err
	}
	c, err := q.TCPListener.Accept()
	q.once.Do(func() { close(q.accepted) })
	return c, err
}

func (q *queue) SetDeadline(at time.Time) error {
	q.tell.Do(func() { close(q.deadlineSet) })
	<-q.accepted
	return q.TCPListener.SetDeadline(at)
}

func (q *queue) Close() error {
	err := q.TCPListener.Close()
	q.tell.Do(func() { close(q.deadlineSet) })
	q.once.Do(func() { close(q.accepted) })
	return err
}

// serving is a server at work, until stop.
func serving(t *testing.T, f *Server) (stop func()) {
	t.Helper()
	return servingCommands(t, f, func() Commands { return echo{} })
}

func servingCommands(t *testing.T, f *Server, open func() Commands) (stop func()) {
	t.Helper()
	f.Bounds, f.Log, f.NewCommands = NewBounds(64<<20), zap.NewNop(), open
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan error, 1)
	go func() { over <- f.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-over; err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return stop
}

func listener(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

func client(t *testing.T, l net.Listener, command string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	c.Write([]byte(command))
	return c
}

func served(t *testing.T, c net.Conn) {
	t.Helper()
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("%q, %v", line, err)
	}
}

// A connection that the machine has accepted before the end, with a command on it, is served, also if taking it in fails at
// first, as it does while descriptors are short.
func TestConnectionInTheQueueAtTheEnd(t *testing.T) {
	for name, fault := range map[string]error{"at once": nil, "descriptors are short": syscall.EMFILE} {
		t.Run(name, func(t *testing.T) {
			q := &queue{TCPListener: listener(t), fault: fault, deadlineSet: make(chan struct{}), accepted: make(chan struct{})}
			stop := serving(t, &Server{Listener: q, MaxSessions: 4})
			c := client(t, q, ping)
			stop()
			served(t, c)
			c.Close()
		})
	}
}

// counting tells of each connection that it gives out.
type counting struct {
	*net.TCPListener
	given chan struct{}
}

func (l *counting) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		l.given <- struct{}{}
	}
	return c, err
}

// A connection that waits for a place when the end comes is served without one.
func TestNoPlaceAtTheEnd(t *testing.T) {
	l := &counting{listener(t), make(chan struct{}, 8)}
	stop := serving(t, &Server{Listener: l, MaxSessions: 1})
	first := client(t, l, "*1\r\n$4\r\nWAIT\r\n") // is never answered, and keeps the place
	<-l.given
	second := client(t, l, ping)
	<-l.given
	stop()
	served(t, second)
	second.Close()
	first.Close()
}

// refusing rejects the commands BAD, and counts the others.
type refusing struct{ slow }

func (c *refusing) Do(came time.Time, cmd resp.Command, s *Slot) {
	if string(cmd[0]) == "BAD" {
		s.RejectInvalid("bad")
		return
	}
	c.slow.Do(came, cmd, s)
}

// A client leaves while a command of its waits behind a pause: it is not taken any more.
func TestClientLeftDuringAPause(t *testing.T) {
	d := &refusing{slow{answer: make(chan struct{})}}
	defer close(d.answer)
	c, h, s := pair(t, d, true)
	c.Write([]byte("*1\r\n$3\r\nBAD\r\n" + ping))
	<-h.received
	c.Close()
	eventually(t, "the machine does not tell that the client has gone", func() bool { return hungUp(h) })
	close(h.release)
	eventually(t, "the session does not end", func() bool { return s.ctx.Err() != nil })
	if n := d.started.Load(); n != 0 {
		t.Errorf("%d commands were taken for nobody", n)
	}
}
