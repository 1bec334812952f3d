package link

import (
	"sync"
	"time"
)

// commandTimes tells when commands began to come over a connection that carries one at a time: what comes behind an answer is the
// next. It is safe for any goroutine.
type commandTimes struct {
	mu       sync.Mutex
	began    time.Time // of the command at hand, or the last; zero: there was none
	answered bool      // something came back since
}

// bytes notes that bytes came from one side: of a command, or of its answer.
func (t *commandTimes) bytes(command bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !command:
		t.answered = true
	case t.answered || t.began.IsZero():
		t.began, t.answered = at, false
	}
}

// latest is when the command at hand began to come.
func (t *commandTimes) latest() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.began
}
