package discovery

import (
	"errors"
	"net"
	"os"
	"time"
)

// connection is one connection to discovery. A read waits for idleTimeout at most, and not beyond the message's deadline: a list
// that is long, or comes slowly, has its time as long as it comes. It is not safe for concurrent use.
type connection struct {
	net.Conn
	idleTimeout     time.Duration
	messageDeadline time.Time // zero: no bound yet
	firstByte       time.Time // when the message's first byte was read; zero: none was
}

// Read implements io.Reader.
func (c *connection) Read(b []byte) (int, error) {
	deadline := time.Now().Add(c.idleTimeout)
	if !c.messageDeadline.IsZero() && c.messageDeadline.Before(deadline) {
		deadline = c.messageDeadline
	}
	c.SetReadDeadline(deadline)
	n, err := c.Conn.Read(b)
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

// beginMessage has the next byte count as the first of a message.
func (c *connection) beginMessage() {
	c.firstByte = time.Time{}
	c.messageDeadline = time.Time{}
}

// messageBegan is when the message's first byte was read. What was read ahead of a message counts as read now.
func (c *connection) messageBegan() time.Time {
	if c.firstByte.IsZero() {
		return time.Now()
	}
	return c.firstByte
}
