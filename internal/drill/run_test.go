package drill

import (
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// program builds dewhitch once for all tests of this package, and returns its path.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return "", err
	}
	return standin.Build(dir, "dewhitch")
})

// runScenario runs the text of a scenario, with additional events, on real processes.
func runScenario(t *testing.T, text string, seed uint64, extraEvents ...Event) (*Result, error) {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Load(t.Name()+".star", []byte(text), Size{})
	if err != nil {
		t.Fatal(err)
	}
	s.Events = append(s.Events, extraEvents...)
	r, err := Run(t.Context(), s, Options{Program: path, Dir: t.TempDir(), Seed: seed})
	if r == nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: served %.4f, worst 5 s %.4f, %v; %v", r.Seed, r.Served, r.WorstServed, r.Outcomes, r.Timeline)
	return r, err
}

// TestFaults guards against violated rules and lost requests while faults of several kinds overlap: cut and slow links, kills, a
// stall, a graceful restart, a server that stops and one that drains.
func TestFaults(t *testing.T) {
	t.Parallel()
	r, err := runScenario(t, `fleet(zones = ["a", "b", "c"], gateways = 2, servers = 2, load = 0.3, length = 11)
at(1, cut(zone("a"), zone("b")))
at(2, kill(gateway("a", 1), back = 1))
at(3, heal())
at(4, stall(gateway("b", 1), seconds = 1))
at(4.5, down(server("c", 1)))
at(5, delay(zone("a"), zone("c"), ms = 20, jitter = 10))
at(6, well(server("c", 1)))
at(6.5, drain(server("b", 2)))
at(7, term(gateway("c", 2), back = 1))
at(8, cut(gateway("a", 2), zone("c"), how = "refused", one_way = True))
expect(served = 0.6, lost = 0)
`, 5)
	if err != nil {
		t.Fatal(err, r.Violations, r.UnmetExpectations)
	}
	if len(r.Timeline) < 10 || r.Requests < 500 {
		t.Errorf("%d timeline entries, %d requests; expected at least 10 and 500", len(r.Timeline), r.Requests)
	}
}

// TestLeavers guards against gateways that forward a waiting request after its client has departed. Clients depart while their
// requests wait for connections that open late or never, and for a counter that is cut off.
//
// An earlier rule failed here without a fault of the gateway: it bounded the arrival at the server, but the links of this drill
// delay by 0.3 to 0.4 s what was written before the departure. Bookings arrived 0.35 s and more after it (0.37 s on seed 7; six
// of 49 seeds beside five busy processes). On seed 138 the logs read "06:11:42.717 gateway-b1: an attempt begins", "06:11:42.722
// a client has left", "06:11:42.722 a request is withdrawn", and the command reached the server at 06:11:43.094; the other five
// were alike. The rule now bounds the time at which the first byte of any attempt leaves the gateway, by the operators' 0.1 s.
// The check of arrivals excludes attempts whose first byte was sent before the departure (arrival.sentBy), as a gateway can't
// recall them.
func TestLeavers(t *testing.T) {
	t.Parallel()
	acquireSlot(t)
	r, err := runScenario(t, `fleet(zones = ["a", "b"], gateways = 2, servers = 2, load = 0.5, length = 9, leave = 0.6)
at(1, delay(gateways(), servers("a"), ms = 300, jitter = 100))
at(3, cut(gateways(), servers("b")))
at(3, cut(gateways(), counter()))
at(6, heal())
expect(lost = 0)
`, 7)
	if err != nil {
		t.Fatal(err, r.Violations, r.UnmetExpectations)
	}
	t.Logf("%+v", r.DepartedClients)
	if r.DepartedClients.Waiting < 5 || r.DepartedClients.ForwardedLate > 0 {
		t.Errorf("departed clients: got %+v, expected at least 5 waiting and none forwarded late", r.DepartedClients)
	}
}

// TestFailedChecksAreFound guards against a drill that passes although a process exits unexpectedly or an expectation is not met:
// a pass would then prove nothing.
func TestFailedChecksAreFound(t *testing.T) {
	t.Parallel()
	r, err := runScenario(t, `fleet(zones = ["a"], gateways = 2, servers = 2, load = 0.2, length = 6)
expect(sent = 0, target = servers("a"), start = 0, end = 6)
`, 6, Event{At: 2 * time.Second, Text: "planted", Do: func(cluster *cluster) { cluster.gateways[0].Program().Cmd.Process.Kill() }})
	if !errors.Is(err, ErrCheckFailed) || r.ViolationsByRule[ruleUnexpectedExit] == 0 {
		t.Error("the unexpected exit of a process was not reported:", err, r.ViolationsByRule)
	}
	if len(r.UnmetExpectations) != 1 || !strings.Contains(r.UnmetExpectations[0], ".star:2:7: sent ") {
		t.Errorf("unmet expectations: got %q, expected the one of line 2", r.UnmetExpectations)
	}
}

// slots bounds the number of concurrent drills, as the tests of other packages share the machine.
var slots = make(chan struct{}, 3)

// acquireSlot waits for a slot and holds it until the test ends.
func acquireSlot(t *testing.T) {
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
}

// TestFleetDrills runs the library's drills of the fleet: changes of the leader, partitions, restarts, and discovery by the
// registry alone. Every gateway must apply each plan within a second, epochs must not go back, and no request may be lost.
func TestFleetDrills(t *testing.T) {
	for _, name := range []string{"leader", "parted", "restarted", "found"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			acquireSlot(t)
			path, err := program()
			if err != nil {
				t.Fatal(err)
			}
			s, err := Find(name, Size{})
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(t.Context(), s, Options{Program: path, Dir: t.TempDir(), Seed: 31})
			if err != nil {
				t.Fatal(err, r)
			}
			t.Logf("served %.4f; %d plans, applied after %.3f s (median), %.3f s (worst)", r.Served, r.Fleet.Plans, r.Fleet.ApplyMedian, r.Fleet.ApplyWorst)
		})
	}
}

// TestZoneDrills guards against wrong decisions on single zones: all gateways must evacuate a zone whose servers are silent, load
// restarted servers as they warm up, continue maintenance while the leader is killed, and stay in a zone that only one gateway
// can't reach. The bounds are wide enough for a busy machine.
func TestZoneDrills(t *testing.T) {
	for name, text := range map[string]string{
		"silent": `fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, load = 0.4, length = 22)
at(4, silent(servers("b")))
at(14, well(servers("b")))
expect(served = 0.95, lost = 0, sent = 10, target = servers("b"), start = 8, end = 13)
`,
		"cold": `fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, load = 0.4, length = 34)
at(4, down(servers("b")))
at(7, well(servers("b")))
expect(served = 0.95, lost = 0, fed = 1.1, full = 26)
`,
		"work": `fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, load = 0.4, length = 34)
at(3, work(servers("a"), gateway("b", 2), seconds = 2))
at(3.3, stall(gateway("c", 1), seconds = 4))
at(9, kill(leader(), back = 2))
expect(served = 0.9, lost = 0, worked = 1)
`,
		"oneill": `fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, load = 0.3, length = 14)
at(3, cut(gateway("a", 2), servers("b")))
at(3, cut(gateway("a", 2), servers("c")))
at(9, stall(gateway("c", 1), seconds = 2))
expect(lost = 0, leaves = 0)
`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			acquireSlot(t)
			r, err := runScenario(t, text, 41)
			if err != nil {
				t.Fatal(err, r.Violations, r.UnmetExpectations)
			}
			if name == "silent" && r.Fleet.Evacuations == 0 {
				t.Error("the fleet did not evacuate the zone")
			}
		})
	}
}
