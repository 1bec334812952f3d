package front

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/memory"
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

// TestEvictionSparesClientsWithinACommand guards against a crowd of silent connections that evicts a client in the middle of a command,
// although sessions that wait for a command can be evicted (review/10).
func TestEvictionSparesClientsWithinACommand(t *testing.T) {
	const places, crowd = 8, 40
	ln := listen(t)
	startServer(t, &Server{Listener: ln, MaxSessions: places})
	c := dialClient(t, ln, ping)
	expectOK(t, c)
	time.Sleep(2 * firstCommandTime) // the client has been idle for longer than any of the crowd
	c.Write([]byte(ping[:9]))
	time.Sleep(evictionInterval)
	for range crowd {
		dialClient(t, ln, "")
	}
	time.Sleep(4 * firstCommandTime)
	c.Write([]byte(ping[9:]))
	expectOK(t, c)
}

// TestEvictedCommandIsRefused guards against a client that is evicted within a command, as all others are too, and gets no answer.
func TestEvictedCommandIsRefused(t *testing.T) {
	const places = 4
	ln := listen(t)
	startServer(t, &Server{Listener: ln, MaxSessions: places})
	var writers []net.Conn
	for range places {
		c := dialClient(t, ln, ping)
		expectOK(t, c)
		c.Write([]byte(ping[:9]))
		writers = append(writers, c)
	}
	time.Sleep(evictionInterval)
	expectOK(t, dialClient(t, ln, ping))
	refused := 0
	for _, c := range writers {
		c.Write([]byte(ping[9:]))
		switch answer, err := bufio.NewReader(c).ReadString('\n'); answer {
		case "-BUSY\r\n":
			refused++
		case "+OK\r\n":
		default:
			t.Errorf("got answer %q, error %v", answer, err)
		}
	}
	if refused == 0 {
		t.Error("no client was evicted, expected one at least")
	}
}

// TestEvictionDuringAPenaltyAnswersBufferedCommands guards against commands that were read together with an invalid one, and got no
// answer because their session was evicted during the pause after that.
func TestEvictionDuringAPenaltyAnswersBufferedCommands(t *testing.T) {
	commands := &rejectBadCommands{delayedCommands{answer: make(chan struct{})}}
	defer close(commands.answer)
	c, buffered, s := newSessionPair(t, commands, true)
	c.Write([]byte("*1\r\n$3\r\nBAD\r\n" + ping + ping[:9]))
	<-buffered.holding
	close(buffered.release)
	eventually(t, "the session does not pause", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.cancelWait != nil && s.hasNoPendingAnswers()
	})
	s.evict()
	if got := readUntilClosed(t, c); got != "-ERR bad\r\n-BUSY\r\n-BUSY\r\n" {
		t.Errorf("got %q, expected an error and two refusals", got)
	}
	if n := commands.started.Load(); n != 0 {
		t.Errorf("%d refused commands were started", n)
	}
}

// TestCommandBegunSinceTheChoiceIsServed guards against a client that was chosen for an eviction while it was idle, and has a command refused
// that it has begun since.
func TestCommandBegunSinceTheChoiceIsServed(t *testing.T) {
	c, r, s := newSessionWithinCommand(t)
	evictable{session: s, served: true}.evict()
	c.Write([]byte(ping[3:]))
	if line, err := r.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("got %q, error %v, expected an answer", line, err)
	}
}

