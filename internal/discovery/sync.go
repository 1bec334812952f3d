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

	"dewhitch/internal/fairqueue"
	"dewhitch/internal/http1"
)

const (
	targetsPath = "/api/targets"
	// readBufferSize is the size of the read buffer in bytes. It is large, as each read of a long list costs a goroutine switch.
	readBufferSize = 64 << 10
)

// sync connects to addr, polls the list unless the planner holds one, and then watches it until the watch ends. progress is
// true if anything was read.
func (d *Client) sync(ctx context.Context, addr string) (progress bool, err error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	c := &connection{Conn: conn, work: fairqueue.NewMeter(d.flow), idleTimeout: d.watchTimeout}
	r := bufio.NewReaderSize(c, readBufferSize)
	polled := false
	if !d.hasList {
		if err := d.poll(c, r, addr); err != nil {
			d.chooseNextRequest(err, true)
			return false, err
		}
		polled = true
	}
	progress, err = d.watch(c, r, addr)
	d.chooseNextRequest(err, false)
	return progress || polled, err
}

// chooseNextRequest chooses whether the next request is a poll or a watch, after a poll (polled is true) or a watch that ended
// with err. Repeating a request whose answer could not be used would get the same answer, so the next request is of the other
// kind. After any other error, the watch resumes from the current revision.
func (d *Client) chooseNextRequest(err error, polled bool) {
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
	c.idleTimeout = d.pollTimeout // unlike a watch, the answer to a poll has no idle periods
	defer func() { c.idleTimeout = idleTimeout }()
	c.beginMessage()
	head, err := d.request(c, r, addr, targetsPath)
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
	if err := d.apply(text, c.messageReadAt()); err != nil {
		return err
	}
	d.hasList = true
	if head.Close || head.Length < 0 && !head.Chunked {
		return errPollClosedConn
	}
	return nil
}

// watch requests the changes since the current revision, and applies them until the watch fails or ends. progress is true if
// anything was received, including white space.
func (d *Client) watch(c *connection, r *bufio.Reader, addr string) (progress bool, err error) {
	c.beginMessage()
	head, err := d.request(c, r, addr, targetsPath+"?follow=1&since="+strconv.FormatInt(d.revision, 10))
	if err != nil {
		return false, err
	}
	if d.interrupted {
		d.interrupted = false
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
			if err := d.apply(text, c.messageReadAt()); err != nil {
				return progress, err
			}
		}
		progress = true
		c.work.Pay()
	}
}

// request writes a request and reads the head of its answer. It returns a statusError if the status is not 200.
func (d *Client) request(c *connection, r *bufio.Reader, addr, target string) (http1.Response, error) {
	c.SetWriteDeadline(time.Now().Add(d.pollTimeout))
	if _, err := c.Write(http1.AppendRequest(nil, "GET", target, addr)); err != nil {
		return http1.Response{}, err
	}
	idleTimeout := c.idleTimeout
	c.idleTimeout = d.pollTimeout
	head, err := http1.ReadResponse(r)
	c.idleTimeout = idleTimeout
	if errors.Is(err, io.EOF) {
		return head, fmt.Errorf("the connection closed without an answer: %w", io.ErrUnexpectedEOF)
	}
	if err == nil && head.Status != http.StatusOK {
		return head, statusError(head.Status)
	}
	return head, err
}
