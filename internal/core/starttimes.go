package core

import (
	"maps"
	"time"

	dw "dewhitch"
)

// clockStep is how far the wall clock may have moved against the planner's clock, which is monotonic from its start on, before
// it counts as stepped. What is less, a server's slow start is wrong by at most.
const clockStep = time.Second

// startTimes turns the times at which servers started, which discovery tells by the wall clock of all machines, into instants
// of the planner's clock. While the wall clock is not stepped they are the same. Danger: after a step back by an hour, a server
// that has just started would pass for an hour old, and be sent as much as a warm one.
//
// A time is turned once, when it is first told: a step does not move servers that are known. What stays wrong, by the step, is
// a start before a step forward that is first told after it, of a server that was not known.
type startTimes struct {
	servers map[dw.ServerID]startTime
	seen    dw.Instant // when all of them were last told
}

func newStartTimes() startTimes { return startTimes{servers: map[dw.ServerID]startTime{}} }

// startTime is one server's.
type startTime struct {
	told dw.Instant // Unix time, as discovery told it
	at   dw.Instant // on the planner's clock
	seen dw.Instant // when it was last told
}

// resolve gives the instant of a start that was told; 0 is long ago. now and wall are the same moment, by the planner's clock
// and by the wall clock.
func (s *startTimes) resolve(id dw.ServerID, told, now, wall dw.Instant) dw.Instant {
	before, known := s.servers[id]
	before.seen = max(before.seen, s.seen)
	if known && before.told == told {
		before.seen = now
		s.servers[id] = before
		return before.at
	}
	at := told
	if ahead := wall - now; told != 0 && (ahead > dw.Instant(clockStep) || ahead < -dw.Instant(clockStep)) {
		at = min(told-ahead, now)
		if known && at < before.seen { // it has started since it was last told, whatever the clocks say
			at = now
		}
		at = max(at, 1)
	}
	s.servers[id] = startTime{told: told, at: at, seen: now}
	return at
}

// keep forgets the servers that are not listed.
func (s *startTimes) keep(listed map[dw.ServerID]dw.Endpoint) {
	maps.DeleteFunc(s.servers, func(id dw.ServerID, _ startTime) bool {
		_, in := listed[id]
		return !in
	})
}
