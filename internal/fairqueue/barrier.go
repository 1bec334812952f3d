package fairqueue

import (
	"encoding/binary"
	"fmt"
	"os"
	"runtime"

	"golang.org/x/sys/unix"
)

// barrier calls a function after everything else that is ready has run. Its goroutine waits for an event of the system, and the runtime
// polls for events only when no goroutine is ready to run: the events that have come meanwhile for others are found by the same poll.
type barrier struct {
	event  *os.File // an eventfd
	passed func()
}

// eventValue is written to the eventfd, which adds it to its counter.
var eventValue = binary.NativeEndian.AppendUint64(nil, 1)

// newBarrier returns a barrier that calls passed on a goroutine of its own, once or more after each pass.
func newBarrier(passed func()) (*barrier, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("fairqueue: no event: %w", err)
	}
	b := &barrier{event: os.NewFile(uintptr(fd), "fairqueue"), passed: passed}
	go b.run()
	return b, nil
}

// pass begins to pass the barrier. It does not block.
func (b *barrier) pass() {
	_, _ = b.event.Write(eventValue) // it fails only if the barrier is closed or has been passed since
}

// run waits for the events until the barrier is closed.
func (b *barrier) run() {
	for value := make([]byte, len(eventValue)); ; {
		if _, err := b.event.Read(value); err != nil {
			return
		}
		runtime.Gosched() // the others that the same poll has found go first
		b.passed()
	}
}

func (b *barrier) close() { b.event.Close() }
