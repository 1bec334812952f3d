package discovery

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// answerFunc answers one request to the director. The connection is closed afterwards unless keepOpen is true.
type answerFunc func(c *net.TCPConn) (keepOpen bool)

// messageJSON returns a message with one server in the given phase.
func messageJSON(revision int, complete bool, phase string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, standin.Member("s-00000001", "127.0.0.1:1", phase))
}

// indentedJSON returns a delta with one server in the given phase, indented over several lines.
func indentedJSON(revision int, phase string) string {
	return fmt.Sprintf("{\n  \"revision\": %d,\n  \"complete\": false,\n  \"members\": [\n    %s\n  ]\n}", revision,
		standin.Member("s-00000001", "127.0.0.1:1", phase))
}

// completeAnswer answers with text and its length.
func completeAnswer(text string) answerFunc {
	return func(c *net.TCPConn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	}
}

// unboundedAnswer answers with text and no length, so that the answer ends with the connection, and then calls then.
func unboundedAnswer(text string, then answerFunc) answerFunc {
	return func(c *net.TCPConn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", text)
		return then(c)
	}
}

// watchAnswer answers with one chunk for each text, and then calls then.
func watchAnswer(then answerFunc, texts ...string) answerFunc {
	return func(c *net.TCPConn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, t := range texts {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(t), t)
		}
		return then(c)
	}
}

// statusAnswer answers with the given status and no body.
func statusAnswer(n int) answerFunc {
	return func(c *net.TCPConn) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n", n)
		return true
	}
}

// closeConn closes the connection.
func closeConn(*net.TCPConn) bool { return false }

// endChunks ends a chunked answer and keeps the connection open.
func endChunks(c *net.TCPConn) bool {
	fmt.Fprint(c, "0\r\n\r\n")
	return true
}

// resetConn resets the connection.
func resetConn(c *net.TCPConn) bool {
	c.SetLinger(0)
	return false
}

// stall sends nothing until the client closes the connection.
func stall(c *net.TCPConn) bool {
	c.SetDeadline(time.Now().Add(testTimeout))
	c.Read(make([]byte, 1))
	return false
}

// testBed is a client of a director that answers the requests of all connections with one list of answers, in order, and
// stalls after the last one.
type testBed struct {
	*Client
	mu       sync.Mutex               // guards answers and requests
	answers  []answerFunc             // answers that the director has not given yet
	requests []string                 // targets of the requests that the director has received
	updates  chan core.EndpointUpdate // updates that the client has passed on
}

