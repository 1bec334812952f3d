package fleet

import "testing"

// Reports that cycle through all servers of the largest fleet count no attempt twice.
func TestReportsOfManyServers(t *testing.T) {
	const servers, rounds = 3200, 3
	var s reportBaseline
	counted := map[uint32]uint64{}
	for round := range rounds {
		for first := 0; first < servers; first += MaxReportedServers {
			r := &Report{Zones: map[string]AttemptCounts{"a": {}}, Servers: map[uint32]ServerReport{}}
			for id := first; id < min(first+MaxReportedServers, servers); id++ {
				r.Servers[uint32(id)] = ServerReport{Zone: "a", AttemptCounts: AttemptCounts{Attempts: uint64(round + 1)}}
			}
			delta, err := s.delta(r)
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
			t.Fatalf("of server %d, which was tried %d times, %d tries were counted", id, rounds, n)
		}
	}
}
