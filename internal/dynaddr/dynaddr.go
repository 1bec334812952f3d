// Package dynaddr has the address of a service that operators may move while others use it.
package dynaddr

import "sync"

// Address is safe for concurrent use.
type Address struct {
	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed by Move
}

// New is an address that has not moved yet.
func New(addr string) *Address { return &Address{addr: addr, moved: make(chan struct{})} }

// Move has all who ask from now on go to another address, and tells those who have asked.
func (a *Address) Move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addr = addr
	close(a.moved)
	a.moved = make(chan struct{})
}

// Current is the address, and what is closed once it is another.
func (a *Address) Current() (addr string, moved <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.moved
}
