package telemetry

import (
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Names of what runs late, besides the kinds of package fairqueue and the queues of the planner.
const (
	lateTimers = "timer" // the planner's timers
	lateProbe  = "probe" // a goroutine that does nothing but sleep
)

// lateness holds how late parts of the process ran.
type lateness struct {
	seconds *prometheus.HistogramVec // by part

	mu    sync.Mutex
	worst map[string]time.Duration // longest delay of each part since the last TakeWorst
}

// Late reports how late a part of the process ran. what is one of a fixed set. It implements fairqueue.Monitor.
func (m *Metrics) Late(what string, d time.Duration) {
	m.late.seconds.WithLabelValues(what).Observe(d.Seconds())
	m.recordWorst(what, d)
}

// TimerLate implements core.Monitor.
func (m *Metrics) TimerLate(d time.Duration) { m.Late(lateTimers, d) }

// ProbeLate reports how much longer than requested a goroutine slept.
func (m *Metrics) ProbeLate(d time.Duration) { m.Late(lateProbe, d) }

// recordWorst records a delay for TakeWorst.
func (m *Metrics) recordWorst(what string, d time.Duration) {
	m.late.mu.Lock()
	defer m.late.mu.Unlock()
	if d > m.late.worst[what] {
		m.late.worst[what] = d
	}
}

// TakeWorst returns the longest delay of each part since the last call, in milliseconds, and the longest of all. Messages that waited for
// the planner count by their queue.
func (m *Metrics) TakeWorst() (byPart map[string]int64, worst time.Duration) {
	m.late.mu.Lock()
	taken := maps.Clone(m.late.worst)
	clear(m.late.worst)
	m.late.mu.Unlock()
	byPart = make(map[string]int64, len(taken))
	for what, d := range taken {
		byPart[what] = d.Milliseconds()
		worst = max(worst, d)
	}
	return byPart, worst
}
