package front

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"dewhitch/internal/resp"
)

// breakingConn is a client's connection that accepts capacity bytes and then fails in the middle of a write.
type breakingConn struct {
	net.Conn
	input    chan []byte
	capacity int
	mu       sync.Mutex
	closed   bool
}

func (c *breakingConn) Read(b []byte) (int, error) {
	text, ok := <-c.input
	if !ok {
		return 0, net.ErrClosed
	}
	return copy(b, text), nil
}

func (c *breakingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(b), c.capacity)
	if c.capacity -= n; n < len(b) {
		return n, errors.New("broken")
	}
	return n, nil
}

func (c *breakingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.input)
	}
	return nil
}

func (c *breakingConn) SetReadDeadline(time.Time) error  { return nil }
func (c *breakingConn) SetWriteDeadline(time.Time) error { return nil }

// slotCollector collects slots for the test to fill, and records their outcomes.
type slotCollector struct {
	mu       sync.Mutex
	slots    []*Slot
	outcomes map[int][]Outcome // outcomes by the index of the slot
	all      chan struct{}     // closed when want slots were collected
	want     int
}

func (c *slotCollector) Do(_ time.Time, _ resp.Command, s *Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.slots)
	c.slots = append(c.slots, s)
	s.OnSettled(func(outcome Outcome) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.outcomes[i] = append(c.outcomes[i], outcome)
	})
	if len(c.slots) == c.want {
		close(c.all)
	}
}

// TestOutcomesAfterPartialWrite checks that each outcome is reported once, and that an answer counts as written only with its last
// byte. Five commands are answered out of order and in one write, of which the client receives 25 bytes: two answers of ten bytes
// and half of a third.
func TestOutcomesAfterPartialWrite(t *testing.T) {
	conn := &breakingConn{input: make(chan []byte, 1), capacity: 25}
	collector := &slotCollector{outcomes: map[int][]Outcome{}, all: make(chan struct{}), want: 5}
	s := newSession(conn, collector, NewBounds(32<<20))
	ended := make(chan struct{})
	go func() { s.run(); close(ended) }()
	var commands []byte
	for range collector.want {
		commands = append(commands, "*1\r\n$4\r\nPING\r\n"...)
	}
	conn.input <- commands
	<-collector.all
	answer := []byte("+12345678\r")[:10]
	for _, i := range []int{3, 1, 2, 0} { // the fifth is not answered; nothing is written before the first one is answered
		collector.slots[i].Fill(answer)
	}
	<-ended
	collector.slots[4].Fill(answer) // too late: its outcome was reported already
	collector.mu.Lock()
	defer collector.mu.Unlock()
	for i, want := range []Outcome{Written, Written, WriteFailed, WriteFailed, ClientDeparted} {
		if got := collector.outcomes[i]; len(got) != 1 || got[0] != want {
			t.Errorf("answer %d: got outcomes %v, expected %v", i, got, want)
		}
	}
}
