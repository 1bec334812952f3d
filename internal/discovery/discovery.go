package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/backoff"
	"dewhitch/internal/core"
	"dewhitch/internal/http1"
	"dewhitch/internal/moving"
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
	messageSize = 256 << 10              // of one message of a watch
)

// Sockets is how many descriptors a client holds at most.
const Sockets = 1

// Client keeps a planner told of the list: first all of it, then each change as it comes.
type Client struct {
	First    chan struct{} // closed when a whole list has been read
	decoder  *Decoder
	listed   func(core.Listing) error
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
	where    *moving.Address
}

// New makes a client; listed is called for each message, in order. The seed scatters when it asks again.
func New(addr string, d *Decoder, listed func(core.Listing) error, seed uint64, log *zap.Logger) *Client {
	return &Client{First: make(chan struct{}), where: moving.At(addr), decoder: d, listed: listed, log: log, monitor: noMonitor{},
		patience: answerTime, silence: silence, now: time.Now,
		again: backoff.Backoff{First: backoffFrom, Most: backoffTo, Busy: backoffTo, Rand: rand.New(rand.NewPCG(seed, 2))}}
}

// Shared says that one discovery service serves all of so many gateways, each of which asks it on its own, and whether the
// planner holds a list, of that revision. It is to be called before Run.
//
// Danger: gateways that start together all ask at once, and discovery that bears each of them serves none. So the first
// question is scattered over a span, it is for what changed since and not for all of the list if there is one, and a
// discovery that says it is busy is left alone for the longer the more gateways there are. It has a line: whoever leaves
// that early, with a list or without, is never served.
func (d *Client) Shared(have bool, revision int64, gateways int) {
	span := time.Duration(gateways) * askEvery
	d.have, d.revision, d.patience = have, revision, lineTime
	d.scatter = time.Duration(d.again.Rand.Int64N(int64(span)))
	d.again.BusyFirst, d.again.Busy = span/2, max(backoffTo, 2*span)
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
		addr, moved := d.where.Now()
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

// follow reads the list, unless it has one, and then a watch until that ends. It tells whether anything came.
func (d *Client) follow(ctx context.Context, addr string) (told bool, err error) {
	conn, err := (&net.Dialer{Timeout: dialTime}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	arrived := &arrivals{Reader: conn}
	r := bufio.NewReaderSize(arrived, http1.MaxLine+2)
	if !d.have {
		head, err := d.ask(conn, r, addr, path)
		if err != nil {
			return false, err
		}
		body, err := http1.ReadBody(r, head)
		if err != nil {
			return false, err
		}
		if err := d.take(body, arrived.take()); err != nil {
			return false, err
		}
		d.have, told = true, true
		if head.Close || head.Length < 0 && !head.Chunked {
			return true, fmt.Errorf("the connection ended with the list")
		}
	}
	head, err := d.ask(conn, r, addr, path+"?follow=1&since="+strconv.FormatInt(d.revision, 10))
	if err != nil {
		return told, err
	}
	if d.lost {
		d.lost = false
		d.log.Info("the director's list is followed", zap.Int64("revision", d.revision))
	}
	messages := bufio.NewScanner(http1.Body(r, head))
	messages.Buffer(nil, messageSize)
	messages.Split(splitMessage)
	for {
		conn.SetReadDeadline(time.Now().Add(d.silence))
		arrived.first = time.Time{}
		if !messages.Scan() {
			if err = messages.Err(); err == nil {
				err = errEnded
			} else if errors.Is(err, bufio.ErrTooLong) {
				err = errTooLong
			}
			return told, err
		}
		if text := messages.Bytes(); len(text) > 0 {
			if err := d.take(text, arrived.take()); err != nil {
				d.have = false // what it said is lost: read the whole list again
				return told, err
			}
		}
		told = true
	}
}

var (
	errEnded   = errors.New("the watch ended")
	errTooLong = fmt.Errorf("a message is over %d bytes", messageSize)
)

// statusError is an answer other than 200: discovery is there, and turned the call away.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

func (d *Client) ask(conn net.Conn, r *bufio.Reader, addr, target string) (http1.Answer, error) {
	conn.SetDeadline(time.Now().Add(d.patience))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", target, addr)); err != nil {
		return http1.Answer{}, err
	}
	head, err := http1.ReadAnswer(r)
	if err == nil && head.Status != 200 {
		err = statusError(head.Status)
	}
	return head, err
}

// errOlder says that what came is of an older revision than what the planner holds.
var errOlder = errors.New("an older list")

// take passes a message on. Danger: discovery that lags, or was put back, may tell of a server as it was before it drained;
// of an older list only what forbids is taken, until discovery has had nothing else for a while.
func (d *Client) take(text []byte, read time.Time) error {
	l, err := d.decoder.Decode(text)
	if err != nil {
		return err
	}
	d.monitor.ListRead(l.List.Version, len(text), time.Since(read))
	if l.List.Version >= d.revision {
		d.older = time.Time{}
	} else if d.older.IsZero() {
		d.older = d.now()
	}
	older := !d.older.IsZero() && (l.List.Kind == dw.ListDelta || d.now().Sub(d.older) < olderTime)
	if older {
		l = forbids(l)
		l.List.Version = d.revision
	}
	d.revision, l.Read = l.List.Version, read
	ready := 0
	for _, s := range l.List.Servers {
		if s.State == dw.Ready {
			ready++
		}
	}
	d.log.Info("a change of the list was read", zap.Int64("revision", d.revision), zap.Bool("whole", l.List.Kind == dw.ListFull),
		zap.Bool("older", older), zap.Int("servers", len(l.List.Servers)), zap.Int("ready", ready), zap.Int("bytes", len(text)),
		zap.Duration("age", time.Since(read)))
	if err := d.listed(l); err != nil {
		return err
	}
	if older {
		return errOlder
	}
	d.older = time.Time{}
	d.first.Do(func() { close(d.First) })
	return nil
}

// forbids is what a listing says of servers that are not to be sent anything new.
func forbids(l core.Listing) core.Listing {
	out := core.Listing{List: dw.ServerList{Kind: dw.ListDelta, Version: l.List.Version}}
	for i, s := range l.List.Servers {
		if s.State != dw.Ready {
			out.List.Servers, out.Addrs = append(out.List.Servers, s), append(out.Addrs, l.Addrs[i])
		}
	}
	return out
}
