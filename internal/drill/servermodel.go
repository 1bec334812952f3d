package drill

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewhitch/internal/standin"
)

// mode is the way in which a server handles commands.
type mode int

const (
	healthy mode = iota // serves all commands that its queue has room for
	silent              // accepts connections and commands, but never answers
	failing             // answers a fraction of the commands with an error
)

// serverModel simulates one server: cores that serve requests first come, first served, a bounded queue, delayed load reports,
// slow start, and failure under overload in slow start. It has no clock: its owner passes the time, which must not decrease, and
// serializes calls. The equations are in docs/design/drill.md.
type serverModel struct {
	cores       int
	queueSize   int     // maximum number of waiting requests
	meanSeconds float64 // mean work of a request, in seconds at speed 1
	mode        mode
	failRatio   float64   // fraction of the commands that fail in mode failing
	slowFactor  float64   // divisor of the speed
	startedAt   time.Time // time of the last restart
	slowStart   bool      // true if the speed grows from startedAt over standin.SlowStartSpan

	coreFreeAt  timeHeap    // time at which each core is free
	pendingEnds timeHeap    // ends of the requests that are being served or wait
	arrivals    []time.Time // times of the commands within standin.OverloadSpan
	failedAt    time.Time   // time of the failure under overload; zero if the server has not failed
	report      string      // last load report
	reportedAt  time.Time   // time of the last load report
	maxOverload float64     // highest ratio of the arrivals in standin.OverloadSpan to the capacity, in slow start
}

// timeHeap implements heap.Interface for times; the earliest is at the top.
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

// Parameters of the model that all servers share.
const (
	reportInterval = 300 * time.Millisecond // interval at which load reports are renewed
	maxWork        = 4                      // longest work of a request, as a multiple of the mean
)

// newServerModel returns the model of a healthy server that is not in slow start.
func newServerModel(cores, queueSize int, mean time.Duration) *serverModel {
	return &serverModel{
		cores:       cores,
		queueSize:   queueSize,
		meanSeconds: mean.Seconds(),
		slowFactor:  1,
		coreFreeAt:  make(timeHeap, cores),
	}
}

// speed returns the speed at a time. It is 1 if the server is healthy and not in slow start.
func (m *serverModel) speed(now time.Time) float64 {
	speed := 1 / m.slowFactor
	if m.slowStart {
		speed *= standin.StartCapacity + (1-standin.StartCapacity)*min(1, now.Sub(m.startedAt).Seconds()/standin.SlowStartSpan.Seconds())
	}
	return speed
}

// capacity returns the capacity at a time, in requests per second.
func (m *serverModel) capacity(now time.Time) float64 {
	return float64(m.cores) * m.speed(now) / m.meanSeconds
}

// restart discards all requests and starts the server's slow start.
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

// workSeconds returns the work of a request in seconds at speed 1: exponentially distributed, but at most maxWork times the mean.
// It is a function of the ID, so that all attempts of a request have the same work. The hash must have the avalanche property:
// otherwise successive IDs have similar work, and the load comes in waves.
func (m *serverModel) workSeconds(id string) float64 {
	uniform := (float64(xxhash.Sum64String(id)>>11) + 0.5) / (1 << 53)
	return m.meanSeconds * min(maxWork, -math.Log(uniform))
}

// accept returns what the server does with a command that arrives now. draw is a uniform random number in [0, 1); a server in
// mode failing fails the command if draw is below failRatio.
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

// advance removes the arrivals that are older than standin.OverloadSpan and the requests that have ended.
func (m *serverModel) advance(now time.Time) {
	for len(m.arrivals) > 0 && now.Sub(m.arrivals[0]) > standin.OverloadSpan {
		m.arrivals = m.arrivals[1:]
	}
	for len(m.pendingEnds) > 0 && !m.pendingEnds[0].After(now) {
		heap.Pop(&m.pendingEnds)
	}
}

// loadReport returns the last load report, or a new one if the last is older than reportInterval.
func (m *serverModel) loadReport(now time.Time) string {
	if now.Sub(m.reportedAt) >= reportInterval {
		rate := float64(len(m.arrivals)) / standin.OverloadSpan.Seconds()
		m.report = fmt.Sprintf("queue=%d,inflight=%d,qps=%.1f", max(0, len(m.pendingEnds)-m.cores), len(m.pendingEnds), rate)
		m.reportedAt = now
	}
	return m.report
}

// checkOverload makes a server in slow start fail, until its next restart, if the arrivals exceed standin.OverloadMultiple times
// its capacity.
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
