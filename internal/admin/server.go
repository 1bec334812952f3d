package admin

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/sockets"
)

// Gateway carries out the calls; none of its methods may block for long, as every answer is due within a second.
type Gateway interface {
	Ready() bool
	AppendTelemetry([]byte) []byte // one line of JSON
	Exclude(id string) error       // an id never listed is an error
	Include(id string) error
	Drain(on bool)
}

// The bounds of the callers.
const (
	Callers  = 32              // connections at once; when all are taken, the oldest makes room
	callTime = 3 * time.Second // from connecting to the end of the line
	sendTime = time.Second     // for the answer
)

// Server takes operators' calls at one address.
type Server struct {
	Listener net.Listener
	Gateway  Gateway
	Log      *zap.Logger

	mu      sync.Mutex
	callers []net.Conn // the oldest first
	all     sync.WaitGroup
}

// Serve answers calls until the context ends, and returns when the last caller has been answered or let go. A listener that
// breaks ends it with an error.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.Listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.callers { // none waits for its line once the gateway has ended
			c.Close()
		}
	})
	defer stop()
	defer s.all.Wait()
	for {
		conn, err := sockets.Accept(s.Listener, s.Log, "an operator's call")
		if errors.Is(err, sockets.ErrEnded) {
			return nil
		} else if err != nil {
			return err
		}
		s.hold(conn)
		s.all.Go(func() {
			defer s.let(conn)
			s.answer(conn)
		})
	}
}

// hold keeps a caller among those that count. Danger: callers that connect and say nothing, or half a line, must
// not keep an operator out; the one that has waited longest goes first.
func (s *Server) hold(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callers) >= Callers {
		s.callers[0].Close() // its goroutine sees the end and lets it go
		s.callers = s.callers[1:]
	}
	s.callers = append(s.callers, conn)
}

func (s *Server) let(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.callers {
		if c == conn {
			s.callers = append(s.callers[:i], s.callers[i+1:]...)
			break
		}
	}
}

// answer reads one line and answers it.
func (s *Server) answer(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(callTime))
	r := bufio.NewReaderSize(conn, MaxLine)
	line, err := r.ReadSlice('\n')
	var out []byte
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		out = no(nil, ErrLong)
	case err != nil:
		return // gone, or too slow: there is nobody to answer
	default:
		out = s.do(line[:len(line)-1])
	}
	conn.SetWriteDeadline(time.Now().Add(sendTime))
	conn.Write(out)
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// do carries out one line and words its answer.
func (s *Server) do(line []byte) []byte {
	c, err := Parse(line)
	if err != nil {
		return no(nil, err)
	}
	g := s.Gateway
	switch c.Verb {
	case Readyz:
		if !g.Ready() {
			return []byte("NO not ready\n")
		}
	case Telemetry:
		out := g.AppendTelemetry(nil)
		return append(out, "\nEND\n"...)
	case Exclude:
		err = g.Exclude(c.ID)
	case Include:
		err = g.Include(c.ID)
	case Evacuate:
		g.Drain(true)
	case Activate:
		g.Drain(false)
	}
	if err != nil {
		return no(nil, err)
	}
	return []byte("YES\n")
}

func no(b []byte, err error) []byte {
	b = append(b, "NO "...)
	for _, c := range []byte(err.Error()) {
		if c < ' ' || c == 0x7f {
			c = ' '
		}
		b = append(b, c)
	}
	return append(b, '\n')
}
