// Package counter implements the client of the shared quota counter. It pipelines calls over a fixed number of connections.
//
// client.go contains the exported interface, call.go the state machine of a call, connection.go the goroutine that connects
// and writes calls, and answers.go the goroutine that reads the answers of one connection.
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
	pipelineCount  = 2                      // number of pipelines of a client
	queueLimit     = 512                    // maximum number of unwritten calls per pipeline; further calls are rejected
	batchLimit     = queueLimit / 2         // maximum number of calls in one write
	redialInterval = 100 * time.Millisecond // time between two attempts to connect
	writeTimeout   = time.Second            // maximum duration of one write
	answerTimeout  = 100 * time.Millisecond // maximum time from the first byte of an answer to its last
	// unansweredTimeoutFactor is the number of call timeouts without an answer to the oldest call after which a connection is
	// closed.
	unansweredTimeoutFactor = 7
)

// Sockets is the maximum number of descriptors that a client holds: for each pipeline its connection, and one connection to the
// former address on which answers are outstanding.
const Sockets = 2 * pipelineCount

// Recorder is the ledger to which the client posts each call, once when it begins and once when it is settled. Post is called
// from several goroutines concurrently and must not block.
type Recorder interface{ Post(ledger.Posting) }

// Client sends calls to the counter. It implements core.Counter and is safe for concurrent use.
type Client struct {
	addr        *dynaddr.Address
	timeout     time.Duration // maximum time from Add until a call is settled
	dialTimeout time.Duration // maximum time to establish a connection
	recorder    Recorder
	log         *zap.Logger
	pipelines   [pipelineCount]pipeline
}

// New returns a client of the counter at addr, as host:port. Calls are sent while Run runs; until then they are queued.
func New(addr string, timeout, dialTimeout time.Duration, r Recorder, log *zap.Logger) *Client {
	c := &Client{addr: dynaddr.New(addr), timeout: timeout, dialTimeout: dialTimeout, log: log, recorder: r}
	for i := range c.pipelines {
		c.pipelines[i].client = c
		c.pipelines[i].queue = make(chan *call, queueLimit)
	}
	return c
}

// Move changes the counter's address. Calls that are not written yet, and all later calls, go to the new address; answers to
// calls that were already written are still read from the former address.
func (c *Client) Move(addr string) { c.addr.Move(addr) }

// Add implements core.Counter: it adds an amount to a named counter and does not block. It calls done once, from another
// goroutine, with the outcome (see call for what each one guarantees) and, if that is dw.OutcomeOK, the counter's new total.
func (c *Client) Add(op core.CounterCall, done func(outcome dw.Outcome, total float64)) {
	queued := &call{
		target:   requestTarget(op),
		done:     done,
		recorder: c.recorder,
		posting: ledger.Posting{Event: ledger.CallStarted, Key: op.LedgerKey, Ref: op.LedgerRef,
			Units: ledger.MicroUnits(op.Amount)},
	}
	c.recorder.Post(queued.posting)
	queued.timer = time.AfterFunc(c.timeout, queued.expire)
	select {
	case c.pipelineFor(op.Name).queue <- queued:
	default:
		go queued.settle(callQueued, dw.OutcomeRejected, 0)
	}
}

// requestTarget returns the HTTP request target of a call. Its amount is in units; its expiry is at least 1 ms.
func requestTarget(op core.CounterCall) string {
	return "/counters/" + op.Name + "?by=" + strconv.FormatFloat(op.Amount, 'f', -1, 64) +
		"&expire_ms=" + strconv.FormatInt(max(1, op.TTL.Milliseconds()), 10)
}

// pipelineFor returns the pipeline for a counter. All calls to one counter use the same pipeline, so that they are applied and
// answered in the order of the calls to Add.
func (c *Client) pipelineFor(name string) *pipeline {
	hash := uint32(0)
	for i := range len(name) {
		hash = hash*31 + uint32(name[i])
	}
	return &c.pipelines[hash%pipelineCount]
}

// Run connects the pipelines and sends calls until the context ends. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for i := range c.pipelines {
		running.Go(func() { c.pipelines[i].run(ctx) })
	}
	running.Wait()
	return nil
}
