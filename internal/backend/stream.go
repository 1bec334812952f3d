package backend

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/resp"
)

// streamIdleTimeout is the maximum time for which a backend may send nothing within a value.
const streamIdleTimeout = 10 * time.Second

// errStreamClosed reports that the consumer closed a stream before its end.
var errStreamClosed = errors.New("backend: stream closed before its end")

// stream passes a large value on while it is received, and implements core.Stream. From its creation until it is closed, its
// consumer reads from the backend's connection and the attempt's goroutine waits for closed.
type stream struct {
	c    *conn
	size int // size of the value in bytes

	mu        sync.Mutex // guards remaining and err
	remaining int        // number of bytes that were not read yet
	err       error      // reason why the rest can't be read; nil if it can or if all was read

	closed    chan struct{} // closed by Close
	closeOnce sync.Once
}

// Size implements core.Stream.
func (s *stream) Size() int { return s.size }

// Read implements core.Stream. Only one goroutine at a time may call it.
func (s *stream) Read(b []byte) (int, error) {
	s.mu.Lock()
	remaining, err := s.remaining, s.err
	if remaining > 0 && err == nil {
		s.c.SetReadDeadline(time.Now().Add(streamIdleTimeout)) // set under the lock, so that it does not replace the deadline of Close
	}
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if remaining == 0 {
		return 0, io.EOF
	}
	n, err := s.c.reader.Read(b[:min(len(b), remaining)])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remaining -= n
	if err != nil && s.err == nil {
		s.err = err
		if errors.Is(err, io.EOF) {
			s.err = io.ErrUnexpectedEOF
		}
	}
	if n > 0 {
		return n, nil
	}
	return 0, s.err
}

// Close implements core.Stream.
func (s *stream) Close() {
	s.mu.Lock()
	if s.err == nil && s.remaining > 0 {
		s.err = errStreamClosed
		s.c.SetReadDeadline(expired) // ends a pending Read
	}
	s.mu.Unlock()
	s.closeOnce.Do(func() { close(s.closed) })
}

// stream passes a large value on as a stream, waits until its consumer has closed it, and reads the rest of the answer. It
// returns true if the connection can be reused.
func (p *Pools) stream(a *attempt, c *conn, v resp.Value, size int) (result core.AttemptResult, reusable bool) {
	s := &stream{c: c, size: size, remaining: size, closed: make(chan struct{})}
	result = core.AttemptResult{Outcome: dw.OutcomeOK, FirstByteAt: time.Now()}
	p.postEnd(a, dw.OutcomeOK) // posted before the request's end: the attempt was executed, even if the value is lost
	a.onStream(s)
	<-s.closed
	s.mu.Lock()
	remaining, err := s.remaining, s.err
	s.mu.Unlock()
	if remaining > 0 {
		if !errors.Is(err, errStreamClosed) { // the backend did not cause the end if the consumer closed the stream
			result.Outcome = dw.OutcomeReset
		}
		return result, false
	}
	c.answer = answerReading{ctx: context.Background(), silence: answerSilence}
	defer func() { p.takeAnswerMemory(c).Release() }() // after the rest is read
	if c.reader.ReadRest(&v) != nil || len(v.Items) != answerParts {
		return result, false // the value is valid even if the rest of the answer can't be read
	}
	result.Load = decodeLoad(v.Items[loadPart].Text)
	return result, c.reader.Buffered() == 0
}
