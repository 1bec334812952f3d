package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

// State is the faults of one direction; the zero value delivers everything at once.
type State struct {
	Silent  bool          // nothing is delivered; what TCP would retransmit is delivered once the direction heals
	Refused bool          // new connections are refused, open ones are reset
	Delay   time.Duration // added to each segment and datagram
	Jitter  time.Duration // upper bound of a further delay, drawn uniformly
	Loss    float64       // share of the datagrams that are dropped, 0 to 1
	Rate    int           // bytes per second of one connection; 0: unlimited
}

// direction is the traffic from one process to another. All links that carry such traffic share it; any goroutine may use it.
type direction struct {
	from, to string

	mu             sync.Mutex
	state          State
	changed        chan struct{} // closed and replaced at each change of state
	rng            *rand.Rand
	links          []*Link
	bytes          int64 // delivered
	outagesStarted int   // how often it became silent
}

func newDirection(from, to string, seed, stream uint64) *direction {
	return &direction{from: from, to: to, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, stream))}
}

// transition is what a change of state means for the links of a direction.
type transition struct {
	links      []*Link
	resetConns bool // it refuses connections from now on, so open ones are reset
	healed     bool // it was silent until now
}

// change applies a change to the state; false: the state is as before.
func (d *direction) change(f func(*State)) (transition, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.state
	f(&d.state)
	if d.state == before {
		return transition{}, false
	}
	if d.state.Silent && !before.Silent {
		d.outagesStarted++
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return transition{
		links:      d.links,
		resetConns: d.state.Refused && !before.Refused,
		healed:     before.Silent && !d.state.Silent,
	}, true
}

func (d *direction) addLink(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links = append(d.links, l)
}

func (d *direction) currentLinks() []*Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links
}

// current returns the state, and a channel that is closed at its next change.
func (d *direction) current() (State, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.changed
}

// endedOutages counts the outages that are over.
func (d *direction) endedOutages() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Silent {
		return d.outagesStarted - 1
	}
	return d.outagesStarted
}

// startedOutages counts the outages, including one that lasts.
func (d *direction) startedOutages() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outagesStarted
}

// deliveryTime returns when so many bytes that were received now may be delivered: now, the delay, a draw of jitter, and the time
// that they take at the rate. It ignores Silent, which the receiver of the segment waits out.
func (d *direction) deliveryTime(size int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state
	wait := s.Delay
	if s.Jitter > 0 {
		wait += time.Duration(d.rng.Int64N(int64(s.Jitter)))
	}
	if s.Rate > 0 {
		wait += time.Duration(size) * time.Second / time.Duration(s.Rate)
	}
	return time.Now().Add(wait)
}

// dropsDatagram draws whether a datagram is lost.
func (d *direction) dropsDatagram() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Silent || d.state.Refused || d.rng.Float64() < d.state.Loss
}

// countBytes adds to the delivered bytes.
func (d *direction) countBytes(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes += int64(n)
}
