package fleet

import "testing"

// A member meets all servers of the largest fleet, again and again: of what it reports of each nothing is counted twice.
func TestManyServersOfAMember(t *testing.T) {
	const servers, rounds = 3200, 3
	var s seen
	counted := map[uint32]uint64{}
	for round := range rounds {
		for first := 0; first < servers; first += MostServers {
			r := &Report{Zones: map[string]Count{"a": {}}, Servers: map[uint32]Server{}}
			for id := first; id < min(first+MostServers, servers); id++ {
				r.Servers[uint32(id)] = Server{Zone: "a", Count: Count{Tries: uint64(round + 1)}}
			}
			delta, err := s.take(r)
			if err != nil {
				t.Fatal(err)
			}
			for id, v := range delta.Servers {
				counted[id] += v.Count.Tries
			}
		}
	}
	for id, n := range counted {
		if n != rounds {
			t.Fatalf("of server %d, which was tried %d times, %d tries were counted", id, rounds, n)
		}
	}
}
