package dewhitch

import "strconv"

// timerTable holds the callback of each pending timer. A timer fires once and cannot be withdrawn, so its
// callback checks whether there is still something to do.
type timerTable struct {
	callbacks map[TimerID]func()
	lastID    int64
}

// setTimer sets a new timer for an instant; its TimerFired event runs callback.
func (c *stepContext) setTimer(at Instant, callback func()) {
	c.timers.lastID++
	id := TimerID(strconv.FormatInt(c.timers.lastID, 36))
	c.timers.callbacks[id] = callback
	c.emit(SetTimer{At: at, ID: id})
}

// setTimerAfter sets a new timer that fires after a delay from now.
func (c *stepContext) setTimerAfter(delay Span, callback func()) {
	c.setTimer(c.now+Instant(delay), callback)
}

// fireTimer removes a timer and runs its callback; an unknown timer is ignored.
func (c *stepContext) fireTimer(id TimerID) {
	if callback := c.timers.callbacks[id]; callback != nil {
		delete(c.timers.callbacks, id)
		callback()
	}
}

// sweepInterval returns the period of the work that no event triggers: a fraction of the counter's timeout,
// with lower bounds.
func (c *stepContext) sweepInterval() Span {
	return max(2*c.settings.Tick, c.settings.CounterTimeout/5, second/100)
}
