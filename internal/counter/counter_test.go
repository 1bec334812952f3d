package counter

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger/recorder"
)

// scripted is a connection whose reads are told beforehand.
type scripted struct {
	net.Conn
	reads []func() (string, error)
}

func (s *scripted) SetReadDeadline(time.Time) error { return nil }

func (s *scripted) Read(b []byte) (int, error) {
	if len(s.reads) == 0 {
		return 0, io.EOF
	}
	text, err := s.reads[0]()
	s.reads = s.reads[1:]
	return copy(b, text), err
}

// A call that was written a moment before a deadline of its idle line says nothing yet: the line is not lost by it.
func TestYoungCallOnAnIdleLine(t *testing.T) {
	out := make(chan *call, 1)
	var outcome atomic.Int32
	k := &call{books: recorder.Discard{}, timer: time.NewTimer(time.Hour), at: time.Now(), done: func(o dw.Outcome, _ float64) { outcome.Store(int32(o) + 1) }}
	k.state.Store(written)
	read(&scripted{reads: []func() (string, error){
		func() (string, error) { out <- k; return "", os.ErrDeadlineExceeded },
		func() (string, error) { return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7", nil },
	}}, out, time.Hour)
	if outcome.Load() != int32(dw.OutcomeOK)+1 {
		t.Errorf("outcome %d", outcome.Load()-1)
	}
}
