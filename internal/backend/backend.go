// Package backend carries out fetches over pools of connections to the backends.
package backend

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/ledger"
)

// Names are the settings' words that stand in a command.
type Names struct {
	Plans []string // classes are named by each req, as its client named them
}

// Limits bound the pools.
type Limits struct {
	Conns   int           // open or being opened, to all backends together
	Idle    time.Duration // a backend closes a connection that was idle for so long
	Connect time.Duration
}

// Pools owns every connection to the backends. A connection is given back in put or in drop, nowhere else.
type Pools struct {
	names  Names
	limits Limits
	books  Books

	// Dispatched is told the class of each fetch whose command was written whole, if set before the first fetch.
	Dispatched func(class string)
	// Log is told, at debug level, of each attempt that begins, if set before the first fetch; nil: nothing is logged.
	Log *zap.Logger
	// Allowed tells whether new work may go to a backend now, if set before the first fetch; nil: to each.
	Allowed func(core.Backend) bool

	now  func() time.Time
	dial func(ctx context.Context, addr string, by time.Time) (net.Conn, error)

	mu      sync.Mutex
	pools   map[core.Backend]*pool
	open    int
	fetches map[key]*fetch
	idle    *list.List // of *conn, over all pools, the longest idle first
}

// Books are what the pools post to.
type Books interface{ Post(ledger.Posting) }

// New makes empty pools.
func New(n Names, l Limits, b Books) *Pools {
	return &Pools{names: n, limits: l, books: b, pools: map[core.Backend]*pool{}, fetches: map[key]*fetch{}, idle: list.New(),
		now: time.Now, dial: func(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
			return (&net.Dialer{Timeout: l.Connect, Deadline: by, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		}}
}

// Start implements core.Backends.
func (p *Pools) Start(f core.Attempt, began func(core.Stream), done func(core.AttemptResult)) {
	ctx, cancel := context.WithDeadline(context.Background(), f.Deadline)
	k, x := key{f.RequestID, f.Number}, &fetch{Attempt: f, began: began, done: done, ctx: ctx, cancel: cancel}
	p.mu.Lock()
	p.fetches[k] = x
	if x.pool = p.pools[f.Backend]; x.pool == nil {
		x.pool = &pool{Backend: f.Backend, out: map[*fetch]struct{}{}}
		p.pools[f.Backend] = x.pool
	}
	x.pool.gone = false // it is on the list, or nothing would be sent
	x.pool.out[x] = struct{}{}
	p.mu.Unlock()
	x.entry = ledger.Posting{Event: ledger.FetchBegan, Key: f.Request.LedgerKey, Ref: f.Request.LedgerRef}
	p.books.Post(x.entry)
	go func() {
		end := p.run(x)
		p.book(x, end.Outcome)
		cancel()
		p.mu.Lock()
		delete(p.fetches, k)
		delete(x.pool.out, x)
		p.tidy(x.pool)
		p.mu.Unlock()
		done(end)
	}()
}

// Cancel implements core.Backends.
func (p *Pools) Cancel(req dw.RequestID, attempt int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.fetches[key{req, attempt}]; f != nil {
		f.end()
	}
}

// Retract implements core.Backends.
func (p *Pools) Retract(req dw.RequestID, attempt int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.fetches[key{req, attempt}]; f != nil && f.state == waiting {
		f.end()
	}
}

// Withdraw implements core.Backends.
func (p *Pools) Withdraw(b core.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdraw(b)
}

func (p *Pools) withdraw(b core.Backend) {
	l := p.pools[b]
	if l == nil {
		return
	}
	for f := range l.out {
		if f.state == waiting {
			f.end()
		}
	}
}

// Forget implements core.Backends.
func (p *Pools) Forget(b core.Backend) {
	p.mu.Lock()
	var idle []*conn
	p.withdraw(b)
	if l := p.pools[b]; l != nil {
		l.gone = true
		for len(l.idle) > 0 {
			idle = append(idle, p.unrest(l.idle[0]))
		}
		p.tidy(l)
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.retire(c)
	}
}
