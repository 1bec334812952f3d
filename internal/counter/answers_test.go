package counter

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger/recorder"
)

// scriptedConn is a connection whose reads return the results of a list of functions, then io.EOF.
type scriptedConn struct {
	net.Conn
	reads []func() (string, error)
}

func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

func (c *scriptedConn) Read(b []byte) (int, error) {
	if len(c.reads) == 0 {
		return 0, io.EOF
	}
	text, err := c.reads[0]()
	c.reads = c.reads[1:]
	return copy(b, text), err
}

// TestRecentCallOnIdleConnection guards against closing an idle connection whose read deadline expires just after a call was
// written to it. The call isn't overdue, so its answer is still read.
func TestRecentCallOnIdleConnection(t *testing.T) {
	inFlight := make(chan *call, 1)
	var outcome atomic.Int32
	written := &call{recorder: recorder.Discard{}, timer: time.NewTimer(time.Hour), writtenAt: time.Now(),
		done: func(o dw.Outcome, _ float64) { outcome.Store(int32(o) + 1) }}
	written.state.Store(callWritten)
	readAnswers(&scriptedConn{reads: []func() (string, error){
		func() (string, error) { inFlight <- written; return "", os.ErrDeadlineExceeded },
		func() (string, error) { return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7", nil },
	}}, inFlight, time.Hour)
	if outcome.Load() != int32(dw.OutcomeOK)+1 {
		t.Errorf("got outcome %d, expected dw.OutcomeOK", outcome.Load()-1)
	}
}
