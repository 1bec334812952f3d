package front

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// CloseReason is the reason for which a client connection was closed.
type CloseReason int

// The reasons for closing a connection, in the order of their names in closeReasonNames.
const (
	ClosedByClient  CloseReason = iota // the client closed or half-closed the connection, or the connection broke
	ClosedIdle                         // the client sent no command for too long
	ClosedEvicted                      // the session's place was needed for another client
	ClosedDrained                      // the gateway was drained
	ClosedEnding                       // the gateway shuts down
	ClosedSlow                         // a command did not arrive completely in time
	ClosedProtocol                     // a command violated the protocol
	ClosedFaults                       // too many commands were invalid
	ClosedUnread                       // the client did not read its answers
	ClosedRequested                    // the client requested it with a command
	ClosedValueCut                     // a backend did not complete a value of which a part was written
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"client", "idle", "evicted", "drained", "ending", "slow", "protocol", "faults",
	"unread_answers", "requested", "value_cut"}

// String returns the name of the reason in metrics and logs.
func (r CloseReason) String() string { return closeReasonNames[r] }

// Monitor observes client connections. Its methods are called concurrently from any goroutine and must not block.
type Monitor interface {
	// ConnectionClosed reports that a connection was closed; reason is the name of a CloseReason.
	ConnectionClosed(reason string)
	// ConnectionEndedOwed reports that the gateway closed a connection within a command, or before the client's system had received the
	// answers; reason is the name of a CloseReason.
	ConnectionEndedOwed(reason string)
	// CommandsRefused reports that n commands were refused because the gateway ended their connection; reason is the name of a CloseReason.
	CommandsRefused(reason string, n int)
	// ConnectionsOverdue reports that n connections are open after the time limit of a drain or after the time by which a gateway that shuts
	// down closes them.
	ConnectionsOverdue(n int)
}

// lastSessionID is the number of the last client connection of the process, over all its servers. The log uses these numbers.
var lastSessionID atomic.Uint64

// setCloseReason records the reason for closing the session, unless one is recorded already. The caller holds the lock.
func (s *session) setCloseReason(r CloseReason) {
	if !s.closeReasonSet {
		s.closeReasonSet = true
		s.closeReason = r
	}
}

// status describes a session in the log.
type status struct {
	ID             uint64 `json:"id"`
	Remote         string `json:"remote"`
	State          string `json:"state"`
	PendingAnswers int    `json:"owed"`     // number of commands without an answer
	Commands       int    `json:"commands"` // number of commands read
	BusyMS         int64  `json:"busy_ms"`  // milliseconds since the last answer was given, or since the accept if there was none
}

// status returns the description of the session for the log.
func (s *session) status() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return status{ID: s.id, Remote: s.conn.RemoteAddr().String(), State: s.lifecycle.state.String(), PendingAnswers: len(s.slots),
		Commands: s.commandsRead, BusyMS: time.Since(s.lastPendingAt).Milliseconds()}
}

// reportEnd reports the close reason of a session to the monitor, and logs it if the client is at fault.
func (srv *Server) reportEnd(s *session) {
	s.mu.Lock()
	reason := ClosedByClient
	if s.closeReasonSet {
		reason = s.closeReason
	}
	commands := s.commandsRead
	faults := s.faultyCommands
	forMemory := s.shedForMemory
	owed := s.owedAtEnd
	refused := s.refusedCommands
	s.mu.Unlock()
	if refused > 0 {
		srv.reportRefused(s, reason, refused)
	}
	if reason != ClosedByClient && !owed.none() {
		srv.reportOwed(s, reason, owed)
	}
	if srv.Monitor != nil {
		srv.Monitor.ConnectionClosed(reason.String())
	}
	if reason >= ClosedSlow && reason <= ClosedUnread {
		srv.Log.Info("a client connection was cut off", zap.Uint64("session", s.id), zap.Stringer("reason", reason),
			zap.Stringer("remote", s.conn.RemoteAddr()), zap.Int("commands", commands), zap.Int("faults", faults),
			zap.Bool("for_memory", forMemory))
	}
}

// reportRefused reports that commands were refused because the gateway ended their connection.
func (srv *Server) reportRefused(s *session, reason CloseReason, refused int) {
	srv.Log.Info("commands were refused as their connection ended", zap.Uint64("session", s.id), zap.Stringer("reason", reason),
		zap.Stringer("remote", s.conn.RemoteAddr()), zap.Int("refused", refused))
	if srv.Monitor != nil {
		srv.Monitor.CommandsRefused(reason.String(), refused)
	}
}

// reportOwed reports that the gateway closed a connection although its client was owed something.
func (srv *Server) reportOwed(s *session, reason CloseReason, owed obligation) {
	srv.Log.Info("a client connection ended while its client was owed something", zap.Uint64("session", s.id),
		zap.Stringer("reason", reason), zap.Stringer("remote", s.conn.RemoteAddr()), zap.Bool("command_begun", owed.commandBegun),
		zap.Bool("answer_pending", owed.answerPending), zap.Int("undelivered", owed.undelivered),
		zap.Duration("stalled", owed.stalled))
	if srv.Monitor != nil {
		srv.Monitor.ConnectionEndedOwed(reason.String())
	}
}

// maxOverdueLogged is the maximum number of sessions that one log line describes.
const maxOverdueLogged = 8

// reportOverdue logs the sessions for which overdue returns true, and reports their number to the monitor, if there are any.
// cause names the event by which they should have ended: a drain, or the shutdown of the gateway.
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

// checkDrained reports the sessions without pending answers that are still open at the time limit of drain d. It does nothing if d has
// ended.
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

// expediteDrained expedites the answers of sessions with unread input. It repeats this after each expediteInterval until drain d
// ends or no session remains. Without it, a request at a server that hangs keeps its connection open past the time limit of the
// drain, and the input that the client has written since is lost.
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

// expediteIfUnread expedites the pending answers of a session that is ending and has input that it will not read.
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
