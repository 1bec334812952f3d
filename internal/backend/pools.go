// Package backend carries out attempts over pools of connections to the backends.
//
// pools.go has the interface, attempt.go the states of an attempt, exchange.go command and answer on a connection,
// outcomes.go what an end tells of the backend, connections.go and idle.go the connections, stream.go large values, and
// codec.go the bytes.
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
	Plans []string // by the index of the plan; classes are named by each request, as its client named them
}

// Limits bound the pools.
type Limits struct {
	MaxConns           int           // connections open or being opened, to all backends together
	BackendIdleTimeout time.Duration // after which a backend closes an idle connection
	ConnectTimeout     time.Duration // for a connection to come up
}

// Recorder is the ledger that the pools post each attempt to, once when it begins and once at its end. Post is called from
// any goroutine and may not block.
type Recorder interface{ Post(ledger.Posting) }

// Pools owns every connection to the backends, and implements core.Backends. A connection is given back in release or in
// discard, nowhere else. Its methods are safe for concurrent use.
type Pools struct {
	names    Names
	limits   Limits
	recorder Recorder

	// Dispatched is called with the class of each attempt whose command was written completely. It is set before the first
	// attempt, or nil.
	Dispatched func(class string)
	// Log gets, at debug level, each attempt that begins. It is set before the first attempt; nil: nothing is logged.
	Log *zap.Logger
	// Allowed reports whether new work may go to a backend now. It is set before the first attempt; nil: to each.
	Allowed func(core.Backend) bool

	now  func() time.Time
	dial func(ctx context.Context, addr string, by time.Time) (net.Conn, error)

	mu        sync.Mutex // guards what follows, and the state of attempts
	pools     map[core.Backend]*pool
	attempts  map[attemptKey]*attempt // that have not ended
	openCount int                     // connections open or being opened
	idle      *list.List              // of *conn, over all pools, the longest idle first
}

// New makes empty pools.
func New(n Names, l Limits, r Recorder) *Pools {
	return &Pools{
		names:    n,
		limits:   l,
		recorder: r,
		pools:    map[core.Backend]*pool{},
		attempts: map[attemptKey]*attempt{},
		idle:     list.New(),
		now:      time.Now,
		dial: func(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
			return (&net.Dialer{Timeout: l.ConnectTimeout, Deadline: by, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		},
	}
}

// Start implements core.Backends.
func (p *Pools) Start(spec core.Attempt, began func(core.Stream), done func(core.AttemptResult)) {
	ctx, cancel := context.WithDeadline(context.Background(), spec.Deadline)
	a := &attempt{Attempt: spec, began: began, ctx: ctx, cancel: cancel}
	p.register(a)
	a.posting = ledger.Posting{Event: ledger.AttemptStarted, Key: spec.Request.LedgerKey, Ref: spec.Request.LedgerRef}
	p.recorder.Post(a.posting)
	go func() {
		result := p.run(a)
		p.postEnd(a, result.Outcome)
		cancel()
		p.unregister(a)
		done(result)
	}()
}

// register takes an attempt into the pool of its backend, which is on the list, or nothing would be sent there.
func (p *Pools) register(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[a.key()] = a
	a.pool = p.pools[a.Backend]
	if a.pool == nil {
		a.pool = &pool{Backend: a.Backend, attempts: map[*attempt]struct{}{}}
		p.pools[a.Backend] = a.pool
	}
	a.pool.forgotten = false
	a.pool.attempts[a] = struct{}{}
}

// unregister takes an attempt that has ended out again.
func (p *Pools) unregister(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.attempts, a.key())
	delete(a.pool.attempts, a)
	p.removeIfUnused(a.pool)
}

// Cancel implements core.Backends.
func (p *Pools) Cancel(request dw.RequestID, number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.attempts[attemptKey{request, number}]; a != nil {
		a.giveUp()
	}
}

// Retract implements core.Backends.
func (p *Pools) Retract(request dw.RequestID, number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.attempts[attemptKey{request, number}]; a != nil && a.state == attemptWaiting {
		a.giveUp()
	}
}

// RetractAll implements core.Backends.
func (p *Pools) RetractAll(b core.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdraw(b)
}

// withdraw gives the attempts at a backend up that have not begun; the lock is held.
func (p *Pools) withdraw(b core.Backend) {
	l := p.pools[b]
	if l == nil {
		return
	}
	for a := range l.attempts {
		if a.state == attemptWaiting {
			a.giveUp()
		}
	}
}

// Forget implements core.Backends.
func (p *Pools) Forget(b core.Backend) {
	p.mu.Lock()
	var idle []*conn
	p.withdraw(b)
	if l := p.pools[b]; l != nil {
		l.forgotten = true
		for len(l.idle) > 0 {
			idle = append(idle, p.takeIdle(l.idle[0]))
		}
		p.removeIfUnused(l)
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.closeIdle(c)
	}
}
