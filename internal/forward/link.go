package forward

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
	"dewhitch/internal/resp"
)

const (
	dialTimeout    = 250 * time.Millisecond
	writeTimeout   = time.Second // of one command
	readBufferSize = 4 << 10     // bytes
)

// link is a connection to a planner. Calls are pipelined: the session's goroutine sends, and a goroutine of the link reads the
// answers, which come in the order of the calls.
type link struct {
	conn net.Conn
	addr string // of the planner, as host:port
	log  *zap.Logger
	lost atomic.Bool // nothing can be sent any more; set under mu

	mu       sync.Mutex
	inFlight []inFlightCall // in order
}

// inFlightCall is a call whose answer is waited for.
type inFlightCall struct {
	call  *call
	timer *time.Timer // closes the link at the end of the wait
}

// dialPlanner connects to a planner. A close of the connection, or the end of this process, discards what the kernel has not
// delivered yet, and resets it. Otherwise a planner that hangs, or is behind a partition, would find a command after it was
// given up, and take it for a new one with all of its time before it.
func dialPlanner(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// send writes a command, whose answer is waited for until timeout has passed. It reports whether the command was written
// completely; if not, the planner has applied nothing, and the link is lost.
func (l *link) send(command []byte, k *call, timeout time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost.Load() {
		return false
	}
	k.post(ledger.PlanSent)
	k.post(ledger.AttemptStarted)
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if n, _ := l.conn.Write(command); n < len(command) {
		l.lost.Store(true)
		l.conn.Close()
		k.post(ledger.AttemptNotSent)
		k.post(ledger.PlanNotified)
		return false
	}
	// A planner that does not answer in time, though it would by itself, hangs or is cut off: the link is closed.
	timer := time.AfterFunc(max(0, timeout), func() { l.conn.Close() })
	l.inFlight = append(l.inFlight, inFlightCall{call: k, timer: timer})
	return true
}

// read settles the calls with the answers, in order, and fails those in flight when the link is lost.
func (l *link) read() {
	r := resp.NewReader(l.conn, readBufferSize)
	for {
		v, err := r.ReadValue()
		l.mu.Lock()
		if err != nil || len(l.inFlight) == 0 { // an unsolicited answer: the planner can't be trusted
			break
		}
		oldest := l.inFlight[0]
		l.inFlight = l.inFlight[1:]
		l.mu.Unlock()
		oldest.timer.Stop()
		oldest.call.settle(v)
	}
	l.lost.Store(true)
	unanswered := l.inFlight
	l.inFlight = nil
	l.mu.Unlock()
	l.conn.Close()
	for _, w := range unanswered {
		w.timer.Stop()
		w.call.fail()
	}
	if len(unanswered) > 0 {
		l.log.Warn("the connection to a planner was lost with commands in flight", zap.String("planner", l.addr), zap.Int("commands", len(unanswered)))
	}
}
