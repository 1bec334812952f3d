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

const patience = 20 * time.Second

// answer is what discovery does with one question; the connection is closed after it, unless it says to go on.
type answer func(c *net.TCPConn) (goOn bool)

func message(revision int, complete bool, phase string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, standin.Member("s-00000001", "127.0.0.1:1", phase))
}

func indented(revision int, phase string) string {
	return fmt.Sprintf("{\n  \"revision\": %d,\n  \"complete\": false,\n  \"members\": [\n    %s\n  ]\n}", revision,
		standin.Member("s-00000001", "127.0.0.1:1", phase))
}

func whole(text string) answer {
	return func(c *net.TCPConn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	}
}

// endless is an answer whose head gives no length: it ends with its connection.
func endless(text string, then answer) answer {
	return func(c *net.TCPConn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", text)
		return then(c)
	}
}

// watch is a chunked answer, a chunk for each text, and what comes then.
func watch(then answer, texts ...string) answer {
	return func(c *net.TCPConn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, t := range texts {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(t), t)
		}
		return then(c)
	}
}

func status(n int) answer {
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
	c.SetDeadline(time.Now().Add(patience))
	c.Read(make([]byte, 1))
	return false
}

// bed is a client before an agent that gives one answer after the other, over all its connections.
type bed struct {
	*Client
	mu      sync.Mutex
	answers []answer
	asked   []string
	told    chan core.EndpointUpdate
}

func newBed(t *testing.T, answers ...answer) *bed {
	b := &bed{answers: answers, told: make(chan core.EndpointUpdate, 64)}
	l, err := standin.Listen("", func(conn net.Conn) {
		for r := bufio.NewReader(conn); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			next := answer(silent)
			b.mu.Lock()
			if b.asked = append(b.asked, q.URL.RequestURI()); len(b.answers) > 0 {
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
		b.told <- l
		return nil
	}, 1, zap.NewNop())
	b.again.First, b.again.Max = time.Millisecond, time.Millisecond
	t.Cleanup(l.Close)
	return b
}

// follow has the client run until all of these were told: of which revision, and in which state the server is by then; in
// parentheses if nothing was said of it, as nothing changes.
func (b *bed) follow(t *testing.T, want ...string) {
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
		case l := <-b.told:
			if l.List.Kind != dw.ListDelta {
				state = "none"
			}
			if len(l.List.Servers) == 0 {
				got = append(got, fmt.Sprintf("%d (%s)", l.List.Version, state))
				continue
			}
			state = map[dw.EndpointState]string{dw.Ready: "up", dw.Draining: "draining", dw.Removed: "removed"}[l.List.Servers[0].State]
			got = append(got, fmt.Sprintf("%d %s", l.List.Version, state))
		case <-time.After(patience):
			t.Fatalf("told %q, and no more came; want %q", got, want)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("told %q, want %q", got, want)
	}
}

