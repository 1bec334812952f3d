package front

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// CloseReason is why a client connection ended.
type CloseReason int

// The reasons.
const (
	ClosedByClient  CloseReason = iota // it closed or half-closed, or its connection broke
	ClosedIdle                         // it asked for nothing for too long
	ClosedEvicted                      // to make room for another client
	ClosedDrained                      // the gateway was drained
	ClosedEnding                       // the gateway ends
	ClosedSlow                         // a command was not whole in time
	ClosedProtocol                     // a command could not be read
	ClosedFaults                       // too many commands could not be used
	ClosedUnread                       // it did not read its answers
	ClosedRequested                    // by a command of its client's
	closeReasons
)

var closeReasonNames = [closeReasons]string{"client", "idle", "evicted", "drained", "ending", "slow", "protocol", "faults",
	"unread_answers", "requested"}

// String is the reason's name in metrics and logs.
func (r CloseReason) String() string { return closeReasonNames[r] }

// Monitor is told what becomes of client connections. It may not block.
type Monitor interface {
	// ConnectionClosed tells that a connection ended, for a reason of a fixed set.
	ConnectionClosed(reason string)
	// ConnectionsOverdue tells that so many connections are held past the time of a drain or of the gateway's end.
	ConnectionsOverdue(n int)
}

// sessionIDs numbers client connections over all fronts of a process, for the log.
var sessionIDs atomic.Uint64

// because notes why the session ends, if nothing has before; the lock is held.
func (s *session) because(r CloseReason) {
	if !s.closing {
		s.closing, s.reason = true, r
	}
}

// status is what the log says of a session.
type status struct {
	ID       uint64 `json:"id"`
	Remote   string `json:"remote"`
	State    string `json:"state"`
	Owed     int    `json:"owed"` // answers
	Commands int    `json:"commands"`
	BusyMS   int64  `json:"busy_ms"` // since when it has owed something
}

func (s *session) status() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return status{ID: s.id, Remote: s.conn.RemoteAddr().String(), State: s.life.state.String(), Owed: len(s.slots),
		Commands: s.taken, BusyMS: time.Since(s.busy).Milliseconds()}
}

// ended tells why a session ended. Of what clients and planned endings do each day, only the count is told.
func (f *Server) ended(s *session) {
	s.mu.Lock()
	reason := ClosedByClient
	if s.closing {
		reason = s.reason
	}
	taken, bad := s.taken, s.bad
	s.mu.Unlock()
	if f.Monitor != nil {
		f.Monitor.ConnectionClosed(reason.String())
	}
	if reason >= ClosedSlow && reason <= ClosedUnread {
		f.Log.Info("a client connection was cut off", zap.Uint64("session", s.id), zap.Stringer("reason", reason),
			zap.Stringer("remote", s.conn.RemoteAddr()), zap.Int("commands", taken), zap.Int("faults", bad))
	}
}

// mostOverdue bounds the sessions that one log line names.
const mostOverdue = 8

// reportOverdue logs and counts the sessions that are held though their time is over, if there are any.
func (f *Server) reportOverdue(what string, overdue func(*session) bool) {
	var held []status
	n := 0
	f.mu.Lock()
	for s := range f.sessions {
		if !overdue(s) {
			continue
		}
		if n++; len(held) < mostOverdue {
			held = append(held, s.status())
		}
	}
	f.mu.Unlock()
	if n == 0 {
		return
	}
	if f.Monitor != nil {
		f.Monitor.ConnectionsOverdue(n)
	}
	f.Log.Warn("client connections are held past their time", zap.String("by", what), zap.Int("connections", n),
		zap.Any("some", held))
}

// checkDrained reports the sessions that a drain should have ended by now.
func (f *Server) checkDrained(d *drainTimes) {
	f.mu.Lock()
	stands := f.drained == d
	f.mu.Unlock()
	if stands {
		f.reportOverdue("drain", func(s *session) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.owesNothing()
		})
	}
}

// hurryDrained has the sessions of a drain on which more has come answer what they owe now, again and again until the drain ends
// or its last session does. Danger: a request that waits for a server that hangs would keep its connection open past the
// drain's term, with what its client has written since.
func (f *Server) hurryDrained(d *drainTimes) {
	var held []*session
	f.mu.Lock()
	if f.drained == d {
		held = slices.Collect(maps.Keys(f.sessions))
	}
	f.mu.Unlock()
	for _, s := range held {
		s.hurryIfWritten()
	}
	if len(held) > 0 {
		time.AfterFunc(hurryInterval, func() { f.hurryDrained(d) })
	}
}

// hurryIfWritten has a session answer now, if it ends and its client has written more than it will read.
func (s *session) hurryIfWritten() {
	s.mu.Lock()
	ends := s.life.state != stateOpen && len(s.slots) > 0
	s.mu.Unlock()
	if !ends || !unread(s.conn) {
		return
	}
	var now []func()
	s.mu.Lock()
	for _, o := range s.slots {
		if o.hurry != nil {
			now = append(now, o.hurry)
			o.hurry = nil
		}
	}
	s.mu.Unlock()
	for _, f := range now {
		f()
	}
}
