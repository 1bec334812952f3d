package admin

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/sockets"
)

// Gateway executes the operators' calls. Its methods are called from several goroutines concurrently and must not block for
// long, as a call is answered within a second.
type Gateway interface {
	Ready() bool                   // returns true if clients may be sent to the gateway
	AppendTelemetry([]byte) []byte // appends the figures as one line of JSON
	Exclude(id string) error       // sends no new work to a server; fails if it was never listed
	Include(id string) error       // ends an exclusion; fails if the server was never listed
	Drain(on bool)                 // starts or ends a drain of the gateway
}

// Bounds of the callers' connections.
const (
	MaxCallers  = 32              // maximum number of open connections; a further one closes the oldest
	callTimeout = 3 * time.Second // time from the connection to the end of the call's line
	sendTimeout = time.Second     // time to send the answer
)

// Server serves operators' calls at one address. Its exported fields are set before Serve and not changed afterwards.
type Server struct {
	Listener net.Listener
	Gateway  Gateway
	Log      *zap.Logger

	mu       sync.Mutex
	callers  []net.Conn     // open connections, the oldest first
	handlers sync.WaitGroup // goroutines that handle a caller
}

// Serve answers calls until the context ends. It then closes the listener and all connections, waits for the goroutines of the
// callers, and returns nil. If the listener fails before, Serve returns that error.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.Listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.callers {
			c.Close()
		}
	})
	defer stop()
	defer s.handlers.Wait()
	for {
		conn, err := sockets.Accept(s.Listener, s.Log, "an operator's call")
		if errors.Is(err, sockets.ErrEnded) {
			return nil
		} else if err != nil {
			return err
		}
		s.admit(conn)
		s.handlers.Go(func() {
			defer s.release(conn)
			s.answer(conn)
		})
	}
}

// admit adds a caller. If there are MaxCallers already, it closes the connection of the oldest, so that connections that send
// nothing can't keep an operator from calling.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callers) >= MaxCallers {
		s.callers[0].Close() // its goroutine then fails to read and releases the connection
		s.callers = s.callers[1:]
	}
	s.callers = append(s.callers, conn)
}

// release closes a caller's connection and removes it from callers, unless admit did so already.
func (s *Server) release(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.callers, conn); i >= 0 {
		s.callers = append(s.callers[:i], s.callers[i+1:]...)
	}
}

// answer reads one line and answers it. A caller that disconnects or does not send its line in time gets no answer.
func (s *Server) answer(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(callTimeout))
	r := bufio.NewReaderSize(conn, MaxLine)
	line, err := r.ReadSlice('\n')
	var out []byte
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		out = appendError(nil, ErrLineTooLong)
	case err != nil:
		return
	default:
		out = s.execute(line[:len(line)-1])
	}
	conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	conn.Write(out)
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

// execute executes the call of one line and returns the answer.
func (s *Server) execute(line []byte) []byte {
	c, err := Parse(line)
	if err != nil {
		return appendError(nil, err)
	}
	switch c.Verb {
	case Readyz:
		if !s.Gateway.Ready() {
			return []byte("NO not ready\n")
		}
	case Telemetry:
		return append(s.Gateway.AppendTelemetry(nil), "\nEND\n"...)
	case Exclude:
		err = s.Gateway.Exclude(c.ID)
	case Include:
		err = s.Gateway.Include(c.ID)
	case Evacuate:
		s.Gateway.Drain(true)
	case Activate:
		s.Gateway.Drain(false)
	}
	if err != nil {
		return appendError(nil, err)
	}
	return []byte("YES\n")
}

// appendError appends the answer to a failed call: one line, with spaces for control characters.
func appendError(b []byte, err error) []byte {
	b = append(b, "NO "...)
	for _, c := range []byte(err.Error()) {
		if c < ' ' || c == 0x7f {
			c = ' '
		}
		b = append(b, c)
	}
	return append(b, '\n')
}
