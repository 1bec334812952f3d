package agent

import (
	"fmt"
	"testing"
	"time"

	"dewhitch/internal/fleet"
)

// Attempts count by zone and server. A late attempt counts as timed out while it is in flight, and as answered late
// once it is served. An attempt that is cancelled before it is late does not count.
func TestAttemptCounter(t *testing.T) {
	now := time.Unix(0, 0)
	counter := newAttemptCounter(func() time.Time { return now })
	for i := range 10 {
		counter.AttemptStarted(AttemptID{fmt.Sprint(i), 0}, "a", 1)
		now = now.Add(20 * time.Millisecond)
		counter.AttemptEnded(AttemptID{fmt.Sprint(i), 0}, Served, 3, 4)
	}
	counter.AttemptStarted(AttemptID{"late", 0}, "b", 2)
	counter.AttemptStarted(AttemptID{"cancelled", 0}, "b", 2)
	counter.AttemptEnded(AttemptID{"cancelled", 0}, NoOutcome, 0, 0)
	if r := counter.report(true); r.Zones["b"].Attempts != 0 || r.Zones["a"].Served != 10 || r.Servers[1].Queue != 3 {
		t.Errorf("ten served attempts, one in flight, one cancelled: got report %+v, expected ten served attempts only", r)
	}
	now = now.Add(minLateAfter + time.Millisecond)
	if r := counter.report(true); r.Zones["b"] != (fleet.AttemptCounts{Attempts: 1, TimedOut: 1}) || len(r.Servers) != 1 {
		t.Errorf("after an attempt became late: got report %+v, expected one timed-out attempt in zone b", r)
	}
	counter.AttemptEnded(AttemptID{"late", 0}, Served, 0, 0)
	counter.AttemptEnded(AttemptID{"late", 0}, Served, 0, 0)
	latency := uint64((minLateAfter + time.Millisecond).Microseconds())
	if r := counter.report(true); r.Zones["b"] != (fleet.AttemptCounts{Attempts: 1, TimedOut: 1, AnsweredLate: 1, LatencyMicros: latency}) {
		t.Errorf("after the late answer: got report %+v, expected one attempt answered late in zone b", r)
	}
}

// Successive reports include all changed servers, at most MaxReportedServers at a time.
func TestReportsRotateServers(t *testing.T) {
	counter := newAttemptCounter(time.Now)
	const servers = 3*fleet.MaxReportedServers + 1
	for id := range uint32(servers) {
		counter.AttemptStarted(AttemptID{"r", int(id)}, "a", id)
		counter.AttemptEnded(AttemptID{"r", int(id)}, Failed, 0, 0)
	}
	reported := map[uint32]bool{}
	for range 4 {
		r := counter.report(true)
		if len(r.Servers) > fleet.MaxReportedServers {
			t.Fatalf("a report has %d servers, expected MaxReportedServers at most", len(r.Servers))
		}
		for id := range r.Servers {
			reported[id] = true
		}
	}
	if len(reported) != servers {
		t.Errorf("%d of %d servers were reported, expected all", len(reported), servers)
	}
}
