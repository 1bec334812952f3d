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

// answerFunc is what discovery does with one request; the connection is closed after it, unless it says to go on.
type answerFunc func(c *net.TCPConn) (goOn bool)

func message(revision int, complete bool, phase string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, standin.Member("s-00000001", "127.0.0.1:1", phase))
}

func indented(revision int, phase string) string {
	return fmt.Sprintf("{\n  \"revision\": %d,\n  \"complete\": false,\n  \"members\": [\n    %s\n  ]\n}", revision,
		standin.Member("s-00000001", "127.0.0.1:1", phase))
}

func complete(text string) answerFunc {
	return func(c *net.TCPConn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	}
}

// unbounded is an answer whose head gives no length: it ends with its connection.
func unbounded(text string, then answerFunc) answerFunc {
	return func(c *net.TCPConn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", text)
		return then(c)
	}
}

// watch is a chunked answer, a chunk for each text, and what comes then.
func watch(then answerFunc, texts ...string) answerFunc {
	return func(c *net.TCPConn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, t := range texts {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(t), t)
		}
		return then(c)
	}
}

func status(n int) answerFunc {
	return func(c *net.TCPConn) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n", n)
		return true
	}
}

// What comes after an answer.
func closes(*net.TCPConn) bool { return false }
func ends(c *net.TCPConn) bool {
	fmt.Fprint(c, "0\r\n\r\n")
	return true
}
func resets(c *net.TCPConn) bool {
	c.SetLinger(0)
	return false
}
func silent(c *net.TCPConn) bool { // until the other side ends it
	c.SetDeadline(time.Now().Add(testTimeout))
	c.Read(make([]byte, 1))
	return false
}

// testBed is a client before an agent that gives one answer after the other, over all its connections.
type testBed struct {
	*Client
	mu       sync.Mutex
	answers  []answerFunc
	requests []string
	updates  chan core.EndpointUpdate
}

