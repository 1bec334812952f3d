package front

import (
	"context"
	"slices"
	"time"
)

const (
	evictionInterval = 50 * time.Millisecond
	evictableAfter   = 250 * time.Millisecond // of idleness: a client in use sends its next command by then, or can reconnect
)

// evictable is an idle session, and since when it has been idle.
type evictable struct {
	session   *session
	idleSince time.Time
}

// evictIdle ends idle sessions beyond KeepIdle in each evictionInterval, until the context ends. A platform bounds the
// connections that its clients hold together: if each client keeps the one that it used once, the commands of others never
// reach a gateway that has capacity for them.
func (srv *Server) evictIdle(ctx context.Context) {
	tick := time.NewTicker(evictionInterval)
	defer tick.Stop()
	var idle []evictable
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		idle = srv.evictBeyondKept(idle[:0])
	}
}

// evictBeyondKept evicts the idle sessions beyond KeepIdle, the longest idle first. Of sessions that have sent no usable command
// none counts, as their time is short in any case. It returns the buffer that it was given.
func (srv *Server) evictBeyondKept(idle []evictable) []evictable {
	used := 0
	srv.mu.Lock()
	for s := range srv.sessions {
		since, useful, resting := s.idleBetweenCommands()
		if !useful {
			continue
		}
		used++
		if resting && time.Since(since) >= evictableAfter {
			idle = append(idle, evictable{s, since})
		}
	}
	srv.mu.Unlock()
	slices.SortFunc(idle, func(a, b evictable) int { return a.idleSince.Compare(b.idleSince) })
	surplus := min(len(idle), used-srv.MaxIdleSessions)
	for _, e := range idle[:max(0, surplus)] {
		e.session.evict()
	}
	return idle
}

// evictLongestIdle ends the session that has been idle longest, if one is, so that a new one gets its place. Sessions that have
// sent no usable command go first: connections that send nothing must not displace clients that are served. A session younger
// than firstCommandTime has had no time for a command, and counts as useful.
func (srv *Server) evictLongestIdle() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	var longest *session
	var longestSince time.Time
	longestUseful := false
	for s := range srv.sessions {
		since, useful, idle := s.idle()
		useful = useful || time.Since(since) < firstCommandTime
		if idle && (longest == nil || longestUseful && !useful || longestUseful == useful && since.Before(longestSince)) {
			longest = s
			longestSince = since
			longestUseful = useful
		}
	}
	if longest != nil {
		longest.evict()
	}
}
