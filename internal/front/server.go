package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/sockets"
)

const (
	finalAcceptTime    = 20 * time.Millisecond // at the end, for connections that the system has accepted
	placeRetryInterval = 50 * time.Millisecond // between two evictions for a session that waits for a place
)

// Server accepts client sessions at one address. Its exported fields are set before Serve. Its methods are safe for any
// goroutine.
type Server struct {
	Listener        net.Listener
	NewCommands     func() Commands // for each session
	MaxSessions     int             // the maximum at once
	MaxIdleSessions int             // idle sessions beyond so many are ended early; 0: none is
	Bounds          *Bounds
	Log             *zap.Logger
	Monitor         Monitor         // nil: none
	Ready           <-chan struct{} // closed once sessions may be accepted; nil: from the start

	mu              sync.Mutex
	sessions        map[*session]struct{}
	running         sync.WaitGroup // of sessions
	drain           *drainTimes    // nil: the gateway is not drained
	drainChanged    chan struct{}  // closed at the next change of drain; nil: nobody waits for one
	sessionsCloseBy time.Time      // at the end of the gateway; zero: not set
}

// Serve accepts sessions until the context ends. It then closes the listener, lets each session end as soon as its client is
// owed nothing, and returns when the last has. A fault of the listener ends it in the same way, with that error.
func (srv *Server) Serve(ctx context.Context) error {
	srv.mu.Lock()
	if srv.sessions == nil {
		srv.sessions = map[*session]struct{}{}
	}
	srv.mu.Unlock()
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

// acceptSessions accepts sessions until the listener fails, which it does with sockets.ErrEnded after the context has ended.
func (srv *Server) acceptSessions(ctx context.Context) error {
	places := make(chan struct{}, srv.MaxSessions)
	for {
		srv.awaitAccepting(ctx)
		conn, err := sockets.Accept(srv.Listener, srv.Log, "a client session")
		if err != nil {
			return err
		}
		srv.awaitAccepting(ctx) // a drain may have ended meanwhile
		hasPlace := srv.acquirePlace(ctx, places)
		s := srv.addSession(conn)
		srv.running.Go(func() {
			s.run()
			srv.reportEnd(s)
			srv.removeSession(s)
			if hasPlace {
				<-places
			}
		})
	}
}

// addSession makes a session, which drains if the gateway does.
func (srv *Server) addSession(conn net.Conn) *session {
	s := newSession(conn, srv.NewCommands(), srv.Bounds)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.sessions[s] = struct{}{}
	if srv.drain != nil {
		s.drain(*srv.drain)
	}
	return s
}

func (srv *Server) removeSession(s *session) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	delete(srv.sessions, s)
}

// stopSessions has each session end as soon as its client is owed nothing.
func (srv *Server) stopSessions() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for s := range srv.sessions {
		if !srv.sessionsCloseBy.IsZero() {
			s.closeBy(srv.sessionsCloseBy)
		}
		s.stop()
	}
}

// CloseBy sets a time by which each session that is owed nothing is closed, after the context of Serve has ended; those that are
// open then are reported. It may be called at any time.
func (srv *Server) CloseBy(at time.Time) {
	srv.mu.Lock()
	srv.sessionsCloseBy = at
	srv.mu.Unlock()
	time.AfterFunc(time.Until(at), func() {
		srv.reportOverdue("the gateway's end", func(*session) bool { return true })
	})
}

// Drain has each session end between two commands, and new ones as well, until it is called with false. Requests that are read
// by drainReadTime are served, and later ones rejected; if the gateway is not ready, all are rejected.
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
	time.AfterFunc(drainTerm, func() { srv.checkDrained(&times) })
	for s := range srv.sessions {
		s.drain(times)
	}
}

// awaitAccepting waits until sessions may be accepted: the gateway is ready, ends, or drains, as a drained gateway may not keep
// connections waiting.
func (srv *Server) awaitAccepting(ctx context.Context) {
	for !srv.isReady() {
		srv.mu.Lock()
		draining := srv.drain != nil
		if srv.drainChanged == nil {
			srv.drainChanged = make(chan struct{})
		}
		changed := srv.drainChanged
		srv.mu.Unlock()
		if draining {
			return
		}
		select {
		case <-changed:
		case <-srv.Ready:
		case <-ctx.Done():
			return
		}
	}
}

func (srv *Server) isReady() bool {
	select {
	case <-srv.Ready:
		return true
	default:
		return srv.Ready == nil
	}
}

// acquirePlace waits for a place for a new session, whose connection uses a reserved descriptor meanwhile. If the gateway ends,
// or drains and has no place, it returns false, and the session is served without one: its client may have sent a command, which
// would be lost if its connection was closed.
func (srv *Server) acquirePlace(ctx context.Context, places chan<- struct{}) bool {
	for {
		select {
		case places <- struct{}{}:
			return true
		default:
		}
		srv.evictLongestIdle()
		select {
		case places <- struct{}{}:
			return true
		case <-ctx.Done():
			return false
		case <-time.After(placeRetryInterval):
		}
		if srv.isDraining() {
			return false
		}
	}
}

func (srv *Server) isDraining() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.drain != nil
}

// finishAccepting has a listener accept for lastAcceptTime more what is in the system's queue: closing the listener resets those
// connections, whose clients may have sent a command.
func finishAccepting(l net.Listener) {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(finalAcceptTime)) != nil {
		l.Close()
	}
}
