package core

import (
	"maps"
	"time"

	dw "dewhitch"
)

// clockStep is the difference between the wall clock and the planner's clock from which on the wall clock counts as
// stepped. A smaller difference is ignored, and puts a server's slow start wrong by at most that.
const clockStep = time.Second

// startTimes converts the start times of servers, which discovery gives by the wall clock, to instants of the planner's
// clock, which is monotonic. Without a step of the wall clock the two are the same. After a step back by an hour, a server
// that has just started would otherwise count as started an hour ago, and skip its slow start.
//
// A start time is converted once, when it is first listed: a step does not move servers that are known. A start before a
// step forward, of an unknown server that is first listed after the step, stays wrong by the step.
//
// It belongs to the planner's goroutine.
type startTimes struct {
	servers        map[dw.ServerID]startTime
	completeListAt dw.Instant // when the last list that names every server was read
}

// startTime is the start of one server.
type startTime struct {
	listed     dw.Instant // Unix time, as discovery lists it
	resolved   dw.Instant // on the planner's clock
	lastListed dw.Instant // when the server was last listed
}

func newStartTimes() startTimes { return startTimes{servers: map[dw.ServerID]startTime{}} }

// resolve returns a listed start time on the planner's clock; 0 is long ago, and stays 0. now and wall are the same moment by
// the planner's clock and by the wall clock.
func (s *startTimes) resolve(id dw.ServerID, listed, now, wall dw.Instant) dw.Instant {
	previous, known := s.servers[id]
	previous.lastListed = max(previous.lastListed, s.completeListAt)
	if known && previous.listed == listed {
		previous.lastListed = now
		s.servers[id] = previous
		return previous.resolved
	}
	resolved := listed
	ahead := wall - now
	stepped := ahead > dw.Instant(clockStep) || ahead < -dw.Instant(clockStep)
	if listed != 0 && stepped {
		resolved = min(listed-ahead, now)
		if known && resolved < previous.lastListed { // its start time changed after that, so it started after that
			resolved = now
		}
		resolved = max(resolved, 1)
	}
	s.servers[id] = startTime{listed: listed, resolved: resolved, lastListed: now}
	return resolved
}

// remove forgets a server.
func (s *startTimes) remove(id dw.ServerID) { delete(s.servers, id) }

// retain forgets the servers that are not listed.
func (s *startTimes) retain(listed map[dw.ServerID]dw.Endpoint) {
	maps.DeleteFunc(s.servers, func(id dw.ServerID, _ startTime) bool {
		_, isListed := listed[id]
		return !isListed
	})
}
