package fairqueue

import "time"

// Meter counts the time for which one goroutine works for a flow between its waits for the peer. It is not safe for concurrent use.
type Meter struct {
	flow         *Flow     // may be nil
	workingSince time.Time // time since which the work is not counted; zero before the first Resume
}

// NewMeter returns a meter for a flow, or one that counts nothing if that is nil.
func NewMeter(f *Flow) Meter { return Meter{flow: f} }

// Pay counts the time since the last Pay or Resume, and waits if the flow has used its turn.
func (m *Meter) Pay() {
	if m.workingSince.IsZero() {
		return
	}
	m.flow.Use(time.Since(m.workingSince))
	m.workingSince = time.Now()
}

// Resume begins to count after a wait for the peer, which is not counted.
func (m *Meter) Resume() { m.workingSince = time.Now() }
