package link

import (
	"sync"
	"time"
)

// commandTimes tells when the bytes of commands began to arrive over a connection that carries one command at a time: the first bytes
// after an answer belong to the next command. Any goroutine may use it.
type commandTimes struct {
	mu        sync.Mutex
	startedAt time.Time // of the current command, or the last one; zero: there was none
	answered  bool      // bytes of its answer have arrived
}

// observeBytes records that bytes of a command, or of an answer, arrived.
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

// latest returns when the current command began to arrive.
func (t *commandTimes) latest() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedAt
}
