package front

import (
	"strings"
	"sync"
	"testing"
	"time"

	"dewhitch/internal/resp"
)

// closeCounts is a Monitor that counts closed connections by reason, and overdue ones.
type closeCounts struct {
	mu       sync.Mutex
	byReason map[string]int
	overdue  int
}

func (m *closeCounts) ConnectionClosed(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byReason[reason]++
}

func (m *closeCounts) ConnectionEndedOwed(string) {}

func (m *closeCounts) CommandsRefused(string, int) {}

func (m *closeCounts) ConnectionsOverdue(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.overdue += n
}

func (m *closeCounts) count(reason string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byReason[reason]
}

// rejectingCommands rejects every command as invalid.
type rejectingCommands struct{}

func (rejectingCommands) Do(_ time.Time, _ resp.Command, s *Slot) { s.RejectInvalid("invalid") }

// TestCloseReasonsAreReported checks that a connection that is closed for a reason is reported once under the name of that reason.
func TestCloseReasonsAreReported(t *testing.T) {
	for reason, c := range map[string]struct {
		commands Commands
		input    string
		action   func(f *Server, c interface{ Close() error })
	}{
		"client":   {okCommands{}, ping, func(_ *Server, c interface{ Close() error }) { c.Close() }},
		"drained":  {okCommands{}, ping, func(f *Server, _ interface{ Close() error }) { f.Drain(true) }},
		"ending":   {okCommands{}, ping, func(f *Server, _ interface{ Close() error }) { f.Listener.Close() }},
		"protocol": {okCommands{}, "~\r\n", nil},
		"faults":   {rejectingCommands{}, strings.Repeat("*1\r\n$4\r\nECHO\r\n", maxFaults), func(f *Server, _ interface{ Close() error }) { f.Drain(true) }},
	} {
		t.Run(reason, func(t *testing.T) {
			t.Parallel()
			monitor := &closeCounts{byReason: map[string]int{}}
			ln := listen(t)
			srv := &Server{Listener: ln, MaxSessions: 8, Monitor: monitor}
			startServerWith(t, srv, func() Commands { return c.commands })
			conn := dialClient(t, ln, c.input)
			if c.action != nil {
				conn.Read(make([]byte, 1)) // waits until the command is served
				c.action(srv, conn)
			}
			eventually(t, "the connection was not reported as closed for the reason", func() bool { return monitor.count(reason) == 1 })
		})
	}
}
