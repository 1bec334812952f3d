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
	ClosedEvicted                      // to release its place to another client
	ClosedDrained                      // the gateway was drained
	ClosedEnding                       // the gateway ends
	ClosedSlow                         // a command was not complete in time
	ClosedProtocol                     // a command could not be read
	ClosedFaults                       // too many commands could not be used
	ClosedUnread                       // it did not read its answers
	ClosedRequested                    // by a command of its client's
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"client", "idle", "evicted", "drained", "ending", "slow", "protocol", "faults",
	"unread_answers", "requested"}

// String is the reason's name in metrics and logs.
func (r CloseReason) String() string { return closeReasonNames[r] }

// Monitor observes client connections. Its methods are called on any goroutine, also at the same time, and may not block.
type Monitor interface {
	// ConnectionClosed reports that a connection ended, for a CloseReason's name.
	ConnectionClosed(reason string)
	// ConnectionsOverdue reports that so many connections are open past the time of a drain or of the gateway's end.
	ConnectionsOverdue(n int)
}

// lastSessionID numbers the client connections of a process, over all its servers, for the log.
var lastSessionID atomic.Uint64

// setCloseReason records why the session ends, unless a reason is recorded already; the lock is held.
func (s *session) setCloseReason(r CloseReason) {
	if !s.closeReasonSet {
		s.closeReasonSet = true
		s.closeReason = r
	}
}

// status is the state of a session in the log.
type status struct {
	ID             uint64 `json:"id"`
	Remote         string `json:"remote"`
	State          string `json:"state"`
	PendingAnswers int    `json:"owed"`     // commands without an answer
	Commands       int    `json:"commands"` // read so far
	BusyMS         int64  `json:"busy_ms"`  // ms since it last owed something
}

func (s *session) status() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return status{ID: s.id, Remote: s.conn.RemoteAddr().String(), State: s.lifecycle.state.String(), PendingAnswers: len(s.slots),
		Commands: s.commandsRead, BusyMS: time.Since(s.lastPendingAt).Milliseconds()}
}

// reportEnd reports why a session ended to the monitor, and logs the ends that are a client's fault.
func (srv *Server) reportEnd(s *session) {
	s.mu.Lock()
	reason := ClosedByClient
	if s.closeReasonSet {
		reason = s.closeReason
	}
	commands := s.commandsRead
	faults := s.faultyCommands
	s.mu.Unlock()
	if srv.Monitor != nil {
		srv.Monitor.ConnectionClosed(reason.String())
	}
	if reason >= ClosedSlow && reason <= ClosedUnread {
		srv.Log.Info("a client connection was cut off", zap.Uint64("session", s.id), zap.Stringer("reason", reason),
			zap.Stringer("remote", s.conn.RemoteAddr()), zap.Int("commands", commands), zap.Int("faults", faults))
	}
}

// maxOverdueLogged bounds the sessions that one log line names.
const maxOverdueLogged = 8

// reportOverdue logs and counts the sessions that are overdue, if there are any; cause is what should have ended them.
func (srv *Server) reportOverdue(cause string, overdue func(*session) bool) {
	var logged []status
	n := 0
	srv.mu.Lock()
	for s := range srv.sessions {
		if !overdue(s) {
			continue
		}
		n++
		if len(logged) < maxOverdueLogged {
			logged = append(logged, s.status())
		}
	}
	srv.mu.Unlock()
	if n == 0 {
		return
	}
	if srv.Monitor != nil {
		srv.Monitor.ConnectionsOverdue(n)
	}
	srv.Log.Warn("client connections are held past their time", zap.String("by", cause), zap.Int("connections", n),
		zap.Any("some", logged))
}

// checkDrained reports the sessions that a drain should have ended by now, if it is still in force.
func (srv *Server) checkDrained(d *drainTimes) {
	srv.mu.Lock()
	inForce := srv.drain == d
	srv.mu.Unlock()
	if inForce {
		srv.reportOverdue("drain", func(s *session) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.hasNoPendingAnswers()
		})
	}
}

// expediteDrained expedites the answers of sessions with unread input, in each expediteInterval until the drain ends or its last
// session does. Otherwise a request at a server that hangs would keep its connection open past the drain's term, and what its
// client has written since would be lost.
func (srv *Server) expediteDrained(d *drainTimes) {
	var sessions []*session
	srv.mu.Lock()
	if srv.drain == d {
		sessions = slices.Collect(maps.Keys(srv.sessions))
	}
	srv.mu.Unlock()
	for _, s := range sessions {
		s.expediteIfUnread()
	}
	if len(sessions) > 0 {
		time.AfterFunc(expediteInterval, func() { srv.expediteDrained(d) })
	}
}

// expediteIfUnread expedites a session's answers, if it ends and its client has written more than it will read.
func (s *session) expediteIfUnread() {
	s.mu.Lock()
	ends := s.lifecycle.state != stateOpen && len(s.slots) > 0
	s.mu.Unlock()
	if !ends || !hasUnread(s.conn) {
		return
	}
	var expedite []func()
	s.mu.Lock()
	for _, slot := range s.slots {
		if slot.onExpedite != nil {
			expedite = append(expedite, slot.onExpedite)
			slot.onExpedite = nil
		}
	}
	s.mu.Unlock()
	for _, f := range expedite {
		f()
	}
}
