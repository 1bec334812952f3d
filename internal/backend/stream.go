package backend

import (
	"errors"
	"io"
	"sync"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/resp"
)

// streamIdleTimeout is how long a backend may send nothing within a value.
const streamIdleTimeout = 5 * time.Second

// errStreamClosed says that the consumer closed a stream before its end.
var errStreamClosed = errors.New("backend: the stream was closed")

// stream is a large value that is passed on as it comes, and implements core.Stream. From its making until it is closed, its
// consumer reads the backend's connection; the attempt's goroutine waits for closed.
type stream struct {
	c    *conn
	size int // bytes of the value

	mu        sync.Mutex // guards remaining and err
	remaining int        // bytes that were not read yet
	err       error      // why no more of it can be read; nil: more can, or all was read

	closed    chan struct{}
	closeOnce sync.Once
}

// Size implements core.Stream.
func (s *stream) Size() int { return s.size }

// Read implements core.Stream. Only one goroutine may read.
func (s *stream) Read(b []byte) (int, error) {
	s.mu.Lock()
	remaining, err := s.remaining, s.err
	if remaining > 0 && err == nil {
		s.c.SetReadDeadline(time.Now().Add(streamIdleTimeout)) // under the lock: the deadline that Close sets stays
	}
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if remaining == 0 {
		return 0, io.EOF
	}
	n, err := s.c.r.Read(b[:min(len(b), remaining)])
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
		s.c.SetReadDeadline(expired) // a pending Read ends
	}
	s.mu.Unlock()
	s.closeOnce.Do(func() { close(s.closed) })
}

// stream passes a large value on, waits until its consumer has closed it, and reads what follows it in the answer.
func (p *Pools) stream(a *attempt, c *conn, v resp.Value, size int) (result core.AttemptResult, reusable bool) {
	s := &stream{c: c, size: size, remaining: size, closed: make(chan struct{})}
	result = core.AttemptResult{Outcome: dw.OutcomeOK, FirstByteAt: time.Now()}
	p.postEnd(a, dw.OutcomeOK) // before the request's end is: whatever becomes of the value, the attempt ran
	a.began(s)
	<-s.closed
	s.mu.Lock()
	remaining, err := s.remaining, s.err
	s.mu.Unlock()
	if remaining > 0 {
		if !errors.Is(err, errStreamClosed) { // a client that left is no fault of the backend's
			result.Outcome = dw.OutcomeReset
		}
		return result, false
	}
	c.SetReadDeadline(time.Now().Add(answerTimeout))
	if c.r.ReadRest(&v) != nil || len(v.Items) != answerParts {
		return result, false // what can't be read after the value takes nothing from it
	}
	result.Load = decodeLoad(v.Items[loadPart].Text)
	return result, c.r.Buffered() == 0
}
