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

// Server takes client sessions in at one address.
type Server struct {
	Listener net.Listener
	Open     func() Commands // for each session
	Sessions int             // most at once
	KeepIdle int             // idle ones beyond so many sessions end early; 0: none does
	Bounds   *Bounds
	Log      *zap.Logger
	Monitor  Monitor         // nil: nobody is told
	Ready    <-chan struct{} // closed once sessions may be taken in; nil: from the start

	mu       sync.Mutex
	sessions map[*session]struct{}
	all      sync.WaitGroup
	drained  *drainTimes   // nil: the gateway is not drained
	closeBy  time.Time     // of all sessions, as the gateway ends; zero: not set
	changed  chan struct{} // closed at the next change of drained; nil: nobody waits for one
}

// Serve takes sessions in until the context ends: then it closes the listener, lets every session end as soon
// as nothing is owed to its client, and returns when the last has. A listener that breaks ends it likewise, with an error.
func (f *Server) Serve(ctx context.Context) error {
	f.mu.Lock()
	if f.sessions == nil {
		f.sessions = map[*session]struct{}{}
	}
	f.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { lastAccepts(f.Listener) })
	defer stop()
	if f.KeepIdle > 0 {
		go f.evictIdle(ctx)
	}
	places := make(chan struct{}, f.Sessions)
	var broken error // of the listener
	for {
		f.awaitOpen(ctx)
		conn, err := sockets.Accept(f.Listener, f.Log, "a client session")
		if err != nil {
			broken = err
			break
		}
		f.awaitOpen(ctx) // a drain may have ended meanwhile
		placed := f.place(ctx, places)
		s := newSession(conn, f.Open(), f.Bounds)
		f.mu.Lock()
		f.sessions[s] = struct{}{}
		if f.drained != nil {
			s.drain(*f.drained)
		}
		f.mu.Unlock()
		f.all.Go(func() {
			s.run()
			f.ended(s)
			f.mu.Lock()
			delete(f.sessions, s)
			f.mu.Unlock()
			if placed {
				<-places
			}
		})
	}
	f.Listener.Close()
	f.mu.Lock()
	for s := range f.sessions {
		if !f.closeBy.IsZero() {
			s.closeBy(f.closeBy)
		}
		s.stop()
	}
	f.mu.Unlock()
	f.all.Wait()
	if errors.Is(broken, sockets.ErrEnded) {
		return nil
	}
	return broken
}

// CloseBy has every session that is owed nothing closed by a time, once the context of Serve has ended, and those that are not
// reported. It may be called at any time.
func (f *Server) CloseBy(at time.Time) {
	f.mu.Lock()
	f.closeBy = at
	f.mu.Unlock()
	time.AfterFunc(time.Until(at), func() {
		f.reportOverdue("the gateway's end", func(*session) bool { return true })
	})
}

// awaitOpen waits until sessions may be taken in: the gateway is ready, ends, or is drained, as a drained gateway may not keep
// connections waiting.
func (f *Server) awaitOpen(ctx context.Context) {
	for !f.ready() {
		f.mu.Lock()
		drained := f.drained != nil
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		changed := f.changed
		f.mu.Unlock()
		if drained {
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

// ready reports whether the gateway is ready.
func (f *Server) ready() bool {
	select {
	case <-f.Ready:
		return true
	default:
		return f.Ready == nil
	}
}

// place waits for a place for a new session, which holds a descriptor of the reserve meanwhile. False: the gateway ends, or
// drains and has none, and it is served without. Danger: its client has connected and may have sent its command; closing it
// would lose that.
func (f *Server) place(ctx context.Context, places chan<- struct{}) bool {
	for {
		select {
		case places <- struct{}{}:
			return true
		default:
		}
		f.makeRoom()
		select {
		case places <- struct{}{}:
			return true
		case <-ctx.Done():
			return false
		case <-time.After(placeInterval):
		}
		if f.draining() {
			return false
		}
	}
}

func (f *Server) draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drained != nil
}

// lastAccepts has a listener take in what the machine has accepted by now, for a moment. Danger: a client whose connection
// stands in the queue has been served, as far as it can tell, and may have sent its command; closing the listener resets it.
func lastAccepts(l net.Listener) {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(lastAcceptTime)) != nil {
		l.Close()
	}
}

const (
	lastAcceptTime = 20 * time.Millisecond // at the end
	placeInterval  = 50 * time.Millisecond // while all places are taken and nobody is idle
)

// Drain has every session end between two commands, and those that come meanwhile as well, until it is called with
// false. What is read within the time for that is served, and refused after it: at once, where the gateway is not ready.
func (f *Server) Drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
	if !on {
		f.drained = nil
		return
	}
	now := time.Now()
	d := newDrain(now)
	if !f.ready() {
		d.takeUntil = now
	}
	f.drained = &d
	time.AfterFunc(hurryTime, func() { f.hurryDrained(&d) })
	time.AfterFunc(drainTerm, func() { f.checkDrained(&d) })
	for s := range f.sessions {
		s.drain(d)
	}
}
