package fairqueue

import "time"

// Meter counts the time for which one goroutine works for a flow between its waits for the peer. It is not safe for concurrent use.
type Meter struct {
	flow         *Flow     // may be nil
	workingSince time.Time // time since which the work is not counted; zero before the first Resume
}

// NewMeter returns a meter for a flow, or one that counts nothing if that is nil.
func NewMeter(f *Flow) Meter { return Meter{flow: f} }

// Pay counts the time since the last Pay or Resume, and waits if the flow has used its turn. It returns the current time.
func (m *Meter) Pay() (now time.Time) {
	now = time.Now()
	if m.workingSince.IsZero() {
		return now
	}
	if m.flow.Use(now.Sub(m.workingSince)) {
		now = time.Now()
	}
	m.workingSince = now
	return now
}

// Resume begins to count after a wait for the peer, which is not counted. It returns the current time.
func (m *Meter) Resume() (now time.Time) {
	m.workingSince = time.Now()
	return m.workingSince
}
