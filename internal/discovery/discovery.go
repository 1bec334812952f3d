// Package discovery follows the discovery service's list of the backends. The list may be long: each byte of it is looked
// at once, and only what changes in it goes on to the planner.
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
	path        = "/api/targets"
	silence     = 3 * time.Second // a watch writes at least an empty line every 2 s, or has broken without a word
	olderTime   = 2 * time.Second // discovery that has only older lists for so long began anew: theirs is the list now
	answerTime  = time.Second     // the agent answers at once, unless it is cut off or has nothing to say
	lineTime    = 6 * time.Second // but a service that many ask has a line, and serves those too who have left it
	dialTime    = time.Second
	backoffFrom = 100 * time.Millisecond
	backoffTo   = 500 * time.Millisecond // news must not wait: drains count as told, heard or not
	askEvery    = 50 * time.Millisecond  // for each gateway: discovery that all ask bears so much at a start
	mostScatter = 4 * time.Second        // of the first questions, however many gateways there are
	messageTime = 10 * time.Second       // from a message's first byte to its last: a long list may come slowly
)

// Sockets is how many descriptors a client holds at most.
const Sockets = 1

// Client keeps a planner told of the list: first all of it, then each change as it comes.
type Client struct {
	First    chan struct{} // closed when a whole list has been read
	decoder  *Decoder
	view     *view
	listed   func(core.EndpointUpdate) error
	log      *zap.Logger
	monitor  Monitor
	first    sync.Once
	have     bool // the planner holds a whole list, of revision
	revision int64
	scatter  time.Duration // before the first question
	patience time.Duration // for an answer
	silence  time.Duration // of a watch, after which it is broken
	lost     bool          // since the list was last told
	older    time.Time     // when the first of a row of older lists came; zero: the last was none
	again    backoff.Backoff
	now      func() time.Time
	where    *dynaddr.Address
}

// New makes a client; listed is called for each message, in order. The seed scatters when it asks again.
func New(addr string, d *Decoder, listed func(core.EndpointUpdate) error, seed uint64, log *zap.Logger) *Client {
	return &Client{First: make(chan struct{}), where: dynaddr.New(addr), decoder: d, view: newView(d), listed: listed, log: log, monitor: noMonitor{},
		patience: answerTime, silence: silence, now: time.Now,
		again: backoff.Backoff{First: backoffFrom, Max: backoffTo, BusyMax: backoffTo, Rand: rand.New(rand.NewPCG(seed, 2))}}
}

// Shared says that one discovery service serves all of so many gateways, each of which asks it on its own, and whether the
// planner holds a list, of that revision. It is to be called before Run.
//
// Danger: gateways that start together all ask at once, and discovery that bears each of them serves none. So the first
// question is scattered over a span, it is for what changed since and not for all of the list if there is one, and a
// discovery that says it is busy is left alone for the longer the more gateways there are. It has a line: whoever leaves
// that early, with a list or without, is never served.
func (d *Client) Shared(have bool, revision int64, gateways int) {
	// A change counts as told 6 s after discovery had it, however many ask: the question may not come later than that.
	span := min(time.Duration(gateways)*askEvery, mostScatter)
	d.have, d.revision, d.patience = have, revision, lineTime
	d.scatter = time.Duration(d.again.Rand.Int64N(int64(span)))
	d.again.BusyFirst, d.again.BusyMax = span/2, max(backoffTo, 2*span)
}

// Move has the list read at another address from now on, all of it: what the old one had is a past of its own.
func (d *Client) Move(addr string) { d.where.Move(addr) }

// Run follows the list until the context ends.
func (d *Client) Run(ctx context.Context) error {
	at := ""
	select {
	case <-ctx.Done():
	case <-time.After(d.scatter):
	}
	for ctx.Err() == nil {
		addr, moved := d.where.Current()
		if at != "" && addr != at {
			d.again.Reset()
			// Danger: revisions of two agents need not match, and a watch since the old one's would miss changes, or
			// its list would pass for an older one.
			d.have, d.revision, d.older = false, 0, time.Time{}
		}
		at = addr
		told, err := d.followUntil(ctx, addr, moved)
		if ctx.Err() != nil {
			return nil
		}
		if told {
			d.again.Reset()
		}
		d.lost = true
		var refused statusError
		pause := d.again.Next(errors.As(err, &refused))
		d.monitor.ListBroke(reason(err))
		d.log.Warn("the director's list broke off", zap.String("director", addr), zap.Error(err),
			zap.String("reason", reason(err)), zap.Int64("revision", d.revision), zap.Bool("whole_next", !d.have),
			zap.Duration("again_in", pause))
		select {
		case <-ctx.Done():
		case <-moved:
		case <-time.After(pause):
		}
	}
	return nil
}

// followUntil follows the list at addr until it breaks off or the client has moved.
func (d *Client) followUntil(ctx context.Context, addr string, moved <-chan struct{}) (told bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	})
	defer watch.Wait()
	defer cancel()
	return d.follow(ctx, addr)
}
