// Package link injects network faults between processes. Each Link is a relay on loopback that drops, refuses, delays, throttles
// or resets the traffic through it, for each direction separately. It owns the relays' sockets and does not interpret the relayed
// bytes, except that it records when each command's first byte comes, for Link.CommandSentAt.
package link

import "sync"

// Net holds all directions and links of one run. Its methods may be called from any goroutine.
type Net struct {
	mu         sync.Mutex
	seed       uint64
	directions map[[2]string]*direction // keyed by the names of the sending and the receiving process
	links      []*Link
}

// NewNet returns a Net without links. The seed determines the draws of jitter and loss.
func NewNet(seed uint64) *Net { return &Net{seed: seed, directions: map[[2]string]*direction{}} }

// direction returns the direction between two processes, which it creates at the first call. The order of creation determines the
// random source of each direction.
func (n *Net) direction(from, to string) *direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	d := n.directions[key]
	if d == nil {
		d = newDirection(from, to, n.seed, uint64(len(n.directions)))
		n.directions[key] = d
	}
	return d
}

// Set changes the state of the direction between two processes and applies it to the links that use the direction.
func (n *Net) Set(from, to string, change func(*State)) {
	transition, changed := n.direction(from, to).change(change)
	if !changed {
		return
	}
	for _, l := range transition.links {
		l.applyState()
		if transition.resetConns {
			l.Reset()
		}
		if transition.healed {
			l.onHealed()
		}
	}
}

// Reset resets the connections that are open on links between processes a and b. Later connections are not affected.
func (n *Net) Reset(a, b string) {
	for _, l := range n.direction(a, b).currentLinks() {
		l.Reset()
	}
}

// Heal sets the state of every direction to the zero State.
func (n *Net) Heal() {
	n.mu.Lock()
	var all []*direction
	for _, d := range n.directions {
		all = append(all, d)
	}
	n.mu.Unlock()
	for _, d := range all {
		n.Set(d.from, d.to, func(s *State) { *s = State{} })
	}
}

// Bytes returns the number of bytes that were delivered from one process to another.
func (n *Net) Bytes(from, to string) int64 {
	d := n.direction(from, to)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

// Close closes all links.
func (n *Net) Close() {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}