func newBed(t *testing.T, answers ...answerFunc) *testBed {
	b := &testBed{answers: answers, updates: make(chan core.EndpointUpdate, 64)}
	l, err := standin.Listen("", func(conn net.Conn) {
		for r := bufio.NewReader(conn); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			next := answerFunc(silent)
			b.mu.Lock()
			if b.requests = append(b.requests, q.URL.RequestURI()); len(b.answers) > 0 {
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

// expectUpdates has the client run until it gave all of these updates: of which revision, and in which state the server is by then; in
// parentheses if nothing was said of it, as nothing changes.
func (b *testBed) expectUpdates(t *testing.T, want ...string) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan error, 1)
	go func() { over <- b.Run(ctx) }()
	defer func() {
		stop()
		if err := <-over; err != nil {
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
			t.Fatalf("updates %q, and no more came; want %q", got, want)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("updates %q, want %q", got, want)
	}
}

// Whatever a list or a watch does, what changed is read within one request more, from where the planner stands, and all
// of it only where something is lost.
func TestListBreaksOff(t *testing.T) {
	const all = "/api/targets"
	since := func(n int) string { return fmt.Sprintf("/api/targets?follow=1&since=%d", n) }
	first, last := complete(message(41, true, "up")), watch(silent, message(43, false, "draining")+"\n")
	var cut = message(42, false, "draining")[:40]
	for name, c := range map[string]struct {
		answers  []answerFunc
		updates  []string
		requests []string
	}{
		"silent from the start":          {[]answerFunc{first, watch(silent), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"silent after empty lines":       {[]answerFunc{first, watch(silent, "\n", "\n", "\n"), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"silent within a message":        {[]answerFunc{first, watch(silent, cut), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"no answer to the watch":         {[]answerFunc{first, silent, last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"ends":                           {[]answerFunc{first, watch(ends, message(42, false, "up")+"\n"), last}, []string{"41 up", "42 (up)", "43 draining"}, []string{all, since(41), since(42)}},
		"closed between two messages":    {[]answerFunc{first, watch(closes, message(42, false, "up")+"\n"), last}, []string{"41 up", "42 (up)", "43 draining"}, []string{all, since(41), since(42)}},
		"reset before a message":         {[]answerFunc{first, watch(resets, "\n"), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"closed within a message":        {[]answerFunc{first, watch(closes, cut), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"ended within a message":         {[]answerFunc{first, watch(ends, cut), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"of no length, closed in it":     {[]answerFunc{first, unbounded(cut, closes), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"a complete list of no length":   {[]answerFunc{unbounded(message(41, true, "up"), closes), last}, []string{"41 up", "43 draining"}, []string{all, since(41)}},
		"a list that falls silent in it": {[]answerFunc{unbounded(message(41, true, "up")[:60], silent), first, last}, []string{"41 up", "43 draining"}, []string{all, all, since(41)}},
		"such a list, closed in it":      {[]answerFunc{unbounded(message(41, true, "up")[:60], closes), first, last}, []string{"41 up", "43 draining"}, []string{all, all, since(41)}},
		"indented":                       {[]answerFunc{complete(indented(41, "up")), watch(silent, indented(42, "up")+"\n\n", indented(43, "draining")+"\n")}, []string{"41 up", "42 (up)", "43 draining"}, []string{all, since(41)}},
		"indented, in pieces":            {[]answerFunc{first, watch(silent, indented(42, "draining")[:30], indented(42, "draining")[30:])}, []string{"41 up", "42 draining"}, []string{all, since(41)}},
		"rejected":                       {[]answerFunc{status(503), first, status(503), last}, []string{"41 up", "43 draining"}, []string{all, all, since(41), since(41)}},
		"a list of none":                 {[]answerFunc{complete(`{"revision":41,"complete":true,"members":[]}`), last}, []string{"41 (none)", "43 draining"}, []string{all, since(41)}},
		"what can't be read":             {[]answerFunc{first, watch(silent, "nonsense\n"), complete(message(42, true, "draining"))}, []string{"41 up", "42 draining"}, []string{all, since(41), all}},
		"a message with a fault":         {[]answerFunc{first, watch(silent, message(42, false, "gone?")+"\n"), complete(message(42, true, "draining"))}, []string{"41 up", "42 draining"}, []string{all, since(41), all}},
		"an older change":                {[]answerFunc{first, watch(silent, message(40, false, "up")+"\n"), complete(message(42, true, "draining"))}, []string{"41 up", "41 (up)", "42 draining"}, []string{all, since(41), all}},
		"an older change that restricts": {[]answerFunc{first, watch(silent, message(40, false, "draining")+"\n"), complete(message(42, true, "up"))}, []string{"41 up", "41 draining", "42 up"}, []string{all, since(41), all}},
		"all of an older list, drained":  {[]answerFunc{complete(message(41, true, "draining")), watch(silent, "nonsense\n"), complete(message(40, true, "up")), complete(message(42, true, "up"))}, []string{"41 draining", "41 (draining)", "42 up"}, []string{all, since(41), all, all}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, c.answers...)
			b.watchTimeout, b.pollTimeout = time.Second, time.Second // the bed answers at once or not at all
			b.backoff.BusyFirst, b.backoff.BusyMax = time.Millisecond, time.Millisecond
			b.expectUpdates(t, c.updates...)
			b.mu.Lock()
			defer b.mu.Unlock()
			if got := b.requests[:min(len(b.requests), len(c.requests))]; !slices.Equal(got, c.requests) {
				t.Errorf("requests %q, want %q", got, c.requests)
			}
		})
	}
}

// A reset within a body that has no length is no end of it, though what came before could pass for all.
func TestResetIsNoEnd(t *testing.T) {
	b := newBed(t, unbounded(message(41, true, "up"), resets), complete(message(42, true, "draining")), silent)
	b.pollTimeout = testTimeout
	b.expectUpdates(t, "42 draining")
}

// Discovery that has only older lists for a while began anew: theirs is the list now.
func TestDiscoveryBeganAnew(t *testing.T) {
	b := newBed(t, complete(message(41, true, "draining")), watch(ends), watch(silent, message(7, true, "up")+"\n"),
		complete(message(7, true, "up")), complete(message(7, true, "up")), watch(silent, message(8, false, "draining")+"\n"))
	var mu sync.Mutex
	at := time.Unix(1, 0)
	b.now = func() time.Time { // each look at the clock is 0.7 s later
		mu.Lock()
		defer mu.Unlock()
		at = at.Add(700 * time.Millisecond)
		return at
	}
	b.expectUpdates(t, "41 draining", "41 (draining)", "41 (draining)", "7 up", "8 draining")
}

// One discovery service for all gateways queues requests, and serves those too whose gateway has left: also a gateway without a list
// must wait for its turn.
func TestSharedDiscoveryIsWaitedFor(t *testing.T) {
	for _, hasList := range []bool{true, false} {
		b := newBed(t)
		b.ConfigureShared(hasList, 41, 3)
		if b.pollTimeout != sharedPollTimeout {
			t.Errorf("has a list %v: %v", hasList, b.pollTimeout)
		}
		if b.hasList != hasList {
			t.Errorf("has a list %v, want %v", b.hasList, hasList)
		}
	}
}

// A client that is told to move while a watch is silent reads the new list at once, whatever its revision.
func TestMoveUnderASilentWatch(t *testing.T) {
	next := newBed(t, complete(message(3, true, "draining")))
	b := newBed(t, complete(message(41, true, "up")), func(c *net.TCPConn) bool { return silent(c) })
	b.watchTimeout, b.pollTimeout = testTimeout, testTimeout
	old := b.update
	b.update = func(l core.EndpointUpdate) error {
		if l.List.Version == 41 {
			addr, _ := next.addr.Current()
			b.Move(addr)
		}
		return old(l)
	}
	b.expectUpdates(t, "41 up", "3 draining")
}

// Messages are found completely wherever what came was cut, and white space shows that a watch is alive.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(message(1, false, "up")+"\n\n"+indented(2, "up")), 3)
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
		a, errA := split(bytes.NewReader(text))
		b, errB := split(&steps{text, 1 + max(0, step)%16})
		if !slices.Equal(a, b) || errA == nil || errB == nil {
			t.Errorf("%q read at once gives %q and %v, in steps %q and %v", text, a, errA, b, errB)
		}
	})
}

// steps gives text a few bytes at a time.
type steps struct {
	text []byte
	n    int
}

func (s *steps) Read(p []byte) (int, error) {
	if len(s.text) == 0 {
		return 0, fmt.Errorf("reset")
	}
	n := copy(p, s.text[:min(s.n, len(s.text))])
	s.text = s.text[n:]
	return n, nil
}
