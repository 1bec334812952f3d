package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes        = 4 << 10
	maxQueuedSegments = 64 // of one direction of a connection while it is silent or slow; beyond, the sender's TCP window fills
	maxDatagramBytes  = 64 << 10
	dialTimeout       = 2 * time.Second
	// knownAfterClose is how long ClosedAt and CommandSentAt still know a connection that has ended.
	knownAfterClose = 10 * time.Second
)

// Link relays what one process sends to one address of another, and the answers. It listens in place of that address. Its exported
// methods may be called from any goroutine.
type Link struct {
	outbound *direction // from the process that opens connections
	inbound  *direction // back to it
	addr     string
	target   string
	udpConn  *net.UDPConn // nil: no datagrams
	closed   atomic.Bool

	mu             sync.Mutex
	listener       *net.TCPListener // nil: connections are refused
	acceptDone     chan struct{}    // closed once no goroutine accepts from the listener
	blackholed     bool             // new connections time out
	backlogFillers []net.Conn       // keep the listener's backlog full while blackholed
	conns          map[*conn]struct{}
	connsByFarAddr map[string]*conn // by the address that the target sees
}

// Open makes a link that listens at addr, a loopback address of its own, and relays from one process to the address target of
// another; with datagrams set, UDP too. The error is of listening or of a bad address.
func (n *Net) Open(from, to, addr, target string, datagrams bool) (*Link, error) {
	l := &Link{
		outbound:       n.direction(from, to),
		inbound:        n.direction(to, from),
		addr:           addr,
		target:         target,
		conns:          map[*conn]struct{}{},
		connsByFarAddr: map[string]*conn{},
	}
	if err := l.listen(); err != nil {
		return nil, err
	}
	if datagrams {
		if err := l.listenUDP(); err != nil {
			l.Close()
			return nil, err
		}
	}
	l.outbound.addLink(l)
	l.inbound.addLink(l)
	n.mu.Lock()
	n.links = append(n.links, l)
	n.mu.Unlock()
	l.applyState()
	return l, nil
}

// Addr returns where it listens.
func (l *Link) Addr() string { return l.addr }

// ClosedAt returns when the process that opened a connection closed it, or its sending side; the connection is named by the address that
// the target sees. Zero: it has not, or the connection is not known.
func (l *Link) ClosedAt(far string) time.Time {
	if c := l.connByFarAddr(far); c != nil && c.nearClosedAt.Load() != 0 {
		return time.Unix(0, c.nearClosedAt.Load())
	}
	return time.Time{}
}

// CommandSentAt returns when the first byte of the current command came from the process that opened a connection, before the link delayed it;
// the connection is named by the address that the target sees. Zero: none came, or the connection is not known.
func (l *Link) CommandSentAt(far string) time.Time {
	if c := l.connByFarAddr(far); c != nil {
		return c.commands.latest()
	}
	return time.Time{}
}

// HasConn reports whether a connection, named by the address that the target sees, goes through this link.
func (l *Link) HasConn(far string) bool { return l.connByFarAddr(far) != nil }

// connByFarAddr returns a connection by the address that the target sees; nil: it is not known.
func (l *Link) connByFarAddr(far string) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connsByFarAddr[far]
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.close(true)
	}
}

// Close closes the link, and resets its connections.
func (l *Link) Close() {
	l.closed.Store(true)
	l.mu.Lock()
	if l.listener != nil {
		l.closeListener()
	}
	l.mu.Unlock()
	if l.udpConn != nil {
		l.udpConn.Close()
	}
	l.Reset()
}

// onHealed runs when one of its directions delivers again.
func (l *Link) onHealed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.near.onHealed()
		c.far.onHealed()
	}
}
