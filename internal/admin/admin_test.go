package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

// TestParse checks the calls that lines are parsed to, and the texts of errors, which operators read.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		line string
		want Call
		err  string
	}{
		{"readyz", Call{Verb: Readyz}, ""},
		{"readyz\r", Call{Verb: Readyz}, ""},
		{"  TELEMETRY ", Call{Verb: Telemetry}, ""},
		{"exclude s-5be2a07c", Call{Verb: Exclude, ID: "s-5be2a07c"}, ""},
		{"include\ts-1", Call{Verb: Include, ID: "s-1"}, ""},
		{"evacuate", Call{Verb: Evacuate}, ""},
		{"activate", Call{Verb: Activate}, ""},
		{"", Call{}, "empty call"},
		{"exclude", Call{}, "exclude takes one server id"},
		{"exclude a b", Call{}, "exclude takes one server id"},
		{"readyz now", Call{}, "readyz takes no argument"},
		{"reboot", Call{}, `unknown call "reboot"`},
		{"exclude " + strings.Repeat("x", MaxID+1), Call{}, "server id of over 64 bytes"},
		{"readyz\x00", Call{}, "control characters in the call"},
		{strings.Repeat("a", MaxLine), Call{}, "line too long"},
	} {
		got, err := Parse([]byte(c.line))
		if c.err != "" {
			if err == nil || err.Error() != c.err {
				t.Errorf("%q: got error %v, want %q", c.line, err, c.err)
			}
			continue
		}
		if err != nil || got != c.want {
			t.Errorf("%q: got %+v, error %v, want %+v", c.line, got, err, c.want)
		}
	}
}

// FuzzParse checks that a line of any content is either rejected, or parsed to a known verb with an id if and only if the verb
// takes one, and that the id is part of the line.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"readyz", "exclude s-1", "include  s-2\r", "telemetry", "\xff\xfe", "evacuate x"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		c, err := Parse(line)
		if err != nil {
			return
		}
		if c.Verb < Readyz || c.Verb > Activate {
			t.Fatalf("unknown verb %d", c.Verb)
		}
		needsID := c.Verb == Exclude || c.Verb == Include
		if needsID != (c.ID != "") || len(c.ID) > MaxID || !strings.Contains(string(line), c.ID) {
			t.Fatalf("%q: unexpected call %+v", line, c)
		}
	})
}

// fakeGateway lists the server s-1 only, and records drains and exclusions.
type fakeGateway struct {
	mu       sync.Mutex
	drained  bool
	excluded map[string]bool
}

func (f *fakeGateway) Ready() bool                     { f.mu.Lock(); defer f.mu.Unlock(); return !f.drained }
func (f *fakeGateway) AppendTelemetry(b []byte) []byte { return append(b, `{"concurrent":0}`...) }
func (f *fakeGateway) Drain(on bool)                   { f.mu.Lock(); defer f.mu.Unlock(); f.drained = on }
func (f *fakeGateway) Exclude(id string) error         { return f.setExcluded(id, true) }
func (f *fakeGateway) Include(id string) error         { return f.setExcluded(id, false) }
func (f *fakeGateway) setExcluded(id string, excluded bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id != "s-1" {
		return errors.New("no server of this id was ever listed")
	}
	f.excluded[id] = excluded
	return nil
}

// startServer starts a server with a fakeGateway and returns its address. At the end of the test, it stops the server and checks
// that no goroutine remains.
func startServer(t *testing.T) string {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // after the server has ended
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{Listener: l, Gateway: &fakeGateway{excluded: map[string]bool{}}, Log: zap.NewNop()}
	done := make(chan error)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// call sends a line over a new connection, closes its sending side, and returns the whole answer.
func call(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, line)
	c.(*net.TCPConn).CloseWrite()
	out, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

// TestCalls checks the answers to a sequence of calls over TCP, each over its own connection. It guards against a call that has no
// effect on later ones, such as evacuate on readyz, and against an invalid line that is executed or gets the wrong error.
func TestCalls(t *testing.T) {
	addr := startServer(t)
	for _, c := range []struct{ line, want string }{
		{"readyz\n", "YES\n"},
		{"telemetry\n", "{\"concurrent\":0}\nEND\n"},
		{"exclude s-1\n", "YES\n"},
		{"exclude s-1\n", "YES\n"},
		{"exclude s-9\n", "NO no server of this id was ever listed\n"},
		{"include s-1\n", "YES\n"},
		{"evacuate\n", "YES\n"},
		{"readyz\n", "NO not ready\n"},
		{"activate\n", "YES\n"},
		{"readyz\r\n", "YES\n"},
		{"jump\n", "NO unknown call \"jump\"\n"},
		{strings.Repeat("x", 1000) + "\n", "NO line too long\n"},
		{"readyz\nreadyz\n", "YES\n"}, // only the first call of a connection is answered
		{"readyz", ""},                // an incomplete line gets no answer
	} {
		if got := call(t, addr, c.line); got != c.want {
			t.Errorf("%.20q: got answer %q, want %q", c.line, got, c.want)
		}
	}
}

// TestSilentCallersKeepNobodyOut guards against idle connections that use up MaxCallers, so that operators can't call. With three
// times MaxCallers connections, each of which has sent half a line, a call is still answered promptly.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	addr := startServer(t)
	var idle []net.Conn
	for range 3 * MaxCallers {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "read")
		idle = append(idle, c)
	}
	for range 5 {
		start := time.Now()
		if got := call(t, addr, "readyz\n"); got != "YES\n" {
			t.Fatalf("got answer %q, want YES", got)
		}
		if waited := time.Since(start); waited > callTimeout/2 { // a loose bound, as speed is not tested here
			t.Fatalf("call answered after %v, which is over half of callTimeout", waited)
		}
	}
	// The oldest connections were closed.
	idle[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := bufio.NewReader(idle[0]).ReadByte(); err == nil {
		t.Fatal("the connection of the oldest caller is still open")
	}
}
