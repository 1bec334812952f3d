package front

import (
	"strconv"
	"time"

	"dewhitch/internal/fairqueue"
)

// openFlows opens the flows of the session's goroutines. It must be called before run.
func (s *session) openFlows(scheduler *fairqueue.Scheduler) {
	label := "session " + strconv.FormatUint(s.id, 10)
	s.reading = scheduler.Open(fairqueue.Reading, label)
	s.writing = scheduler.Open(fairqueue.Writing, label)
	s.readingWork = fairqueue.NewMeter(s.reading)
}

// closeFlows closes the flows of the session's goroutines.
func (s *session) closeFlows() {
	s.reading.Close()
	s.writing.Close()
}

// reportWriterLate reports how long the writer has had something to write. The caller holds the lock.
func (s *session) reportWriterLate() {
	if s.wokenAt.IsZero() {
		return
	}
	s.writing.Late(time.Since(s.wokenAt))
	s.wokenAt = time.Time{}
}
