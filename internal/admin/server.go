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

// Gateway carries out the operators' calls. Its methods are called on any goroutine, also at the same time, and may not block for
// long, as a call is answered within a second.
type Gateway interface {
	Ready() bool
	AppendTelemetry([]byte) []byte // one line of JSON
	Exclude(id string) error       // fails for a server that was never listed
	Include(id string) error       // fails as Exclude does
	Drain(on bool)
}

// Bounds of the callers.
const (
	MaxCallers  = 32              // connections at once; when all are in use, the oldest is closed
	callTimeout = 3 * time.Second // from the connection to the end of the line
	sendTimeout = time.Second     // for the answer
)

// Server serves operators' calls at one address. Its exported fields are set before Serve.
type Server struct {
	Listener net.Listener
	Gateway  Gateway
	Log      *zap.Logger

	mu       sync.Mutex
	callers  []net.Conn     // the oldest first
	handlers sync.WaitGroup // of callers
}

// Serve answers calls until the context ends, which closes the connections of callers that have not sent their line, and returns
// after the last caller. A fault of the listener ends it with that error.
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

// admit adds a caller, in place of the oldest if there are MaxCallers: connections that send nothing must not keep an operator out.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callers) >= MaxCallers {
		s.callers[0].Close() // its goroutine sees that, and releases it
		s.callers = s.callers[1:]
	}
	s.callers = append(s.callers, conn)
}

// release closes a caller's connection and removes the caller, if it is still there.
func (s *Server) release(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.callers, conn); i >= 0 {
		s.callers = append(s.callers[:i], s.callers[i+1:]...)
	}
}

// answer reads one line and answers it. A caller that leaves or does not send its line in time gets no answer.
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
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// execute carries out the call of one line and returns its answer.
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

// appendError appends the answer to a call that failed: one line, without control characters.
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
