package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes = 4 << 10 // maximum size of a segment
	// maxQueuedSegments is the number of segments that wait in one direction of a connection while it is silent or slow. Beyond
	// it, the relay stops reading and the sender's TCP window fills.
	maxQueuedSegments = 64
	maxDatagramBytes  = 64 << 10
	dialTimeout       = 2 * time.Second
	// knownAfterClose is how long ClosedAt and CommandSentAt still know a connection that has ended.
	knownAfterClose = 10 * time.Second
)

// Link relays the connections and datagrams from one process to one address of another process, and the answers on connections. It
// listens in place of that address. Its exported methods may be called from any goroutine.
type Link struct {
	outbound *direction   // direction from the process that opens connections to the target
	inbound  *direction   // direction from the target back to that process
	addr     string       // listen address
	target   string       // address that the link relays to
	udpConn  *net.UDPConn // nil if the link relays no datagrams
	closed   atomic.Bool

	mu             sync.Mutex
	listener       *net.TCPListener // nil while connections are refused
	acceptDone     chan struct{}    // closed once no goroutine accepts from listener
	blackholed     bool             // true while new connections time out
	backlogFillers []net.Conn       // connections that keep the listener's backlog full while blackholed
	conns          map[*conn]struct{}
	connsByFarAddr map[string]*conn // keyed by the remote address that the target sees; kept for knownAfterClose
}

// Open opens a link that listens at addr, a loopback address of its own, and relays from the process named from to the address
// target of the process named to; it relays UDP too if datagrams is set. It returns an error if listening fails or an address is
// invalid.
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

// Addr returns the listen address.
func (l *Link) Addr() string { return l.addr }

// ClosedAt returns when the process that opened a connection closed it or its sending side; far is the remote address of the
// connection that the target sees. It returns the zero time if that process has not closed it or the connection is unknown.
func (l *Link) ClosedAt(far string) time.Time {
	if c := l.connByFarAddr(far); c != nil && c.nearClosedAt.Load() != 0 {
		return time.Unix(0, c.nearClosedAt.Load())
	}
	return time.Time{}
}

// CommandSentAt returns when the link received the first byte of the latest command from the process that opened a connection,
// before the link delayed it; far is the remote address of the connection that the target sees. It returns the zero time if no
// command came or the connection is unknown.
func (l *Link) CommandSentAt(far string) time.Time {
	if c := l.connByFarAddr(far); c != nil {
		return c.commands.latest()
	}
	return time.Time{}
}

// HasConn returns true if the connection with the remote address far, as the target sees it, is relayed by this link or
// was until at most knownAfterClose ago.
func (l *Link) HasConn(far string) bool { return l.connByFarAddr(far) != nil }

// connByFarAddr returns the connection with the remote address far, as the target sees it, or nil if it is unknown.
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

// Close closes the link and resets its connections.
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

// onHealed is called when one of the link's directions delivers again.
func (l *Link) onHealed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.near.onHealed()
		c.far.onHealed()
	}
}