func newTestBed(t *testing.T, answers ...answerFunc) *testBed {
	b := &testBed{answers: answers, updates: make(chan core.EndpointUpdate, 64)}
	l, err := standin.Listen("", func(conn net.Conn) {
		for r := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			next := answerFunc(stall)
			b.mu.Lock()
			if b.requests = append(b.requests, request.URL.RequestURI()); len(b.answers) > 0 {
				next, b.answers = b.answers[0], b.answers[1:]
			}
			b.mu.Unlock()
			if !next(conn.(*net.TCPConn)) {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	b.Client = New(l.Addr(), NewDecoder(Names{}), func(l core.EndpointUpdate) error {
		b.updates <- l
		return nil
	}, 1, zap.NewNop())
	b.backoff.First, b.backoff.Max = time.Millisecond, time.Millisecond
	t.Cleanup(l.Close)
	return b
}

// expectUpdates runs the client until it has sent as many updates as wanted, and compares them. Each wanted text is the revision
// and the server's state after the update, with the state in parentheses if the update doesn't contain the server.
func (b *testBed) expectUpdates(t *testing.T, want ...string) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	var got []string
	state := "none"
	for len(got) < len(want) {
		select {
		case l := <-b.updates:
			if l.List.Kind != dw.ListDelta {
				state = "none"
			}
			if len(l.List.Servers) == 0 {
				got = append(got, fmt.Sprintf("%d (%s)", l.List.Version, state))
				continue
			}
			state = map[dw.EndpointState]string{dw.Ready: "up", dw.Draining: "draining", dw.Removed: "removed"}[l.List.Servers[0].State]
			got = append(got, fmt.Sprintf("%d %s", l.List.Version, state))
		case <-time.After(testTimeout):
			t.Fatalf("got updates %q and no more in time, expected %q", got, want)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("got updates %q, expected %q", got, want)
	}
}

// TestInterruptedList guards against missed changes after a poll or watch fails in any of the listed ways. The client must read
// the change with its next request, which starts at the planner's revision, and poll the complete list only if something was
// lost.
func TestInterruptedList(t *testing.T) {
	const poll = "/api/targets"
	since := func(n int) string { return fmt.Sprintf("/api/targets?follow=1&since=%d", n) }
	first, last := completeAnswer(messageJSON(41, true, "up")), watchAnswer(stall, messageJSON(43, false, "draining")+"\n")
	var truncated = messageJSON(42, false, "draining")[:40]
	for name, c := range map[string]struct {
		answers  []answerFunc
		updates  []string
		requests []string
	}{
		"silent from the start":          {[]answerFunc{first, watchAnswer(stall), last}, []string{"41 up", "43 draining"}, []string{poll, since(41), since(41)}},
		"silent after empty lines":       {[]answerFunc{first, watchAnswer(stall, "\n", "\n", "\n"), last}, []string{"41 up", "43 draining"}, []string{poll, since(41), since(41)}},
		"silent within a message":        {[]answerFunc{first, watchAnswer(stall, truncated), last}, []string{"41 up", "43 draining"}, []string{poll, since(41), since(41)}},
		"no answer to the watch":         {[]answerFunc{first, stall, last}, []string{"41 up", "43 draining"}, []string{poll, since(41), since(41)}},
		"ends":                           {[]answerFunc{first, watchAnswer(endChunks, messageJSON(42, false, "up")+"\n"), last}, []string{"41 up", "42 (up)", "43 draining"}, []string{poll, since(41), since(42)}},
		"closed between two messages":    {[]answerFunc{first, watchAnswer(closeConn, messageJSON(42, false, "up")+"\n"), last}, []string{"41 up", "42 (up)", "43 draining"}, []string{poll, since(41), since(42)}},
		"reset before a message":         {[]answerFunc{first, watchAnswer(resetConn, "\n"), last}, []string{"41 up", "43 draining"}, []string{poll, since(41), since(41)}},
		"closed within a message":        {[]answerFunc{first, watchAnswer(closeConn, truncated), last}, []string{"41 up", "43 draining"}, []string{poll, since(41), since(41)}},
		"ended within a message":         {[]answerFunc{first, watchAnswer(endChunks, truncated), last}, []string{"41 up", "43 draining"}, []string{poll, since(41), since(41)}},
		"no length, closed in a message": {[]answerFunc{first, unboundedAnswer(truncated, closeConn), last}, []string{"41 up", "43 draining"}, []string{poll, since(41), since(41)}},
		"complete list without length":   {[]answerFunc{unboundedAnswer(messageJSON(41, true, "up"), closeConn), last}, []string{"41 up", "43 draining"}, []string{poll, since(41)}},
		"no length, silent within list":  {[]answerFunc{unboundedAnswer(messageJSON(41, true, "up")[:60], stall), first, last}, []string{"41 up", "43 draining"}, []string{poll, poll, since(41)}},
		"no length, closed within list":  {[]answerFunc{unboundedAnswer(messageJSON(41, true, "up")[:60], closeConn), first, last}, []string{"41 up", "43 draining"}, []string{poll, poll, since(41)}},
		"indented":                       {[]answerFunc{completeAnswer(indentedJSON(41, "up")), watchAnswer(stall, indentedJSON(42, "up")+"\n\n", indentedJSON(43, "draining")+"\n")}, []string{"41 up", "42 (up)", "43 draining"}, []string{poll, since(41)}},
		"indented, in pieces":            {[]answerFunc{first, watchAnswer(stall, indentedJSON(42, "draining")[:30], indentedJSON(42, "draining")[30:])}, []string{"41 up", "42 draining"}, []string{poll, since(41)}},
		"rejected":                       {[]answerFunc{statusAnswer(503), first, statusAnswer(503), last}, []string{"41 up", "43 draining"}, []string{poll, poll, since(41), since(41)}},
		"complete list without members":  {[]answerFunc{completeAnswer(`{"revision":41,"complete":true,"members":[]}`), last}, []string{"41 (none)", "43 draining"}, []string{poll, since(41)}},
		"message that is not JSON":       {[]answerFunc{first, watchAnswer(stall, "nonsense\n"), completeAnswer(messageJSON(42, true, "draining"))}, []string{"41 up", "42 draining"}, []string{poll, since(41), poll}},
		"message with unknown phase":     {[]answerFunc{first, watchAnswer(stall, messageJSON(42, false, "gone?")+"\n"), completeAnswer(messageJSON(42, true, "draining"))}, []string{"41 up", "42 draining"}, []string{poll, since(41), poll}},
		"stale delta":                    {[]answerFunc{first, watchAnswer(stall, messageJSON(40, false, "up")+"\n"), completeAnswer(messageJSON(42, true, "draining"))}, []string{"41 up", "41 (up)", "42 draining"}, []string{poll, since(41), poll}},
		"stale delta that drains":        {[]answerFunc{first, watchAnswer(stall, messageJSON(40, false, "draining")+"\n"), completeAnswer(messageJSON(42, true, "up"))}, []string{"41 up", "41 draining", "42 up"}, []string{poll, since(41), poll}},
		"stale list after draining":      {[]answerFunc{completeAnswer(messageJSON(41, true, "draining")), watchAnswer(stall, "nonsense\n"), completeAnswer(messageJSON(40, true, "up")), completeAnswer(messageJSON(42, true, "up"))}, []string{"41 draining", "41 (draining)", "42 up"}, []string{poll, since(41), poll, poll}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t, c.answers...)
			b.watchTimeout, b.pollTimeout = time.Second, time.Second // the test bed answers immediately or not at all
			b.backoff.BusyFirst, b.backoff.BusyMax = time.Millisecond, time.Millisecond
			b.expectUpdates(t, c.updates...)
			b.mu.Lock()
			defer b.mu.Unlock()
			if got := b.requests[:min(len(b.requests), len(c.requests))]; !slices.Equal(got, c.requests) {
				t.Errorf("got requests %q, expected %q", got, c.requests)
			}
		})
	}
}

// TestResetDoesNotEndBody guards against accepting a list whose answer has no length and whose connection was reset. Such a
// list is incomplete, even if the received bytes form a valid list.
func TestResetDoesNotEndBody(t *testing.T) {
	b := newTestBed(t, unboundedAnswer(messageJSON(41, true, "up"), resetConn), completeAnswer(messageJSON(42, true, "draining")), stall)
	b.pollTimeout = testTimeout
	b.expectUpdates(t, "42 draining")
}

// TestRestartedDirector guards against ignoring a restarted director forever, as its revisions are older than the planner's.
// After rollbackAfter, its list is accepted.
func TestRestartedDirector(t *testing.T) {
	b := newTestBed(t, completeAnswer(messageJSON(41, true, "draining")), watchAnswer(endChunks),
		watchAnswer(stall, messageJSON(7, true, "up")+"\n"), completeAnswer(messageJSON(7, true, "up")),
		completeAnswer(messageJSON(7, true, "up")), watchAnswer(stall, messageJSON(8, false, "draining")+"\n"))
	var mu sync.Mutex
	at := time.Unix(1, 0)
	b.now = func() time.Time { // each call returns a time that is 0.7 s later
		mu.Lock()
		defer mu.Unlock()
		at = at.Add(700 * time.Millisecond)
		return at
	}
	b.expectUpdates(t, "41 draining", "41 (draining)", "41 (draining)", "7 up", "8 draining")
}

// TestSharedDirectorPollTimeout guards against a short poll timeout with a shared director, which queues requests and also serves
// those whose gateway has closed the connection. A gateway without a list needs the longer timeout as well.
func TestSharedDirectorPollTimeout(t *testing.T) {
	for _, hasList := range []bool{true, false} {
		b := newTestBed(t)
		b.ConfigureShared(hasList, 41, 3)
		if b.pollTimeout != sharedPollTimeout {
			t.Errorf("hasList %v: got poll timeout %v, expected sharedPollTimeout", hasList, b.pollTimeout)
		}
		if b.hasList != hasList {
			t.Errorf("got hasList %v, expected %v", b.hasList, hasList)
		}
	}
}

// TestMoveDuringSilentWatch guards against a delayed move. When the director's address changes during a silent watch, the client
// reads the new director's list immediately, even if its revision is older.
func TestMoveDuringSilentWatch(t *testing.T) {
	next := newTestBed(t, completeAnswer(messageJSON(3, true, "draining")))
	b := newTestBed(t, completeAnswer(messageJSON(41, true, "up")), func(c *net.TCPConn) bool { return stall(c) })
	b.watchTimeout, b.pollTimeout = testTimeout, testTimeout
	originalUpdate := b.update
	b.update = func(l core.EndpointUpdate) error {
		if l.List.Version == 41 {
			addr, _ := next.addr.Current()
			b.Move(addr)
		}
		return originalUpdate(l)
	}
	b.expectUpdates(t, "41 up", "3 draining")
}

// FuzzSplit checks that messageReader finds the same messages regardless of how the text is split into reads. It ignores
// empty messages, which stand for white space and only show that the watch is alive.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(messageJSON(1, false, "up")+"\n\n"+indentedJSON(2, "up")), 3)
	f.Add([]byte(`{"a":"}\"{"}`+"x\n{}"), 1)
	f.Fuzz(func(t *testing.T, text []byte, step int) {
		split := func(r io.Reader) (out []string, end error) {
			for m := (&messageReader{r: r}); ; {
				text, err := m.next()
				if err != nil {
					return out, err
				}
				if len(text) > 0 {
					out = append(out, string(text))
				}
			}
		}
		whole, wholeErr := split(bytes.NewReader(text))
		pieces, piecesErr := split(&stepReader{text, 1 + max(0, step)%16})
		if !slices.Equal(whole, pieces) || wholeErr == nil || piecesErr == nil {
			t.Errorf("%q: got %q and error %v in one read, %q and error %v in small reads", text, whole, wholeErr, pieces, piecesErr)
		}
	})
}

// stepReader returns text in reads of at most n bytes, then an error.
type stepReader struct {
	text []byte
	n    int
}

func (r *stepReader) Read(p []byte) (int, error) {
	if len(r.text) == 0 {
		return 0, fmt.Errorf("reset")
	}
	n := copy(p, r.text[:min(r.n, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}
