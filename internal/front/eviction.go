package front

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dewhitch/internal/sockets"
)

const (
	evictionInterval = 50 * time.Millisecond  // time between two checks for idle sessions to evict
	evictableAfter   = 250 * time.Millisecond // minimum idle time before an eviction; an active client sends its next command sooner, or reconnects
)

// evictable is a session without pending answers.
type evictable struct {
	session   *session
	idleSince time.Time
	owed      obligation
	served    bool // it has sent a valid command, or has had no time for one yet
}

// evictIdle evicts idle sessions above MaxIdleSessions after each evictionInterval, until the context ends. A platform limits the
// total number of connections of its clients. If each client keeps the connection that it used once, the commands of other clients
// never reach a gateway that has capacity for them.
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
		idle = srv.evictSurplus(idle[:0])
	}
}

// evictSurplus evicts as many idle sessions as there are sessions above MaxIdleSessions, the longest idle first. It neither counts nor
// evicts sessions that are ending, or that have sent no valid command and therefore time out soon. It returns
// the buffer that it was given, for reuse.
func (srv *Server) evictSurplus(idle []evictable) []evictable {
	used := 0
	srv.mu.Lock()
	for s := range srv.sessions {
		since, sentValidCommand, waiting := s.idleBetweenCommands()
		if !sentValidCommand {
			continue
		}
		used++
		if waiting && time.Since(since) >= evictableAfter {
			idle = append(idle, evictable{session: s, idleSince: since})
		}
	}
	srv.mu.Unlock()
	slices.SortFunc(idle, func(a, b evictable) int { return a.idleSince.Compare(b.idleSince) })
	surplus := min(len(idle), used-srv.MaxIdleSessions)
	for _, e := range idle[:max(0, surplus)] {
		e.session.evictBetweenCommands()
	}
	return idle
}

const (
	maxEvictedAtOnce       = 8                     // sessions that were never served that are evicted at a time
	servedEvictionInterval = 50 * time.Millisecond // minimum time from an eviction to that of a session that was served; evicted ones may still be ending
)

// evictionRank is the order in which sessions are evicted for new ones, the lowest rank first: connections that send nothing must not
// displace clients that are served, and no client that was served is evicted within a command while another one can be.
type evictionRank int

// The ranks, in their order.
const (
	rankSilent          evictionRank = iota // was never served, and waits for a command
	rankSilentInCommand                     // was never served, and is in the middle of a command
	rankServed                              // was served, and waits for a command
	rankServedInCommand                     // was served, and is in the middle of a command
)

// evict evicts the session, unless its client has begun a command since it was chosen.
func (e evictable) evict() {
	if e.owed.commandBegun {
		e.session.evict()
		return
	}
	e.session.evictBetweenCommands()
}

// rank returns the rank of an idle session.
func (e evictable) rank() evictionRank {
	switch {
	case e.served && e.owed.commandBegun:
		return rankServedInCommand
	case e.served:
		return rankServed
	case e.owed.commandBegun:
		return rankSilentInCommand
	}
	return rankSilent
}

// chooseEvictions returns which of the idle sessions are evicted for a new one, a given time after the last eviction: of the lowest rank
// that there is, those that have been idle longest. A session whose client is still receiving an answer keeps its place for some time, so
// that another one that was served goes first. It changes the order of idle.
func chooseEvictions(idle []evictable, sinceLast time.Duration, receiving func(evictable) bool) []evictable {
	slices.SortFunc(idle, func(a, b evictable) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.idleSince.Compare(b.idleSince))
	})
	if len(idle) == 0 {
		return nil
	}
	lowest := idle[0].rank()
	end := slices.IndexFunc(idle, func(e evictable) bool { return e.rank() > lowest })
	if end >= 0 {
		idle = idle[:end]
	}
	switch {
	case lowest < rankServed:
		return idle[:min(maxEvictedAtOnce, len(idle))]
	case sinceLast < servedEvictionInterval:
		return nil
	}
	free := slices.IndexFunc(idle, func(e evictable) bool { return !receiving(e) })
	free = max(0, free) // the longest idle if all are receiving
	return idle[free : free+1]
}

// receiving reports whether the client's system has not received all answers.
func (e evictable) receiving() bool { return sockets.Unsent(e.session.conn) > 0 }

// evictLongestIdle frees places for new sessions. It closes those that only discard input, if there are any, and otherwise evicts idle
// ones.
func (srv *Server) evictLongestIdle() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	now := time.Now()
	if srv.endDiscarding(now) {
		return
	}
	var idle []evictable
	for s := range srv.sessions {
		if e, ok := s.evictable(now); ok {
			idle = append(idle, e)
		}
	}
	chosen := chooseEvictions(idle, now.Sub(srv.lastEvictionAt), evictable.receiving)
	if len(chosen) > 0 {
		srv.lastEvictionAt = now
	}
	for _, e := range chosen {
		e.evict()
	}
}

// endDiscarding closes the sessions that only discard input and whose clients are not receiving answers. It returns false if there are
// none. The caller holds mu.
func (srv *Server) endDiscarding(now time.Time) (ended bool) {
	for s := range srv.sessions {
		ended = s.endDiscarding(now) || ended
	}
	return ended
}
