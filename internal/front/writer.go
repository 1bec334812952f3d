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
	maxReusedBuffer  = 16 << 10        // bytes; a larger buffer of answers is not reused
	sendTimeout      = 5 * time.Second // of a client that reads nothing
	maxStalledWrites = 10              // writes, within sendTimeout, that may take nothing
	valueChunkSize   = 16 << 10        // bytes of a large value in memory at once
)

// chunkBuffers are buffers for large values.
var chunkBuffers = sync.Pool{New: func() any { return new([valueChunkSize]byte) }}

// batch is what the writer writes at once: answers, and the value that follows them.
type batch struct {
	answers    []byte
	answerEnds []answerEnd
	streamed   *Slot // nil: none
}

// write writes answers in the order of their commands until the session ends. It is the session's writing goroutine.
func (s *session) write() {
	defer s.cancel()
	var b batch
	for {
		ended := s.nextBatch(&b)
		if ended {
			s.discardBatch(b)
			return
		}
		if len(b.answers) == 0 && b.streamed == nil {
			<-s.wake
			continue
		}
		if err := s.writeBatch(b); err != nil {
			s.abandonAfterWriteError(err)
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
func (s *session) nextBatch(b *batch) (ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.answers, s.unwritten = s.unwritten, b.answers[:0]
	b.answerEnds, s.answerEnds = s.answerEnds, b.answerEnds[:0]
	b.streamed = s.streaming
	if s.lifecycle.state == stateClosing && len(s.slots) == 0 && len(b.answers) == 0 && b.streamed == nil {
		s.lifecycle.closeWrite(time.Now())
		s.conn.SetReadDeadline(s.lifecycle.closeAt)
	}
	return s.lifecycle.state == stateClosed
}

// discardBatch reports answers as cut that can't be written any more, and ends the sending side of the connection.
func (s *session) discardBatch(b batch) {
	settleAnswers(b.answerEnds, 0)
	if b.streamed != nil {
		b.streamed.settleValue(WriteFailed)
	}
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// writeBatch writes a batch, and reports what became of its answers. A client can tell by its length that a value is incomplete.
func (s *session) writeBatch(b batch) error {
	n, err := s.send(b.answers)
	settleAnswers(b.answerEnds, n)
	if b.streamed == nil {
		return err
	}
	if err == nil {
		err = s.copyValue(b.streamed.value)
	}
	outcome := Written
	if err != nil {
		outcome = WriteFailed
	}
	b.streamed.settleValue(outcome)
	return err
}

// abandonAfterWriteError ends a session that nothing can be written to any more. It wakes the reader, which may wait for capacity that only
// the writer releases.
func (s *session) abandonAfterWriteError(err error) {
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
	if b.streamed != nil {
		s.releaseUnsent(streamingBytes)
		s.streaming = nil
		s.lastPendingAt = time.Now()
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
	for stalledWrites := 0; n < len(b); {
		s.conn.SetWriteDeadline(time.Now().Add(sendTimeout / maxStalledWrites))
		m, err := s.conn.Write(b[n:])
		n += m
		if m > 0 {
			stalledWrites = 0
		} else {
			stalledWrites++
		}
		if err != nil && (stalledWrites >= maxStalledWrites || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return n, err
		}
	}
	return n, nil
}

// copyValue writes a value and the end of its bulk string, a piece at a time: no more is in memory, and no more is read from
// the backend than the client reads.
func (s *session) copyValue(v Value) error {
	buf := chunkBuffers.Get().(*[valueChunkSize]byte)
	defer chunkBuffers.Put(buf)
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
