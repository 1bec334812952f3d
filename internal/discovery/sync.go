package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/http1"
)

const (
	path = "/api/targets"
	// readBufferSize is large, as each read of a long list costs a turn of the scheduler.
	readBufferSize = 64 << 10
)

// sync connects to addr, polls the list unless the planner holds one, and then watches it until the watch ends. It reports
// whether anything was read.
func (d *Client) sync(ctx context.Context, addr string) (progress bool, err error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	c := &connection{Conn: conn, idleTimeout: d.watchTimeout}
	r := bufio.NewReaderSize(c, readBufferSize)
	polled := false
	if !d.hasList {
		if err := d.poll(c, r, addr); err != nil {
			d.planResync(err, true)
			return false, err
		}
		polled = true
	}
	progress, err = d.watch(c, r, addr)
	d.planResync(err, false)
	return progress || polled, err
}

// planResync chooses whether the next request is a poll or a watch, after a poll or a watch that ended with err. A request
// whose answer could not be used would get the same answer again, so it is followed by one of the other kind. After any
// other error, the watch resumes from the revision held.
func (d *Client) planResync(err error, polled bool) {
	switch {
	case errors.Is(err, errStale):
		d.hasList = false
	case errors.As(err, new(contentError)):
		d.hasList = polled && d.view.synced
	}
}

// poll requests and applies the complete list.
func (d *Client) poll(c *connection, r *bufio.Reader, addr string) error {
	idleTimeout := c.idleTimeout
	c.idleTimeout = d.pollTimeout // an answer to a poll is not as quiet as a watch may be
	defer func() { c.idleTimeout = idleTimeout }()
	c.beginMessage()
	head, err := d.request(c, r, addr, path)
	if err != nil {
		return err
	}
	text, err := http1.ReadBodyUpTo(r, head, maxMessage)
	if errors.Is(err, http1.ErrProtocol) {
		err = contentError{err}
	}
	if err != nil {
		return err
	}
	if err := d.apply(text, c.messageBegan()); err != nil {
		return err
	}
	d.hasList = true
	if head.Close || head.Length < 0 && !head.Chunked {
		return errPollEnds
	}
	return nil
}

// watch requests the changes since the revision held, and applies them until the watch breaks off. It reports whether
// anything came, be it white space.
func (d *Client) watch(c *connection, r *bufio.Reader, addr string) (progress bool, err error) {
	c.beginMessage()
	head, err := d.request(c, r, addr, path+"?follow=1&since="+strconv.FormatInt(d.revision, 10))
	if err != nil {
		return false, err
	}
	if d.broken {
		d.broken = false
		d.log.Info("the director's list is followed", zap.Int64("revision", d.revision))
	}
	messages := &messageReader{r: http1.Body(r, head)}
	for {
		c.beginMessage()
		text, err := messages.next()
		if errors.Is(err, errTooLong) {
			err = contentError{err}
		}
		if err != nil {
			return progress, err
		}
		if len(text) > 0 {
			if err := d.apply(text, c.messageBegan()); err != nil {
				return progress, err
			}
		}
		progress = true
	}
}

// request writes a request, and reads the head of its answer. An answer other than 200 is a statusError.
func (d *Client) request(c *connection, r *bufio.Reader, addr, target string) (http1.Answer, error) {
	c.SetWriteDeadline(time.Now().Add(d.pollTimeout))
	if _, err := c.Write(http1.AppendRequest(nil, "GET", target, addr)); err != nil {
		return http1.Answer{}, err
	}
	idleTimeout := c.idleTimeout
	c.idleTimeout = d.pollTimeout
	head, err := http1.ReadAnswer(r)
	c.idleTimeout = idleTimeout
	if errors.Is(err, io.EOF) {
		return head, fmt.Errorf("no answer: %w", io.ErrUnexpectedEOF)
	}
	if err == nil && head.Status != http.StatusOK {
		return head, statusError(head.Status)
	}
	return head, err
}
