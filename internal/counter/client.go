// Package counter is the client of the shared quota counter. Calls are pipelined over a fixed number of connections.
//
// client.go has the interface, call.go the state machine of a call, connection.go the goroutine that connects and writes
// calls, answers.go the goroutine that reads the answers of one connection.
package counter

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/dynaddr"
	"dewhitch/internal/ledger"
)

const (
	pipelineCount  = 2                      // pipelines of a client
	queueLimit     = 512                    // calls that wait to be written, for each pipeline; further ones are rejected
	batchLimit     = queueLimit / 2         // calls in one write
	redialInterval = 100 * time.Millisecond // between two attempts to connect
	writeTimeout   = time.Second            // of one write
	answerTimeout  = 100 * time.Millisecond // from the first byte of an answer to its last
	// silenceFactor is how many call timeouts a call may be in flight without any answer before its connection is dead.
	silenceFactor = 7
)

// Sockets is how many descriptors a client holds at most: for each pipeline its connection, and one at the former address
// on which answers are outstanding.
const Sockets = 2 * pipelineCount

// Recorder is the ledger that the client posts each call to, once when it begins and once when it is settled. Post is
// called from any goroutine and may not block.
type Recorder interface{ Post(ledger.Posting) }

// Client sends calls to the counter. It implements core.Counter and is safe for concurrent use.
type Client struct {
	addr        *dynaddr.Address
	timeout     time.Duration // of a call, from Add until it is settled
	dialTimeout time.Duration
	recorder    Recorder
	log         *zap.Logger
	pipelines   [pipelineCount]pipeline
}

// New makes a client of the counter at addr, as host:port. Calls are sent while Run runs; until then they are queued.
func New(addr string, timeout, dialTimeout time.Duration, r Recorder, log *zap.Logger) *Client {
	c := &Client{addr: dynaddr.New(addr), timeout: timeout, dialTimeout: dialTimeout, log: log, recorder: r}
	for i := range c.pipelines {
		c.pipelines[i].client = c
		c.pipelines[i].queue = make(chan *call, queueLimit)
	}
	return c
}

// Move sends the calls that are not written yet, and all later ones, to another address. Calls that are written get their
// answers from the former address.
func (c *Client) Move(addr string) { c.addr.Move(addr) }

// Add implements core.Counter: it adds an amount to a named counter and does not block. done is called once, from another
// goroutine, with the outcome (call.go says what each promises) and, if that is dw.OutcomeOK, the counter's new total.
func (c *Client) Add(o core.CounterCall, done func(outcome dw.Outcome, total float64)) {
	k := &call{
		target:   requestTarget(o),
		done:     done,
		recorder: c.recorder,
		posting: ledger.Posting{Event: ledger.CallBegan, Key: o.LedgerKey, Ref: o.LedgerRef,
			Units: ledger.MicroUnits(o.Amount)},
	}
	c.recorder.Post(k.posting)
	k.timer = time.AfterFunc(c.timeout, k.expire)
	select {
	case c.pipelineOf(o.Name).queue <- k:
	default:
		go k.settle(callQueued, dw.OutcomeRejected, 0)
	}
}

// requestTarget is the request target of a call; its amount is in units, its expiry at least 1 ms.
func requestTarget(o core.CounterCall) string {
	return "/counters/" + o.Name + "?by=" + strconv.FormatFloat(o.Amount, 'f', -1, 64) +
		"&expire_ms=" + strconv.FormatInt(max(1, o.TTL.Milliseconds()), 10)
}

// pipelineOf assigns a counter to a pipeline. All calls of one name use the same one, so that they are applied and
// answered in the order of the calls to Add.
func (c *Client) pipelineOf(name string) *pipeline {
	hash := uint32(0)
	for i := range len(name) {
		hash = hash*31 + uint32(name[i])
	}
	return &c.pipelines[hash%pipelineCount]
}

// Run keeps the pipelines connected until the context ends.
func (c *Client) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for i := range c.pipelines {
		running.Go(func() { c.pipelines[i].run(ctx) })
	}
	running.Wait()
	return nil
}
