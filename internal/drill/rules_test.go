package drill

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewhitch/internal/standin"
)

// closedLink is a link whose gateway closed the connection at a time; zero: it has not.
type closedLink time.Time

func (l closedLink) ClosedAt(string) time.Time { return time.Time(l) }

var began = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// findViolations plays arrivals of one request and returns the rules that they violate.
func findViolations(t *testing.T, class string, arrivals ...*arrival) map[string]int {
	t.Helper()
	j := newRuleChecker(classesOf("mixed"), []standin.Plan{{Name: "fleet", CapRate: 10, HardBurst: 5, Tolerance: 1}})
	j.setDraining("drained", at(0), true)
	j.setFree("free", at(100), true)
	j.setFree("given back", at(0), true)
	j.setFree("given back", at(50), false)
	for _, a := range arrivals {
		if a.link == nil {
			a.link = closedLink{}
		}
		ended := a.endedAt
		a.endedAt = time.Time{}
		j.commandArrived(&standin.Command{ID: "r", Class: class, Customer: "c", Key: "k", Plan: "basic"}, a)
		a.endedAt = ended
	}
	j.evaluatePairs(at(60_000), true)
	counts, _ := j.violations()
	return counts
}

func TestPlantedBreaches(t *testing.T) {
	for _, c := range []struct {
		name, class string
		arrivals    []*arrival
		rule        string // empty: none is broken
	}{
		{"one after the other", "space-query", []*arrival{{arrivedAt: at(0), endedAt: at(10), mayHaveRun: true}, {arrivedAt: at(20), mayHaveRun: true}}, ""},
		{"two out", "space-query", []*arrival{{arrivedAt: at(0), endedAt: at(500), mayHaveRun: true}, {arrivedAt: at(20), mayHaveRun: true}}, ruleTwoOut},
		{"never over", "space-query", []*arrival{{arrivedAt: at(0), mayHaveRun: true}, {arrivedAt: at(20), mayHaveRun: true}}, ruleTwoOut},
		{"given up before", "space-query", []*arrival{{arrivedAt: at(0), mayHaveRun: true, link: closedLink(at(15))}, {arrivedAt: at(20), mayHaveRun: true}}, ""},
		{"given up too late", "space-query", []*arrival{{arrivedAt: at(0), mayHaveRun: true, link: closedLink(at(100))}, {arrivedAt: at(20), mayHaveRun: true}}, ruleTwoOut},
		{"unsafe, rejected", "release", []*arrival{{arrivedAt: at(0), endedAt: at(1)}, {arrivedAt: at(20), mayHaveRun: true}}, ""},
		{"unsafe, twice", "release", []*arrival{{arrivedAt: at(0), endedAt: at(1), mayHaveRun: true}, {arrivedAt: at(20), mayHaveRun: true}}, ruleRepeat},
		{"keyed, in time", "booking", []*arrival{{arrivedAt: at(0), endedAt: at(1), mayHaveRun: true}, {arrivedAt: at(2900), mayHaveRun: true}}, ""},
		{"keyed, too late", "booking", []*arrival{{arrivedAt: at(0), endedAt: at(1), mayHaveRun: true}, {arrivedAt: at(3100), mayHaveRun: true}}, ruleRepeat},
		{"drained, in time", "space-query", []*arrival{{arrivedAt: at(500), server: "drained", mayHaveRun: true}}, ""},
		{"given back", "space-query", []*arrival{{arrivedAt: at(200), server: "given back", mayHaveRun: true}}, ""},
		{"free", "space-query", []*arrival{{arrivedAt: at(200), server: "free", mayHaveRun: true}}, ruleFree},
		{"drained", "space-query", []*arrival{{arrivedAt: at(600), server: "drained", mayHaveRun: true}}, ruleDrain},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := findViolations(t, c.class, c.arrivals...)
			if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || got[c.rule] == 0) {
				t.Errorf("found %v, planted %q", got, c.rule)
			}
		})
	}
}

