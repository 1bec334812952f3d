package backend

import (
	"bytes"
	"cmp"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
)

// stuckServer takes connections and reads nothing. Its receive buffer is small, so that most of a command stays with the
// gateway's kernel, as all of it does while a way is cut.
func stuckServer(t *testing.T) (core.Backend, <-chan net.Conn) {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		fault := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		return cmp.Or(fault, err)
	}}
	l, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			conns <- c
		}
	}()
	t.Cleanup(func() { l.Close() })
	return core.Backend{ID: 1, Addr: l.Addr().String()}, conns
}

// What happens: an attempt is given up while its command, written whole, is still on its way; the server reads on later, finds the
// whole command and runs it, for a client that has its answer or has gone. Why: the connection was closed in order, and a kernel
// goes on sending what was written before that, behind a partition for minutes. What showed it: of a command that was withdrawn
// or whose time was up, the server was sent all 32,886 bytes after the end, 3 runs of 3. Mended in conn.resetOnClose.
func TestGivenUpCommandIsNotDelivered(t *testing.T) {
	for name, end := range map[string]struct {
		wait   time.Duration
		cancel bool
		want   dw.Outcome
	}{
		"withdrawn": {patience, true, dw.OutcomeCancelled},
		"timed out": {300 * time.Millisecond, false, dw.OutcomeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			server, conns := stuckServer(t)
			p := New(Names{Plans: []string{"basic"}}, Limits{Conns: 8, Idle: time.Minute, Connect: patience}, noBooks{})
			written := make(chan struct{})
			p.Dispatched = func(string) { close(written) }
			ended := make(chan core.FetchEnd, 1)
			body := bytes.Repeat([]byte("x"), 32<<10)
			p.Start(core.Fetch{Req: "a", Backend: server, Until: time.Now().Add(end.wait),
				Source: &core.Req{Named: "booking", Units: 1, Spread: 1, Message: core.Message{Name: "n", Body: body}}},
				func(s core.Stream) { s.Close() }, func(e core.FetchEnd) { ended <- e })
			conn := <-conns
			defer conn.Close()
			<-written
			if end.cancel {
				p.Cancel("a", 0)
			}
			if e := <-ended; e.Outcome != end.want {
				t.Errorf("outcome %v, want %v", e.Outcome, end.want)
			}
			conn.SetReadDeadline(time.Now().Add(patience))
			got, err := io.ReadAll(conn)
			if bytes.HasSuffix(got, []byte("x\r\n")) {
				t.Errorf("the server was sent all %d bytes of a command that was given up before, and then %v", len(got), err)
			}
		})
	}
}
