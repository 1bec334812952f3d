package front

import (
	"net"
	"os"
	"testing"
	"time"
)

// filling is a connection whose buffer takes a little of the first write, and nothing after; each wait ends at once.
type filling struct {
	net.Conn
	capacity int
	until    time.Time
	waits    []time.Duration // how long each write was given
}

func (f *filling) SetWriteDeadline(t time.Time) error {
	f.until = t
	return nil
}

func (f *filling) Write(b []byte) (int, error) {
	f.waits = append(f.waits, time.Until(f.until))
	n := min(f.capacity, len(b))
	f.capacity -= n
	return n, os.ErrDeadlineExceeded
}

// A client that reads nothing is given up after its time and one look more, though its machine took a little at first.
func TestClientThatReadsNothingHasItsTimeOnce(t *testing.T) {
	c := &filling{capacity: 10}
	s := &session{conn: c}
	if n, err := s.send(make([]byte, 100)); n != 10 || err == nil {
		t.Errorf("%d, %v", n, err)
	}
	all := time.Duration(0)
	for _, w := range c.waits {
		all += w
	}
	if most := sendTimeout + sendTimeout/maxStalledWrites; all > most || len(c.waits) != maxStalledWrites+1 {
		t.Errorf("it is given %v in %d waits, at most %v wanted", all, len(c.waits), most)
	}
}
