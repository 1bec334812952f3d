package core

import (
	"container/heap"
	"time"

	dw "dewhitch"
)

// maxTimersPerRound is the maximum number of timers that fire before the planner checks its inbox again, so that an endpoint
// update does not wait behind the deadlines of many requests.
const maxTimersPerRound = 32

// fireTimers notifies the module of the timers that have expired by now, earliest first, up to maxTimersPerRound of them.
func (p *Planner) fireTimers(now dw.Instant) {
	for n := 0; n < maxTimersPerRound && len(p.timers) > 0 && p.timers[0].At <= now; n++ {
		t := heap.Pop(&p.timers).(dw.SetTimer)
		p.monitor.TimerLate(time.Duration(now - t.At))
		p.step(dw.TimerFired{ID: t.ID})
	}
}

// timers is a heap (container/heap) with the earliest timer first. The module never cancels a timer; it ignores those that it
// no longer needs.
type timers []dw.SetTimer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].At < t[j].At }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(dw.SetTimer)) }

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
