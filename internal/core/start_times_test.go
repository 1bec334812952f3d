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

// Guards against start times that differ between processes. While the wall clock is not stepped, resolve must return exactly the
// time that discovery lists, to the nanosecond, as other processes use the same time.
func TestStartTimesAsListed(t *testing.T) {
	s := newStartTimes()
	for _, listed := range []dw.Instant{0, origin - hour, origin - 1, origin + 5*second, origin + 11*second} {
		for _, ahead := range []dw.Instant{0, 1, -1, second, -second} {
			now := origin + 10*second
			if got := s.resolve(1, listed, now, now+ahead); got != listed {
				t.Errorf("listed %d, wall clock %v ahead: got %d, expected the listed time", listed, time.Duration(ahead), got)
			}
		}
	}
}

// Guards against slow starts that are skipped or repeated after a step of the wall clock. The step happens while servers are in
// each state that the planner distinguishes: warming up, restarted, started long ago, and not yet listed.
func TestStartTimesOverClockStep(t *testing.T) {
	for name, step := range map[string]dw.Instant{"forward an hour": hour, "back an hour": -hour, "forward 5 s": 5 * second,
		"back 5 s": -5 * second} {
		t.Run(name, func(t *testing.T) {
			s := newStartTimes()
			now := origin + 100*second
			wall := now + step
			s.resolve(1, origin+90*second, now, now) // listed before the step, still warming up
			s.resolve(2, origin-hour, now, now)      // listed before the step, restarted after it
			s.resolve(3, 0, now, now)
			now, wall = now+10*second, wall+10*second
			for caseName, c := range map[string]struct {
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
					t.Errorf("%s: got a start %v before now, expected %v", caseName, time.Duration(now-got), time.Duration(now-c.want))
				}
				if again := s.resolve(c.id, c.listed, now+hour, wall-hour); again != c.want {
					t.Errorf("%s: listed again after another step: got start time %d, expected no change", caseName, again)
				}
			}
		})
	}
}

// Applies random clock steps by up to an hour and random restarts, each listed after up to 3 s. No start time may be in the
// future, and no start time of a restarted server may be earlier than the restart by more than maxClockSkew.
func TestStartTimesUnderRandomClockSteps(t *testing.T) {
	const seed, simulations, steps, servers = 20261202, 2000, 60, 5
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 38))
	randomBelow := func(d dw.Instant) dw.Instant { return dw.Instant(rng.Int64N(int64(d))) }
	for simulation := range simulations {
		s, now, wallAhead := newStartTimes(), origin, dw.Instant(0)
		started := [servers]dw.Instant{}
		listed := [servers]dw.Instant{}
		for id := range servers {
			listed[id] = origin - hour
			s.resolve(dw.ServerID(id), listed[id], now, now)
		}
		for range steps {
			now += randomBelow(5 * second)
			if rng.IntN(8) == 0 {
				wallAhead = randomBelow(2*hour) - hour
			}
			id := rng.IntN(servers)
			if rng.IntN(3) == 0 {
				started[id], listed[id] = now, now+wallAhead
				now += randomBelow(3 * second)
			}
			resolved := s.resolve(dw.ServerID(id), listed[id], now, now+wallAhead)
			if resolved > now {
				t.Fatalf("simulation %d: start time of server %d is %v in the future", simulation, id, time.Duration(resolved-now))
			}
			if early := started[id] - resolved; started[id] != 0 && early > dw.Instant(maxClockSkew) {
				t.Fatalf("simulation %d: start time of server %d is %v too early", simulation, id, time.Duration(early))
			}
		}
	}
}

// Guards against unbounded growth: the start times of servers that are no longer listed are deleted.
func TestStartTimesOfUnlistedServersAreForgotten(t *testing.T) {
	s := newStartTimes()
	for id := range dw.ServerID(10) {
		s.resolve(id, origin, origin, origin)
	}
	s.retain(map[dw.ServerID]dw.Endpoint{3: {ID: 3}})
	if _, kept := s.servers[3]; len(s.servers) != 1 || !kept {
		t.Errorf("got %v after retain, expected server 3 only", s)
	}
}
