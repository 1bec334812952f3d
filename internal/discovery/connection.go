package discovery

import (
	"errors"
	"net"
	"os"
	"time"

	"dewhitch/internal/fairqueue"
)

// connection is one connection to the director. A read waits for at most idleTimeout, and not beyond the message's deadline, so
// a long or slow list is read until that deadline while its bytes keep arriving. It is not safe for concurrent use.
type connection struct {
	net.Conn
	work            fairqueue.Meter // counts the time for which received bytes are worked on
	idleTimeout     time.Duration
	messageDeadline time.Time // time by which the message must be complete; zero before its first byte
	firstByte       time.Time // time when the message's first byte was read; zero before that
}

// Read implements io.Reader. It returns a contentError of errTooSlow if the message's deadline has passed.
func (c *connection) Read(b []byte) (int, error) {
	c.work.Pay()
	deadline := time.Now().Add(c.idleTimeout)
	if !c.messageDeadline.IsZero() && c.messageDeadline.Before(deadline) {
		deadline = c.messageDeadline
	}
	c.SetReadDeadline(deadline)
	n, err := c.Conn.Read(b)
	c.work.Resume()
	if errors.Is(err, os.ErrDeadlineExceeded) && deadline.Equal(c.messageDeadline) {
		err = contentError{errTooSlow}
	}
	if n > 0 && c.firstByte.IsZero() {
		c.firstByte = time.Now()
		if c.messageDeadline.IsZero() {
			c.messageDeadline = c.firstByte.Add(messageTimeout)
		}
	}
	return n, err
}

// beginMessage makes the next byte count as the first of a message.
func (c *connection) beginMessage() {
	c.firstByte = time.Time{}
	c.messageDeadline = time.Time{}
}

// messageReadAt returns the time when the message's first byte was read. If the message was read ahead, together with the one
// before it, that is the current time.
func (c *connection) messageReadAt() time.Time {
	if c.firstByte.IsZero() {
		return time.Now()
	}
	return c.firstByte
}
