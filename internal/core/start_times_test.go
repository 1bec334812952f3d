package core

import (
	"math/rand/v2"
	"testing"
	"time"

	dw "dewhitch"
)

const (
	second = dw.Instant(time.Second)
	hour   = dw.Instant(time.Hour)
	origin = 1_800_000_000 * second // Unix time at which the planner started
)

// While the wall clock is not stepped, start times are what discovery lists, to the nanosecond: other processes use the same.
func TestStartTimesAsListed(t *testing.T) {
	s := newStartTimes()
	for _, listed := range []dw.Instant{0, origin - hour, origin - 1, origin + 5*second, origin + 11*second} {
		for _, ahead := range []dw.Instant{0, 1, -1, second, -second} {
			now := origin + 10*second
			if got := s.resolve(1, listed, now, now+ahead); got != listed {
				t.Errorf("listed %d with the clock %v ahead: %d", listed, time.Duration(ahead), got)
			}
		}
	}
}

// The wall clock is stepped in each state that a server can be known in.
func TestStartTimesOverClockStep(t *testing.T) {
	for name, step := range map[string]dw.Instant{"forward an hour": hour, "back an hour": -hour, "forward 5 s": 5 * second,
		"back 5 s": -5 * second} {
		t.Run(name, func(t *testing.T) {
			s := newStartTimes()
			now := origin + 100*second
			wall := now + step
			s.resolve(1, origin+90*second, now, now) // known before the step, still warming up
			s.resolve(2, origin-hour, now, now)      // known, and restarted after the step
			s.resolve(3, 0, now, now)
			now, wall = now+10*second, wall+10*second
			for what, c := range map[string]struct {
				id           dw.ServerID
				listed, want dw.Instant
			}{
				"known before the step":             {1, origin + 90*second, origin + 90*second},
				"restarted 4 s ago, after the step": {2, wall - 4*second, now - 4*second},
				"long ago":                          {3, 0, 0},
				"new, started 4 s ago":              {4, wall - 4*second, now - 4*second},
				"new, of a clock that runs ahead":   {5, wall + 3*second, now},
			} {
				if got := s.resolve(c.id, c.listed, now, wall); got != c.want {
					t.Errorf("%s: %v, not %v before now", what, time.Duration(now-got), time.Duration(now-c.want))
				}
				if again := s.resolve(c.id, c.listed, now+hour, wall-hour); again != c.want {
					t.Errorf("%s: listed again after another step, it moves to %d", what, again)
				}
			}
		})
	}
}

// Random clock steps by up to an hour and random restarts, each listed after up to 3 s: no start time lies in the future, and
// none of a server whose restart was listed is earlier than the restart by more than clockStep.
func TestStartTimesUnderRandomClockSteps(t *testing.T) {
	const seed, worlds, steps, servers = 20261202, 2000, 60, 5
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 38))
	upTo := func(d dw.Instant) dw.Instant { return dw.Instant(rng.Int64N(int64(d))) }
	for world := range worlds {
		s, now, ahead := newStartTimes(), origin, dw.Instant(0)
		started := [servers]dw.Instant{}
		listed := [servers]dw.Instant{}
		for id := range servers {
			listed[id] = origin - hour
			s.resolve(dw.ServerID(id), listed[id], now, now)
		}
		for range steps {
			now += upTo(5 * second)
			if rng.IntN(8) == 0 {
				ahead = upTo(2*hour) - hour
			}
			id := rng.IntN(servers)
			if rng.IntN(3) == 0 {
				started[id], listed[id] = now, now+ahead
				now += upTo(3 * second)
			}
			at := s.resolve(dw.ServerID(id), listed[id], now, now+ahead)
			if at > now {
				t.Fatalf("world %d: server %d starts %v from now", world, id, time.Duration(at-now))
			}
			if early := started[id] - at; started[id] != 0 && early > dw.Instant(clockStep) {
				t.Fatalf("world %d: server %d is taken for %v older than it is", world, id, time.Duration(early))
			}
		}
	}
}

// Servers that are not listed any more are forgotten.
func TestStartTimesOfUnlistedServersAreForgotten(t *testing.T) {
	s := newStartTimes()
	for id := range dw.ServerID(10) {
		s.resolve(id, origin, origin, origin)
	}
	s.retain(map[dw.ServerID]dw.Endpoint{3: {ID: 3}})
	if _, in := s.servers[3]; len(s.servers) != 1 || !in {
		t.Errorf("%v is left", s)
	}
}
