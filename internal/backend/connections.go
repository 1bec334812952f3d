package backend

import (
	"container/list"
	"errors"
	"net"
	"syscall"
	"time"

	"dewhitch/internal/core"
	"dewhitch/internal/memory"
	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

const (
	readBufferSize        = 4 << 10              // size of a connection's read buffer in bytes
	shortageRetryInterval = 5 * time.Millisecond // time between two dials during a local shortage
)

// pool holds the idle connections to one backend and its attempts. A backend is identified by id and address, because an
// address may be listed again under another id, and connections to the removed backend must not be used for the new one.
// Pools.mu guards it.
type pool struct {
	core.Backend
	idle      []*conn               // idle connections, the most recently used last
	attempts  map[*attempt]struct{} // attempts that have not ended
	forgotten bool                  // true if released connections are closed instead of kept
}

// conn is one connection to a backend. It serves one attempt at a time, because answers arrive in the order of the commands.
type conn struct {
	*net.TCPConn
	pool        *pool
	answer      answerReading // answer that is being read
	reader      *resp.Reader
	rawConn     syscall.RawConn
	idleSince   time.Time     // time of the last release
	idleElement *list.Element // element of an idle connection in Pools.idle
}

// acquire returns an idle connection that is still usable, or opens a new one within the descriptor budget.
func (p *Pools) acquire(a *attempt) (*conn, error) {
	for {
		now := p.now()
		p.mu.Lock()
		c := p.takeReusable(a.pool, now)
		if c == nil {
			break
		}
		p.shares.take(a.Request.Client)
		p.mu.Unlock()
		// If the backend has closed the connection meanwhile, a command written to it would fail with a reset. Bytes received
		// since the last answer are not an answer to the next command.
		if now.Sub(c.idleSince) < p.maxIdleTime() && c.nothingReceived() {
			return c, nil
		}
		p.endUse(a)
		p.closeIdle(c)
	}
	p.mu.Unlock()
	if err := p.reserve(a); err != nil {
		return nil, err
	}
	return p.open(a)
}

// endUse counts that an attempt no longer uses a connection, before this is released or closed.
func (p *Pools) endUse(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares.giveBack(a.Request.Client)
}

// reserve takes a descriptor from the budget for a new connection of an attempt's client. If none is free, it closes the longest idle
// connection, to any backend, or waits until it is granted one.
func (p *Pools) reserve(a *attempt) error {
	p.mu.Lock()
	if p.openCount < p.limits.MaxConns {
		p.openCount++
		p.shares.take(a.Request.Client)
		p.mu.Unlock()
		p.countConnection()
		return nil
	}
	if idle := p.takeLongestIdle(); idle != nil {
		p.shares.take(a.Request.Client)
		p.mu.Unlock()
		idle.SetLinger(-1)
		idle.Close() // this connection's place in the budget is used for the new one
		return nil
	}
	if p.limits.DescriptorWait == 0 {
		p.mu.Unlock()
		return errNoDescriptor
	}
	wait := p.shares.wait(a.Request.Client)
	p.mu.Unlock()
	timeout := time.NewTimer(p.limits.DescriptorWait)
	defer timeout.Stop()
	if p.limits.Memory != nil {
		p.limits.Memory.BeginWait(memory.Connections)
		defer p.limits.Memory.EndWait(memory.Connections)
	}
	select {
	case <-wait.granted:
		return nil
	case <-a.ctx.Done():
	case <-timeout.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-wait.granted:
		return nil
	default:
	}
	p.shares.leave(wait)
	return errNoDescriptor
}

// countConnection counts a connection in the account of the memory.
func (p *Pools) countConnection() {
	if p.limits.Memory != nil {
		p.limits.Memory.Add(memory.Connections, p.limits.ConnectionBytes)
	}
}

// open opens a connection for an attempt. It uses a descriptor that was reserved before, and returns it to the budget on error.
func (p *Pools) open(a *attempt) (*conn, error) {
	netConn, err := p.connect(a)
	if err != nil {
		p.endUse(a)
		p.unreserve()
		return nil, err
	}
	c := &conn{TCPConn: netConn.(*net.TCPConn), pool: a.pool}
	c.reader = resp.NewReader(c, readBufferSize)
	c.reader.BeforeBulk = func(length int) error { return p.countAnswer(c, length) }
	c.reader.MustStream = func(length int) bool { return p.mustStream(c, length) }
	if err = c.resetOnClose(); err == nil {
		c.rawConn, err = c.SyscallConn()
	}
	if err != nil {
		p.endUse(a)
		p.discard(c)
		return nil, err
	}
	return c, nil
}

// connect dials an attempt's backend. It repeats a dial that fails for lack of a resource on this machine, for at most the
// connect timeout: such a shortage may be brief, and nothing was sent.
func (p *Pools) connect(a *attempt) (net.Conn, error) {
	retryUntil := p.now().Add(p.limits.ConnectTimeout)
	for {
		c, err := p.dial(a.ctx, a.Backend.Addr, a.StartBy)
		if sockets.ClassifyDialError(err) != sockets.Shortage || !p.now().Before(retryUntil) {
			return c, err
		}
		select {
		case <-time.After(shortageRetryInterval):
		case <-a.ctx.Done():
			return nil, err
		}
	}
}

// discard closes a connection with a reset and returns its descriptor to the budget.
func (p *Pools) discard(c *conn) {
	c.Close()
	p.unreserve()
}

// unreserve returns a descriptor to the budget, or passes it on to an attempt that waits.
func (p *Pools) unreserve() {
	p.mu.Lock()
	if p.openCount <= p.limits.MaxConns && p.shares.grant() {
		p.mu.Unlock()
		return
	}
	p.openCount--
	p.mu.Unlock()
	if p.limits.Memory != nil {
		p.limits.Memory.Release(memory.Connections, p.limits.ConnectionBytes)
	}
}

// resetOnClose makes the close of the connection, or the exit of this process, discard the data that the kernel has not
// delivered yet and reset the connection. Otherwise the kernel would go on sending a command after its attempt was cancelled.
// Behind a partition or a hanging server, the command would then be executed late: for a client that already has its answer or
// has disconnected, or as a duplicate after the deduplication window has ended.
func (c *conn) resetOnClose() error { return c.SetLinger(0) }

// nothingReceived reports whether an idle connection has received neither data nor its end.
func (c *conn) nothingReceived() bool {
	noData := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}
