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
	begun  = 1_800_000_000 * second // Unix time at which the planner started
)

// While the wall clock is not stepped, starts are what discovery tells, to the nanosecond: other processes go by the same.
func TestStartsAsTold(t *testing.T) {
	s := newStartTimes()
	for _, told := range []dw.Instant{0, begun - hour, begun - 1, begun + 5*second, begun + 11*second} {
		for _, ahead := range []dw.Instant{0, 1, -1, second, -second} {
			now := begun + 10*second
			if got := s.resolve(1, told, now, now+ahead); got != told {
				t.Errorf("told %d with the clock %v ahead: %d", told, time.Duration(ahead), got)
			}
		}
	}
}

// The wall clock is stepped in each state that a server can be known in.
func TestStartsOverAStep(t *testing.T) {
	for name, step := range map[string]dw.Instant{"forward an hour": hour, "back an hour": -hour, "forward 5 s": 5 * second,
		"back 5 s": -5 * second} {
		t.Run(name, func(t *testing.T) {
			s := newStartTimes()
			now := begun + 100*second
			wall := now + step
			s.resolve(1, begun+90*second, now, now) // known before the step, still cold
			s.resolve(2, begun-hour, now, now)      // known, and restarted after the step
			s.resolve(3, 0, now, now)
			now, wall = now+10*second, wall+10*second
			for what, c := range map[string]struct {
				id         dw.ServerID
				told, want dw.Instant
			}{
				"known before the step":             {1, begun + 90*second, begun + 90*second},
				"restarted 4 s ago, after the step": {2, wall - 4*second, now - 4*second},
				"long ago":                          {3, 0, 0},
				"new, started 4 s ago":              {4, wall - 4*second, now - 4*second},
				"new, of a clock that runs ahead":   {5, wall + 3*second, now},
			} {
				if got := s.resolve(c.id, c.told, now, wall); got != c.want {
					t.Errorf("%s: %v, not %v before now", what, time.Duration(now-got), time.Duration(now-c.want))
				}
				if again := s.resolve(c.id, c.told, now+hour, wall-hour); again != c.want {
					t.Errorf("%s: told again after another step, it moves to %d", what, again)
				}
			}
		})
	}
}

// Random steps by up to an hour and random restarts, each told after up to 3 s: no start lies in the future, and none of a
// server whose restart was seen is taken for older than it is, but by what a clock may be off before it counts as stepped.
func TestStartsUnderRandomSteps(t *testing.T) {
	const seed, worlds, steps, servers = 20261202, 2000, 60, 5
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 38))
	upTo := func(d dw.Instant) dw.Instant { return dw.Instant(rng.Int64N(int64(d))) }
	for world := range worlds {
		s, now, ahead := newStartTimes(), begun, dw.Instant(0)
		started, told := [servers]dw.Instant{}, [servers]dw.Instant{}
		for id := range servers {
			told[id] = begun - hour
			s.resolve(dw.ServerID(id), told[id], now, now)
		}
		for range steps {
			now += upTo(5 * second)
			if rng.IntN(8) == 0 {
				ahead = upTo(2*hour) - hour
			}
			id := rng.IntN(servers)
			if rng.IntN(3) == 0 {
				started[id], told[id] = now, now+ahead
				now += upTo(3 * second)
			}
			at := s.resolve(dw.ServerID(id), told[id], now, now+ahead)
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
func TestStartsAreForgotten(t *testing.T) {
	s := newStartTimes()
	for id := range dw.ServerID(10) {
		s.resolve(id, begun, begun, begun)
	}
	s.keep(map[dw.ServerID]dw.Endpoint{3: {ID: 3}})
	if _, in := s.servers[3]; len(s.servers) != 1 || !in {
		t.Errorf("%v is left", s)
	}
}
