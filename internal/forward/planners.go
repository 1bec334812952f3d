package forward

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"dewhitch"
)

// errShutDown says that End's time has come: no command is sent any more.
var errShutDown = errors.New("forward: the time for answers is up")

// Planners are the planners that are registered, by gateway number, and the links to them of all sessions. It is safe for
// concurrent use.
type Planners struct {
	current atomic.Pointer[map[int]string] // addresses as host:port

	mu       sync.Mutex
	links    map[*link]struct{} // that are open
	shutDown bool               // End's time has come
}

// Set replaces the planners.
func (p *Planners) Set(addrs map[int]string) { p.current.Store(&addrs) }

// Select selects the planners of a customer's set, the one to try first in front. The set is spread gateways from first on; it
// is rotated by the customer, which spreads the load. The order is the same for all commands of a customer while the
// planners are, so that a query goes where the bookings before it went.
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

// FailUnansweredAt has every command answered by a time: what planners have not answered then is failed, as it may have been applied.
func (p *Planners) FailUnansweredAt(deadline time.Time) {
	time.AfterFunc(time.Until(deadline), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.shutDown = true
		for l := range p.links {
			l.conn.Close() // its reader fails the calls in flight
		}
	})
}

// register takes a new link in, unless End's time has come.
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

// unregister takes a link out that was lost.
func (p *Planners) unregister(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}
