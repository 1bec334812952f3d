package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Server takes client sessions in at one address.
type Server struct {
	Listener net.Listener
	Open     func() Commands // for each session
	Sessions int             // most at once
	Log      *zap.Logger

	mu       sync.Mutex
	sessions map[*session]struct{}
	all      sync.WaitGroup
	unsent   atomic.Int64
}

// Serve takes sessions in until the context ends: then it closes the listener, lets every session end as soon
// as nothing is owed to its client, and returns when the last has.
func (f *Server) Serve(ctx context.Context) error {
	f.sessions = map[*session]struct{}{}
	stop := context.AfterFunc(ctx, func() { f.Listener.Close() })
	defer stop()
	places := make(chan struct{}, f.Sessions)
taking:
	for {
		if len(places) == cap(places) {
			f.makeRoom()
		}
		select {
		case <-ctx.Done():
			break taking
		case places <- struct{}{}:
		}
		conn, err := f.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				break taking
			}
			// Out of descriptors, or the client left at once: neither ends the gateway.
			f.Log.Warn("a client session could not be taken in", zap.Error(err))
			<-places
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s := newSession(conn, f.Open(), &f.unsent)
		f.mu.Lock()
		f.sessions[s] = struct{}{}
		f.mu.Unlock()
		f.all.Go(func() {
			s.run()
			f.mu.Lock()
			delete(f.sessions, s)
			f.mu.Unlock()
			<-places
		})
	}
	f.mu.Lock()
	for s := range f.sessions {
		s.finish()
	}
	f.mu.Unlock()
	f.all.Wait()
	return nil
}

// makeRoom ends the session that has been idle longest, if one is. Clients may keep sessions that they no longer
// use, and a new one would wait for them for ever.
func (f *Server) makeRoom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest *session
	var since time.Time
	for s := range f.sessions {
		if at, idle := s.idle(); idle && (longest == nil || at.Before(since)) {
			longest, since = s, at
		}
	}
	if longest != nil {
		longest.finish()
	}
}
