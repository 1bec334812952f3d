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
	maxReusedBuffer = 16 << 10        // bytes; a larger buffer of answers is not reused
	sendTimeout     = 5 * time.Second // of a client that reads nothing
	sendWaits       = 10              // writes, within sendTimeout, that may take nothing
	valuePiece      = 16 << 10        // bytes of a large value in memory at once
)

// pieces are buffers for large values.
var pieces = sync.Pool{New: func() any { return new([valuePiece]byte) }}

// batch is what the writer writes at once: answers, and the value that follows them.
type batch struct {
	answers []byte
	marks   []mark
	value   *Slot // nil: none
}

// write writes answers in the order of their commands until the session ends. It is the session's writing goroutine.
func (s *session) write() {
	defer s.cancel()
	var b batch
	for {
		over := s.nextBatch(&b)
		if over {
			s.discardBatch(b)
			return
		}
		if len(b.answers) == 0 && b.value == nil {
			<-s.wake
			continue
		}
		if err := s.writeBatch(b); err != nil {
			s.writeFailed(err)
			return
		}
		s.batchWritten(b)
		if cap(b.answers) > maxReusedBuffer {
			b.answers = nil
		}
	}
}

// nextBatch takes what is to be written, in exchange for the buffers of the last batch. Once all is written and nothing more is
// read, it shuts the session, which is over then.
func (s *session) nextBatch(b *batch) (over bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.answers, s.unwritten = s.unwritten, b.answers[:0]
	b.marks, s.marks = s.marks, b.marks[:0]
	b.value = s.streaming
	if s.lifecycle.state == stateClosing && len(s.slots) == 0 && len(b.answers) == 0 && b.value == nil {
		s.lifecycle.shut(time.Now())
		s.conn.SetReadDeadline(s.lifecycle.closeAt)
	}
	return s.lifecycle.state == stateClosed
}

// discardBatch reports answers as cut that can't be written any more, and ends the sending side of the connection.
func (s *session) discardBatch(b batch) {
	settleMarks(b.marks, 0)
	if b.value != nil {
		b.value.end(WriteFailed)
	}
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// writeBatch writes a batch, and reports what became of its answers. A client can tell by its length that a value is incomplete.
func (s *session) writeBatch(b batch) error {
	n, err := s.send(b.answers)
	settleMarks(b.marks, n)
	if b.value == nil {
		return err
	}
	if err == nil {
		err = s.copyValue(b.value.value)
	}
	fate := Written
	if err != nil {
		fate = WriteFailed
	}
	b.value.end(fate)
	return err
}

// writeFailed ends a session that nothing can be written to any more. It wakes the reader, which may wait for capacity that only
// the writer releases.
func (s *session) writeFailed(err error) {
	s.mu.Lock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.setCloseReason(ClosedUnread)
	}
	s.lifecycle.abandon(time.Now())
	s.capacity.Broadcast()
	s.mu.Unlock()
	s.conn.Close() // the reader's Read returns
}

// batchWritten releases the capacity of a batch, and gathers the answers behind its value.
func (s *session) batchWritten(b batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseUnsent(len(b.answers))
	if b.value != nil {
		s.releaseUnsent(streamingBytes)
		s.streaming = nil
		s.lastOwedAt = time.Now()
		s.gatherAnswers()
	}
	s.capacity.Signal()
}

// wakeWriter has the writer look for a batch; it never blocks.
func (s *session) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// send writes all of b. The client may read slowly, but must read something within sendTimeout. The wait is divided into
// sendWaits, as the time of one write doesn't tell when it last made progress: one long wait could last twice the time-out.
func (s *session) send(b []byte) (n int, err error) {
	for waits := 0; n < len(b); {
		s.conn.SetWriteDeadline(time.Now().Add(sendTimeout / sendWaits))
		m, err := s.conn.Write(b[n:])
		n += m
		if m > 0 {
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

// copyValue writes a value and the end of its bulk string, a piece at a time: no more is in memory, and no more is read from
// the backend than the client reads.
func (s *session) copyValue(v Value) error {
	buf := pieces.Get().(*[valuePiece]byte)
	defer pieces.Put(buf)
	for {
		n, err := v.Read(buf[:])
		if errors.Is(err, io.EOF) {
			_, err = s.send([]byte(resp.BulkEnd))
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

// releaseUnsent counts n bytes of answers as sent; the lock is held. An abandoned session has released all of its bytes before.
func (s *session) releaseUnsent(n int) {
	n = min(n, s.unsentBytes)
	s.unsentBytes -= n
	s.bounds.unsentTotal.Add(-int64(n))
}
