// Package link puts relays into the ways between processes and has them fail as wires do: silent, refused, late, lossy,
// throttled, reset; each direction by itself. It owns the relays' sockets, and knows nothing of what goes through them.
package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

// State is what one direction does with what goes its way; the zero value lets all through at once.
type State struct {
	Silent  bool          // nothing arrives; it is kept for later where the sender would send it again
	Refused bool          // connections are refused, and those that are open are reset
	Delay   time.Duration // of each chunk
	Jitter  time.Duration // more, drawn evenly
	Loss    float64       // share of the datagrams that are gone
	Rate    int           // bytes a second and connection; 0: no bound
}

// Way is one direction between two processes. All links that carry bytes that way consult it.
type Way struct {
	From, To string
	mu       sync.Mutex
	state    State
	changed  chan struct{} // closed and made anew at each change
	rng      *rand.Rand
	links    []*Link
	bytes    int64
	outages  int // times that it fell silent
}

// Net is all ways and links of a drill.
type Net struct {
	mu    sync.Mutex
	seed  uint64
	ways  map[[2]string]*Way
	links []*Link
}

// NewNet makes a net without links; the seed is that of jitter and loss.
func NewNet(seed uint64) *Net { return &Net{seed: seed, ways: map[[2]string]*Way{}} }

// Way is the direction between two processes, by name.
func (n *Net) Way(from, to string) *Way {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.ways[[2]string{from, to}]
	if w == nil {
		w = &Way{From: from, To: to, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(n.seed, uint64(len(n.ways))))}
		n.ways[[2]string{from, to}] = w
	}
	return w
}

// Set changes the state of the direction between two processes.
func (n *Net) Set(from, to string, change func(*State)) {
	w := n.Way(from, to)
	w.mu.Lock()
	before := w.state
	change(&w.state)
	if w.state == before {
		w.mu.Unlock()
		return
	}
	if w.state.Silent && !before.Silent {
		w.outages++
	}
	healed := before.Silent && !w.state.Silent
	refused := w.state.Refused && !before.Refused
	close(w.changed)
	w.changed = make(chan struct{})
	links := w.links
	w.mu.Unlock()
	for _, l := range links {
		l.apply()
		if refused {
			l.Reset()
		}
		if healed {
			l.healed()
		}
	}
}

// Reset breaks what is open between two processes, once.
func (n *Net) Reset(a, b string) {
	w := n.Way(a, b)
	w.mu.Lock()
	links := w.links
	w.mu.Unlock()
	for _, l := range links {
		l.Reset()
	}
}

// Heal makes all ways well.
func (n *Net) Heal() {
	n.mu.Lock()
	var ways []*Way
	for _, w := range n.ways {
		ways = append(ways, w)
	}
	n.mu.Unlock()
	for _, w := range ways {
		n.Set(w.From, w.To, func(s *State) { *s = State{} })
	}
}

// Bytes is what has gone between two processes, in that direction.
func (n *Net) Bytes(from, to string) int64 {
	w := n.Way(from, to)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// Close ends all links.
func (n *Net) Close() {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}

// now is the state, and tells when that changes.
func (w *Way) now() (State, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.changed
}

// outagesOver counts the times that it fell silent and carries again.
func (w *Way) outagesOver() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.Silent {
		return w.outages - 1
	}
	return w.outages
}

// outagesBegun counts the times that it fell silent.
func (w *Way) outagesBegun() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outages
}

// due is when a chunk that came now may go on, as the state stands.
func (w *Way) due(size int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.state
	wait := s.Delay
	if s.Jitter > 0 {
		wait += time.Duration(w.rng.Int64N(int64(s.Jitter)))
	}
	if s.Rate > 0 {
		wait += time.Duration(size) * time.Second / time.Duration(s.Rate)
	}
	return time.Now().Add(wait)
}

// lost draws whether a datagram is gone.
func (w *Way) lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Silent || w.state.Refused || w.rng.Float64() < w.state.Loss
}

func (w *Way) count(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes += int64(n)
}
