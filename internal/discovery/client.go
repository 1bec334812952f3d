// Package discovery follows the discovery service's endpoint list: a poll reads the complete list, and a watch then gives
// each change. The list may be long: each byte of it is looked at once, and only what changes in it goes on to the planner.
//
// client.go decides when to connect, sync.go what to request, apply.go which messages to accept. connection.go and
// message_reader.go read from the network, decode.go and json.go decode, view.go works out the changes.
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
)

const (
	dialTimeout = time.Second
	// pollTimeout is how long a service of the gateway's own may keep an answer back: it answers at once.
	pollTimeout = time.Second
	// sharedPollTimeout is the same for a service that all gateways share: it queues requests, and goes on serving those
	// whose gateway has left.
	sharedPollTimeout = 6 * time.Second
	// watchTimeout is how long a watch may be silent: the service writes at least an empty line every 2 s.
	watchTimeout = 3 * time.Second
	// messageTimeout is from a message's first byte to its last: a long list may come slowly.
	messageTimeout = 10 * time.Second

	backoffFirst = 100 * time.Millisecond // bound of the first backoff
	backoffMax   = 500 * time.Millisecond // of the last: a drain is in force at the service whether it was read or not

	initialDelayStep = 50 * time.Millisecond // for each gateway that shares the service: it bears so much at a start
	initialDelayMax  = 4 * time.Second       // however many gateways share it
)

// Sockets is how many descriptors a client holds at most.
const Sockets = 1

// Client keeps a planner informed of the list: first of all of it, then of each change as it comes. Its fields belong to the
// goroutine of Run, but for Synced and what Move uses.
type Client struct {
	Synced    chan struct{} // closed when a complete list has been read
	firstOnce sync.Once     // closes Synced

	addr    *dynaddr.Address
	decoder *Decoder
	view    *view
	update  func(core.EndpointUpdate) error
	monitor Monitor
	log     *zap.Logger
	now     func() time.Time

	hasList    bool      // the planner holds a list of revision, so a watch can start there; else the next request is a poll
	revision   int64     // of the last message that was accepted
	staleSince time.Time // when the first of the latest run of stale messages came; zero: the last one was not stale
	broken     bool      // the list broke off, and no watch has begun since

	initialDelay time.Duration // before the first request
	pollTimeout  time.Duration // for an answer
	watchTimeout time.Duration // of silence in a watch
	backoff      backoff.Backoff
}

// New makes a client of the service at addr, as host:port. update is called for each message, in order, by the goroutine of
// Run; an error of it breaks the list off. The seed is for the delays.
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

// ConfigureShared says that so many gateways share one discovery service, and whether the planner holds a list already, and of which
// revision. It is to be called before Run.
//
// Gateways that start together would all request in the same moment, more than such a service bears. So the first request
// is delayed at random, it is a watch from the revision held and not a poll, and the backoff of a rejected request grows
// with the number of gateways. The service queues requests and goes on serving those that were given up, so a client that
// leaves early and comes again is never served: the poll timeout is longer.
func (d *Client) ConfigureShared(hasList bool, revision int64, gateways int) {
	d.hasList = hasList
	d.revision = revision
	d.pollTimeout = sharedPollTimeout
	// A change counts as delivered 6 s after the service had it, so the first request may not be later than that.
	span := min(time.Duration(gateways)*initialDelayStep, initialDelayMax)
	d.initialDelay = time.Duration(d.backoff.Rand.Int64N(int64(span)))
	d.backoff.BusyFirst = span / 2
	d.backoff.BusyMax = max(backoffMax, 2*span)
}

// Move follows the list at another address from now on, beginning with a poll. It is safe for concurrent use.
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
		pause := d.breakOff(addr, progress, err)
		select {
		case <-ctx.Done():
		case <-moved:
		case <-time.After(pause):
		}
	}
	return nil
}

// resetAfterMove has the next request be a poll without backoff. Revisions of two services need not match: a watch from
// the former one's could miss changes, and a list of the new one could pass for stale.
func (d *Client) resetAfterMove() {
	d.backoff.Reset()
	d.hasList = false
	d.revision = 0
	d.staleSince = time.Time{}
}

// breakOff records that the list broke off at addr by err, and returns the backoff before the next request.
func (d *Client) breakOff(addr string, progress bool, err error) time.Duration {
	if progress {
		d.backoff.Reset()
	}
	d.broken = true
	var rejected statusError
	pause := d.backoff.Next(errors.As(err, &rejected))
	reason := breakReason(err)
	d.monitor.ListInterrupted(reason)
	d.log.Warn("the director's list broke off", zap.String("director", addr), zap.Error(err),
		zap.String("reason", reason), zap.Int64("revision", d.revision), zap.Bool("whole_next", !d.hasList),
		zap.Duration("again_in", pause))
	return pause
}

// syncUntilMoved follows the list at addr until it breaks off or the client has moved. It reports whether anything was read.
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