// Whatever a list or a watch does, what changed is read within one question more, from where the planner stands, and all
// of it only where something is lost.
func TestListBreaksOff(t *testing.T) {
	const all = "/api/targets"
	since := func(n int) string { return fmt.Sprintf("/api/targets?follow=1&since=%d", n) }
	first, last := whole(message(41, true, "up")), watch(silent, message(43, false, "draining")+"\n")
	var cut = message(42, false, "draining")[:40]
	for name, c := range map[string]struct {
		answers []answer
		told    []string
		asked   []string
	}{
		"silent from the start":          {[]answer{first, watch(silent), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"silent after empty lines":       {[]answer{first, watch(silent, "\n", "\n", "\n"), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"silent within a message":        {[]answer{first, watch(silent, cut), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"says nothing to the question":   {[]answer{first, silent, last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"ends":                           {[]answer{first, watch(ends, message(42, false, "up")+"\n"), last}, []string{"41 up", "42 (up)", "43 draining"}, []string{all, since(41), since(42)}},
		"closed between two messages":    {[]answer{first, watch(closes, message(42, false, "up")+"\n"), last}, []string{"41 up", "42 (up)", "43 draining"}, []string{all, since(41), since(42)}},
		"reset before a message":         {[]answer{first, watch(resets, "\n"), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"closed within a message":        {[]answer{first, watch(closes, cut), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"ended within a message":         {[]answer{first, watch(ends, cut), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"of no length, closed in it":     {[]answer{first, endless(cut, closes), last}, []string{"41 up", "43 draining"}, []string{all, since(41), since(41)}},
		"a whole list of no length":      {[]answer{endless(message(41, true, "up"), closes), last}, []string{"41 up", "43 draining"}, []string{all, since(41)}},
		"a list that falls silent in it": {[]answer{endless(message(41, true, "up")[:60], silent), first, last}, []string{"41 up", "43 draining"}, []string{all, all, since(41)}},
		"such a list, closed in it":      {[]answer{endless(message(41, true, "up")[:60], closes), first, last}, []string{"41 up", "43 draining"}, []string{all, all, since(41)}},
		"indented":                       {[]answer{whole(indented(41, "up")), watch(silent, indented(42, "up")+"\n\n", indented(43, "draining")+"\n")}, []string{"41 up", "42 (up)", "43 draining"}, []string{all, since(41)}},
		"indented, in pieces":            {[]answer{first, watch(silent, indented(42, "draining")[:30], indented(42, "draining")[30:])}, []string{"41 up", "42 draining"}, []string{all, since(41)}},
		"turned away":                    {[]answer{status(503), first, status(503), last}, []string{"41 up", "43 draining"}, []string{all, all, since(41), since(41)}},
		"a list of none":                 {[]answer{whole(`{"revision":41,"complete":true,"members":[]}`), last}, []string{"41 (none)", "43 draining"}, []string{all, since(41)}},
		"what can't be read":             {[]answer{first, watch(silent, "nonsense\n"), whole(message(42, true, "draining"))}, []string{"41 up", "42 draining"}, []string{all, since(41), all}},
		"a message with a fault":         {[]answer{first, watch(silent, message(42, false, "gone?")+"\n"), whole(message(42, true, "draining"))}, []string{"41 up", "42 draining"}, []string{all, since(41), all}},
		"an older change":                {[]answer{first, watch(silent, message(40, false, "up")+"\n"), whole(message(42, true, "draining"))}, []string{"41 up", "41 (up)", "42 draining"}, []string{all, since(41), all}},
		"an older change that forbids":   {[]answer{first, watch(silent, message(40, false, "draining")+"\n"), whole(message(42, true, "up"))}, []string{"41 up", "41 draining", "42 up"}, []string{all, since(41), all}},
		"all of an older list, drained":  {[]answer{whole(message(41, true, "draining")), watch(silent, "nonsense\n"), whole(message(40, true, "up")), whole(message(42, true, "up"))}, []string{"41 draining", "41 (draining)", "42 up"}, []string{all, since(41), all, all}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, c.answers...)
			b.silence, b.patience = time.Second, time.Second // the bed answers at once or not at all
			b.again.BusyFirst, b.again.BusyMax = time.Millisecond, time.Millisecond
			b.follow(t, c.told...)
			b.mu.Lock()
			defer b.mu.Unlock()
			if got := b.asked[:min(len(b.asked), len(c.asked))]; !slices.Equal(got, c.asked) {
				t.Errorf("asked %q, want %q", got, c.asked)
			}
		})
	}
}

// A reset within a body that has no length is no end of it, though what came before could pass for all.
func TestResetIsNoEnd(t *testing.T) {
	b := newBed(t, endless(message(41, true, "up"), resets), whole(message(42, true, "draining")), silent)
	b.patience = patience
	b.follow(t, "42 draining")
}

// Discovery that has only older lists for a while began anew: theirs is the list now.
func TestDiscoveryBeganAnew(t *testing.T) {
	b := newBed(t, whole(message(41, true, "draining")), watch(ends), watch(silent, message(7, true, "up")+"\n"),
		whole(message(7, true, "up")), whole(message(7, true, "up")), watch(silent, message(8, false, "draining")+"\n"))
	var mu sync.Mutex
	at := time.Unix(1, 0)
	b.now = func() time.Time { // each look at the clock is 0.7 s later
		mu.Lock()
		defer mu.Unlock()
		at = at.Add(700 * time.Millisecond)
		return at
	}
	b.follow(t, "41 draining", "41 (draining)", "41 (draining)", "7 up", "8 draining")
}

// One discovery service for all gateways has a line, and serves those too who have left it: also a gateway that holds no list yet
// must wait for its turn.
func TestSharedDiscoveryIsWaitedFor(t *testing.T) {
	for _, have := range []bool{true, false} {
		b := newBed(t)
		b.Shared(have, 41, 3)
		if b.patience != lineTime {
			t.Errorf("have %v: %v", have, b.patience)
		}
		if b.have != have {
			t.Errorf("have %v, want %v", b.have, have)
		}
	}
}

// A client that is told to move while a watch is silent reads the new list at once, whatever its revision.
func TestMoveUnderASilentWatch(t *testing.T) {
	next := newBed(t, whole(message(3, true, "draining")))
	b := newBed(t, whole(message(41, true, "up")), func(c *net.TCPConn) bool { return silent(c) })
	b.silence, b.patience = patience, patience
	old := b.listed
	b.listed = func(l core.EndpointUpdate) error {
		if l.List.Version == 41 {
			addr, _ := next.where.Current()
			b.Move(addr)
		}
		return old(l)
	}
	b.follow(t, "41 up", "3 draining")
}

// Messages are found whole wherever what came was cut, and white space shows that a watch is alive.
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
			t.Errorf("%q read whole gives %q and %v, in steps %q and %v", text, a, errA, b, errB)
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
