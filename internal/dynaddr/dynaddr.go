// Package dynaddr provides the address of a service that operators may change while clients use it.
package dynaddr

import "sync"

// Address is an address that can change. It is safe for concurrent use.
type Address struct {
	mu    sync.Mutex
	addr  string        // current address as host:port
	moved chan struct{} // closed by the next Move
}

// New returns an Address with the given initial value, as host:port.
func New(addr string) *Address { return &Address{addr: addr, moved: make(chan struct{})} }

// Move changes the address and closes the channels that Current has returned. It also does so if the address is the same, as
// another process may listen there.
func (a *Address) Move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addr = addr
	close(a.moved)
	a.moved = make(chan struct{})
}

// Current returns the address and a channel that the next Move closes.
func (a *Address) Current() (addr string, moved <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.moved
}
