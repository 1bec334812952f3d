package counter

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/http1"
)

// pipeline is a queue of calls and the connection to which they are written; there is one such connection at a time. The
// goroutine of run, which is also the writer of the connection, owns all fields except queue.
type pipeline struct {
	client *Client
	queue  chan *call
	// draining is closed once the connection to the former address is closed; it is nil if the counter has not moved.
	draining chan struct{}
}

// run connects when there is a call to write, and reconnects for the next call when the connection is lost, until the context
// ends.
func (p *pipeline) run(ctx context.Context) {
	var next *call // call that was taken off the queue and is not written yet
	for {
		if next == nil {
			select {
			case <-ctx.Done():
				return
			case next = <-p.queue:
			}
		}
		addr, moved := p.client.addr.Current()
		conn, err := (&net.Dialer{Timeout: p.client.dialTimeout}).DialContext(ctx, "tcp", addr)
		if err == nil {
			next = p.serve(ctx, conn, next, addr, moved)
			continue
		}
		select {
		case <-moved: // the queued calls can still go to the new address
			continue
		default:
		}
		p.client.log.Debug("counter: connecting failed", zap.Error(err))
		next.settle(callQueued, dw.OutcomeConnectFailed, 0)
		next = nil
		p.failQueued()
		select {
		case <-ctx.Done():
			return
		case <-moved:
		case <-time.After(redialInterval):
		}
	}
}

// failQueued settles all queued calls with dw.OutcomeConnectFailed.
func (p *pipeline) failQueued() {
	for {
		select {
		case queued := <-p.queue:
			queued.settle(callQueued, dw.OutcomeConnectFailed, 0)
		default:
			return
		}
	}
}

// serve writes calls to conn until conn is lost or the counter has moved. It returns a call that was taken off the queue and
// not written, or nil.
func (p *pipeline) serve(ctx context.Context, conn net.Conn, first *call, addr string, moved <-chan struct{}) *call {
	c := startConnection(ctx, p, conn, addr, moved)
	next, hasMoved := c.writeCalls(first)
	close(c.inFlight)
	if !hasMoved {
		c.cancel()
		<-c.closed
		return next
	}
	// The former connection stays open for one call timeout, so that calls that were written still get their answers. Repeated
	// moves must not accumulate connections, so the previous one has to be closed first, which takes at most one call timeout.
	time.AfterFunc(p.client.timeout, c.cancel)
	if p.draining != nil {
		<-p.draining
	}
	p.draining = c.closed
	return next
}

// connection is one connection to the counter. The pipeline's goroutine writes to it, and a goroutine of its own reads from it.
// It is closed when its context ends; either goroutine may cancel that context.
type connection struct {
	net.Conn
	pipeline *pipeline
	addr     string          // counter's address as host:port, for the Host header
	moved    <-chan struct{} // closed when the counter's address changes
	ctx      context.Context
	cancel   context.CancelFunc
	inFlight chan *call    // calls that are written or being written, in order; closed by the writer
	closed   chan struct{} // closed once the reader has ended and all calls in flight are settled

	buf   []byte  // encoded requests of the current batch; used by the writer only
	batch []*call // calls whose requests buf contains; used by the writer only
}

// startConnection takes ownership of conn and starts its reader.
func startConnection(ctx context.Context, p *pipeline, conn net.Conn, addr string, moved <-chan struct{}) *connection {
	c := &connection{Conn: conn, pipeline: p, addr: addr, moved: moved,
		inFlight: make(chan *call, queueLimit), closed: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(ctx)
	go c.readUntilClosed()
	context.AfterFunc(c.ctx, func() { conn.Close() }) // the only place that closes conn
	return c
}

// readUntilClosed is the reader's goroutine. Once no more answers can be read, it settles the calls in flight as unknown, as a
// completely written call may have been added. The writer settles a partly written call as not added; if this goroutine settles
// it first, the outcome unknown is correct for it as well.
func (c *connection) readUntilClosed() {
	unanswered := readAnswers(c.Conn, c.inFlight, unansweredTimeoutFactor*c.pipeline.client.timeout)
	c.cancel()
	for pending := range c.inFlight {
		pending.settle(callWritten, dw.OutcomeTimeout, 0)
	}
	if unanswered != nil {
		unanswered.settle(callWritten, dw.OutcomeTimeout, 0)
	}
	close(c.closed)
}

// writeCalls writes calls in batches, beginning with next, until the connection is lost or the counter has moved. It returns
// a call that was taken off the queue and not written, or nil, and true if the counter has moved.
func (c *connection) writeCalls(next *call) (unwritten *call, moved bool) {
	for {
		if next == nil {
			select {
			case <-c.ctx.Done():
			case <-c.moved:
			case next = <-c.pipeline.queue:
			}
		}
		select { // checked before any byte of next is written
		case <-c.ctx.Done():
			return next, false
		case <-c.moved:
			return next, true
		default:
		}
		now := time.Now()
		next = c.fillBatch(next, now)
		if err := c.writeBatch(now); err != nil {
			return next, false
		}
	}
}

// fillBatch fills the batch with next and the calls queued behind it. It returns the call that did not fit into the batch, or
// nil.
func (c *connection) fillBatch(next *call, now time.Time) *call {
	c.buf = c.buf[:0]
	c.batch = c.batch[:0]
	for next != nil && len(c.batch) < batchLimit {
		if next.state.CompareAndSwap(callQueued, callWritten) {
			c.appendCall(next, now)
		}
		select {
		case next = <-c.pipeline.queue:
		default:
			next = nil
		}
	}
	return next
}

// appendCall adds a call to the batch and passes it to the reader. The reader must receive the call before its bytes are
// written, because it treats an answer for which no call is in flight as a protocol violation.
func (c *connection) appendCall(next *call, now time.Time) {
	start := len(c.buf)
	c.buf = http1.AppendRequest(c.buf, "POST", next.target, c.addr)
	next.size = len(c.buf) - start
	next.writtenAt = now
	c.batch = append(c.batch, next)
	select {
	case c.inFlight <- next:
	case <-c.ctx.Done():
		next.settle(callWritten, dw.OutcomeConnectFailed, 0)
	}
}

// writeBatch writes the batch. It settles the calls whose last byte was not written as not added, because the counter applies
// complete requests only.
func (c *connection) writeBatch(now time.Time) error {
	c.SetWriteDeadline(now.Add(writeTimeout))
	written, err := c.Write(c.buf)
	for _, batched := range c.batch {
		written -= batched.size
		if written < 0 {
			batched.settle(callWritten, dw.OutcomeConnectFailed, 0)
		}
	}
	return err
}
