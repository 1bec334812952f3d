package drill

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewhitch/internal/standin"
)

// leaves is a link whose gateway ended the connection at a time; zero: it has not.
type leaves time.Time

func (l leaves) Left(string) time.Time { return time.Time(l) }

var began = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// book plays arrivals of one req and tells which rules they break.
func book(t *testing.T, class string, arrivals ...*arrival) map[string]int {
	t.Helper()
	j := newJudge(classesOf("mixed"), []standin.Plan{{Name: "fleet", CapRate: 10, HardBurst: 5, Tolerance: 1}})
	j.drain("drained", at(0), true)
	j.worked("free", at(100), true)
	j.worked("given back", at(0), true)
	j.worked("given back", at(50), false)
	for _, a := range arrivals {
		if a.link == nil {
			a.link = leaves{}
		}
		ended := a.ended
		a.ended = time.Time{}
		j.arrived(&standin.Command{ID: "r", Class: class, Customer: "c", Key: "k", Plan: "basic"}, a)
		a.ended = ended
	}
	j.settle(at(60_000), true)
	counts, _ := j.broken()
	return counts
}

func TestPlantedBreaches(t *testing.T) {
	for _, c := range []struct {
		name, class string
		arrivals    []*arrival
		rule        string // empty: none is broken
	}{
		{"one after the other", "space-query", []*arrival{{at: at(0), ended: at(10), ran: true}, {at: at(20), ran: true}}, ""},
		{"two out", "space-query", []*arrival{{at: at(0), ended: at(500), ran: true}, {at: at(20), ran: true}}, ruleTwoOut},
		{"never over", "space-query", []*arrival{{at: at(0), ran: true}, {at: at(20), ran: true}}, ruleTwoOut},
		{"given up before", "space-query", []*arrival{{at: at(0), ran: true, link: leaves(at(15))}, {at: at(20), ran: true}}, ""},
		{"given up too late", "space-query", []*arrival{{at: at(0), ran: true, link: leaves(at(100))}, {at: at(20), ran: true}}, ruleTwoOut},
		{"unsafe, turned away", "release", []*arrival{{at: at(0), ended: at(1)}, {at: at(20), ran: true}}, ""},
		{"unsafe, twice", "release", []*arrival{{at: at(0), ended: at(1), ran: true}, {at: at(20), ran: true}}, ruleRepeat},
		{"keyed, in time", "booking", []*arrival{{at: at(0), ended: at(1), ran: true}, {at: at(2900), ran: true}}, ""},
		{"keyed, too late", "booking", []*arrival{{at: at(0), ended: at(1), ran: true}, {at: at(3100), ran: true}}, ruleRepeat},
		{"drained, in time", "space-query", []*arrival{{at: at(500), server: "drained", ran: true}}, ""},
		{"given back", "space-query", []*arrival{{at: at(200), server: "given back", ran: true}}, ""},
		{"free", "space-query", []*arrival{{at: at(200), server: "free", ran: true}}, ruleFree},
		{"drained", "space-query", []*arrival{{at: at(600), server: "drained", ran: true}}, ruleDrain},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := book(t, c.class, c.arrivals...)
			if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || got[c.rule] == 0) {
				t.Errorf("found %v, planted %q", got, c.rule)
			}
		})
	}
}

// A req that is sent on long after its client left while it waited is found, and nothing else is.
func TestPlantedLeavers(t *testing.T) {
	for _, c := range []struct {
		name       string
		left, sent int // ms; sent below 0: never
		want       Left
		late       int
	}{
		{"left behind a first fetch", 100, 50, Left{}, 0},
		{"never sent on", 100, -1, Left{Waiting: 1}, 0},
		{"sent on at once", 100, 150, Left{Waiting: 1, Sent: 1}, 0},
		{"sent on late", 100, 500, Left{Waiting: 1, Sent: 1, Late: 1}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newJudge(classesOf("mixed"), nil)
			arrive := func() {
				j.arrived(&standin.Command{ID: "r", Class: "space-query"}, &arrival{at: at(c.sent), link: leaves{}})
			}
			if c.sent >= 0 && c.sent < c.left {
				arrive()
			}
			j.leaves("r", at(c.left))
			if c.sent >= c.left {
				arrive()
			}
			if counts, _ := j.broken(); j.leavers() != c.want || counts[ruleLeft] != c.late || len(counts) != c.late {
				t.Errorf("found %+v, %v", j.leavers(), counts)
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
			j := newJudge(classesOf("mixed"), nil)
			arrive := func(sent, came int) {
				j.arrived(&standin.Command{ID: "r", Class: "space-query"},
					&arrival{at: at(came), sent: at(sent), ended: at(came), link: leaves{}})
			}
			if c.earlier {
				arrive(10, 20)
			}
			j.leaves("r", at(c.left))
			arrive(c.sent, c.came)
			if counts, _ := j.broken(); counts[ruleLeft] != c.late || j.leavers().Begun != c.late {
				t.Errorf("found %+v, %v", j.leavers(), counts)
			}
		})
	}
}

func TestPlantedCeiling(t *testing.T) {
	play := func(every time.Duration) int {
		j := newJudge(nil, []standin.Plan{{Name: "fleet", CapRate: 10, HardBurst: 5, Tolerance: 1}})
		for i := range 100 {
			j.arrived(&standin.Command{ID: string(rune('a' + i)), Plan: "fleet", Customer: "c"},
				&arrival{at: began.Add(time.Duration(i) * every), link: leaves{}})
		}
		counts, _ := j.broken()
		return counts[ruleCeiling]
	}
	if n := play(100 * time.Millisecond); n != 0 {
		t.Errorf("%d breaches at the ceiling's rate", n)
	}
	if play(50*time.Millisecond) == 0 {
		t.Error("twice the ceiling's rate is not found")
	}
}

// A server never works more than its cores can, and what it takes ends in time that its equations give.
func TestMachineWorks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.IntRange(1, 4).Draw(t, "cores"), rapid.IntRange(0, 8).Draw(t, "room"), meanWork)
		m.slow = rapid.Float64Range(1, 5).Draw(t, "slow")
		now := began
		type job struct{ from, to time.Time }
		var jobs []job
		for i := range rapid.IntRange(1, 60).Draw(t, "reqs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			id := string(rune(i)) + rapid.String().Draw(t, "id")
			step := m.take(now, id, 1)
			if step.Deed != standin.Serve {
				continue
			}
			end := now.Add(step.Delay)
			jobs = append(jobs, job{end.Add(-time.Duration(m.work(id) * m.slow * 1e9)), end})
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
		m := newMachine(coresEach, room, meanWork)
		m.restart(began)
		now := began
		for i := 0; now.Sub(began) < standin.ColdSpan; i++ {
			now = now.Add(time.Duration(1e9 / (times * m.capacity(now))))
			m.take(now, string(rune(i)), 1)
		}
		return !m.fell.IsZero()
	}
	if fall(2) {
		t.Error("it falls at twice what it can do")
	}
	if !fall(4) {
		t.Error("it stands four times what it can do")
	}
}
