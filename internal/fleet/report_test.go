package fleet

import "testing"

// Reports that cycle through all servers of the largest fleet must count each attempt once. If the baseline dropped
// counters between two reports of a server, its attempts would be counted again.
func TestReportsOfManyServers(t *testing.T) {
	const servers, rounds = 3200, 3
	var baseline reportBaseline
	counted := map[uint32]uint64{}
	for round := range rounds {
		for first := 0; first < servers; first += MaxReportedServers {
			r := &Report{Zones: map[string]AttemptCounts{"a": {}}, Servers: map[uint32]ServerReport{}}
			for id := first; id < min(first+MaxReportedServers, servers); id++ {
				r.Servers[uint32(id)] = ServerReport{Zone: "a", AttemptCounts: AttemptCounts{Attempts: uint64(round + 1)}}
			}
			delta, err := baseline.delta(r)
			if err != nil {
				t.Fatal(err)
			}
			for id, v := range delta.Servers {
				counted[id] += v.AttemptCounts.Attempts
			}
		}
	}
	for id, n := range counted {
		if n != rounds {
			t.Fatalf("server %d: %d attempts were reported, %d were counted", id, rounds, n)
		}
	}
}
