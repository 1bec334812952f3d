package front

import (
	"net"
	"os"
	"testing"
	"time"
)

// stalledConn is a connection whose buffer takes a little of the first write, and nothing after; each wait ends at once.
type stalledConn struct {
	net.Conn
	capacity int
	deadline time.Time
	waits    []time.Duration // how long each write was given
}

func (c *stalledConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *stalledConn) Write(b []byte) (int, error) {
	c.waits = append(c.waits, time.Until(c.deadline))
	n := min(c.capacity, len(b))
	c.capacity -= n
	return n, os.ErrDeadlineExceeded
}

// A client that reads nothing is given up after its time and one look more, though its machine took a little at first.
func TestSendTimeoutIsNotExtendedByFirstWrite(t *testing.T) {
	c := &stalledConn{capacity: 10}
	s := &session{conn: c}
	if n, err := s.send(make([]byte, 100)); n != 10 || err == nil {
		t.Errorf("%d, %v", n, err)
	}
	total := time.Duration(0)
	for _, w := range c.waits {
		total += w
	}
	if maximum := sendTimeout + sendTimeout/maxStalledWrites; total > maximum || len(c.waits) != maxStalledWrites+1 {
		t.Errorf("it is given %v in %d waits, at most %v wanted", total, len(c.waits), maximum)
	}
}
