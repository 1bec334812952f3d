package drill

import (
	"fmt"
	"strings"
)

// checkExpectations adds the expectations that a result does not meet, in the order of the file.
func (cl *cluster) checkExpectations(r *Result) {
	for _, e := range cl.Expects {
		c := expectCheck{Expect: e, result: r}
		c.checkRequests()
		c.checkWork()
		c.checkReturns()
		c.checkFleet()
		c.checkSent(cl)
	}
}

// expectCheck checks one expectation.
type expectCheck struct {
	Expect
	result *Result
}

// fail adds a line to the expectations that are not met.
func (c *expectCheck) fail(format string, a ...any) {
	c.result.Fallen = append(c.result.Fallen, c.Pos+": "+fmt.Sprintf(format, a...))
}

func (c *expectCheck) checkRequests() {
	r := c.result
	if r.Served < c.MinServed {
		c.fail("served %.4f, expected %v", r.Served, c.MinServed)
	}
	if r.Worst < c.WorstServed {
		c.fail("served %.4f in the worst 5 s, expected %v", r.Worst, c.WorstServed)
	}
	if c.hasLost && r.Lost > c.MaxLost {
		c.fail("lost %d, expected %d", r.Lost, c.MaxLost)
	}
	if c.hasExcused && r.Ends["excused"] > c.MaxExcused {
		c.fail("excused %d, expected %d", r.Ends["excused"], c.MaxExcused)
	}
}

func (c *expectCheck) checkWork() {
	worked := 0
	if c.result.Work != nil {
		worked = len(c.result.Work.Turns)
	}
	if worked < c.MinWorked {
		c.fail("%d machines were worked on, expected %d", worked, c.MinWorked)
	}
}

func (c *expectCheck) checkReturns() {
	for _, s := range c.result.Returns {
		if c.MaxOverload > 0 && s.Slack > c.MaxOverload {
			c.fail("%s was sent %.2f of what it bears, with three roots of it, in a second; expected %v", s.Server, s.Slack, c.MaxOverload)
		}
		if c.MaxFullTime > 0 && c.result.Fleet != nil && (s.Full == 0 || s.Full > c.MaxFullTime) {
			c.fail("%s had its full share after %.1f s (0: never), expected %v", s.Server, s.Full, c.MaxFullTime)
		}
	}
}

func (c *expectCheck) checkFleet() {
	f := c.result.Fleet
	if f == nil {
		return
	}
	if c.MaxEvacuations >= 0 && f.Evacuations > c.MaxEvacuations {
		c.fail("the fleet left zones %d times, expected %d", f.Evacuations, c.MaxEvacuations)
	}
	if f.Plans < c.MinPlans {
		c.fail("%d plans, expected %d", f.Plans, c.MinPlans)
	}
	if c.MaxApplyTime > 0 && f.SeenWorst > c.MaxApplyTime {
		c.fail("a plan was acted on by all after %.2f s, expected %v: last by %v", f.SeenWorst, c.MaxApplyTime, f.Slowest)
	}
}

func (c *expectCheck) checkSent(cl *cluster) {
	if c.MaxSent < 0 || len(c.Targets) == 0 {
		return
	}
	sent, _ := cl.checker.countArrivals(setOf(c.Targets), cl.startedAt.Add(c.From), cl.startedAt.Add(c.To))
	if sent > c.MaxSent {
		c.fail("sent %d to %s, expected %d", sent, strings.Join(c.Targets, " "), c.MaxSent)
	}
}
