package backend

import (
	"bytes"
	"io"
	"testing"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/standin"
)

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
		"withdrawn": {testTimeout, true, dw.OutcomeCancelled},
		"timed out": {300 * time.Millisecond, false, dw.OutcomeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewNonReadingPeer()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			p := New(Names{Plans: []string{"basic"}}, Limits{MaxConns: 8, BackendIdleTimeout: time.Minute, ConnectTimeout: testTimeout}, noRecorder{})
			written := make(chan struct{})
			p.Dispatched = func(string) { close(written) }
			ended := make(chan core.AttemptResult, 1)
			body := bytes.Repeat([]byte("x"), 32<<10)
			p.Start(core.Attempt{RequestID: "a", Backend: core.Backend{ID: 1, Addr: server.Addr()}, Deadline: time.Now().Add(end.wait),
				Request: &core.Request{ClassName: "booking", Units: 1, Spread: 1, Message: core.Message{Name: "n", Body: body}}},
				func(s core.Stream) { s.Close() }, func(e core.AttemptResult) { ended <- e })
			conn := <-server.Conns
			defer conn.Close()
			<-written
			if end.cancel {
				p.Cancel("a", 0)
			}
			if e := <-ended; e.Outcome != end.want {
				t.Errorf("outcome %v, want %v", e.Outcome, end.want)
			}
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			got, err := io.ReadAll(conn)
			if bytes.HasSuffix(got, []byte("x\r\n")) {
				t.Errorf("the server was sent all %d bytes of a command that was given up before, and then %v", len(got), err)
			}
		})
	}
}
