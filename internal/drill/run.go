package drill

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Options are the parameters of a drill that the scenario does not set.
type Options struct {
	Program        string // path of the built dewhitch binary
	Dir            string // empty directory for the processes' files
	Seed           uint64
	Uncoordinated  bool      // true to run without the fleet view, whatever the scenario sets
	AnnounceFaults bool      // true to run without the fleet view, with discovery that lists servers with a fault as draining
	Progress       io.Writer // receives a progress line every second and the timeline; nil for none
}

// ErrCheckFailed is the error of a drill in which a rule was violated or an expectation was not met. The result contains the
// details.
var ErrCheckFailed = errors.New("drill: a check failed")

// Run runs a scenario to its end, or to the first violation of a rule. The result is nil if the drill could not be run; with a
// result the error is nil or ErrCheckFailed.
func Run(ctx context.Context, s *Scenario, o Options) (*Result, error) {
	c := &cluster{Scenario: s, Options: o}
	defer c.close()
	if err := c.open(); err != nil {
		return nil, err
	}
	c.startedAt = time.Now()
	load, stopLoad := context.WithDeadline(ctx, c.startedAt.Add(s.Length))
	defer stopLoad()
	checks, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	c.stop = stopLoad
	c.background.Go(func() { c.checkGateways(checks) })
	c.background.Go(func() { c.checkRules(checks) })
	c.background.Go(func() { c.runEvents(load) })
	if o.Progress != nil {
		c.background.Go(func() { c.printProgress(load) })
	}
	c.generator.run(load)
	c.waitRecovered(ctx)
	stopChecks()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	bytes := c.fleetBytes()
	elapsed := time.Since(c.startedAt).Seconds()
	c.stopGateways()
	c.checker.evaluatePairs(time.Now(), true)
	r := c.result()
	r.FleetBytes = bytes / elapsed
	if len(r.Violations) > 0 || len(r.UnmetExpectations) > 0 {
		return r, ErrCheckFailed
	}
	return r, nil
}

// runEvents executes the scenario's events, each at its time, until ctx ends.
func (c *cluster) runEvents(ctx context.Context) {
	for _, e := range c.Events {
		sleep(ctx, time.Until(c.startedAt.Add(e.At)))
		if ctx.Err() != nil {
			return
		}
		c.record("%s", e.Text)
		e.Do(c)
	}
}

// waitRecovered waits until the processes that the scenario stalled or restarts serve again, for at most processTimeout each.
func (c *cluster) waitRecovered(ctx context.Context) {
	for _, g := range c.gateways {
		for end := time.Now().Add(processTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			if !g.isRecovering() {
				break
			}
		}
	}
}

// checkRules evaluates pending checks until ctx ends, and ends the load at the first violation of a rule.
func (c *cluster) checkRules(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, 100*time.Millisecond)
		c.checker.evaluatePairs(time.Now(), false)
		if counts, _ := c.checker.violations(); len(counts) > 0 {
			c.stop()
			return
		}
	}
}

// printProgress prints the new timeline entries and a line of figures every second.
func (c *cluster) printProgress(ctx context.Context) {
	fmt.Fprintf(c.Progress, "%s, seed %d: %d gateways, %d servers in %d zones, %.0f requests a second for %v\n", c.Name, c.Seed,
		len(c.gateways), len(c.servers), len(c.Zones), c.rate(), c.Length)
	printed := 0
	for i := 1; ctx.Err() == nil; i++ {
		sleep(ctx, time.Until(c.startedAt.Add(time.Duration(i)*time.Second)))
		c.mu.Lock()
		events := slices.Clone(c.timeline[printed:])
		printed = len(c.timeline)
		c.mu.Unlock()
		for _, event := range events {
			fmt.Fprintf(c.Progress, "%6.1f  %s\n", event.At, event.Text)
		}
		// the second before the last, as requests of the last one may still be open
		s := c.generator.sum(i-2, i-1)
		c.generator.mu.Lock()
		openRequests := c.generator.openRequests
		c.generator.mu.Unlock()
		fmt.Fprintf(c.Progress, "%5ds  served %.3f of the value; %s; open %d\n", i, s.servedRatio(), s, openRequests)
	}
}

// stopGateways shuts down all running processes gracefully, as in a planned restart, and reports panics, data races and
// unexpected exits.
func (c *cluster) stopGateways() {
	c.fleetLog.close()
	var stops sync.WaitGroup
	for _, g := range c.gateways {
		stops.Go(func() {
			if g.Program().Ended() {
				if !g.isStopExpected() {
					c.checker.report(time.Now(), ruleUnexpectedExit, "%s exited unexpectedly: %s", g.name, tail(g.Program().Log()))
				}
				return
			}
			g.expectStop(true)
			if err := g.Terminate(processTimeout); err != nil {
				c.checker.report(time.Now(), ruleUnexpectedExit, "%v", err)
			}
			g.addCPU()
		})
	}
	stops.Wait()
	for _, g := range c.gateways {
		if line, bad := g.FindInLogs("panic:", "DATA RACE", "fatal error:"); bad {
			c.checker.report(time.Now(), ruleUnexpectedExit, "%s logged: %s", g.name, line)
		}
	}
}
