package fairqueue

import (
	"container/heap"
	"time"
)

// line holds the flows that wait for their turns, by start-time fair queueing (Goyal et al., 1996): each flow has a virtual time, which
// advances by what it uses, and the one with the earliest goes first. A flow that has used less than others, or nothing for some time,
// does not wait behind those that have used much.
type line struct {
	waiting waitingFlows
	now     time.Duration // virtual time of the first turn of the round
	joined  uint64        // number of flows that have ever joined
}

// beginRound advances the virtual time to that of the flow that has its turn next. Within a round it stands still: a flow that gets
// several turns because others are not ready yet goes behind them afterwards.
func (l *line) beginRound() {
	if !l.empty() {
		l.now = max(l.now, l.waiting[0].startAt)
	}
}

// start returns the virtual time at which a flow begins to use something, and advances the flow's time by that. A flow that need not wait
// for its turn does not join.
func (l *line) start(f *Flow, use time.Duration) time.Duration {
	at := max(l.now, f.paidUntil)
	f.paidUntil = at + use
	return at
}

// join adds a flow that has used something and needs a turn to go on.
func (l *line) join(f *Flow, use time.Duration) {
	l.joined++
	heap.Push(&l.waiting, waitingFlow{flow: f, use: use, startAt: l.start(f, use), joined: l.joined})
}

// next removes the flow that has its turn next. At least one waits.
func (l *line) next() waitingFlow { return heap.Pop(&l.waiting).(waitingFlow) }

func (l *line) empty() bool { return len(l.waiting) == 0 }

// waitingFlow is a flow that waits for its turn.
type waitingFlow struct {
	flow    *Flow
	use     time.Duration // what the flow has used since its last turn
	startAt time.Duration // virtual time at which it used that
	joined  uint64
}

// waitingFlows is a heap (container/heap) with the earliest virtual time first, and of equal times the flow that has waited longest.
type waitingFlows []waitingFlow

func (w waitingFlows) Len() int { return len(w) }

func (w waitingFlows) Less(i, j int) bool {
	if w[i].startAt != w[j].startAt {
		return w[i].startAt < w[j].startAt
	}
	return w[i].joined < w[j].joined
}

func (w waitingFlows) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w *waitingFlows) Push(x any)   { *w = append(*w, x.(waitingFlow)) }

func (w *waitingFlows) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = waitingFlow{}
	*w = old[:len(old)-1]
	return last
}
