package front

import (
	"strings"
	"testing"
	"time"

	"dewhitch/internal/resp"
)

// The operators' term: no attempt begins so long after its client has closed, with the slack of the rules on sockets.
const (
	hangUpTerm  = 100 * time.Millisecond
	hangUpSlack = 50 * time.Millisecond
)

// A client hangs up while its session reads nothing: in the pause after a faulty command, or while a large command waits for memory
// that others hold. Its open request must not be forwarded, so that those who work for it are notified within the term, by
// session.watchForHangUp. A close that was noticed by reading alone was reported after 750 ms, the pause, and in the other case not
// within the second looked at.
func TestHangUpIsDetectedWhileNothingIsRead(t *testing.T) {
	for name, block := range map[string]func(t *testing.T, s *session) (next string){
		"behind a pause": func(_ *testing.T, s *session) string {
			s.mu.Lock()
			s.faultyCommands = maxFaults - 2 // the next pause is the longest
			s.mu.Unlock()
			return "*1\r\n$3\r\nBAD\r\n"
		},
		"behind others' large commands": func(t *testing.T, s *session) string {
			acquired := int64(0)
			for s.bounds.largeCommands.TryAcquire(1 << 10) {
				acquired += 1 << 10
			}
			t.Cleanup(func() { s.bounds.largeCommands.Release(acquired) })
			return string(resp.AppendBulk(resp.AppendArray(nil, 1), strings.Repeat("x", 2*minLargeCommand)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			commands := &rejectBadCommands{delayedCommands{answer: make(chan struct{})}}
			defer close(commands.answer)
			c, _, s := newSessionPair(t, commands, false)
			next := block(t, s)
			c.Write([]byte(ping))
			eventually(t, "the request is not taken", func() bool { return commands.started.Load() == 1 })
			c.Write([]byte(next))
			eventually(t, "the session still reads", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return !s.awaitingCommand && s.commandDeadline.IsZero()
			})
			closed := time.Now()
			c.Close()
			for commands.clientsDeparted.Load() == 0 && time.Since(closed) < time.Second {
				time.Sleep(time.Millisecond)
			}
			if elapsed := time.Since(closed); elapsed > hangUpTerm+hangUpSlack {
				t.Errorf("it was reported after %v, and the term is %v", elapsed, hangUpTerm)
			}
		})
	}
}
