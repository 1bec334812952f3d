package backend

// The connections to the backends: opened within a budget of descriptors, kept at rest, looked at before they are used again.

import (
	"container/list"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"dewhitch/internal/core"
	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

const (
	idleShare  = 0.8 // of the time after which a backend closes an idle connection: none is used after that
	readBuffer = 4 << 10
	sweepEvery = time.Second           // connections that are idle for too long are closed so often
	rest       = 20 * time.Millisecond // before a connection is used again: what comes behind an answer, some ms late, shows by then
)

// pool has the connections to one backend. It guards against a mix-up: an address may come back under a new id, and
// what was learnt of, or is connected to, the backend that has gone is not for the new one.
type pool struct {
	core.Backend
	idle []*conn             // the last used at the end
	out  map[*fetch]struct{} // fetches that have not ended
	gone bool                // nothing is kept for another fetch
}

// conn is one connection; it carries one fetch at a time, as an answer would wait behind a slow one before it.
type conn struct {
	*net.TCPConn
	pool  *pool
	r     *resp.Reader
	since time.Time     // idle since
	place *list.Element // among all that are idle
	raw   syscall.RawConn
}

// Run closes connections that are idle for too long, until the context ends: a backend closes them too, and what it
// has closed still takes a descriptor here.
func (p *Pools) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			p.sweep(now.Add(-p.idleTime()))
		}
	}
}

// sweep closes what has been idle since before then.
func (p *Pools) sweep(then time.Time) {
	var old []*conn
	p.mu.Lock()
	for e := p.idle.Front(); e != nil && e.Value.(*conn).since.Before(then); e = p.idle.Front() {
		old = append(old, p.unrest(e.Value.(*conn)))
	}
	p.mu.Unlock()
	for _, c := range old {
		p.retire(c)
	}
}

func (p *Pools) idleTime() time.Duration {
	return time.Duration(idleShare * float64(p.limits.Idle))
}

// shortageWait is the time between two dials while this machine lacks something.
const shortageWait = 5 * time.Millisecond

// connect dials a fetch's backend. What this machine lacks it may have in a moment, so that a dial is tried again, for as long
// as a connection may take to come up; nothing was sent by any.
func (p *Pools) connect(f *fetch) (net.Conn, error) {
	for until := p.now().Add(p.limits.Connect); ; {
		c, err := p.dial(f.ctx, f.Backend.Addr, f.StartBy)
		if sockets.DialClass(err) != sockets.Shortage || !p.now().Before(until) {
			return c, err
		}
		select {
		case <-time.After(shortageWait):
		case <-f.ctx.Done():
			return nil, err
		}
	}
}

// take finds an idle connection that is still good, or opens one within the descriptor budget.
func (p *Pools) take(f *fetch) (*conn, error) {
	l := f.pool
	for {
		now := p.now()
		p.mu.Lock()
		c := p.rested(l, now)
		if c == nil {
			break
		}
		p.mu.Unlock()
		// The backend may have closed it meanwhile: a command written to it would be lost as a reset. And what has
		// come on it since its last answer is no answer to the next command.
		if now.Sub(c.since) < p.idleTime() && c.quiet() {
			return c, nil
		}
		p.retire(c)
	}
	var spare *conn
	if p.open >= p.limits.Conns { // the longest idle of another backend makes room
		if spare = p.oldest(); spare == nil {
			p.mu.Unlock()
			return nil, errFull
		}
	}
	p.open++
	p.mu.Unlock()
	if spare != nil {
		p.retire(spare)
	}
	n, err := p.connect(f)
	if err != nil {
		p.closed()
		return nil, err
	}
	c := &conn{TCPConn: n.(*net.TCPConn), pool: l, r: resp.NewReader(n, readBuffer)}
	if err = c.resetOnClose(); err == nil {
		c.raw, err = c.SyscallConn()
	}
	if err != nil {
		p.drop(c)
		return nil, err
	}
	return c, nil
}

// rested takes the last used connection of a pool that has rested; the lock is held.
func (p *Pools) rested(l *pool, now time.Time) *conn {
	for _, c := range slices.Backward(l.idle) {
		if now.Sub(c.since) >= rest {
			return p.unrest(c)
		}
	}
	return nil
}

// unrest takes an idle connection out of its pool; the lock is held.
func (p *Pools) unrest(c *conn) *conn {
	l := c.pool
	at := slices.Index(l.idle, c)
	l.idle = slices.Delete(l.idle, at, at+1)
	p.idle.Remove(c.place)
	p.tidy(l)
	return c
}

// oldest takes the connection that has been idle longest out of its pool; the lock is held.
func (p *Pools) oldest() *conn {
	if e := p.idle.Front(); e != nil {
		return p.unrest(e.Value.(*conn))
	}
	return nil
}

// put gives a connection back to its pool, if that still has a backend.
func (p *Pools) put(c *conn) {
	c.SetDeadline(time.Time{}) // of the fetch that is over
	c.since = p.now()
	p.mu.Lock()
	kept := !c.pool.gone
	if kept {
		c.pool.idle = append(c.pool.idle, c)
		c.place = p.idle.PushBack(c)
	}
	p.mu.Unlock()
	if !kept {
		p.retire(c)
	}
}

// drop closes a connection with a reset and gives its descriptor back.
func (p *Pools) drop(c *conn) {
	c.Close()
	p.closed()
}

// retire closes a connection that is at rest, as everything written on it was answered, and gives its descriptor back.
func (p *Pools) retire(c *conn) {
	c.SetLinger(-1)
	p.drop(c)
}

// resetOnClose has a close of the connection, or the end of this process, discard what the kernel has not delivered yet, and reset
// the connection. Otherwise the kernel goes on sending a command after its attempt was given up: behind a partition or a server
// that is stuck it would run late, for a client that has its answer or has gone, or as a repeat that nobody remembers.
func (c *conn) resetOnClose() error { return c.SetLinger(0) }

func (p *Pools) closed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// quiet tells that nothing has come on an idle connection, its end included.
func (c *conn) quiet() bool {
	ok := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && ok
}
