package drill

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewhitch/internal/standin"
)

// mode is what a server does with commands.
type mode int

const (
	healthy mode = iota
	silent       // accepts connections and commands, and never answers
	failing      // answers a fraction of the commands with an error
)

// serverModel models one server: cores that serve requests first come, first served, a bounded queue, delayed load reports, slow start,
// and failure under overload in slow start. It has no clock; its owner passes the time, which must not decrease. The equations are
// in docs/design/drill.md.
type serverModel struct {
	cores       int
	queueSize   int     // requests that may wait
	meanSeconds float64 // of work of a request, at speed 1
	mode        mode
	failRatio   float64 // fraction of the commands that fail, in mode failing
	slowFactor  float64 // divides the speed
	startedAt   time.Time
	slowStart   bool // it started at startedAt, and its speed grows over standin.ColdSpan

	coreFreeAt  timeHeap    // by core
	pendingEnds timeHeap    // ends of the requests that are served or wait
	arrivals    []time.Time // within standin.FallSpan
	failedAt    time.Time   // under overload; zero: it has not
	report      string      // the last load report
	reportedAt  time.Time   // when that was made
	maxOverload float64     // highest ratio of the arrivals in standin.FallSpan to the capacity, in slow start
}

// timeHeap is a heap of times, the earliest first.
type timeHeap []time.Time

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Time)) }
func (h *timeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Parameters of the model.
const (
	reportInterval = 300 * time.Millisecond // of load reports
	maxWork        = 4                      // of a request, in mean work
)

// newServerModel returns a healthy server that is warm.
func newServerModel(cores, queueSize int, mean time.Duration) *serverModel {
	return &serverModel{
		cores:       cores,
		queueSize:   queueSize,
		meanSeconds: mean.Seconds(),
		slowFactor:  1,
		coreFreeAt:  make(timeHeap, cores),
	}
}

// speed at a time; 1 if the server is warm and healthy.
func (m *serverModel) speed(now time.Time) float64 {
	speed := 1 / m.slowFactor
	if m.slowStart {
		speed *= standin.StartCapacity + (1-standin.StartCapacity)*min(1, now.Sub(m.startedAt).Seconds()/standin.SlowStartSpan.Seconds())
	}
	return speed
}

// capacity in requests a second at a time.
func (m *serverModel) capacity(now time.Time) float64 {
	return float64(m.cores) * m.speed(now) / m.meanSeconds
}

// restart empties the server and begins its slow start.
func (m *serverModel) restart(now time.Time) {
	*m = serverModel{
		cores:       m.cores,
		queueSize:   m.queueSize,
		meanSeconds: m.meanSeconds,
		slowFactor:  1,
		startedAt:   now,
		slowStart:   true,
		coreFreeAt:  make(timeHeap, m.cores),
		maxOverload: m.maxOverload,
	}
}

// workSeconds is the work of a request: exponentially distributed up to maxWork, and the same for each attempt, as it is a function of the
// ID. The hash must have the avalanche property: otherwise successive IDs have similar work, and the load comes in waves.
func (m *serverModel) workSeconds(id string) float64 {
	u := (float64(xxhash.Sum64String(id)>>11) + 0.5) / (1 << 53)
	return m.meanSeconds * min(maxWork, -math.Log(u))
}

// accept decides on a command that arrives now. draw is uniform from 0 to 1, and decides whether a failing server fails it.
func (m *serverModel) accept(now time.Time, id string, draw float64) standin.Step {
	m.advance(now)
	m.arrivals = append(m.arrivals, now)
	if m.failedAt.IsZero() {
		m.checkOverload(now)
	}
	if !m.failedAt.IsZero() || m.mode == silent {
		return standin.Step{Behaviour: standin.Stall}
	}
	step := standin.Step{Report: m.loadReport(now)}
	if len(m.pendingEnds) >= m.cores+m.queueSize {
		step.Behaviour = standin.Busy
		return step
	}
	if m.mode == failing && draw < m.failRatio {
		step.Behaviour = standin.Fail
	}
	begin := m.coreFreeAt[0]
	if begin.Before(now) {
		begin = now
	}
	end := begin.Add(time.Duration(m.workSeconds(id) / m.speed(begin) * 1e9))
	m.coreFreeAt[0] = end
	heap.Fix(&m.coreFreeAt, 0)
	heap.Push(&m.pendingEnds, end)
	step.Delay = end.Sub(now)
	return step
}

// advance forgets the arrivals before standin.FallSpan and the requests that have ended.
func (m *serverModel) advance(now time.Time) {
	for len(m.arrivals) > 0 && now.Sub(m.arrivals[0]) > standin.OverloadSpan {
		m.arrivals = m.arrivals[1:]
	}
	for len(m.pendingEnds) > 0 && !m.pendingEnds[0].After(now) {
		heap.Pop(&m.pendingEnds)
	}
}

// loadReport returns the last load report, which is made again after reportInterval.
func (m *serverModel) loadReport(now time.Time) string {
	if now.Sub(m.reportedAt) >= reportInterval {
		rate := float64(len(m.arrivals)) / standin.OverloadSpan.Seconds()
		m.report = fmt.Sprintf("queue=%d,inflight=%d,qps=%.1f", max(0, len(m.pendingEnds)-m.cores), len(m.pendingEnds), rate)
		m.reportedAt = now
	}
	return m.report
}

// checkOverload fails the server for good if the arrivals in slow start exceed standin.FallMultiple of its capacity.
func (m *serverModel) checkOverload(now time.Time) {
	if !m.slowStart || now.Sub(m.startedAt) > standin.SlowStartSpan {
		return
	}
	ratio := float64(len(m.arrivals)) / standin.OverloadSpan.Seconds() / m.capacity(now)
	m.maxOverload = max(m.maxOverload, ratio)
	if ratio > standin.OverloadMultiple {
		m.failedAt = now
	}
}
