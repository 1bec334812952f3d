package front

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"dewhitch/internal/resp"
)

// half is a client's connection that takes so many bytes and then breaks in the middle of a write.
type half struct {
	net.Conn
	in       chan []byte
	capacity int
	mu       sync.Mutex
	closed   bool
}

func (h *half) Read(b []byte) (int, error) {
	text, ok := <-h.in
	if !ok {
		return 0, net.ErrClosed
	}
	return copy(b, text), nil
}

func (h *half) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := min(len(b), h.capacity)
	if h.capacity -= n; n < len(b) {
		return n, errors.New("broken")
	}
	return n, nil
}

func (h *half) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.closed = true
		close(h.in)
	}
	return nil
}

func (h *half) SetReadDeadline(time.Time) error  { return nil }
func (h *half) SetWriteDeadline(time.Time) error { return nil }

// keep collects slots, for the test to fill.
type keep struct {
	mu    sync.Mutex
	slots []*Slot
	fates map[int][]Outcome
	all   chan struct{} // closed when want slots are there
	want  int
}

func (k *keep) Do(_ time.Time, _ resp.Command, s *Slot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := len(k.slots)
	k.slots = append(k.slots, s)
	s.OnSettled(func(f Outcome) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.fates[i] = append(k.fates[i], f)
	})
	if len(k.slots) == k.want {
		close(k.all)
	}
}

// Five commands are answered out of order and in one write, of which the client takes 25 bytes: two answers of ten and
// half of a third. Each fate is reported once: an answer counts as written only with its last byte.
func TestFates(t *testing.T) {
	conn := &half{in: make(chan []byte, 1), capacity: 25}
	k := &keep{fates: map[int][]Outcome{}, all: make(chan struct{}), want: 5}
	s := newSession(conn, k, NewBounds(32<<20))
	over := make(chan struct{})
	go func() { s.run(); close(over) }()
	var commands []byte
	for range k.want {
		commands = append(commands, "*1\r\n$4\r\nPING\r\n"...)
	}
	conn.in <- commands
	<-k.all
	answer := []byte("+12345678\r")[:10]
	for _, i := range []int{3, 1, 2, 0} { // the fifth is never answered; nothing is written before the first is
		k.slots[i].Fill(answer)
	}
	<-over
	k.slots[4].Fill(answer) // too late: its fate is reported
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, want := range []Outcome{Written, Written, WriteFailed, WriteFailed, ClientDeparted} {
		if got := k.fates[i]; len(got) != 1 || got[0] != want {
			t.Errorf("answer %d: %v, not %v", i, got, want)
		}
	}
}