// A request that is forwarded long after its client left while it waited is found, and nothing else is.
func TestPlantedLeavers(t *testing.T) {
	for _, c := range []struct {
		name       string
		left, sent int // ms; sent below 0: never
		want       ClientsLeft
		late       int
	}{
		{"left behind a first fetch", 100, 50, ClientsLeft{}, 0},
		{"never sent on", 100, -1, ClientsLeft{Waiting: 1}, 0},
		{"sent on at once", 100, 150, ClientsLeft{Waiting: 1, Forwarded: 1}, 0},
		{"sent on late", 100, 500, ClientsLeft{Waiting: 1, Forwarded: 1, ForwardedLate: 1}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newRuleChecker(classesOf("mixed"), nil)
			arrive := func() {
				j.commandArrived(&standin.Command{ID: "r", Class: "space-query"}, &arrival{arrivedAt: at(c.sent), link: closedLink{}})
			}
			if c.sent >= 0 && c.sent < c.left {
				arrive()
			}
			j.clientLeft("r", at(c.left))
			if c.sent >= c.left {
				arrive()
			}
			if counts, _ := j.violations(); j.leftResult() != c.want || counts[ruleLeft] != c.late || len(counts) != c.late {
				t.Errorf("found %+v, %v", j.leftResult(), counts)
			}
		})
	}
}

// An attempt, a first or a further one, whose first byte leaves the gateway over 0.1 s after its client left is found, however long
// the wire takes.
func TestPlantedLateBegin(t *testing.T) {
	for _, c := range []struct {
		name             string
		left, sent, came int  // ms
		earlier          bool // an attempt had come before the client left
		late             int
	}{
		{"written before", 100, 90, 300, false, 0},
		{"written before, after another", 100, 90, 490, true, 0},
		{"written before, on a slow wire", 100, 96, 490, false, 0},
		{"written within the term", 100, 240, 300, false, 0},
		{"written too late", 100, 260, 300, false, 1},
		{"a further one written too late", 100, 260, 300, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newRuleChecker(classesOf("mixed"), nil)
			arrive := func(sent, came int) {
				j.commandArrived(&standin.Command{ID: "r", Class: "space-query"},
					&arrival{arrivedAt: at(came), sentAt: at(sent), endedAt: at(came), link: closedLink{}})
			}
			if c.earlier {
				arrive(10, 20)
			}
			j.clientLeft("r", at(c.left))
			arrive(c.sent, c.came)
			if counts, _ := j.violations(); counts[ruleLeft] != c.late || j.leftResult().AttemptsLate != c.late {
				t.Errorf("found %+v, %v", j.leftResult(), counts)
			}
		})
	}
}

func TestPlantedCeiling(t *testing.T) {
	play := func(every time.Duration) int {
		j := newRuleChecker(nil, []standin.Plan{{Name: "fleet", CapRate: 10, HardBurst: 5, Tolerance: 1}})
		for i := range 100 {
			j.commandArrived(&standin.Command{ID: string(rune('a' + i)), Plan: "fleet", Customer: "c"},
				&arrival{arrivedAt: began.Add(time.Duration(i) * every), link: closedLink{}})
		}
		counts, _ := j.violations()
		return counts[ruleCeiling]
	}
	if n := play(100 * time.Millisecond); n != 0 {
		t.Errorf("%d breaches at the ceiling's rate", n)
	}
	if play(50*time.Millisecond) == 0 {
		t.Error("twice the ceiling's rate is not found")
	}
}

// A server never serves more than its cores can, and what it accepts ends at the time that its equations give.
func TestMachineWorks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newServerModel(rapid.IntRange(1, 4).Draw(t, "cores"), rapid.IntRange(0, 8).Draw(t, "room"), meanWork)
		m.slowFactor = rapid.Float64Range(1, 5).Draw(t, "slow")
		now := began
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
				t.Fatalf("it began before it came")
			}
		}
		for _, j := range jobs { // at the beginning of each, no more than the cores are at work
			busy := 0
			for _, o := range jobs {
				if !o.from.After(j.from.Add(-time.Microsecond)) && o.to.After(j.from.Add(time.Microsecond)) {
					busy++
				}
			}
			if busy > m.cores {
				t.Fatalf("%d at work on %d cores", busy, m.cores)
			}
		}
	})
}

func TestColdServerFalls(t *testing.T) {
	fall := func(times float64) bool {
		m := newServerModel(serverCores, serverQueue, meanWork)
		m.restart(began)
		now := began
		for i := 0; now.Sub(began) < standin.SlowStartSpan; i++ {
			now = now.Add(time.Duration(1e9 / (times * m.capacity(now))))
			m.accept(now, string(rune(i)), 1)
		}
		return !m.fellAt.IsZero()
	}
	if fall(2) {
		t.Error("it falls at twice what it can do")
	}
	if !fall(4) {
		t.Error("it stands four times what it can do")
	}
}
