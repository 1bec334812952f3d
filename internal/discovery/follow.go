package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/http1"
)

// readBuffer is large, as each read of a long list costs a turn of the scheduler.
const readBuffer = 64 << 10

// connection is one connection to discovery. A read waits for as long as the connection may be silent, and no longer than
// until: a list that is long, or comes slowly, has its time as long as it comes.
type connection struct {
	net.Conn
	silence time.Duration
	until   time.Time // zero: no bound
	first   time.Time // when the first byte since the last call of began was read; zero: none was
}

// Read implements io.Reader.
func (c *connection) Read(b []byte) (int, error) {
	by := time.Now().Add(c.silence)
	if !c.until.IsZero() && c.until.Before(by) {
		by = c.until
	}
	c.SetReadDeadline(by)
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && by.Equal(c.until) {
		err = contentError{errTooSlow}
	}
	if n > 0 && c.first.IsZero() {
		c.first = time.Now()
		if c.until.IsZero() {
			c.until = c.first.Add(messageTime)
		}
	}
	return n, err
}

// begin has the next byte count as the first of a message.
func (c *connection) begin() { c.first, c.until = time.Time{}, time.Time{} }

// began is when the message's first byte was read. What was read ahead of a message counts as read now.
func (c *connection) began() time.Time {
	if c.first.IsZero() {
		return time.Now()
	}
	return c.first
}

// contentError is a message that can't be used: to ask for it again the same way would bring it again.
type contentError struct{ error }

// Unwrap gives the fault.
func (e contentError) Unwrap() error { return e.error }

// follow reads the list, unless it has one, and then a watch until that ends. It tells whether anything came.
func (d *Client) follow(ctx context.Context, addr string) (told bool, err error) {
	conn, err := (&net.Dialer{Timeout: dialTime}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	c := &connection{Conn: conn, silence: d.silence}
	r := bufio.NewReaderSize(c, readBuffer)
	whole := !d.have
	if whole {
		if err := d.readList(c, r, addr); err != nil {
			return false, d.askOtherwise(err, whole)
		}
	}
	err = d.watch(c, r, addr, &told)
	return told || whole, d.askOtherwise(err, false)
}

// askOtherwise has the next question be for all of the list after a change of it could not be used, and for the changes
// where all of it could not. Danger: the same question would bring the same answer, for ever.
func (d *Client) askOtherwise(err error, whole bool) error {
	switch {
	case errors.Is(err, errOlder): // discovery lags, and does not for long
		d.have = false
	case errors.As(err, new(contentError)):
		d.have = whole && d.view.whole
	}
	return err
}

// readList reads all of the list.
func (d *Client) readList(c *connection, r *bufio.Reader, addr string) error {
	silence := c.silence
	c.silence = d.patience // an answer to a question is not as quiet as a watch may be
	defer func() { c.silence = silence }()
	c.begin()
	head, err := d.ask(c, r, addr, path)
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
	if err := d.take(text, c.began()); err != nil {
		return err
	}
	d.have = true
	if head.Close || head.Length < 0 && !head.Chunked {
		return errListEnds
	}
	return nil
}

// errListEnds says that the connection ended with the list, as its answer said it would.
var errListEnds = errors.New("the connection ended with the list")

// watch follows the changes until they break off.
func (d *Client) watch(c *connection, r *bufio.Reader, addr string, told *bool) error {
	c.begin()
	head, err := d.ask(c, r, addr, path+"?follow=1&since="+strconv.FormatInt(d.revision, 10))
	if err != nil {
		return err
	}
	if d.lost {
		d.lost = false
		d.log.Info("the director's list is followed", zap.Int64("revision", d.revision))
	}
	messages := &messageReader{r: http1.Body(r, head)}
	for {
		c.begin()
		text, err := messages.next()
		if errors.Is(err, errTooLong) {
			err = contentError{err}
		}
		if err != nil {
			return err
		}
		if len(text) > 0 {
			if err := d.take(text, c.began()); err != nil {
				return err
			}
		}
		*told = true
	}
}

// statusError is an answer other than 200: discovery is there, and turned the call away.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// ask asks a question, and reads the head of its answer.
func (d *Client) ask(c *connection, r *bufio.Reader, addr, target string) (http1.Answer, error) {
	c.SetWriteDeadline(time.Now().Add(d.patience))
	if _, err := c.Write(http1.AppendRequest(nil, "GET", target, addr)); err != nil {
		return http1.Answer{}, err
	}
	silence := c.silence
	c.silence = d.patience
	head, err := http1.ReadAnswer(r)
	c.silence = silence
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("no answer: %w", io.ErrUnexpectedEOF)
	} else if err == nil && head.Status != statusOK {
		err = statusError(head.Status)
	}
	return head, err
}

const statusOK = 200

// errOlder says that what came is of an older revision than what the planner holds.
var errOlder = errors.New("an older list")

// take passes a message on, the first byte of which was read then. Danger: discovery that lags, or was put back, may tell of a
// server as it was before it drained; of an older list only what forbids is taken, until discovery has had nothing else for
// a while.
func (d *Client) take(text []byte, read time.Time) error {
	m, err := d.decoder.Decode(text)
	if err != nil {
		return contentError{err}
	}
	d.monitor.ListRead(m.Revision, len(text), time.Since(read))
	if m.Revision >= d.revision {
		d.older = time.Time{}
	} else if d.older.IsZero() {
		d.older = d.now()
	}
	older := !d.older.IsZero() && (!m.Complete || d.now().Sub(d.older) < olderTime)
	var change core.EndpointUpdate
	if older {
		change = d.view.forbids(m, d.revision)
	} else {
		change = d.view.change(m)
	}
	d.revision, change.ReadAt = change.List.Version, read
	d.logChange(m, change, older, len(text))
	if err := d.listed(change); err != nil {
		return err
	}
	if older {
		return errOlder
	}
	d.older = time.Time{}
	d.first.Do(func() { close(d.First) })
	return nil
}

// logChange says what a message brought.
func (d *Client) logChange(m Message, change core.EndpointUpdate, older bool, bytes int) {
	ready := 0
	for _, s := range change.List.Servers {
		if s.State == dw.Ready {
			ready++
		}
	}
	d.log.Info("a change of the list was read", zap.Int64("revision", m.Revision), zap.Bool("whole", m.Complete),
		zap.Bool("older", older), zap.Int("named", len(m.Members)), zap.Int("changed", len(change.List.Servers)),
		zap.Int("ready", ready), zap.Int("bytes", bytes), zap.Duration("age", time.Since(change.ReadAt)))
}
