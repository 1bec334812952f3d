package front

import (
	"context"
	"errors"
	"net"
	"time"

	"dewhitch/internal/fairqueue"
	"dewhitch/internal/sockets"
)

const (
	finalAcceptTime     = 20 * time.Millisecond  // time at shutdown to accept connections that are in the queue of the system
	maxFinalAcceptTime  = 100 * time.Millisecond // maximum time for those that are still in it afterwards
	maxUnplacedSessions = 16                     // sessions without a place that may be open in a drain before a new one waits
	placeRetryInterval  = 10 * time.Millisecond  // time between two evictions for a session that waits for a place
)

// connectionKind names the connections in errors and in the log.
const connectionKind = "a client session"

// acceptSessions accepts sessions until the listener fails. The error is sockets.ErrEnded after the context has ended.
func (srv *Server) acceptSessions(ctx context.Context) error {
	flow := srv.Fair.Open(fairqueue.Accepting, srv.Listener.Addr().String())
	defer flow.Close()
	for {
		srv.awaitAccepting(ctx)
		conn, err := srv.accept(ctx)
		if err != nil {
			return err
		}
		acceptedAt := time.Now()
		if hungUp(conn) { // others are behind it in the queue of the system
			srv.discard(conn)
			flow.Use(time.Since(acceptedAt))
			continue
		}
		srv.awaitAccepting(ctx) // a drain may have ended before the gateway is ready
		sockets.LimitBuffers(conn, srv.Bounds.receiveBuffer, srv.Bounds.sendBuffer)
		hasPlace := srv.acquirePlace(ctx)
		s := srv.addSession(conn)
		srv.running.Go(func() {
			s.run()
			srv.reportEnd(s)
			srv.removeSession(s)
			if hasPlace {
				srv.releasePlace()
			}
		})
		flow.Use(time.Since(acceptedAt))
	}
}

// accept accepts the next connection. After the context has ended and the deadline of finishAccepting has passed, it accepts what is still
// in the queue of the system, and returns sockets.ErrEnded when nothing is, or after maxFinalAcceptTime: a process that was stopped, or
// whose other goroutines had their turns, may have accepted nothing before the deadline.
func (srv *Server) accept(ctx context.Context) (net.Conn, error) {
	conn, err := sockets.Accept(srv.Listener, srv.Log, connectionKind)
	if !errors.Is(err, sockets.ErrEnded) || ctx.Err() == nil {
		return conn, err
	}
	now := time.Now()
	if srv.acceptUntil.IsZero() {
		srv.acceptUntil = now.Add(maxFinalAcceptTime)
	}
	if !now.Before(srv.acceptUntil) || !hasQueued(srv.Listener) {
		return nil, err
	}
	finishAccepting(srv.Listener)
	return sockets.Accept(srv.Listener, srv.Log, connectionKind)
}

// discard closes a connection whose client has closed it, or its sending side, already. Such a client gets no answers, but no reset either.
func (srv *Server) discard(conn net.Conn) {
	discardUnread(conn)
	conn.Close()
	if srv.Monitor != nil {
		srv.Monitor.ConnectionClosed(ClosedByClient.String())
	}
}

// awaitAccepting waits until sessions may be accepted. This is when the gateway is ready, shuts down or drains: a drained gateway
// must not keep connections waiting.
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

// isReady reports whether sessions may be accepted.
func (srv *Server) isReady() bool {
	select {
	case <-srv.Ready:
		return true
	default:
		return srv.Ready == nil
	}
}

// acquirePlace waits for a place for a new session, and returns true if it got one. While it waits, the connection uses a
// descriptor that is reserved for this. It returns false if the gateway shuts down, or drains and has no place. The session is
// then served without a place: its client may have sent a command, which would be lost if the connection was closed.
func (srv *Server) acquirePlace(ctx context.Context) bool {
	for {
		if srv.takePlace() {
			return true
		}
		if srv.mayExceedPlaces() {
			return false
		}
		srv.evictLongestIdle()
		select {
		case <-srv.placeReleased:
		case <-ctx.Done():
			return srv.takePlace()
		case <-time.After(placeRetryInterval):
		}
		if srv.isDraining() {
			return false
		}
	}
}

// mayExceedPlaces reports whether the gateway drains and few sessions are open beyond its places. Then a new connection does not wait:
// others would wait behind it, and the time of a drain is short.
func (srv *Server) mayExceedPlaces() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.drain != nil && len(srv.sessions) < srv.placesTaken+maxUnplacedSessions
}

// takePlace takes a place if one is free.
func (srv *Server) takePlace() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.placesTaken >= srv.MaxSessions {
		return false
	}
	srv.placesTaken++
	return true
}

func (srv *Server) releasePlace() {
	srv.mu.Lock()
	srv.placesTaken--
	srv.mu.Unlock()
	select {
	case srv.placeReleased <- struct{}{}:
	default:
	}
}

// finishAccepting lets a listener accept the connections in the queue of the system for finalAcceptTime. Closing the listener
// without this wait would reset these connections, and their clients may have sent a command.
func finishAccepting(l net.Listener) {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(finalAcceptTime)) != nil {
		l.Close()
	}
}
