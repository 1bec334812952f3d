package link

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	chunk    = 4 << 10
	held     = 64 // chunks of a direction that a silent or slow way holds; then the sender waits, as with a full window
	dialTime = 2 * time.Second
	datagram = 64 << 10
)

// Link is the way of one process to one address of another: it listens, and passes on what comes.
type Link struct {
	there, back *Way // from the side that opens connections, and to it
	addr        string
	target      string
	mu          sync.Mutex
	l           *net.TCPListener // nil: refused
	idle        chan struct{}    // closed once nobody accepts from it any more
	hung        bool
	fill        []net.Conn // that keep the listener's queue full while it hangs
	conns       map[*conn]struct{}
	byFar       map[string]*conn // by the address that the far side sees
	udp         *net.UDPConn
	over        atomic.Bool
}

// Open makes a link at addr, an own one of loopback, on the way from one process to the address target of another.
// Datagrams are passed on too, where wanted.
func (n *Net) Open(from, to, addr, target string, datagrams bool) (*Link, error) {
	l := &Link{there: n.Way(from, to), back: n.Way(to, from), addr: addr, target: target, conns: map[*conn]struct{}{},
		byFar: map[string]*conn{}}
	if err := l.listen(); err != nil {
		return nil, err
	}
	if datagrams {
		if err := l.openUDP(); err != nil {
			l.Close()
			return nil, err
		}
	}
	for _, w := range []*Way{l.there, l.back} {
		w.mu.Lock()
		w.links = append(w.links, l)
		w.mu.Unlock()
	}
	n.mu.Lock()
	n.links = append(n.links, l)
	n.mu.Unlock()
	l.apply()
	return l, nil
}

// Addr is where it listens.
func (l *Link) Addr() string { return l.addr }

// Left tells when the side that opened a connection ended it, or its sending on it; the connection is named by the
// address that the far side sees. Zero: it has not.
func (l *Link) Left(far string) time.Time {
	if c := l.through(far); c != nil && c.nearClosed.Load() != 0 {
		return time.Unix(0, c.nearClosed.Load())
	}
	return time.Time{}
}

// Sent tells when the first byte of the command at hand came from the side that opened a connection, before this relay delayed it;
// the connection is named by the address that the far side sees. Zero: none came, or the connection is not known.
func (l *Link) Sent(far string) time.Time {
	if c := l.through(far); c != nil {
		return c.commands.latest()
	}
	return time.Time{}
}

// Has tells whether a connection, by the address that the far side sees, goes through this link.
func (l *Link) Has(far string) bool { return l.through(far) != nil }

// through is the connection with that address at the far side; nil: it is not known.
func (l *Link) through(far string) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byFar[far]
}

// listen has it listen; l.mu is held, or nobody else has the link yet.
func (l *Link) listen() error {
	t, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.l, l.idle = t.(*net.TCPListener), make(chan struct{})
	go l.accept(l.l, l.idle)
	return nil
}

// apply has the listener do what the two ways say: listen, refuse, or hang.
func (l *Link) apply() {
	if l.over.Load() {
		return
	}
	there, _ := l.there.now()
	back, _ := l.back.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	refuse, hang := there.Refused || back.Refused, there.Silent || back.Silent
	if refuse && l.l != nil {
		l.shut()
	}
	if !refuse && l.l == nil && l.listen() != nil {
		return // the next change tries again
	}
	switch {
	case l.l == nil || hang == l.hung:
	case hang:
		l.hang()
	default: // Danger: who waited in the queue meanwhile, and may have left, must not come in now
		l.shut()
		_ = l.listen()
	}
}

// hang has new connections never come up: nobody accepts, and the listener's queue of one is full, so that the kernel
// drops what comes, as a wire that is cut does. Danger: an accept that is under way would take what fills the queue, and let
// the next one come up; so that ends first. The listener is of no more use.
func (l *Link) hang() {
	l.hung = true
	l.l.SetDeadline(time.Unix(1, 0))
	<-l.idle
	queue(l.l, 0)
	// A queue of none holds one; if it does not come up, somebody else's has filled it.
	if c, err := net.DialTimeout("tcp", l.addr, fillTime); err == nil {
		l.fill = append(l.fill, c)
	}
}

// fillTime bounds the wait for the connection that fills the queue: a busy machine takes its time for one that does come up.
const fillTime = 200 * time.Millisecond

// shut ends the listener, and with it what waits in its queue.
func (l *Link) shut() {
	l.hung = false
	for _, c := range l.fill {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	l.fill = nil
	l.l.Close()
	l.l = nil
}

// queue sets how many connections may wait to be accepted.
func queue(l *net.TCPListener, n int) {
	raw, err := l.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}

func (l *Link) accept(t *net.TCPListener, idle chan<- struct{}) {
	defer close(idle)
	for {
		c, err := t.AcceptTCP()
		if err != nil {
			return // it is shut, or hangs
		}
		// Danger: told later, one that came up as the way fell silent would pass for one of after that.
		go l.pass(c, l.there.outagesOver())
	}
}

// Reset breaks all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.end(true)
	}
}

// openUDP passes datagrams on, from one socket: who they come from is in them, or nobody asks.
func (l *Link) openUDP() error {
	at, err := net.ResolveUDPAddr("udp", l.addr)
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return err
	}
	if l.udp, err = net.ListenUDP("udp", at); err != nil {
		return err
	}
	go func() {
		b := make([]byte, datagram)
		for {
			n, _, err := l.udp.ReadFromUDP(b)
			if err != nil {
				if l.over.Load() || errors.Is(err, net.ErrClosed) {
					return
				}
				continue // a refusal of one that was sent before
			}
			if l.there.lost() {
				continue
			}
			packet := append([]byte(nil), b[:n]...)
			time.AfterFunc(time.Until(l.there.due(n)), func() {
				if _, err := l.udp.WriteToUDP(packet, to); err == nil {
					l.there.count(n)
				}
			})
		}
	}()
	return nil
}

// Close ends the link and what goes through it.
func (l *Link) Close() {
	l.over.Store(true)
	l.mu.Lock()
	if l.l != nil {
		l.shut()
	}
	l.mu.Unlock()
	if l.udp != nil {
		l.udp.Close()
	}
	l.Reset()
}
