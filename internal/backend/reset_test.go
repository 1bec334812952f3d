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

// Guards against a command that is delivered after its attempt has ended, and then executed for a client that already has its
// answer or has disconnected. If the connection is closed without a reset, the kernel goes on sending what was written before,
// behind a partition for minutes. The server then received all 32,886 bytes of a cancelled or timed-out command in 3 runs of 3.
// conn.resetOnClose prevents this.
func TestCancelledCommandIsNotDelivered(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		cancel  bool
		want    dw.Outcome
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
			p.Start(core.Attempt{RequestID: "a", Backend: core.Backend{ID: 1, Addr: server.Addr()}, Deadline: time.Now().Add(c.timeout),
				Request: &core.Request{ClassName: "booking", Units: 1, Spread: 1, Message: core.Message{Name: "n", Body: body}}},
				func(s core.Stream) { s.Close() }, func(e core.AttemptResult) { ended <- e })
			conn := <-server.Conns
			defer conn.Close()
			<-written
			if c.cancel {
				p.Cancel("a", 0)
			}
			if result := <-ended; result.Outcome != c.want {
				t.Errorf("got outcome %v, expected %v", result.Outcome, c.want)
			}
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			got, err := io.ReadAll(conn)
			if bytes.HasSuffix(got, []byte("x\r\n")) {
				t.Errorf("the server received all %d bytes of a command whose attempt had ended, and then error %v", len(got), err)
			}
		})
	}
}
