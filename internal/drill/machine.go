package drill

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewhitch/internal/standin"
)

// mode is what a machine does with what comes.
type mode int

const (
	well    mode = iota
	silent       // takes connections and commands, never answers
	failing      // a share of the commands ends in an error
)

// machine models one server: cores that work requests off first come first served, a waiting room, load reports that are
// late, a cold start, and a fall when it is pushed over. It has no clock: whoever owns it says what time it is. The
// equations are in docs/design/drill.md.
type machine struct {
	cores   int
	room    int     // how many may wait
	mean    float64 // seconds of work of a req, at speed 1
	mode    mode
	share   float64 // of the commands that fail
	slow    float64 // divides the speed
	started time.Time
	cold    bool // it began at started with nothing warm

	free   ends // when each core is free
	open   ends // ends of what it holds
	asked  []time.Time
	fell   time.Time // zero: it stands
	report string
	told   time.Time // when the report was made
	worst  float64   // the most it was sent in a FallSpan, of what it could do
}

// ends is a heap of times, the soonest first.
type ends []time.Time

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].Before(e[j]) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(time.Time)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const reportEvery = 300 * time.Millisecond

// newMachine makes one that has long been warm.
func newMachine(cores, room int, mean time.Duration) *machine {
	m := &machine{cores: cores, room: room, mean: mean.Seconds(), slow: 1}
	m.free = make(ends, cores)
	return m
}

// speed at a time: 1 for one that is warm and well.
func (m *machine) speed(now time.Time) float64 {
	v := 1 / m.slow
	if m.cold {
		v *= standin.StartCapacity + (1-standin.StartCapacity)*min(1, now.Sub(m.started).Seconds()/standin.ColdSpan.Seconds())
	}
	return v
}

// capacity in requests a second at a time.
func (m *machine) capacity(now time.Time) float64 { return float64(m.cores) * m.speed(now) / m.mean }

// restart has it begin anew, cold, with nothing in hand.
func (m *machine) restart(now time.Time) {
	*m = machine{cores: m.cores, room: m.room, mean: m.mean, slow: 1, started: now, cold: true, free: make(ends, m.cores),
		worst: m.worst}
}

// work of a req by its id: the same each time, exponential around the mean, bounded.
func (m *machine) work(id string) float64 {
	// Danger: a hash without avalanche gives ids that follow each other work that is alike, and load comes in waves.
	u := (float64(xxhash.Sum64String(id)>>11) + 0.5) / (1 << 53)
	return m.mean * min(4, -math.Log(u))
}

// take says what it does with a command that comes now, and reports its load.
func (m *machine) take(now time.Time, id string, draw float64) standin.Step {
	m.asked = append(m.asked, now)
	for len(m.asked) > 0 && now.Sub(m.asked[0]) > standin.FallSpan {
		m.asked = m.asked[1:]
	}
	for len(m.open) > 0 && !m.open[0].After(now) {
		heap.Pop(&m.open)
	}
	if m.fell.IsZero() {
		m.pushed(now)
	}
	if !m.fell.IsZero() || m.mode == silent {
		return standin.Step{Deed: standin.Stall}
	}
	if now.Sub(m.told) >= reportEvery {
		m.report = fmt.Sprintf("queue=%d,inflight=%d,qps=%.1f", max(0, len(m.open)-m.cores), len(m.open),
			float64(len(m.asked))/standin.FallSpan.Seconds())
		m.told = now
	}
	step := standin.Step{Report: m.report}
	if len(m.open) >= m.cores+m.room {
		step.Deed = standin.Busy
		return step
	}
	if m.mode == failing && draw < m.share {
		step.Deed = standin.Fail
	}
	begin := m.free[0]
	if begin.Before(now) {
		begin = now
	}
	end := begin.Add(time.Duration(m.work(id) / m.speed(begin) * 1e9))
	m.free[0] = end
	heap.Fix(&m.free, 0)
	heap.Push(&m.open, end)
	step.Delay = end.Sub(now)
	return step
}

// pushed has it fall over when it was sent too much for all of the span.
func (m *machine) pushed(now time.Time) {
	if !m.cold || now.Sub(m.started) > standin.ColdSpan {
		return // the rule is about servers that have just begun
	}
	over := float64(len(m.asked)) / standin.FallSpan.Seconds() / m.capacity(now)
	m.worst = max(m.worst, over)
	if over > standin.FallMultiple {
		m.fell = now
	}
}
