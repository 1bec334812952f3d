package forward

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"dewhitch"
)

// errShutDown is returned after the deadline of FailUnansweredAt, when no more commands are sent.
var errShutDown = errors.New("forward: the deadline for answers has passed")

// Planners holds the addresses of the registered planners, by gateway number, and the links of all sessions to them. It is
// safe for concurrent use.
type Planners struct {
	current atomic.Pointer[map[int]string] // addresses as host:port, by gateway number; never changed in place

	mu       sync.Mutex
	links    map[*link]struct{} // open links of all sessions
	shutDown bool               // whether the deadline of FailUnansweredAt has passed
}

// Set replaces the addresses of the planners. The caller must not change the map afterwards.
func (p *Planners) Set(addrs map[int]string) { p.current.Store(&addrs) }

// Select returns the addresses of the planners of a customer's set, in the order in which they are tried. The set consists of
// spread gateways from number first on, and is rotated by the customer's id to spread the load. The order is the same for all
// commands of a customer while the planners do not change, so a query goes to the planner that received the bookings before it.
func (p *Planners) Select(customer dewhitch.CustomerID, spread, first, gateways int) (addrs []string) {
	current := p.current.Load()
	if current == nil {
		return nil
	}
	spread = min(spread, gateways)
	rotation := int(uint64(customer) % uint64(spread))
	for i := range spread {
		gateway := (first + (rotation+i)%spread) % gateways
		if addr := (*current)[gateway]; addr != "" {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// FailUnansweredAt ends forwarding at the deadline. All links are then closed, which answers the commands in flight with an error
// that says they may have been applied, and no new links are made. The call itself does not wait for the deadline.
func (p *Planners) FailUnansweredAt(deadline time.Time) {
	time.AfterFunc(time.Until(deadline), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.shutDown = true
		for l := range p.links {
			l.close() // its reader fails the commands in flight
		}
	})
}

// register adds a new link. It returns false if the deadline of FailUnansweredAt has passed.
func (p *Planners) register(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shutDown {
		return false
	}
	if p.links == nil {
		p.links = map[*link]struct{}{}
	}
	p.links[l] = struct{}{}
	return true
}

// unregister removes a lost link.
func (p *Planners) unregister(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}
