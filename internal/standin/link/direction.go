package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

// State is the set of faults of one direction. In the zero State, everything is delivered without delay.
type State struct {
	Silent  bool          // true if nothing is delivered; data that TCP would retransmit is delivered once Silent is false
	Refused bool          // true if new connections are refused and open ones are reset
	Delay   time.Duration // delay of each segment and datagram
	Jitter  time.Duration // upper bound of a further delay, which is drawn uniformly
	Loss    float64       // fraction of the datagrams that are dropped, from 0 to 1
	Rate    int           // bytes per second of one connection; 0 for no limit
}

// direction is the traffic from one process to another. All links that carry this traffic share it. Its methods may be called
// from any goroutine.
type direction struct {
	from, to string // names of the processes

	mu             sync.Mutex
	state          State
	changed        chan struct{} // closed and replaced at each change of state
	rng            *rand.Rand
	links          []*Link // links that carry traffic of this direction
	bytes          int64   // number of bytes delivered
	outagesStarted int     // how often the direction became silent
}

func newDirection(from, to string, seed, stream uint64) *direction {
	return &direction{from: from, to: to, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, stream))}
}

// transition is the effect of a change of state on the links of a direction.
type transition struct {
	links      []*Link
	resetConns bool // true if the direction refuses connections from now on, so that open ones are reset
	healed     bool // true if the direction was silent until now
}

// change applies f to the state. It returns false if the state did not change.
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

// currentLinks returns the links that carry traffic of this direction.
func (d *direction) currentLinks() []*Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links
}

// current returns the state and a channel that is closed at its next change.
func (d *direction) current() (State, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.changed
}

// endedOutages returns the number of outages that have ended.
func (d *direction) endedOutages() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Silent {
		return d.outagesStarted - 1
	}
	return d.outagesStarted
}

// startedOutages returns the number of outages, including one that has not ended.
func (d *direction) startedOutages() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outagesStarted
}

// deliveryTime returns when size bytes that are received now may be delivered: the present time plus the delay, a draw of jitter,
// and the transmission time at the rate. It ignores Silent, whose end conn.awaitDelivery waits for.
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

// dropsDatagram returns true if a datagram is lost: always if the direction is silent or refused, and else at random, by Loss.
func (d *direction) dropsDatagram() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Silent || d.state.Refused || d.rng.Float64() < d.state.Loss
}

// countBytes adds n to the number of delivered bytes.
func (d *direction) countBytes(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes += int64(n)
}
