package front

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"dewhitch/internal/resp"
)

// How a session's answers are written.
const (
	keptBuffer = 16 << 10        // a larger buffer of answers is not kept
	sendTime   = 5 * time.Second // a client that takes nothing for so long has gone
	sendWaits  = 10              // looks at whether it has taken something meanwhile
)

// write sends answers as they come into order.
func (s *session) write() {
	defer s.cancel()
	var buf []byte
	var marks []mark
	for {
		s.mu.Lock()
		buf, s.out = s.out, buf[:0]
		marks, s.marks = s.marks, marks[:0]
		value := s.value
		if s.life.state == stateClosing && len(s.slots) == 0 && len(buf) == 0 && value == nil {
			s.life.shut(time.Now())
			s.conn.SetReadDeadline(s.life.goneBy)
		}
		over := s.life.state == stateClosed
		s.mu.Unlock()
		if over {
			settle(marks, 0)
			if value != nil {
				value.end(Cut)
			}
			if tcp, ok := s.conn.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			return
		}
		if len(buf) == 0 && value == nil {
			<-s.wake
			continue
		}
		n, err := s.send(buf)
		settle(marks, n)
		if value != nil {
			fate := Written
			if err == nil {
				err = s.copy(value.value)
			}
			if err != nil {
				fate = Cut // the client can tell by the length that it is not whole
			}
			value.end(fate)
		}
		if err != nil {
			// Danger: read may be waiting for room, which only this goroutine makes. It would wait for good, and with it
			// the session's place and all that it holds.
			s.mu.Lock()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				s.because(ClosedUnread)
			}
			s.life.abandon(time.Now())
			s.room.Broadcast()
			s.mu.Unlock()
			s.conn.Close() // read sees the end
			return
		}
		s.mu.Lock()
		s.paid(len(buf))
		if value != nil {
			s.paid(1)
			s.value = nil
			s.busy = time.Now()
			s.gather()
		}
		s.room.Signal()
		s.mu.Unlock()
		if cap(buf) > keptBuffer {
			buf = nil
		}
	}
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// send writes b whole. A client may read slowly, but must take something every so often. Danger: a write that takes a little at
// once and then waits for its whole time tells nothing of when; by one long wait a client that reads nothing was given two.
func (s *session) send(b []byte) (n int, err error) {
	for waits := 0; n < len(b); {
		s.conn.SetWriteDeadline(time.Now().Add(sendTime / sendWaits))
		m, err := s.conn.Write(b[n:])
		if n += m; m > 0 {
			waits = 0
		} else {
			waits++
		}
		if err != nil && (waits >= sendWaits || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return n, err
		}
	}
	return n, nil
}

// copy writes a value and the end of its bulk string. It guards the memory: of all that a server sends, no more is held
// than a piece, and no more is read than the client takes.
func (s *session) copy(v Value) error {
	buf := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(buf)
	for {
		n, err := v.Read(buf[:])
		if errors.Is(err, io.EOF) {
			_, err = s.send([]byte(resp.End))
			return err
		}
		if err == nil {
			_, err = s.send(buf[:n])
		}
		if err != nil {
			return err
		}
	}
}

const pieceSize = 16 << 10

var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// paid takes note that n bytes of answers wait no longer; the lock is held.
func (s *session) paid(n int) {
	n = min(n, s.owed) // a session that is lost has let go of all
	s.owed -= n
	s.bounds.waiting.Add(-int64(n))
}
