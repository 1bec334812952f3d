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
	lastAcceptTime = 20 * time.Millisecond // at the end, for connections that the system has accepted
	placeInterval  = 50 * time.Millisecond // between two evictions for a session that waits for a place
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
func (f *Server) Serve(ctx context.Context) error {
	f.mu.Lock()
	if f.sessions == nil {
		f.sessions = map[*session]struct{}{}
	}
	f.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { finishAccepting(f.Listener) })
	defer stop()
	if f.MaxIdleSessions > 0 {
		go f.evictIdle(ctx)
	}
	err := f.acceptSessions(ctx)
	f.Listener.Close()
	f.stopSessions()
	f.running.Wait()
	if errors.Is(err, sockets.ErrEnded) {
		return nil
	}
	return err
}

// acceptSessions accepts sessions until the listener fails, which it does with sockets.ErrEnded after the context has ended.
func (f *Server) acceptSessions(ctx context.Context) error {
	places := make(chan struct{}, f.MaxSessions)
	for {
		f.awaitOpen(ctx)
		conn, err := sockets.Accept(f.Listener, f.Log, "a client session")
		if err != nil {
			return err
		}
		f.awaitOpen(ctx) // a drain may have ended meanwhile
		hasPlace := f.acquirePlace(ctx, places)
		s := f.addSession(conn)
		f.running.Go(func() {
			s.run()
			f.reportEnd(s)
			f.removeSession(s)
			if hasPlace {
				<-places
			}
		})
	}
}

// addSession makes a session, which drains if the gateway does.
func (f *Server) addSession(conn net.Conn) *session {
	s := newSession(conn, f.NewCommands(), f.Bounds)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sessions[s] = struct{}{}
	if f.drain != nil {
		s.drain(*f.drain)
	}
	return s
}

func (f *Server) removeSession(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sessions, s)
}

// stopSessions has each session end as soon as its client is owed nothing.
func (f *Server) stopSessions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sessions {
		if !f.sessionsCloseBy.IsZero() {
			s.closeBy(f.sessionsCloseBy)
		}
		s.stop()
	}
}

// CloseBy sets a time by which each session that is owed nothing is closed, after the context of Serve has ended; those that are
// open then are reported. It may be called at any time.
func (f *Server) CloseBy(at time.Time) {
	f.mu.Lock()
	f.sessionsCloseBy = at
	f.mu.Unlock()
	time.AfterFunc(time.Until(at), func() {
		f.reportOverdue("the gateway's end", func(*session) bool { return true })
	})
}

// Drain has each session end between two commands, and new ones as well, until it is called with false. Requests that are read
// by drainReadTime are served, and later ones rejected; if the gateway is not ready, all are rejected.
func (f *Server) Drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drainChanged != nil {
		close(f.drainChanged)
		f.drainChanged = nil
	}
	if !on {
		f.drain = nil
		return
	}
	now := time.Now()
	d := newDrain(now)
	if !f.isReady() {
		d.readUntil = now
	}
	f.drain = &d
	time.AfterFunc(drainExpediteTime, func() { f.expediteDrained(&d) })
	time.AfterFunc(drainTerm, func() { f.checkDrained(&d) })
	for s := range f.sessions {
		s.drain(d)
	}
}

// awaitOpen waits until sessions may be accepted: the gateway is ready, ends, or drains, as a drained gateway may not keep
// connections waiting.
func (f *Server) awaitOpen(ctx context.Context) {
	for !f.isReady() {
		f.mu.Lock()
		draining := f.drain != nil
		if f.drainChanged == nil {
			f.drainChanged = make(chan struct{})
		}
		changed := f.drainChanged
		f.mu.Unlock()
		if draining {
			return
		}
		select {
		case <-changed:
		case <-f.Ready:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Server) isReady() bool {
	select {
	case <-f.Ready:
		return true
	default:
		return f.Ready == nil
	}
}

// acquirePlace waits for a place for a new session, whose connection uses a reserved descriptor meanwhile. If the gateway ends,
// or drains and has no place, it returns false, and the session is served without one: its client may have sent a command, which
// would be lost if its connection was closed.
func (f *Server) acquirePlace(ctx context.Context, places chan<- struct{}) bool {
	for {
		select {
		case places <- struct{}{}:
			return true
		default:
		}
		f.evictLongestIdle()
		select {
		case places <- struct{}{}:
			return true
		case <-ctx.Done():
			return false
		case <-time.After(placeInterval):
		}
		if f.isDraining() {
			return false
		}
	}
}

func (f *Server) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drain != nil
}

// finishAccepting has a listener accept for lastAcceptTime more what is in the system's queue: closing the listener resets those
// connections, whose clients may have sent a command.
func finishAccepting(l net.Listener) {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(lastAcceptTime)) != nil {
		l.Close()
	}
}
