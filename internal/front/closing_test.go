package front

import (
	"strings"
	"sync"
	"testing"
	"time"

	"dewhitch/internal/resp"
)

// closes counts the ends of connections by reason.
type closes struct {
	mu      sync.Mutex
	ended   map[string]int
	overdue int
}

func (c *closes) ConnectionClosed(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[reason]++
}

func (c *closes) ConnectionsOverdue(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overdue += n
}

func (c *closes) of(reason string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended[reason]
}

// faulty can use no command.
type faulty struct{}

func (faulty) Do(_ time.Time, _ resp.Command, s *Slot) { s.RejectInvalid("of no use") }

// Each way in which a connection ends is counted under its own reason.
func TestConnectionsEndForAReason(t *testing.T) {
	for reason, c := range map[string]struct {
		commands Commands
		says     string
		does     func(f *Server, c interface{ Close() error })
	}{
		"client":   {echo{}, ping, func(_ *Server, c interface{ Close() error }) { c.Close() }},
		"drained":  {echo{}, ping, func(f *Server, _ interface{ Close() error }) { f.Drain(true) }},
		"ending":   {echo{}, ping, func(f *Server, _ interface{ Close() error }) { f.Listener.Close() }},
		"protocol": {echo{}, "~\r\n", nil},
		"faults":   {faulty{}, strings.Repeat("*1\r\n$4\r\nECHO\r\n", maxFaults), func(f *Server, _ interface{ Close() error }) { f.Drain(true) }},
	} {
		t.Run(reason, func(t *testing.T) {
			t.Parallel()
			monitor := &closes{ended: map[string]int{}}
			l := listener(t)
			f := &Server{Listener: l, MaxSessions: 8, Monitor: monitor}
			servingCommands(t, f, func() Commands { return c.commands })
			conn := client(t, l, c.says)
			if c.does != nil {
				conn.Read(make([]byte, 1)) // it is served
				c.does(f, conn)
			}
			eventually(t, "no end was reported for the reason", func() bool { return monitor.of(reason) == 1 })
		})
	}
}
