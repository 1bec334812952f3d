package backend

import (
	"context"
	"slices"
	"time"
)

const (
	idleFraction  = 0.8         // fraction of a backend's idle timeout after which a connection is not reused
	sweepInterval = time.Second // time between two searches for connections that are idle for too long
	// minIdleTime is how long a connection must be idle before it is reused. Unexpected data that a backend sends some
	// milliseconds after an answer has arrived by then.
	minIdleTime = 20 * time.Millisecond
)

// maxIdleTime returns how long a connection may be idle and still be reused.
func (p *Pools) maxIdleTime() time.Duration {
	return time.Duration(idleFraction * float64(p.limits.BackendIdleTimeout))
}

// Run closes connections that are idle for too long, until the context ends; it returns nil. A backend closes such connections
// as well, but each of them still occupies a descriptor here.
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

// sweep closes the connections that have been idle since before cutoff.
func (p *Pools) sweep(cutoff time.Time) {
	var overdue []*conn
	p.mu.Lock()
	for e := p.idle.Front(); e != nil && e.Value.(*conn).idleSince.Before(cutoff); e = p.idle.Front() {
		overdue = append(overdue, p.takeIdle(e.Value.(*conn)))
	}
	p.mu.Unlock()
	for _, c := range overdue {
		p.closeIdle(c)
	}
}

// takeReusable takes the most recently used connection that has been idle for minIdleTime out of a pool. It returns nil if there
// is none. Pools.mu must be held.
func (p *Pools) takeReusable(backendPool *pool, now time.Time) *conn {
	for _, c := range slices.Backward(backendPool.idle) {
		if now.Sub(c.idleSince) >= minIdleTime {
			return p.takeIdle(c)
		}
	}
	return nil
}

// takeLongestIdle takes the longest idle connection out of its pool, or returns nil. Pools.mu must be held.
func (p *Pools) takeLongestIdle() *conn {
	if e := p.idle.Front(); e != nil {
		return p.takeIdle(e.Value.(*conn))
	}
	return nil
}

// takeIdle takes an idle connection out of its pool and returns it. Pools.mu must be held.
func (p *Pools) takeIdle(c *conn) *conn {
	backendPool := c.pool
	index := slices.Index(backendPool.idle, c)
	backendPool.idle = slices.Delete(backendPool.idle, index, index+1)
	p.idle.Remove(c.idleElement)
	p.removeIfUnused(backendPool)
	return c
}

// removeIfUnused deletes a pool that has no idle connections and no attempts. Pools.mu must be held.
func (p *Pools) removeIfUnused(backendPool *pool) {
	if len(backendPool.attempts) == 0 && len(backendPool.idle) == 0 && p.pools[backendPool.Backend] == backendPool {
		delete(p.pools, backendPool.Backend)
	}
}

// release returns a connection to its pool, or closes it if its backend was forgotten or an attempt waits for its descriptor.
func (p *Pools) release(c *conn) {
	c.SetDeadline(time.Time{}) // removes the deadline of the attempt that has ended
	c.idleSince = p.now()
	p.mu.Lock()
	reuse := !c.pool.forgotten && !p.shares.anyWaiting()
	if reuse {
		c.pool.idle = append(c.pool.idle, c)
		c.idleElement = p.idle.PushBack(c)
	}
	p.mu.Unlock()
	if !reuse {
		p.closeIdle(c)
	}
}

// closeIdle closes an idle connection normally, without a reset, because everything written to it was answered. It returns the
// descriptor to the budget.
func (p *Pools) closeIdle(c *conn) {
	c.SetLinger(-1)
	p.discard(c)
}
