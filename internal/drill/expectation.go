package drill

import (
	"fmt"
	"strings"
)

// checkExpectations adds to a result the expectations that it does not meet, in the order of the file.
func (c *cluster) checkExpectations(r *Result) {
	for _, e := range c.Expects {
		check := expectCheck{Expect: e, result: r}
		check.checkRequests()
		check.checkWork()
		check.checkReturns()
		check.checkFleet()
		check.checkSent(c)
	}
}

// expectCheck compares a result with one expectation.
type expectCheck struct {
	Expect
	result *Result
}

// fail adds an unmet expectation, with its position in the file, to the result.
func (c *expectCheck) fail(format string, a ...any) {
	c.result.UnmetExpectations = append(c.result.UnmetExpectations, c.Pos+": "+fmt.Sprintf(format, a...))
}

// checkRequests checks the bounds on served, lost and excused requests.
func (c *expectCheck) checkRequests() {
	r := c.result
	if r.Served < c.MinServed {
		c.fail("served %.4f, expected at least %v", r.Served, c.MinServed)
	}
	if r.WorstServed < c.MinWorstServed {
		c.fail("served %.4f in the worst 5 s, expected at least %v", r.WorstServed, c.MinWorstServed)
	}
	if c.hasLost && r.Lost > c.MaxLost {
		c.fail("lost %d requests, expected at most %d", r.Lost, c.MaxLost)
	}
	if c.hasExcused && r.Outcomes["excused"] > c.MaxExcused {
		c.fail("excused %d requests, expected at most %d", r.Outcomes["excused"], c.MaxExcused)
	}
}

// checkWork checks the number of machines whose maintenance is complete.
func (c *expectCheck) checkWork() {
	completed := 0
	if c.result.Work != nil {
		completed = len(c.result.Work.Completed)
	}
	if completed < c.MinWorked {
		c.fail("maintenance of %d machines is complete, expected at least %d", completed, c.MinWorked)
	}
}

// checkReturns checks the overload of restarted servers, and in a fleet the time until they have their full rate.
func (c *expectCheck) checkReturns() {
	for _, slowStart := range c.result.SlowStarts {
		if c.MaxOverload > 0 && slowStart.MaxExcessRatio > c.MaxOverload {
			c.fail("%s received in a second %.2f of its capacity plus three times the square root of that, expected at most %v", slowStart.Server, slowStart.MaxExcessRatio, c.MaxOverload)
		}
		if c.MaxFullTime > 0 && c.result.Fleet != nil && (slowStart.FullRateAfter == 0 || slowStart.FullRateAfter > c.MaxFullTime) {
			c.fail("%s had its full rate after %.1f s (0: never), expected at most %v", slowStart.Server, slowStart.FullRateAfter, c.MaxFullTime)
		}
	}
}

// checkFleet checks the bounds on the fleet's decisions. Without the fleet view it checks nothing.
func (c *expectCheck) checkFleet() {
	f := c.result.Fleet
	if f == nil {
		return
	}
	if c.MaxEvacuations >= 0 && f.Evacuations > c.MaxEvacuations {
		c.fail("the fleet evacuated zones %d times, expected at most %d", f.Evacuations, c.MaxEvacuations)
	}
	if f.Plans < c.MinPlans {
		c.fail("%d plans, expected at least %d", f.Plans, c.MinPlans)
	}
	if c.MaxApplyTime > 0 && f.ApplyWorst > c.MaxApplyTime {
		c.fail("all gateways had applied a plan after %.2f s, expected at most %v: last %v", f.ApplyWorst, c.MaxApplyTime, f.Slowest)
	}
}

// checkSent checks the number of attempts that arrived at the targets between From and To.
func (c *expectCheck) checkSent(cluster *cluster) {
	if c.MaxSent < 0 || len(c.Targets) == 0 {
		return
	}
	sent, _ := cluster.checker.countArrivals(nameSet(c.Targets), cluster.startedAt.Add(c.From), cluster.startedAt.Add(c.To))
	if sent > c.MaxSent {
		c.fail("sent %d attempts to %s, expected at most %d", sent, strings.Join(c.Targets, " "), c.MaxSent)
	}
}
