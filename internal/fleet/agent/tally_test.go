package agent

import (
	"fmt"
	"testing"
	"time"

	"dewhitch/internal/fleet"
)

func TestTally(t *testing.T) {
	now := time.Unix(0, 0)
	y := newTally(func() time.Time { return now })
	for i := range 10 {
		y.AttemptStarted(AttemptID{fmt.Sprint(i), 0}, "a", 1)
		now = now.Add(20 * time.Millisecond)
		y.AttemptEnded(AttemptID{fmt.Sprint(i), 0}, Served, 3, 4)
	}
	y.AttemptStarted(AttemptID{"late", 0}, "b", 2)
	y.AttemptStarted(AttemptID{"gone", 0}, "b", 2)
	y.AttemptEnded(AttemptID{"gone", 0}, NoOutcome, 0, 0)
	if r := y.report(true); r.Zones["b"].Attempts != 0 || r.Zones["a"].Served != 10 || r.Servers[1].Queue != 3 {
		t.Errorf("%+v", r)
	}
	now = now.Add(leastMark + time.Millisecond)
	if r := y.report(true); r.Zones["b"] != (fleet.AttemptCounts{Attempts: 1, TimedOut: 1}) || len(r.Servers) != 1 {
		t.Errorf("a fetch that is late is silent now: %+v", r)
	}
	y.AttemptEnded(AttemptID{"late", 0}, Served, 0, 0)
	y.AttemptEnded(AttemptID{"late", 0}, Served, 0, 0)
	took := uint64((leastMark + time.Millisecond).Microseconds())
	if r := y.report(true); r.Zones["b"] != (fleet.AttemptCounts{Attempts: 1, TimedOut: 1, AnsweredLate: 1, LatencyMicros: took}) {
		t.Errorf("it is counted once, and that it was served after all, with its time: %+v", r)
	}
}

// All servers that changed come in turns, a report's number at a time.
func TestTallyTakesTurns(t *testing.T) {
	y := newTally(time.Now)
	const servers = 3*fleet.MaxReportedServers + 1
	for id := range uint32(servers) {
		y.AttemptStarted(AttemptID{"r", int(id)}, "a", id)
		y.AttemptEnded(AttemptID{"r", int(id)}, Failed, 0, 0)
	}
	seen := map[uint32]bool{}
	for range 4 {
		r := y.report(true)
		if len(r.Servers) > fleet.MaxReportedServers {
			t.Fatalf("%d servers in a report", len(r.Servers))
		}
		for id := range r.Servers {
			seen[id] = true
		}
	}
	if len(seen) != servers {
		t.Errorf("%d of %d servers came", len(seen), servers)
	}
}
