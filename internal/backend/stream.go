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

// silence is how long a backend may send nothing in the midst of a value.
const silence = 5 * time.Second

// stream is a value on its way through: whoever has it reads the backend's connection, until it is closed.
type stream struct {
	c    *conn
	size int

	mu   sync.Mutex
	left int
	err  error // why there is no more of it
	over chan struct{}
	once sync.Once
}

var errClosed = errors.New("backend: the value is not wanted any more")

// Size implements core.Stream.
func (s *stream) Size() int { return s.size }

// Read implements core.Stream. Only one goroutine may read.
func (s *stream) Read(b []byte) (int, error) {
	s.mu.Lock()
	left, err := s.left, s.err
	if left > 0 && err == nil {
		s.c.SetReadDeadline(time.Now().Add(silence)) // under the lock: Close sets one that stays
	}
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if left == 0 {
		return 0, io.EOF
	}
	n, err := s.c.r.Read(b[:min(len(b), left)])
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left -= n; err != nil && s.err == nil {
		if s.err = err; errors.Is(err, io.EOF) {
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
	if s.err == nil && s.left > 0 {
		s.err = errClosed
		s.c.SetReadDeadline(time.Unix(1, 0)) // a read that waits ends
	}
	s.mu.Unlock()
	s.once.Do(func() { close(s.over) })
}

// stream has a large value passed on, and reads what stands behind it.
func (p *Pools) stream(f *fetch, c *conn, v resp.Value, size int) (core.AttemptResult, bool) {
	s := &stream{c: c, size: size, left: size, over: make(chan struct{})}
	end := core.AttemptResult{Outcome: dw.OutcomeOK, FirstByteAt: time.Now()}
	p.book(f, dw.OutcomeOK) // before the req is: whatever becomes of the value, it was a good fetch's
	f.began(s)
	<-s.over
	s.mu.Lock()
	left, err := s.left, s.err
	s.mu.Unlock()
	if left > 0 {
		if !errors.Is(err, errClosed) { // a client that left is no fault of the backend's
			end.Outcome = dw.OutcomeReset
		}
		return end, false
	}
	c.SetReadDeadline(time.Now().Add(wholeTime))
	if c.r.ReadRest(&v) != nil || len(v.Items) != parts {
		return end, false // what can't be read behind the value takes nothing from it
	}
	end.Load = load(v.Items[2].Text)
	return end, c.r.Buffered() == 0
}
