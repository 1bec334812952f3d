package front

import (
	"context"
	"errors"
	"net"
	"slices"
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
	Keep     int             // idle ones beyond so many sessions end early; 0: none does
	Bounds   *Bounds
	Log      *zap.Logger
	Ready    <-chan struct{} // closed once sessions may be taken in; nil: from the start

	mu       sync.Mutex
	sessions map[*session]struct{}
	all      sync.WaitGroup
	drained  *drainTimes   // nil: the gateway is not drained
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
	if f.Keep > 0 {
		go f.thin(ctx)
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
		s.stop()
	}
	f.mu.Unlock()
	f.all.Wait()
	if errors.Is(broken, sockets.ErrEnded) {
		return nil
	}
	return broken
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
		case <-time.After(roomEvery):
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
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(acceptsOn)) != nil {
		l.Close()
	}
}

const (
	acceptsOn = 20 * time.Millisecond  // at the end
	roomEvery = 50 * time.Millisecond  // while all places are taken and nobody is idle
	grace     = 200 * time.Millisecond // in which a new session's first command comes
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
	for s := range f.sessions {
		s.drain(d)
	}
}

const (
	thinEvery = 50 * time.Millisecond
	restTime  = 250 * time.Millisecond // of a session: a client that asks again does so by then, or can connect again
)

// thin ends idle sessions beyond those to keep, the longest idle first, until the context ends. It guards clients from each
// other: a platform lets them hold so many connections and no more, and where each asks once and keeps its own, what is
// asked next never gets here, though the gateway is at ease and its places are free.
func (f *Server) thin(ctx context.Context) {
	tick := time.NewTicker(thinEvery)
	defer tick.Stop()
	type candidate struct {
		s     *session
		since time.Time
	}
	var all []candidate
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		all = all[:0]
		asked := 0
		f.mu.Lock()
		for s := range f.sessions {
			since, useful, resting := s.resting()
			if useful { // others are no client's, and have a short time anyway
				asked++
			}
			if useful && resting && time.Since(since) >= restTime {
				all = append(all, candidate{s, since})
			}
		}
		f.mu.Unlock()
		slices.SortFunc(all, func(a, b candidate) int { return a.since.Compare(b.since) })
		for _, c := range all[:max(0, min(len(all), asked-f.Keep))] {
			c.s.evict()
		}
	}
}

// makeRoom ends the session that has been idle longest, if one is. Clients may keep sessions that they no longer use,
// and a new one would wait for them for ever. Those that have asked for nothing that could be used go first: whoever
// connects by hundreds and says nothing takes the place of no client that is served. A client that has connected a
// moment ago has had no time to ask.
func (f *Server) makeRoom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest *session
	var since time.Time
	served := false
	for s := range f.sessions {
		at, useful, idle := s.idle()
		useful = useful || time.Since(at) < grace
		if idle && (longest == nil || served && !useful || served == useful && at.Before(since)) {
			longest, since, served = s, at, useful
		}
	}
	if longest != nil {
		longest.evict()
	}
}
