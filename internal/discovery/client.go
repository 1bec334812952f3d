// Package discovery follows the endpoint list of the director, the platform's discovery service. A poll reads the complete
// list; a watch then receives each change. As the list may be long, each byte of it is scanned once, and only changes are
// passed to the planner.
//
// client.go decides when to connect, sync.go what to request, and apply.go which messages to accept. connection.go and
// message_reader.go read from the network, decode.go and json.go decode messages, and view.go computes the changes.
package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/backoff"
	"dewhitch/internal/core"
	"dewhitch/internal/dynaddr"
	"dewhitch/internal/fairqueue"
)

const (
	dialTimeout = time.Second
	// pollTimeout limits the wait for an answer of a director that serves only this gateway: it answers immediately.
	pollTimeout = time.Second
	// sharedPollTimeout limits the wait for an answer of a director that all gateways share: it queues requests, and also
	// serves queued requests whose gateway has closed the connection.
	sharedPollTimeout = 6 * time.Second
	// watchTimeout limits the silence of a watch: the director writes at least an empty line every 2 s.
	watchTimeout = 3 * time.Second
	// messageTimeout limits the time from a message's first byte to its last: a long list may arrive slowly.
	messageTimeout = 10 * time.Second

	backoffFirst = 100 * time.Millisecond // upper bound of the first backoff delay
	// backoffMax is the upper bound of any backoff delay. It is short because a drain takes effect at the director whether
	// or not the gateway has read it.
	backoffMax = 500 * time.Millisecond

	// initialDelayStep is how much each gateway that shares a director adds to the maximum initial delay. It spreads the
	// requests of gateways that start together to a rate that the director can serve.
	initialDelayStep = 50 * time.Millisecond
	initialDelayMax  = 4 * time.Second // upper bound of the initial delay for any number of gateways
)

// Sockets is the maximum number of descriptors that a client holds.
const Sockets = 1

// Client passes the endpoint list to a planner: first the complete list, then each change when it arrives. Its fields are
// owned by the goroutine of Run, except Synced and those that Move uses.
type Client struct {
	Synced     chan struct{} // closed once the planner has accepted a message that is not stale
	syncedOnce sync.Once     // guards the close of Synced

	addr    *dynaddr.Address
	decoder *Decoder
	view    *view
	update  func(core.EndpointUpdate) error
	monitor Monitor
	flow    *fairqueue.Flow // turns of the connection; may be nil
	log     *zap.Logger
	now     func() time.Time

	hasList     bool      // true if the planner holds a list of revision, so that a watch can start; otherwise a poll is next
	revision    int64     // revision of the last accepted message
	staleSince  time.Time // arrival of the first of the consecutive stale messages; zero if the last message was not stale
	interrupted bool      // true if following the list was interrupted and no watch has begun since

	initialDelay time.Duration // delay before the first request
	pollTimeout  time.Duration // maximum wait for an answer
	watchTimeout time.Duration // maximum silence of a watch
	backoff      backoff.Backoff
}

// New returns a client of the director at addr, as host:port. The goroutine of Run calls update for each message, in order;
// if update returns an error, the client closes the connection and reconnects. The seed determines the random delays.
func New(addr string, d *Decoder, update func(core.EndpointUpdate) error, seed uint64, log *zap.Logger) *Client {
	return &Client{
		Synced:       make(chan struct{}),
		addr:         dynaddr.New(addr),
		decoder:      d,
		view:         newView(d),
		update:       update,
		monitor:      noMonitor{},
		log:          log,
		now:          time.Now,
		pollTimeout:  pollTimeout,
		watchTimeout: watchTimeout,
		backoff: backoff.Backoff{First: backoffFirst, Max: backoffMax, BusyMax: backoffMax,
			Rand: rand.New(rand.NewPCG(seed, 2))},
	}
}

// ConfigureShared configures the client for a director that the given number of gateways share. If hasList is true, the planner
// already holds a list of the given revision. It must be called before Run.
//
// Gateways that start together would all send requests at the same time and overload such a director. So the first request
// is delayed at random and, if the planner holds a list, is a watch instead of a poll, and the backoff of rejected requests
// grows with the number of gateways. The director queues requests and also serves abandoned ones, so a client that closes the
// connection early and tries again is never served: the poll timeout is longer.
func (d *Client) ConfigureShared(hasList bool, revision int64, gateways int) {
	d.hasList = hasList
	d.revision = revision
	d.pollTimeout = sharedPollTimeout
	// A change counts as delivered 6 s after it took effect at the director, so the first request must not be later.
	span := min(time.Duration(gateways)*initialDelayStep, initialDelayMax)
	d.initialDelay = time.Duration(d.backoff.Rand.Int64N(int64(span)))
	d.backoff.BusyFirst = span / 2
	d.backoff.BusyMax = max(backoffMax, 2*span)
}

// SetFlow sets the flow whose turns the client takes: a director that writes without end must not keep others waiting. It must be called
// before Run.
func (d *Client) SetFlow(f *fairqueue.Flow) { d.flow = f }

// Move changes the director's address. The client reconnects to it and begins with a poll. It is safe for concurrent use.
func (d *Client) Move(addr string) { d.addr.Move(addr) }

// Run follows the list until the context ends. It returns nil.
func (d *Client) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(d.initialDelay):
	}
	lastAddr := ""
	for ctx.Err() == nil {
		addr, moved := d.addr.Current()
		if lastAddr != "" && addr != lastAddr {
			d.resetAfterMove()
		}
		lastAddr = addr
		progress, err := d.syncUntilMoved(ctx, addr, moved)
		if ctx.Err() != nil {
			return nil
		}
		delay := d.recordInterruption(addr, progress, err)
		select {
		case <-ctx.Done():
		case <-moved:
		case <-time.After(delay):
		}
	}
	return nil
}

// resetAfterMove makes the next request a poll without backoff. Revisions of two directors need not match: a watch from the
// former one's revision could miss changes, and a list of the new one could be mistaken for stale.
func (d *Client) resetAfterMove() {
	d.backoff.Reset()
	d.hasList = false
	d.revision = 0
	d.staleSince = time.Time{}
}

// recordInterruption records that err interrupted following the list at addr, and returns the delay before the next request.
// progress is true if anything was read.
func (d *Client) recordInterruption(addr string, progress bool, err error) time.Duration {
	if progress {
		d.backoff.Reset()
	}
	d.interrupted = true
	var rejected statusError
	delay := d.backoff.Next(errors.As(err, &rejected))
	reason := interruptionReason(err)
	d.monitor.ListInterrupted(reason)
	d.log.Warn("the director's list broke off", zap.String("director", addr), zap.Error(err),
		zap.String("reason", reason), zap.Int64("revision", d.revision), zap.Bool("whole_next", !d.hasList),
		zap.Duration("again_in", delay))
	return delay
}

// syncUntilMoved follows the list at addr until that is interrupted or the director's address changes. progress is true if
// anything was read.
func (d *Client) syncUntilMoved(ctx context.Context, addr string, moved <-chan struct{}) (progress bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var canceller sync.WaitGroup
	canceller.Go(func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	})
	defer canceller.Wait()
	defer cancel()
	return d.sync(ctx, addr)
}
