package core

import (
	"maps"
	"time"

	dw "dewhitch"
)

// maxClockSkew is the difference between the wall clock and the planner's clock above which the wall clock counts as stepped.
// Differences up to maxClockSkew are ignored; they shift a server's slow start by at most that much.
const maxClockSkew = time.Second

// startTimes converts the servers' start times, which discovery reports by the wall clock, to instants of the planner's
// clock, which is monotonic. Without a step of the wall clock the two are equal. Without the conversion, a server that starts
// just after the wall clock was set back by an hour would seem to have started an hour ago, and would skip its slow start.
//
// A start time is converted once, when it is first listed, so a step does not change the start times of known servers. One
// error remains: if a server starts before a forward step and is first listed after it, its start time is wrong by the step.
//
// startTimes belongs to the planner's goroutine.
type startTimes struct {
	servers            map[dw.ServerID]startTime
	lastCompleteListAt dw.Instant // time when the last list of every server was read
}

// startTime is the start time of one server.
type startTime struct {
	listed     dw.Instant // start in Unix time, as discovery lists it
	resolved   dw.Instant // start on the planner's clock
	lastListed dw.Instant // time when the server was last listed
}

func newStartTimes() startTimes { return startTimes{servers: map[dw.ServerID]startTime{}} }

// resolve converts a listed start time to the planner's clock. It returns 0 for 0, which stands for a start too long ago for
// slow start. now and wall are the current time on the planner's clock and on the wall clock.
func (s *startTimes) resolve(id dw.ServerID, listed, now, wall dw.Instant) dw.Instant {
	previous, known := s.servers[id]
	previous.lastListed = max(previous.lastListed, s.lastCompleteListAt)
	if known && previous.listed == listed {
		previous.lastListed = now
		s.servers[id] = previous
		return previous.resolved
	}
	resolved := listed
	wallAhead := wall - now
	stepped := wallAhead > dw.Instant(maxClockSkew) || wallAhead < -dw.Instant(maxClockSkew)
	if listed != 0 && stepped {
		resolved = min(listed-wallAhead, now)
		if known && resolved < previous.lastListed { // the listed time has changed since then, so the server started after it
			resolved = now
		}
		resolved = max(resolved, 1)
	}
	s.servers[id] = startTime{listed: listed, resolved: resolved, lastListed: now}
	return resolved
}

// remove deletes the start time of a server.
func (s *startTimes) remove(id dw.ServerID) { delete(s.servers, id) }

// retain deletes the start times of servers that are not listed.
func (s *startTimes) retain(listed map[dw.ServerID]dw.Endpoint) {
	maps.DeleteFunc(s.servers, func(id dw.ServerID, _ startTime) bool {
		_, isListed := listed[id]
		return !isListed
	})
}
