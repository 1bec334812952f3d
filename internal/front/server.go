package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/fairqueue"
	"dewhitch/internal/sockets"
)

// Server accepts client sessions at one address. The exported fields must be set before Serve is called. The methods are safe for
// concurrent use.
type Server struct {
	Listener        net.Listener
	NewCommands     func() Commands // returns the commands of a new session
	MaxSessions     int             // maximum number of concurrent sessions; each takes one place. SetMaxSessions changes it later
	MaxIdleSessions int             // number of sessions above which idle ones are evicted early; 0 disables this
	Bounds          *Bounds
	Log             *zap.Logger
	Monitor         Monitor              // may be nil
	Fair            *fairqueue.Scheduler // divides the processor's time between the connections; may be nil
	Ready           <-chan struct{}      // closed when sessions may be accepted; nil if they may be from the start

	acceptUntil time.Time // end of the time to accept what is in the queue of the system at shutdown; only Serve's goroutine uses it

	mu             sync.Mutex
	sessions       map[*session]struct{}
	placesTaken    int
	lastEvictionAt time.Time      // time of the last eviction for a new session
	placeReleased  chan struct{}  // signals that a place may be free; buffer of one
	running        sync.WaitGroup // counts the sessions that are running
	drain          *drainTimes    // times of the current drain; nil if the gateway is not drained
	drainChanged   chan struct{}  // closed at the next change of drain; nil if no goroutine waits for it
	shutdown       *ShutdownTimes // times of the shutdown; nil if not set
}

// ShutdownTimes holds the times by which sessions end after the context of Server.Serve has ended.
type ShutdownTimes struct {
	CommandsBy time.Time // commands that were arriving when the context ended are read until then, and refused if they are incomplete
	CloseBy    time.Time // connections are closed by then if no answer is pending
}

// Serve accepts sessions until the context ends. Then it closes the listener, lets each session end as soon as it has no pending
// answers, and returns when the last session has ended. An error of the listener ends it in the same way, and is returned.
func (srv *Server) Serve(ctx context.Context) error {
	srv.mu.Lock()
	if srv.sessions == nil {
		srv.sessions = map[*session]struct{}{}
	}
	srv.placeReleased = make(chan struct{}, 1)
	srv.mu.Unlock()
	sockets.LimitBuffers(srv.Listener, srv.Bounds.receiveBuffer, srv.Bounds.sendBuffer)
	stop := context.AfterFunc(ctx, func() { finishAccepting(srv.Listener) })
	defer stop()
	if srv.MaxIdleSessions > 0 {
		go srv.evictIdle(ctx)
	}
	err := srv.acceptSessions(ctx)
	srv.Listener.Close()
	srv.stopSessions()
	srv.running.Wait()
	if errors.Is(err, sockets.ErrEnded) {
		return nil
	}
	return err
}

// addSession creates a session, which drains if the gateway does.
func (srv *Server) addSession(conn net.Conn) *session {
	s := newSession(conn, srv.NewCommands(), srv.Bounds)
	s.openFlows(srv.Fair)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.sessions[s] = struct{}{}
	srv.Bounds.add(s)
	if srv.drain != nil {
		s.drain(*srv.drain)
	}
	return s
}

func (srv *Server) removeSession(s *session) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	delete(srv.sessions, s)
	srv.Bounds.remove(s)
}

// stopSessions makes each session end as soon as it has no pending answers.
func (srv *Server) stopSessions() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for s := range srv.sessions {
		if srv.shutdown != nil {
			s.shutDown(*srv.shutdown)
		}
		s.stop()
	}
}

// ShutDownBy sets the times by which sessions end after the context of Serve has ended. Sessions that are open at CloseBy are reported. It
// may be called at any time.
func (srv *Server) ShutDownBy(times ShutdownTimes) {
	srv.mu.Lock()
	srv.shutdown = &times
	srv.mu.Unlock()
	time.AfterFunc(time.Until(times.CloseBy), func() {
		srv.reportOverdue("the gateway's end", func(*session) bool { return true })
	})
}

// Drain makes each session, including new ones, end between two commands, until it is called with false. Requests that are read within
// drainReadTime are served, and later ones are rejected. If the gateway is not ready, all are rejected.
func (srv *Server) Drain(on bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.drainChanged != nil {
		close(srv.drainChanged)
		srv.drainChanged = nil
	}
	if !on {
		srv.drain = nil
		return
	}
	now := time.Now()
	times := newDrainTimes(now)
	if !srv.isReady() {
		times.readUntil = now
	}
	srv.drain = &times
	time.AfterFunc(drainExpediteTime, func() { srv.expediteDrained(&times) })
	time.AfterFunc(drainTimeLimit, func() { srv.checkDrained(&times) })
	for s := range srv.sessions {
		s.drain(times)
	}
}

// SetMaxSessions changes the maximum number of concurrent sessions. Sessions beyond it stay open, but idle ones of them are evicted.
func (srv *Server) SetMaxSessions(n int) {
	srv.mu.Lock()
	srv.MaxSessions = n
	excess := srv.placesTaken - n
	srv.mu.Unlock()
	for range excess {
		srv.evictLongestIdle()
	}
}

func (srv *Server) isDraining() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.drain != nil
}
