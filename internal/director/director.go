package director

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/core"
	"dewhitch/internal/http1"
)

const (
	path        = "/api/targets"
	silence     = 3 * time.Second // a watch writes at least an empty line every 2 s
	answerTime  = time.Second     // the agent answers at once, unless it is cut off or has nothing to say
	dialTime    = time.Second
	backoffFrom = 50 * time.Millisecond
	backoffTo   = 500 * time.Millisecond // news must not wait: drains count as told, heard or not
	lineSize    = 256 << 10              // of one line of a watch
)

// Sockets is how many descriptors a director holds at most.
const Sockets = 1

// Director keeps a planner told of the list: first all of it, then each change as it comes.
type Director struct {
	First    chan struct{} // closed when a whole list has been read
	decoder  *Decoder
	listed   func(core.Listing) error
	log      *zap.Logger
	first    sync.Once
	have     bool // a whole list has been read
	revision int64

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed by Move
}

// New makes a director; listed is called for each message, in order.
func New(addr string, d *Decoder, listed func(core.Listing) error, log *zap.Logger) *Director {
	return &Director{First: make(chan struct{}), addr: addr, decoder: d, listed: listed, log: log,
		moved: make(chan struct{})}
}

// Move has the list read at another address from now on, all of it: what the old one had is a past of its own.
func (d *Director) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr = addr
	close(d.moved)
	d.moved = make(chan struct{})
}

// place is where to read the list, and tells when that changes.
func (d *Director) place() (addr string, moved <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr, d.moved
}

// Run follows the list until the context ends.
func (d *Director) Run(ctx context.Context) error {
	pause := backoffFrom
	at := ""
	for ctx.Err() == nil {
		addr, moved := d.place()
		if addr != at {
			at, pause = addr, backoffFrom
			// Danger: revisions of two agents need not match, and a watch since the old one's would miss changes.
			d.have = false
		}
		told, err := d.followUntil(ctx, addr, moved)
		if ctx.Err() != nil {
			return nil
		}
		if told {
			pause = backoffFrom
		}
		d.log.Warn("the director's list broke off", zap.String("director", addr), zap.Error(err),
			zap.Duration("again_in", pause))
		select {
		case <-ctx.Done():
		case <-moved:
		case <-time.After(pause):
		}
		pause = min(2*pause, backoffTo)
	}
	return nil
}

// followUntil follows the list at addr until it breaks off or the director has moved.
func (d *Director) followUntil(ctx context.Context, addr string, moved <-chan struct{}) (told bool, err error) {
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
func (d *Director) follow(ctx context.Context, addr string) (told bool, err error) {
	conn, err := (&net.Dialer{Timeout: dialTime}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r := bufio.NewReaderSize(conn, http1.MaxLine+2)
	if !d.have {
		head, err := d.ask(conn, r, addr, path)
		if err != nil {
			return false, err
		}
		body, err := http1.ReadBody(r, head)
		if err != nil {
			return false, err
		}
		if err := d.take(body); err != nil {
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
	lines := bufio.NewScanner(http1.Body(r, head))
	lines.Buffer(nil, lineSize)
	for {
		conn.SetReadDeadline(time.Now().Add(silence))
		if !lines.Scan() {
			if err = lines.Err(); err == nil {
				err = fmt.Errorf("the watch ended")
			}
			return told, err
		}
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			if err := d.take(line); err != nil {
				d.have = false // what it said is lost: read the whole list again
				return told, err
			}
		}
		told = true
	}
}

func (d *Director) ask(conn net.Conn, r *bufio.Reader, addr, target string) (http1.Answer, error) {
	conn.SetDeadline(time.Now().Add(answerTime))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", target, addr)); err != nil {
		return http1.Answer{}, err
	}
	head, err := http1.ReadAnswer(r)
	if err == nil && head.Status != 200 {
		err = fmt.Errorf("status %d", head.Status)
	}
	return head, err
}

func (d *Director) take(text []byte) error {
	l, err := d.decoder.Decode(text)
	if err != nil {
		return err
	}
	d.revision = l.List.Version
	if err := d.listed(l); err != nil {
		return err
	}
	d.first.Do(func() { close(d.First) })
	return nil
}
