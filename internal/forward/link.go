package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
	"dewhitch/internal/memory"
	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

const (
	dialTimeout    = 250 * time.Millisecond // limit for connecting to a planner
	writeTimeout   = time.Second            // limit for writing one command
	readBufferSize = 4 << 10                // bytes of the buffer for answers
	receiveBuffer  = 8 << 10                // bytes that the system may hold unread of a planner
	minLongAnswer  = 2 << 10                // bytes of an answer above which its memory is acquired before it is read
)

// link is a connection to a planner. Commands are pipelined: the session's goroutine sends them, and a goroutine of the link
// reads the answers, which arrive in the order of the commands.
type link struct {
	conn   net.Conn
	addr   string // address of the planner, as host:port
	log    *zap.Logger
	memory *memory.Account // account of long answers; nil if they are not limited
	ctx    context.Context // ends when the link is closed
	cancel context.CancelFunc
	lost   atomic.Bool // whether the connection has failed, so that nothing can be sent; set under mu

	mu       sync.Mutex
	inFlight []inFlightCommand // commands without an answer, in the order in which they were sent
}

// inFlightCommand is a command that was sent and has no answer yet.
type inFlightCommand struct {
	command *pendingCommand
	timer   *time.Timer // closes the link if no answer arrives in time
}

// dialPlanner connects to a planner. It sets the linger time to 0, so that closing the connection or ending this process
// resets the connection and discards what the kernel has not delivered yet. Otherwise a planner that hangs, or is behind a
// partition, would later read a command that was given up, and would handle it as a new one with its full deadline.
func dialPlanner(addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockets.ControlBuffers(receiveBuffer, 0)}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// send writes a command, whose answer must arrive within timeout, and does not wait for it. It returns true if the command was
// written completely. Otherwise the planner has applied nothing, and the link is lost.
func (l *link) send(encoded []byte, p *pendingCommand, timeout time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost.Load() {
		return false
	}
	p.post(ledger.PlanSent)
	p.post(ledger.AttemptStarted)
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if n, _ := l.conn.Write(encoded); n < len(encoded) {
		l.lost.Store(true)
		l.close()
		p.post(ledger.AttemptNotSent)
		p.post(ledger.PlanNotified)
		return false
	}
	// A planner answers every command by its deadline. If it does not, it hangs or is unreachable, so the link is closed.
	timer := time.AfterFunc(max(0, timeout), l.close)
	l.inFlight = append(l.inFlight, inFlightCommand{command: p, timer: timer})
	return true
}

// close ends the link. Repeated calls do nothing.
func (l *link) close() {
	l.cancel()
	l.conn.Close()
}

// reserve acquires the memory of a part of an answer if it is long. It waits if there is none, until the link is closed: nothing is read
// from the planner meanwhile.
func (l *link) reserve(acquired *int64, length int) error {
	if l.memory == nil || length <= minLongAnswer {
		return nil
	}
	if err := l.memory.Acquire(l.ctx, memory.Answers, int64(length)); err != nil {
		return err
	}
	*acquired += int64(length)
	return nil
}

// read completes the commands with the planner's answers, in order. When the link is lost, it fails the commands in flight.
func (l *link) read() {
	r := resp.NewReader(l.conn, readBufferSize)
	acquired := int64(0)
	r.BeforeBulk = func(length int) error { return l.reserve(&acquired, length) }
	for {
		acquired = 0
		v, err := r.ReadValue()
		hold := memory.NewHold(l.memory, memory.Answers, acquired)
		l.mu.Lock()
		if err != nil || len(l.inFlight) == 0 { // an unsolicited answer breaks the order of answers
			hold.Release()
			break
		}
		oldest := l.inFlight[0]
		l.inFlight = l.inFlight[1:]
		l.mu.Unlock()
		oldest.timer.Stop()
		oldest.command.complete(v, hold)
	}
	l.lost.Store(true)
	unanswered := l.inFlight
	l.inFlight = nil
	l.mu.Unlock()
	l.close()
	for _, c := range unanswered {
		c.timer.Stop()
		c.command.fail()
	}
	if len(unanswered) > 0 {
		l.log.Warn("the connection to a planner was lost with commands in flight", zap.String("planner", l.addr), zap.Int("commands", len(unanswered)))
	}
}
