package counter

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/http1"
)

// pipeline is a queue of calls and the one connection at a time that they are written to. Its fields but queue belong to
// the goroutine of run, which is also the writer of the connection.
type pipeline struct {
	client *Client
	queue  chan *call
	// draining is closed once the connection to a former address is closed; nil: there was none.
	draining chan struct{}
}

// run connects when there is a call to write, and again when the connection is lost, until the context ends.
func (p *pipeline) run(ctx context.Context) {
	var next *call // taken off the queue, not written
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

// failQueued settles all queued calls as not sent.
func (p *pipeline) failQueued() {
	for {
		select {
		case k := <-p.queue:
			k.settle(callQueued, dw.OutcomeConnectFailed, 0)
		default:
			return
		}
	}
}

// serve writes calls to conn until that is lost or the counter has moved. It returns a call that was taken off the queue
// and not written, or nil.
func (p *pipeline) serve(ctx context.Context, conn net.Conn, first *call, addr string, moved <-chan struct{}) *call {
	c := open(ctx, p, conn, addr, moved)
	next, hasMoved := c.writeCalls(first)
	close(c.inFlight)
	if !hasMoved {
		c.cancel()
		<-c.closed
		return next
	}
	// The calls that were written get their answers for as long as anyone waits for them. Repeated moves must not add up
	// connections, so the one before has to be closed first; that takes one call timeout at most.
	time.AfterFunc(p.client.timeout, c.cancel)
	if p.draining != nil {
		<-p.draining
	}
	p.draining = c.closed
	return next
}

// connection is one connection to the counter. The pipeline's goroutine writes to it and a goroutine of its own reads; it
// is closed when its context ends, which either of the two causes.
type connection struct {
	net.Conn
	pipeline *pipeline
	addr     string          // as host:port, for the requests
	moved    <-chan struct{} // closed when the counter has another address
	ctx      context.Context
	cancel   context.CancelFunc
	inFlight chan *call    // being written or written, in order; the writer closes it
	closed   chan struct{} // closed once the reader has ended and all calls in flight are settled

	buf   []byte  // the writer's: requests of the batch
	batch []*call // the writer's: calls of buf
}

// open takes a new connection over and starts its reader.
func open(ctx context.Context, p *pipeline, conn net.Conn, addr string, moved <-chan struct{}) *connection {
	c := &connection{Conn: conn, pipeline: p, addr: addr, moved: moved,
		inFlight: make(chan *call, queueLimit), closed: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(ctx)
	go c.readUntilClosed()
	context.AfterFunc(c.ctx, func() { conn.Close() }) // the one place where it is closed
	return c
}

// readUntilClosed is the reader's goroutine. Once there is no more to read, it settles what is in flight as unknown: what was
// written completely may have been added. A call that was written in part is settled by the writer as not added; should
// this goroutine be first, unknown is true of it too.
func (c *connection) readUntilClosed() {
	unanswered := readAnswers(c.Conn, c.inFlight, silenceFactor*c.pipeline.client.timeout)
	c.cancel()
	for k := range c.inFlight {
		k.settle(callWritten, dw.OutcomeTimeout, 0)
	}
	if unanswered != nil {
		unanswered.settle(callWritten, dw.OutcomeTimeout, 0)
	}
	close(c.closed)
}

// writeCalls writes calls in batches, beginning with next, until the connection is lost or the counter has moved. It
// returns a call that was taken off the queue and not written, or nil.
func (c *connection) writeCalls(next *call) (unwritten *call, moved bool) {
	for {
		if next == nil {
			select {
			case <-c.ctx.Done():
			case <-c.moved:
			case next = <-c.pipeline.queue:
			}
		}
		select { // before anything of next is written
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

// fillBatch makes up the batch of next and what is queued behind it. It returns a call that the batch had no room for.
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

// appendCall adds a call to the batch and hands it to the reader. The reader must have it before its bytes are written, as
// an answer for which no call is in flight is a breach of the protocol.
func (c *connection) appendCall(k *call, now time.Time) {
	start := len(c.buf)
	c.buf = http1.AppendRequest(c.buf, "POST", k.target, c.addr)
	k.size = len(c.buf) - start
	k.writtenAt = now
	c.batch = append(c.batch, k)
	select {
	case c.inFlight <- k:
	case <-c.ctx.Done():
		k.settle(callWritten, dw.OutcomeConnectFailed, 0)
	}
}

// writeBatch writes the batch. The calls whose last byte was not written are settled as not added: the counter applies
// complete requests alone.
func (c *connection) writeBatch(now time.Time) error {
	c.SetWriteDeadline(now.Add(writeTimeout))
	written, err := c.Write(c.buf)
	for _, k := range c.batch {
		written -= k.size
		if written < 0 {
			k.settle(callWritten, dw.OutcomeConnectFailed, 0)
		}
	}
	return err
}
