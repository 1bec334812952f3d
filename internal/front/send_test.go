package front

import (
	"net"
	"os"
	"testing"
	"time"
)

// stalledConn is a connection that accepts capacity bytes in total. Each write immediately returns an exceeded deadline.
type stalledConn struct {
	net.Conn
	capacity int
	deadline time.Time
	waits    []time.Duration // time until the deadline of each write
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

// TestSendTimeoutIsNotExtendedByFirstWrite checks that a client that reads nothing is disconnected after sendTimeout and one more
// write, even though its system's buffer accepted some bytes of the first write.
func TestSendTimeoutIsNotExtendedByFirstWrite(t *testing.T) {
	c := &stalledConn{capacity: 10}
	s := &session{conn: c}
	if n, err := s.send(make([]byte, 100)); n != 10 || err == nil {
		t.Errorf("send wrote %d bytes, error %v", n, err)
	}
	total := time.Duration(0)
	for _, w := range c.waits {
		total += w
	}
	if maximum := sendTimeout + sendTimeout/maxStalledWrites; total > maximum || len(c.waits) != maxStalledWrites+1 {
		t.Errorf("send waited %v in %d writes, expected at most %v", total, len(c.waits), maximum)
	}
}