// TestChooseEvictions checks the order of evictions, and how many sessions are evicted at once.
func TestChooseEvictions(t *testing.T) {
	now := time.Now()
	session := func(age time.Duration, served, commandBegun bool) evictable {
		return evictable{idleSince: now.Add(-age), served: served, owed: obligation{commandBegun: commandBegun}}
	}
	silent, incomplete := session(time.Second, false, false), session(time.Minute, false, true)
	resting, writing := session(time.Hour, true, false), session(24*time.Hour, true, true)
	oldest, receiving := session(2*time.Hour, true, false), session(3*time.Hour, true, false)
	isReceiving := func(e evictable) bool { return e == receiving }
	many := slices.Repeat([]evictable{silent}, maxEvictedAtOnce+1)
	for name, c := range map[string]struct {
		idle      []evictable
		sinceLast time.Duration
		want      []evictable
	}{
		"nobody":                 {nil, time.Hour, nil},
		"silent first":           {[]evictable{writing, resting, incomplete, silent}, 0, []evictable{silent}},
		"a few silent at once":   {many, 0, many[:maxEvictedAtOnce]},
		"then incomplete":        {[]evictable{writing, resting, incomplete}, 0, []evictable{incomplete}},
		"served, too soon":       {[]evictable{writing, resting}, servedEvictionInterval - 1, nil},
		"the longest idle":       {[]evictable{writing, resting, oldest}, servedEvictionInterval, []evictable{oldest}},
		"receiving goes last":    {[]evictable{resting, receiving, oldest}, servedEvictionInterval, []evictable{oldest}},
		"all are receiving":      {[]evictable{receiving, receiving}, servedEvictionInterval, []evictable{receiving}},
		"writing as last resort": {[]evictable{writing, writing}, servedEvictionInterval, []evictable{writing}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := chooseEvictions(slices.Clone(c.idle), c.sinceLast, isReceiving); !slices.Equal(got, c.want) {
				t.Errorf("got %+v, expected %+v", got, c.want)
			}
		})
	}
}

// TestInvalidCommandsDoNotKeepAPlace guards against clients that keep the places of new ones with invalid commands: each answer made them
// count as just connected, so that they were evicted as slowly as clients that are served.
func TestInvalidCommandsDoNotKeepAPlace(t *testing.T) {
	commands := &rejectBadCommands{delayedCommands{answer: make(chan struct{})}}
	close(commands.answer)
	c, _, s := newSessionPair(t, commands, false)
	served := func() bool {
		e, open := s.evictable(time.Now())
		return open && e.served
	}
	if !served() {
		t.Error("a client that has just connected counts as never served, expected the time for a command")
	}
	c.Write([]byte("*1\r\n$3\r\nBAD\r\n"))
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if served() {
		t.Error("a client whose only command was invalid counts as served")
	}
}

// TestEvictionWithinMemoryWait guards against a session that is evicted at the moment at which the command that it reads gets its memory. A
// slow writer kept its place for 10 s, and could not be evicted again.
func TestEvictionWithinMemoryWait(t *testing.T) {
	c, _, s := newSessionPair(t, okCommands{}, false)
	release := acquireCommandMemory(t, s)
	c.Write(largeCommand()[:minLargeCommand])
	eventually(t, "the session does not wait for memory", func() bool { return s.bounds.account.Waiting(memory.Commands) > 0 })
	evictedAt := time.Now()
	s.mu.Lock()
	release()
	s.startEviction()
	s.mu.Unlock()
	expectRefusal(t, c, evictedAt)
}

// expectRefusal checks that a client that was evicted within a command gets its refusal and the end of the connection at once.
func expectRefusal(t *testing.T, c net.Conn, evictedAt time.Time) {
	t.Helper()
	if got := readUntilClosed(t, c); got != "-BUSY\r\n" {
		t.Errorf("the evicted client got %q, expected a refusal", got)
	}
	if elapsed := time.Since(evictedAt); elapsed > time.Second {
		t.Errorf("the session ended %v after its eviction", elapsed)
	}
}

// TestEvictionOfDrainingSession guards against a new connection that waits for the places of clients that write their commands slowly
// through a drain: these had 3 s.
func TestEvictionOfDrainingSession(t *testing.T) {
	c, _, s := newSessionWithinCommand(t)
	startedAt := time.Now()
	s.drain(newDrainTimes(startedAt))
	e, ok := s.evictable(time.Now())
	if !ok {
		t.Fatal("a session that drains and is within a command can't be evicted")
	}
	e.evict()
	expectRefusal(t, c, startedAt)
}
