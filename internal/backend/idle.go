package backend

import (
	"context"
	"slices"
	"time"
)

const (
	idleFraction  = 0.8         // of the time after which a backend closes an idle connection: none is used after that
	sweepInterval = time.Second // between two searches for connections that are idle for too long
	// restTime is how long a connection must be idle before it is used again: what comes after an answer, some milliseconds
	// late, shows by then.
	restTime = 20 * time.Millisecond
)

// maxIdleTime is how long a connection may be idle and still be used.
func (p *Pools) maxIdleTime() time.Duration {
	return time.Duration(idleFraction * float64(p.limits.BackendIdleTimeout))
}

// Run closes connections that are idle for too long, until the context ends; it returns nil. A backend closes them too, and
// what it has closed still takes a descriptor here.
func (p *Pools) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			p.sweep(now.Add(-p.maxIdleTime()))
		}
	}
}

// sweep closes what has been idle since before then.
func (p *Pools) sweep(then time.Time) {
	var old []*conn
	p.mu.Lock()
	for e := p.idle.Front(); e != nil && e.Value.(*conn).idleSince.Before(then); e = p.idle.Front() {
		old = append(old, p.takeIdle(e.Value.(*conn)))
	}
	p.mu.Unlock()
	for _, c := range old {
		p.closeIdle(c)
	}
}

// takeRested takes the last used connection of a pool that has been idle for restTime; the lock is held.
func (p *Pools) takeRested(l *pool, now time.Time) *conn {
	for _, c := range slices.Backward(l.idle) {
		if now.Sub(c.idleSince) >= restTime {
			return p.takeIdle(c)
		}
	}
	return nil
}

// takeOldest takes the connection that has been idle longest out of its pool; the lock is held.
func (p *Pools) takeOldest() *conn {
	if e := p.idle.Front(); e != nil {
		return p.takeIdle(e.Value.(*conn))
	}
	return nil
}

// takeIdle takes an idle connection out of its pool; the lock is held.
func (p *Pools) takeIdle(c *conn) *conn {
	l := c.pool
	at := slices.Index(l.idle, c)
	l.idle = slices.Delete(l.idle, at, at+1)
	p.idle.Remove(c.idleElement)
	p.removeIfUnused(l)
	return c
}

// removeIfUnused removes a pool without connections and attempts; the lock is held.
func (p *Pools) removeIfUnused(l *pool) {
	if len(l.attempts) == 0 && len(l.idle) == 0 && p.pools[l.Backend] == l {
		delete(p.pools, l.Backend)
	}
}

// release gives a connection back to its pool, or closes it if its backend was forgotten.
func (p *Pools) release(c *conn) {
	c.SetDeadline(time.Time{}) // of the attempt that is over
	c.idleSince = p.now()
	p.mu.Lock()
	reuse := !c.pool.forgotten
	if reuse {
		c.pool.idle = append(c.pool.idle, c)
		c.idleElement = p.idle.PushBack(c)
	}
	p.mu.Unlock()
	if !reuse {
		p.closeIdle(c)
	}
}

// closeIdle closes an idle connection, in order, as everything written on it was answered, and gives its descriptor back.
func (p *Pools) closeIdle(c *conn) {
	c.SetLinger(-1)
	p.discard(c)
}
