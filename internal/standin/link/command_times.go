package link

import (
	"sync"
	"time"
)

// commandTimes records when a command began to arrive over a connection that carries one command at a time: the first bytes after
// an answer belong to the next command. Its methods may be called from any goroutine.
type commandTimes struct {
	mu        sync.Mutex
	startedAt time.Time // arrival of the first byte of the latest command; zero before any command
	answered  bool      // true once bytes of the latest command's answer have arrived
}

// observeBytes records the arrival of bytes, which belong to a command or, if command is false, to an answer.
func (t *commandTimes) observeBytes(command bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !command {
		t.answered = true
		return
	}
	if t.answered || t.startedAt.IsZero() {
		t.startedAt = at
		t.answered = false
	}
}

// latest returns when the latest command began to arrive, or the zero time before any command.
func (t *commandTimes) latest() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedAt
}
