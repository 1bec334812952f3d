package drill

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewhitch/internal/standin"
)

// closedLink stands for a link: it holds the time at which the gateway closed the connection, or zero if it has not.
type closedLink time.Time

func (l closedLink) ClosedAt(string) time.Time { return time.Time(l) }

// baseTime is the origin of the tests' times.
var baseTime = time.Unix(1_700_000_000, 0)

// atMillis returns the time that is ms milliseconds after baseTime.
func atMillis(ms int) time.Time { return baseTime.Add(time.Duration(ms) * time.Millisecond) }

// findViolations passes arrivals of one request to a rule checker and returns the number of violations by rule.
func findViolations(t *testing.T, class string, arrivals ...*arrival) map[string]int {
	t.Helper()
	checker := newRuleChecker(classesOf("mixed"), []standin.Plan{{Name: "fleet", CapRate: 10, HardBurst: 5, Tolerance: 1}})
	checker.setDraining("drained", atMillis(0), true)
	checker.setFree("free", atMillis(100), true)
	checker.setFree("given back", atMillis(0), true)
	checker.setFree("given back", atMillis(50), false)
	for _, a := range arrivals {
		if a.link == nil {
			a.link = closedLink{}
		}
		ended := a.endedAt
		a.endedAt = time.Time{}
		checker.commandArrived(&standin.Command{ID: "r", Class: class, Customer: "c", Key: "k", Plan: "basic"}, a)
		a.endedAt = ended
	}
	checker.evaluatePairs(atMillis(60_000), true)
	counts, _ := checker.violations()
	return counts
}

// TestViolationsAreFound guards against a checker that misses violations, which would hide a fault in every drill, or that reports
// permitted attempts, which would end a drill.
func TestViolationsAreFound(t *testing.T) {
	for _, c := range []struct {
		name, class string
		arrivals    []*arrival
		rule        string // violated rule; empty if there is none
	}{
		{"one after the other", "space-query", []*arrival{{arrivedAt: atMillis(0), endedAt: atMillis(10), mayHaveRun: true}, {arrivedAt: atMillis(20), mayHaveRun: true}}, ""},
		{"two in flight", "space-query", []*arrival{{arrivedAt: atMillis(0), endedAt: atMillis(500), mayHaveRun: true}, {arrivedAt: atMillis(20), mayHaveRun: true}}, ruleOverlap},
		{"first never ends", "space-query", []*arrival{{arrivedAt: atMillis(0), mayHaveRun: true}, {arrivedAt: atMillis(20), mayHaveRun: true}}, ruleOverlap},
		{"first closed before", "space-query", []*arrival{{arrivedAt: atMillis(0), mayHaveRun: true, link: closedLink(atMillis(15))}, {arrivedAt: atMillis(20), mayHaveRun: true}}, ""},
		{"first closed too late", "space-query", []*arrival{{arrivedAt: atMillis(0), mayHaveRun: true, link: closedLink(atMillis(100))}, {arrivedAt: atMillis(20), mayHaveRun: true}}, ruleOverlap},
		{"unsafe, rejected", "release", []*arrival{{arrivedAt: atMillis(0), endedAt: atMillis(1)}, {arrivedAt: atMillis(20), mayHaveRun: true}}, ""},
		{"unsafe, twice", "release", []*arrival{{arrivedAt: atMillis(0), endedAt: atMillis(1), mayHaveRun: true}, {arrivedAt: atMillis(20), mayHaveRun: true}}, ruleRepeat},
		{"keyed, in time", "booking", []*arrival{{arrivedAt: atMillis(0), endedAt: atMillis(1), mayHaveRun: true}, {arrivedAt: atMillis(2900), mayHaveRun: true}}, ""},
		{"keyed, too late", "booking", []*arrival{{arrivedAt: atMillis(0), endedAt: atMillis(1), mayHaveRun: true}, {arrivedAt: atMillis(3100), mayHaveRun: true}}, ruleRepeat},
		{"drained, in time", "space-query", []*arrival{{arrivedAt: atMillis(500), server: "drained", mayHaveRun: true}}, ""},
		{"given back", "space-query", []*arrival{{arrivedAt: atMillis(200), server: "given back", mayHaveRun: true}}, ""},
		{"free", "space-query", []*arrival{{arrivedAt: atMillis(200), server: "free", mayHaveRun: true}}, ruleFree},
		{"drained", "space-query", []*arrival{{arrivedAt: atMillis(600), server: "drained", mayHaveRun: true}}, ruleDrain},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := findViolations(t, c.class, c.arrivals...)
			if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || got[c.rule] == 0) {
				t.Errorf("got the violations %v, expected only %q", got, c.rule)
			}
		})
	}
}

// TestLateForwardingIsFound guards against a checker that misses a request forwarded long after its client departed while the
// request waited, or that reports one that had been sent before, was forwarded within the bound, or was never forwarded.
func TestLateForwardingIsFound(t *testing.T) {
	for _, c := range []struct {
		name                       string
		departedMillis, sentMillis int // sentMillis below 0: never sent
		want                       DepartedClients
		wantViolations             int
	}{
		{"departed after the first attempt", 100, 50, DepartedClients{}, 0},
		{"never forwarded", 100, -1, DepartedClients{Waiting: 1}, 0},
		{"forwarded within the bound", 100, 150, DepartedClients{Waiting: 1, Forwarded: 1}, 0},
		{"forwarded late", 100, 500, DepartedClients{Waiting: 1, Forwarded: 1, ForwardedLate: 1}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := newRuleChecker(classesOf("mixed"), nil)
			arrive := func() {
				checker.commandArrived(&standin.Command{ID: "r", Class: "space-query"}, &arrival{arrivedAt: atMillis(c.sentMillis), link: closedLink{}})
			}
			if c.sentMillis >= 0 && c.sentMillis < c.departedMillis {
				arrive()
			}
			checker.clientDeparted("r", atMillis(c.departedMillis))
			if c.sentMillis >= c.departedMillis {
				arrive()
			}
			if counts, _ := checker.violations(); checker.departedClients() != c.want || counts[ruleDeparted] != c.wantViolations || len(counts) != c.wantViolations {
				t.Errorf("got counts %+v, violations %v", checker.departedClients(), counts)
			}
		})
	}
}

