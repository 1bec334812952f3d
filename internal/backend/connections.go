package backend

import (
	"container/list"
	"errors"
	"net"
	"syscall"
	"time"

	"dewhitch/internal/core"
	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

const (
	readBufferSize        = 4 << 10 // bytes
	shortageRetryInterval = 5 * time.Millisecond
)

// pool has the connections to one backend, by id and address: an address may come back under another id, and connections to
// the backend that was removed are not for the new one. Pools.mu guards it.
type pool struct {
	core.Backend
	idle      []*conn               // the last used at the end
	attempts  map[*attempt]struct{} // that have not ended
	forgotten bool                  // connections are closed after the attempts that are in flight
}

// conn is one connection. It carries one attempt at a time, as answers come in the order of the commands.
type conn struct {
	*net.TCPConn
	pool        *pool
	r           *resp.Reader
	raw         syscall.RawConn
	idleSince   time.Time
	idleElement *list.Element // in Pools.idle
}

// acquire gives an attempt an idle connection that is still good, or opens one within the descriptor budget.
func (p *Pools) acquire(a *attempt) (*conn, error) {
	for {
		now := p.now()
		p.mu.Lock()
		c := p.takeRested(a.pool, now)
		if c == nil {
			break
		}
		p.mu.Unlock()
		// The backend may have closed it meanwhile: a command written to it would be lost as a reset. And what has come
		// since its last answer is no answer to the next command.
		if now.Sub(c.idleSince) < p.maxIdleTime() && c.nothingReceived() {
			return c, nil
		}
		p.closeIdle(c)
	}
	evicted, err := p.reserve()
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if evicted != nil {
		p.closeIdle(evicted)
	}
	return p.open(a)
}

// reserve takes a descriptor of the budget for a new connection. If there is none, the connection that has been idle longest
// is evicted, to whichever backend it goes; the caller closes it. The lock is held.
func (p *Pools) reserve() (evicted *conn, err error) {
	if p.openCount >= p.limits.MaxConns {
		evicted = p.takeOldest()
		if evicted == nil {
			return nil, errNoDescriptor
		}
	}
	p.openCount++
	return evicted, nil
}

// open opens a connection for an attempt, with a descriptor that was reserved, and gives that back on an error.
func (p *Pools) open(a *attempt) (*conn, error) {
	n, err := p.connect(a)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	c := &conn{TCPConn: n.(*net.TCPConn), pool: a.pool, r: resp.NewReader(n, readBufferSize)}
	if err = c.resetOnClose(); err == nil {
		c.raw, err = c.SyscallConn()
	}
	if err != nil {
		p.discard(c)
		return nil, err
	}
	return c, nil
}

// connect dials an attempt's backend. A dial that fails for a shortage of this machine is repeated, for as long as a
// connection may take to come up: the shortage may be over in a moment, and nothing was sent.
func (p *Pools) connect(a *attempt) (net.Conn, error) {
	until := p.now().Add(p.limits.ConnectTimeout)
	for {
		c, err := p.dial(a.ctx, a.Backend.Addr, a.StartBy)
		if sockets.DialClass(err) != sockets.Shortage || !p.now().Before(until) {
			return c, err
		}
		select {
		case <-time.After(shortageRetryInterval):
		case <-a.ctx.Done():
			return nil, err
		}
	}
}

// discard closes a connection with a reset and gives its descriptor back.
func (p *Pools) discard(c *conn) {
	c.Close()
	p.unreserve()
}

// unreserve gives a descriptor back to the budget.
func (p *Pools) unreserve() {
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

// resetOnClose has a close of the connection, or the end of this process, discard what the kernel has not delivered yet, and reset
// the connection. Otherwise the kernel goes on sending a command after its attempt was given up: behind a partition or a
// server that hangs it would run late, for a client that has its answer or has left, or as a duplicate after the window for
// them has ended.
func (c *conn) resetOnClose() error { return c.SetLinger(0) }

// nothingReceived reports whether nothing has come on an idle connection, its end included.
func (c *conn) nothingReceived() bool {
	nothing := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothing
}
