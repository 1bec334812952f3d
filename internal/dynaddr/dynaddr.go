// Package dynaddr has the address of a service that operators may move while others use it.
package dynaddr

import "sync"

// Address is an address that can change. It is safe for concurrent use.
type Address struct {
	mu    sync.Mutex
	addr  string        // as host:port
	moved chan struct{} // closed by Move
}

// New is an address that has not moved yet.
func New(addr string) *Address { return &Address{addr: addr, moved: make(chan struct{})} }

// Move changes the address and notifies everybody who has asked for the current one. A move to the same address notifies
// too: what is there may be another process.
func (a *Address) Move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addr = addr
	close(a.moved)
	a.moved = make(chan struct{})
}

// Current is the address, and a channel that is closed at the next Move.
func (a *Address) Current() (addr string, moved <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.moved
}
