package agent

import (
	"fmt"
	"testing"
	"time"

	"dewhitch/internal/fleet"
)

func TestTally(t *testing.T) {
	now := time.Unix(0, 0)
	tally := newTally(func() time.Time { return now })
	for i := range 10 {
		tally.AttemptStarted(AttemptID{fmt.Sprint(i), 0}, "a", 1)
		now = now.Add(20 * time.Millisecond)
		tally.AttemptEnded(AttemptID{fmt.Sprint(i), 0}, Served, 3, 4)
	}
	tally.AttemptStarted(AttemptID{"late", 0}, "b", 2)
	tally.AttemptStarted(AttemptID{"cancelled", 0}, "b", 2)
	tally.AttemptEnded(AttemptID{"cancelled", 0}, NoOutcome, 0, 0)
	if r := tally.report(true); r.Zones["b"].Attempts != 0 || r.Zones["a"].Served != 10 || r.Servers[1].Queue != 3 {
		t.Errorf("%+v", r)
	}
	now = now.Add(minLateAfter + time.Millisecond)
	if r := tally.report(true); r.Zones["b"] != (fleet.AttemptCounts{Attempts: 1, TimedOut: 1}) || len(r.Servers) != 1 {
		t.Errorf("a late attempt counts as timed out: %+v", r)
	}
	tally.AttemptEnded(AttemptID{"late", 0}, Served, 0, 0)
	tally.AttemptEnded(AttemptID{"late", 0}, Served, 0, 0)
	latency := uint64((minLateAfter + time.Millisecond).Microseconds())
	if r := tally.report(true); r.Zones["b"] != (fleet.AttemptCounts{Attempts: 1, TimedOut: 1, AnsweredLate: 1, LatencyMicros: latency}) {
		t.Errorf("its late answer counts once, with its latency: %+v", r)
	}
}

// Reports name all changed servers in turns, MaxReportedServers at a time.
func TestTallyReportsServersInTurns(t *testing.T) {
	tally := newTally(time.Now)
	const servers = 3*fleet.MaxReportedServers + 1
	for id := range uint32(servers) {
		tally.AttemptStarted(AttemptID{"r", int(id)}, "a", id)
		tally.AttemptEnded(AttemptID{"r", int(id)}, Failed, 0, 0)
	}
	seen := map[uint32]bool{}
	for range 4 {
		r := tally.report(true)
		if len(r.Servers) > fleet.MaxReportedServers {
			t.Fatalf("%d servers in a report", len(r.Servers))
		}
		for id := range r.Servers {
			seen[id] = true
		}
	}
	if len(seen) != servers {
		t.Errorf("%d of %d servers were reported", len(seen), servers)
	}
}
