// Package backend executes attempts over pools of connections to the backends.
//
// pools.go contains the exported interface, attempt.go the states of an attempt, exchange.go the exchange of command and answer
// on a connection, outcomes.go the outcomes of attempts, connections.go and idle.go the connections, stream.go large values,
// and codec.go the encoding of commands and answers.
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
	"dewhitch/internal/memory"
	"dewhitch/internal/sockets"
)

// Names holds the names from the settings that commands contain.
type Names struct {
	Plans []string // names of the plans by index; a request has the name of its class from its client
}

// Limits holds the limits of the pools.
type Limits struct {
	MaxConns           int           // maximum number of open and opening connections to all backends together
	BackendIdleTimeout time.Duration // time after which a backend closes an idle connection
	ConnectTimeout     time.Duration // maximum time to establish a connection
	DescriptorWait     time.Duration // maximum time for which an attempt waits for a descriptor; 0 if it does not wait

	Memory          *memory.Account // account of long answers and connections; nil if they are not limited
	ConnectionBytes int64           // bytes that a connection takes
	ReceiveBuffer   int             // bytes that the system may hold unread of a backend; 0 if the system decides
	SendBuffer      int             // bytes that the system may hold unsent for a backend; 0 if the system decides
}

// Recorder is the ledger to which the pools post each attempt, once when it is started and once at its end. Post is called
// from several goroutines concurrently and must not block.
type Recorder interface{ Post(ledger.Posting) }

// Pools owns all connections to the backends and implements core.Backends. Only release and discard return a
// connection that an attempt has acquired. The methods of Pools are safe for concurrent use.
type Pools struct {
	names    Names
	limits   Limits
	recorder Recorder

	// Dispatched is called with the class of each attempt whose command was written completely. It is set before the first
	// attempt and may be nil.
	Dispatched func(class string)
	// Log receives a debug entry for each attempt that begins. It is set before the first attempt; if nil, nothing is logged.
	Log *zap.Logger
	// Allowed reports whether a backend may get new work now. It is set before the first attempt; if nil, every backend may.
	Allowed func(core.Backend) bool

	now  func() time.Time
	dial func(ctx context.Context, addr string, startBy time.Time) (net.Conn, error)

	mu        sync.Mutex // guards the fields below, the pools and the state of attempts
	pools     map[core.Backend]*pool
	attempts  map[attemptKey]*attempt // attempts that have not ended
	openCount int                     // number of open and opening connections
	shares    *connectionShares       // connections that clients use, and attempts that wait for one
	idle      *list.List              // idle connections (*conn) of all pools, the longest idle first
}

// New returns empty pools.
func New(n Names, l Limits, r Recorder) *Pools {
	return &Pools{
		names:    n,
		limits:   l,
		recorder: r,
		pools:    map[core.Backend]*pool{},
		attempts: map[attemptKey]*attempt{},
		idle:     list.New(),
		shares:   newConnectionShares(),
		now:      time.Now,
		dial: func(ctx context.Context, addr string, startBy time.Time) (net.Conn, error) {
			dialer := net.Dialer{Timeout: l.ConnectTimeout, Deadline: startBy, KeepAlive: -1}
			if l.ReceiveBuffer > 0 {
				dialer.Control = sockets.ControlBuffers(l.ReceiveBuffer, l.SendBuffer)
			}
			return dialer.DialContext(ctx, "tcp", addr)
		},
	}
}

// SetMaxConns changes the maximum number of connections, and closes idle ones beyond it.
func (p *Pools) SetMaxConns(n int) {
	var idle []*conn
	p.mu.Lock()
	p.limits.MaxConns = n
	for excess := p.openCount - n; excess > 0; excess-- {
		if c := p.takeLongestIdle(); c != nil {
			idle = append(idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.closeIdle(c)
	}
}

// Start implements core.Backends.
func (p *Pools) Start(spec core.Attempt, onStream func(core.Stream), onEnd func(core.AttemptResult)) {
	ctx, cancel := context.WithDeadline(context.Background(), spec.Deadline)
	a := &attempt{Attempt: spec, onStream: onStream, ctx: ctx, cancel: cancel}
	p.register(a)
	a.posting = ledger.Posting{Event: ledger.AttemptStarted, Key: spec.Request.LedgerKey, Ref: spec.Request.LedgerRef}
	p.recorder.Post(a.posting)
	go func() {
		result := p.run(a)
		p.postEnd(a, result.Outcome)
		cancel()
		p.unregister(a)
		onEnd(result)
	}()
}

// register adds an attempt to the pool of its backend. The backend is listed, as the planner starts no attempt otherwise, so
// its connections are kept again.
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

// unregister removes an attempt that has ended from its pool.
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
		a.abort()
	}
}

// Retract implements core.Backends.
func (p *Pools) Retract(request dw.RequestID, number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.attempts[attemptKey{request, number}]; a != nil && a.state == attemptWaiting {
		a.abort()
	}
}

// RetractAll implements core.Backends.
func (p *Pools) RetractAll(b core.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdraw(b)
}

// withdraw withdraws the attempts at a backend that have not begun. Pools.mu must be held.
func (p *Pools) withdraw(b core.Backend) {
	backendPool := p.pools[b]
	if backendPool == nil {
		return
	}
	for a := range backendPool.attempts {
		if a.state == attemptWaiting {
			a.abort()
		}
	}
}

// Forget implements core.Backends.
func (p *Pools) Forget(b core.Backend) {
	p.mu.Lock()
	var idle []*conn
	p.withdraw(b)
	if backendPool := p.pools[b]; backendPool != nil {
		backendPool.forgotten = true
		for len(backendPool.idle) > 0 {
			idle = append(idle, p.takeIdle(backendPool.idle[0]))
		}
		p.removeIfUnused(backendPool)
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.closeIdle(c)
	}
}
