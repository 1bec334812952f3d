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

// conn is one connection through a link.
type conn struct {
	near, far  *side
	commands   commandTimes
	nearClosed atomic.Int64 // when the side that opened it ended its sending or the connection, Unix ns; 0: it has not
	ended      chan struct{}
	once       sync.Once
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
	l.mu.Lock()
	c := l.byFar[far]
	l.mu.Unlock()
	if c == nil {
		return time.Time{}
	}
	if at := c.nearClosed.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Sent tells when the first byte of the command at hand came from the side that opened a connection, before this relay delayed it;
// the connection is named by the address that the far side sees. Zero: none came, or the connection is not known.
func (l *Link) Sent(far string) time.Time {
	l.mu.Lock()
	c := l.byFar[far]
	l.mu.Unlock()
	if c == nil {
		return time.Time{}
	}
	return c.commands.latest()
}

// Has tells whether a connection, by the address that the far side sees, goes through this link.
func (l *Link) Has(far string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byFar[far] != nil
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

// pass carries one connection that came up when so many outages of its way were over.
func (l *Link) pass(near *net.TCPConn, over int) {
	c, err := l.connect(near, over)
	if err != nil { // as near as a relay comes to a refusal
		near.SetLinger(0)
		near.Close()
		return
	}
	name := c.far.LocalAddr().String()
	l.mu.Lock()
	l.conns[c], l.byFar[name] = struct{}{}, c
	l.mu.Unlock()
	if l.over.Load() {
		c.end(true)
	}
	var both sync.WaitGroup
	both.Go(func() { l.carry(c, c.near, c.far, &c.nearClosed) })
	both.Go(func() { l.carry(c, c.far, c.near, nil) })
	both.Wait()
	c.end(false)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	time.AfterFunc(10*time.Second, func() { // Left is asked a little later
		l.mu.Lock()
		delete(l.byFar, name)
		l.mu.Unlock()
	})
}

// connect opens the other side of a connection.
func (l *Link) connect(accepted *net.TCPConn, over int) (*conn, error) {
	near, err := newSide(accepted, l.there, over)
	if err != nil {
		return nil, err
	}
	dialled, err := net.DialTimeout("tcp", l.target, dialTime)
	if err != nil {
		return nil, err
	}
	far, err := newSide(dialled.(*net.TCPConn), l.back, l.back.outagesOver())
	if err != nil {
		dialled.Close()
		return nil, err
	}
	return &conn{near: near, far: far, ended: make(chan struct{})}, nil
}

// end closes both sides, with a reset or not.
func (c *conn) end(reset bool) {
	c.once.Do(func() {
		close(c.ended)
		for _, s := range []*side{c.near, c.far} {
			if reset {
				s.SetLinger(0)
			}
			s.Close()
		}
	})
}

// parcel is what was read from one side at once, or its end.
type parcel struct {
	b     []byte // empty: the side sends no more
	reset bool   // it ended so
	due   time.Time
	since int // outages of the way that were over before it was sent
}

// carry passes on what comes from one side, in its order, when the way lets it.
func (l *Link) carry(c *conn, from, to *side, closed *atomic.Int64) {
	parcels := make(chan parcel, held)
	go func() {
		defer close(parcels)
		c.collect(from, parcels, closed)
	}()
	defer func() { // the reader has ended, or ends with the connection
		for range parcels {
		}
	}()
	for p := range parcels {
		if !c.wait(from.way, p) {
			return
		}
		if len(p.b) == 0 {
			if p.reset {
				c.end(true)
			} else {
				to.CloseWrite()
				// Danger: a process that closes a connection whole looks here as one that ends its sending alone; what still
				// comes for it would be read for ever. The other side's next write finds out.
			}
			return
		}
		if _, err := to.Write(p.b); err != nil {
			c.end(true)
			return
		}
		from.way.count(len(p.b))
	}
}

// collect reads a side until its end.
func (c *conn) collect(from *side, parcels chan<- parcel, closed *atomic.Int64) {
	for {
		b := make([]byte, chunk)
		n, since, err := from.receive(b)
		if n > 0 {
			c.commands.bytes(from == c.near, time.Now())
		}
		if err != nil && closed != nil {
			closed.CompareAndSwap(0, time.Now().UnixNano())
		}
		select {
		case parcels <- parcel{b[:n], errors.Is(err, syscall.ECONNRESET), from.way.due(n), since}:
		case <-c.ended:
			return
		}
		if err != nil {
			return
		}
	}
}

// wait waits until a parcel is due and its way is not silent; false: the connection is over.
func (c *conn) wait(w *Way, p parcel) bool {
	if d := time.Until(p.due); d > 0 {
		select {
		case <-c.ended:
			return false
		case <-time.After(d):
		}
	}
	for {
		s, changed := w.now()
		if !s.Silent {
			return c.survives(w, p)
		}
		select {
		case <-c.ended:
			return false
		case <-changed:
		}
	}
}

// survives tells whether a parcel that may have met an outage still arrives. It does not if the side that opened the connection has
// left: its kernel gave up what was under way meanwhile. Danger: when this relay reads something says nothing of when it was sent. On a
// busy machine the sender's end, and the parcel too, may be read after the outage, so that the kernel is asked.
func (c *conn) survives(w *Way, p parcel) bool {
	if p.since == w.outagesBegun() || !c.near.left() {
		return true
	}
	c.end(true)
	return false
}

// healed tells the connections that a way carries again.
func (l *Link) healed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.near.healed()
		c.far.healed()
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
