package front

import (
	"context"
	"slices"
	"time"
)

const (
	evictionInterval = 50 * time.Millisecond
	evictableAfter   = 250 * time.Millisecond // of a session: a client that asks again does so by then, or can connect again
)

// evictIdle ends idle sessions beyond those to keep, the longest idle first, until the context ends. It guards clients from each
// other: a platform lets them hold so many connections and no more, and where each asks once and keeps its own, what is
// asked next never gets here, though the gateway is at ease and its places are free.
func (f *Server) evictIdle(ctx context.Context) {
	tick := time.NewTicker(evictionInterval)
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
			if useful && resting && time.Since(since) >= evictableAfter {
				all = append(all, candidate{s, since})
			}
		}
		f.mu.Unlock()
		slices.SortFunc(all, func(a, b candidate) int { return a.since.Compare(b.since) })
		for _, c := range all[:max(0, min(len(all), asked-f.KeepIdle))] {
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
		useful = useful || time.Since(at) < firstTime
		if idle && (longest == nil || served && !useful || served == useful && at.Before(since)) {
			longest, since, served = s, at, useful
		}
	}
	if longest != nil {
		longest.evict()
	}
}
