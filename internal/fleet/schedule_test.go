package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runSchedule injects random faults and submits commands.
func runSchedule(t *rapid.T, s *sim) {
	for i := range rapid.IntRange(3, 12).Draw(t, "troubles") {
		m := s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "member")]
		switch rapid.SampledFrom([]string{"kill", "wipe", "stall", "part", "oneway", "lossy", "slow", "heal", "full", "ask", "all"}).Draw(t, "what") {
		case "kill":
			m.down = true
			s.after(time.Duration(rapid.IntRange(100, 4000).Draw(t, "back"))*time.Millisecond, func() {
				if m.down {
					s.start(m, true)
				}
			})
		case "wipe":
			if !m.down {
				s.start(m, false)
			}
		case "stall":
			m.stalledUntil = s.now + time.Duration(rapid.IntRange(100, 6000).Draw(t, "stall"))*time.Millisecond
		case "part":
			side := rapid.Uint64().Draw(t, "side")
			for a := range s.members {
				for b := range s.members {
					s.cut[[2]int{a, b}] = side>>a&1 != side>>b&1
				}
			}
		case "oneway":
			other := rapid.IntRange(0, len(s.members)-1).Draw(t, "other")
			s.cut[[2]int{m.index, other}] = true
		case "lossy":
			s.lossRate, s.duplication = 0.3, 0.2
		case "slow":
			s.delay = 300 * time.Millisecond
		case "full":
			m.diskFull = true
		case "all":
			keepStorage := rapid.Bool().Draw(t, "keep")
			for _, m := range s.members {
				s.start(m, keepStorage)
			}
		case "heal":
			s.heal()
		case "ask":
			s.submit(m, fmt.Sprint("x", i))
		}
		s.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "then")) * time.Millisecond)
		s.submit(s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "asks")], fmt.Sprint("y", i))
	}
}

// In random schedules of faults no two plans may share an epoch, no member may return to an older epoch, no two
// generations may commit concurrently, and no stale view may count as fresh. Once all faults are healed, all members
// must apply one plan. The long form runs with -rapid.checks=10000.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 7).Draw(t, "members"), 3)
		s.run(4 * time.Second)
		runSchedule(t, s)
		s.checkConvergence()
		s.checkOrder()
	})
}
