package fleet

import "testing"

// A member that meets more servers than are kept of it goes on counting: nothing is counted twice.
func TestManyServersOfAMember(t *testing.T) {
	var s seen
	total, tries := Count{}, uint64(0)
	for round := range 2 * MostSeen / MostServers {
		r := &Report{Zones: map[string]Count{}, Servers: map[uint32]Server{}}
		for i := range MostServers {
			tries++
			r.Servers[uint32(round*MostServers+i)] = Server{Zone: "a", Count: Count{Tries: 1}}
		}
		r.Zones["a"] = Count{Tries: tries}
		delta, err := s.take(r)
		if err != nil {
			t.Fatal(err)
		}
		total.Add(delta.Zones["a"])
		if len(s.servers) > MostSeen+MostServers {
			t.Fatalf("%d servers are kept", len(s.servers))
		}
	}
	if total.Tries != tries {
		t.Errorf("%d tries were counted, and %d made", total.Tries, tries)
	}
}
