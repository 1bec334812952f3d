package front

import (
	"strings"
	"testing"
	"time"

	"dewhitch/internal/resp"
)

// The operators' term: no attempt begins so long after its client has closed, with the slack of the rules on sockets.
const (
	goneTerm  = 100 * time.Millisecond
	goneSlack = 50 * time.Millisecond
)

// What happens: a client leaves while a request of its is out, and nobody is told, so that the request is sent on. Why: the session saw
// a close by reading, and it does not read while it pauses behind a command that can't be used, or while a large command waits for
// room that others hold. What showed it: it was told after 750 ms, the pause, and in the other case not at all within the second
// looked at. Mended in session.watchForClose.
func TestCloseIsSeenWhileNothingIsRead(t *testing.T) {
	for name, wait := range map[string]func(t *testing.T, s *session) (next string){
		"behind a pause": func(_ *testing.T, s *session) string {
			s.mu.Lock()
			s.bad = maxFaults - 2 // the next pause is the longest
			s.mu.Unlock()
			return "*1\r\n$3\r\nBAD\r\n"
		},
		"behind others' large commands": func(t *testing.T, s *session) string {
			taken := int64(0)
			for s.bounds.large.TryAcquire(1 << 10) {
				taken += 1 << 10
			}
			t.Cleanup(func() { s.bounds.large.Release(taken) })
			return string(resp.AppendBulk(resp.AppendArray(nil, 1), strings.Repeat("x", 2*largeSize)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := &refusing{slow{answer: make(chan struct{})}}
			defer close(d.answer)
			c, _, s := pair(t, d, false)
			next := wait(t, s)
			c.Write([]byte(ping))
			eventually(t, "the request is not taken", func() bool { return d.taken.Load() == 1 })
			c.Write([]byte(next))
			eventually(t, "the session still reads", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return !s.awaiting && s.until.IsZero()
			})
			closed := time.Now()
			c.Close()
			for d.gone.Load() == 0 && time.Since(closed) < time.Second {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(closed); took > goneTerm+goneSlack {
				t.Errorf("it was told after %v, and the term is %v", took, goneTerm)
			}
		})
	}
}
