package front

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"time"

	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

// Bounds on the writing of a session's answers.
const (
	maxReusedBuffer  = 2 << 10         // size in bytes above which a buffer of answers is not reused
	sendTimeout      = 5 * time.Second // time after which a client that reads nothing is disconnected
	maxStalledWrites = 10              // consecutive writes without progress that make up sendTimeout
	minSendPoll      = time.Millisecond
	maxSendPoll      = 16 * time.Millisecond // time between two checks whether the client has read something
)

// errValueCut is wrapped by the error of a streamed value that its backend does not complete.
var errValueCut = errors.New("the value is incomplete")

// batch holds what the writer writes before it takes more: encoded answers, and optionally a streamed value after them.
type batch struct {
	answers    []byte      // encoded answers
	answerEnds []answerEnd // ends of the answers that have an onSettled
	streamed   *Slot       // slot whose value follows the answers; nil if there is none
	count      int         // number of the answers, with the streamed one
}

// write writes answers in the order of their commands until the session ends. It runs on the session's writing goroutine.
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
		if err := s.writeBatch(b); errors.Is(err, errValueCut) {
			s.closeAfterCutValue()
			return
		} else if err != nil {
			s.abandonAfterWriteError(err)
			return
		}
		s.batchWritten(b)
		if cap(b.answers) > maxReusedBuffer {
			b.answers = nil
		}
	}
}

// nextBatch takes the next answers to write, in exchange for the buffers of the last batch. When everything is written and nothing more
// is read, it closes the writing side of the lifecycle. It returns true if nothing more may be written.
func (s *session) nextBatch(b *batch) (ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportWriterLate()
	b.answers, s.unwritten = s.unwritten, b.answers[:0]
	b.answerEnds, s.answerEnds = s.answerEnds, b.answerEnds[:0]
	b.streamed = s.streaming
	b.count, s.gatheredCount = s.gatheredCount, 0
	if s.lifecycle.state == stateClosing && len(s.slots) == 0 && len(b.answers) == 0 && b.streamed == nil {
		s.lifecycle.closeWrite(time.Now())
	}
	return s.lifecycle.state == stateClosed
}

// discardBatch reports WriteFailed for the answers of a batch that can no longer be written, and closes the sending side of the
// connection.
func (s *session) discardBatch(b batch) {
	settleAnswers(b.answerEnds, 0)
	if b.streamed != nil {
		b.streamed.settleValue(WriteFailed)
	}
	s.shutSendingSide()
}

// writeBatch writes a batch, and reports the outcomes of its answers. If a value is cut off, the client recognizes that by the
// announced length.
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

// abandonAfterWriteError ends a session to which nothing more can be written. It wakes the reading goroutine, which may wait for
// capacity that only the writer releases.
func (s *session) abandonAfterWriteError(err error) {
	s.mu.Lock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.setCloseReason(ClosedUnread)
	}
	s.owedAtEnd = s.undelivered(time.Now())
	s.lifecycle.abandon(time.Now())
	s.capacity.Broadcast()
	s.mu.Unlock()
	s.conn.Close() // unblocks a Read of the reading goroutine
}

// closeAfterCutValue ends a session whose last answer can't be completed: nothing can be written behind a part of a value. What was written
// before is still delivered.
func (s *session) closeAfterCutValue() {
	s.mu.Lock()
	s.setCloseReason(ClosedValueCut)
	s.lifecycle.closeWrite(time.Now())
	s.streaming = nil
	answerEnds := s.answerEnds
	notify := s.abandonAnswers()
	s.capacity.Broadcast()
	s.conn.SetReadDeadline(time.Now()) // unblocks a Read of the reading goroutine
	s.mu.Unlock()
	settleAnswers(answerEnds, 0)
	for _, f := range notify {
		f()
	}
	s.shutSendingSide()
}

// shutSendingSide closes the sending side of the connection.
func (s *session) shutSendingSide() {
	if tcp, ok := s.conn.(interface{ CloseWrite() error }); ok {
		tcp.CloseWrite()
	}
}

// batchWritten releases the capacity that a batch took, and gathers the answers that follow its value.
func (s *session) batchWritten(b batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseUnsent(len(b.answers))
	s.releaseRequests(b.count)
	if b.streamed != nil {
		s.releaseUnsent(streamingBytes)
		s.streaming = nil
		s.lastPendingAt = time.Now()
		s.gatherAnswers()
	}
	s.capacity.Signal()
}

// wakeWriter makes the writer check for a batch. It never blocks.
func (s *session) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// send writes all of b. The client may read slowly, but must read something within sendTimeout. The timeout is divided into
// maxStalledWrites writes, because a write does not report when it last made progress: one long write could last twice the
// timeout. While the client's system has not taken what was written before, nothing more is written.
func (s *session) send(b []byte) (n int, err error) {
	stalledWrites := 0
	for n < len(b) {
		allowed, err := s.awaitSendBuffer(len(b) - n)
		if err != nil {
			return n, err
		}
		s.writing.Use(s.writeTime)
		startedAt := time.Now()
		s.conn.SetWriteDeadline(startedAt.Add(sendTimeout / maxStalledWrites))
		m, err := s.conn.Write(b[n : n+allowed])
		s.writeTime = time.Since(startedAt)
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

// awaitSendBuffer waits until the system may take more for the client, and returns how many of n bytes. It fails if the client takes
// nothing within sendTimeout.
func (s *session) awaitSendBuffer(n int) (allowed int, err error) {
	if s.bounds == nil {
		return n, nil
	}
	d := delivery{unsent: math.MaxInt}
	for poll := minSendPoll; ; poll = min(2*poll, maxSendPoll) {
		now := time.Now()
		d.observe(sockets.Unsent(s.conn), now)
		if d.unsent < s.bounds.sendBuffer {
			return min(n, s.bounds.sendBuffer-d.unsent), nil
		}
		if d.stalled(now) >= sendTimeout {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(poll)
		if s.ctx.Err() != nil {
			return 0, net.ErrClosed
		}
	}
}

// copyValue writes a value and the end of its bulk string. One that is streamed is copied in chunks, so that only one chunk is in memory
// and the value is read from the backend no faster than the client reads it.
func (s *session) copyValue(v Value) error {
	if held, ok := v.(*heldValue); ok {
		if _, err := s.send(held.text); err != nil {
			return err
		}
		_, err := s.send([]byte(resp.BulkEnd))
		return err
	}
	chunk := s.bounds.chunks.Get().(*[]byte)
	defer s.bounds.chunks.Put(chunk)
	for {
		n, err := v.Read(*chunk)
		if errors.Is(err, io.EOF) {
			_, err = s.send([]byte(resp.BulkEnd))
			return err
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errValueCut, err)
		}
		if _, err = s.send((*chunk)[:n]); err != nil {
			return err
		}
		s.streamedBytes.Add(int64(n))
	}
}

// releaseUnsent counts n bytes of answers as sent. An abandoned session has already released all of its bytes. The caller holds the
// lock.
func (s *session) releaseUnsent(n int) { s.unsentBytes -= min(n, s.unsentBytes) }