// TestPlantedLateBegin guards against a checker that misses an attempt, first or further, whose first byte leaves the gateway more
// than 0.1 s after its client departed, or that counts the time that the link takes after that.
func TestPlantedLateBegin(t *testing.T) {
	for _, c := range []struct {
		name                                      string
		departedMillis, sentMillis, arrivedMillis int
		earlier                                   bool // true if an attempt had arrived before the client departed
		wantViolations                            int
	}{
		{"written before", 100, 90, 300, false, 0},
		{"written before, after another", 100, 90, 490, true, 0},
		{"written before, on a slow wire", 100, 96, 490, false, 0},
		{"written within the bound", 100, 240, 300, false, 0},
		{"written too late", 100, 260, 300, false, 1},
		{"a further one written too late", 100, 260, 300, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := newRuleChecker(classesOf("mixed"), nil)
			arrive := func(sentMillis, arrivedMillis int) {
				checker.commandArrived(&standin.Command{ID: "r", Class: "space-query"},
					&arrival{arrivedAt: atMillis(arrivedMillis), sentAt: atMillis(sentMillis), endedAt: atMillis(arrivedMillis), link: closedLink{}})
			}
			if c.earlier {
				arrive(10, 20)
			}
			checker.clientDeparted("r", atMillis(c.departedMillis))
			arrive(c.sentMillis, c.arrivedMillis)
			if counts, _ := checker.violations(); counts[ruleDeparted] != c.wantViolations || checker.departedClients().AttemptsLate != c.wantViolations {
				t.Errorf("got counts %+v, violations %v", checker.departedClients(), counts)
			}
		})
	}
}

// TestCeilingExcessIsFound guards against a checker that reports requests at the ceiling's rate, or misses twice that rate.
func TestCeilingExcessIsFound(t *testing.T) {
	countViolations := func(interval time.Duration) int {
		checker := newRuleChecker(nil, []standin.Plan{{Name: "fleet", CapRate: 10, HardBurst: 5, Tolerance: 1}})
		for i := range 100 {
			checker.commandArrived(&standin.Command{ID: string(rune('a' + i)), Plan: "fleet", Customer: "c"},
				&arrival{arrivedAt: baseTime.Add(time.Duration(i) * interval), link: closedLink{}})
		}
		counts, _ := checker.violations()
		return counts[ruleCeiling]
	}
	if n := countViolations(100 * time.Millisecond); n != 0 {
		t.Errorf("%d violations at the ceiling's rate, expected none", n)
	}
	if countViolations(50*time.Millisecond) == 0 {
		t.Error("no violation at twice the ceiling's rate, expected at least one")
	}
}

// TestServerModelCoresBoundWork guards against a server model that serves more requests at once than it has cores, or starts one
// before it arrives: a drill would then measure servers with more capacity than the scenario gives them.
func TestServerModelCoresBoundWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newServerModel(rapid.IntRange(1, 4).Draw(t, "cores"), rapid.IntRange(0, 8).Draw(t, "room"), meanWork)
		m.slowFactor = rapid.Float64Range(1, 5).Draw(t, "slow")
		now := baseTime
		type job struct{ from, to time.Time }
		var jobs []job
		for i := range rapid.IntRange(1, 60).Draw(t, "reqs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			id := string(rune(i)) + rapid.String().Draw(t, "id")
			step := m.accept(now, id, 1)
			if step.Behaviour != standin.Serve {
				continue
			}
			end := now.Add(step.Delay)
			jobs = append(jobs, job{end.Add(-time.Duration(m.workSeconds(id) * m.slowFactor * 1e9)), end})
			if jobs[len(jobs)-1].from.Before(now.Add(-time.Microsecond)) {
				t.Fatalf("a request starts before it arrives, expected a start at its arrival or later")
			}
		}
		for _, j := range jobs { // at the start of each request, at most as many are served as there are cores
			busy := 0
			for _, other := range jobs {
				if !other.from.After(j.from.Add(-time.Microsecond)) && other.to.After(j.from.Add(time.Microsecond)) {
					busy++
				}
			}
			if busy > m.cores {
				t.Fatalf("%d requests are served at once, expected at most %d, the number of cores", busy, m.cores)
			}
		}
	})
}

// TestServerModelFailsUnderOverload guards against a server model that does not fail under overload, as scenarios detect overload
// by that failure, or that fails without overload. A server in slow start must withstand twice its capacity and fail at four
// times.
func TestServerModelFailsUnderOverload(t *testing.T) {
	failsAt := func(ratio float64) bool {
		m := newServerModel(serverCores, serverQueue, meanWork)
		m.restart(baseTime)
		now := baseTime
		for i := 0; now.Sub(baseTime) < standin.SlowStartSpan; i++ {
			now = now.Add(time.Duration(1e9 / (ratio * m.capacity(now))))
			m.accept(now, string(rune(i)), 1)
		}
		return !m.failedAt.IsZero()
	}
	if failsAt(2) {
		t.Error("a server in slow start failed at twice its capacity, expected failure at four times only")
	}
	if !failsAt(4) {
		t.Error("a server in slow start did not fail at four times its capacity")
	}
}
