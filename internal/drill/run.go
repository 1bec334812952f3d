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

// Options say how to play a scenario.
type Options struct {
	Program       string // dewhitch, built
	Dir           string // for the processes' files, empty
	Seed          uint64
	Uncoordinated bool
	Told          bool      // without the fleet view, but discovery lists servers with a fault as draining
	Lines         io.Writer // progress, a line a second; nil: none
}

// ErrFell is the error of a drill with a violated rule or an expectation that was not met; the result says which.
var ErrFell = errors.New("drill: a check fell")

// Run plays a scenario to its end, or to the first violation of a rule. The result is nil if the drill could not be played; with a
// result the error is nil or ErrFell.
func Run(ctx context.Context, s *Scenario, o Options) (*Result, error) {
	cl := &cluster{Scenario: s, Options: o}
	defer cl.close()
	if err := cl.open(); err != nil {
		return nil, err
	}
	cl.startedAt = time.Now()
	load, stopLoad := context.WithDeadline(ctx, cl.startedAt.Add(s.Length))
	defer stopLoad()
	checks, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	cl.stop = stopLoad
	cl.background.Go(func() { cl.checkGateways(checks) })
	cl.background.Go(func() { cl.checkRules(checks) })
	cl.background.Go(func() { cl.runEvents(load) })
	if o.Lines != nil {
		cl.background.Go(func() { cl.printProgress(load) })
	}
	cl.generator.run(load)
	cl.waitRecovered(ctx)
	stopChecks()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	bytes := cl.fleetBytes()
	elapsed := time.Since(cl.startedAt).Seconds()
	cl.stopGateways()
	cl.checker.evaluatePairs(time.Now(), true)
	r := cl.result()
	r.FleetBytes = bytes / elapsed
	if len(r.Breaches) > 0 || len(r.Fallen) > 0 {
		return r, ErrFell
	}
	return r, nil
}

// runEvents carries out the events, each at its time.
func (cl *cluster) runEvents(ctx context.Context) {
	for _, e := range cl.Events {
		wait(ctx, time.Until(cl.startedAt.Add(e.At)))
		if ctx.Err() != nil {
			return
		}
		cl.record("%s", e.Text)
		e.Do(cl)
	}
}

// waitRecovered waits for processes that the script has stopped or ended for a time, up to processTimeout each.
func (cl *cluster) waitRecovered(ctx context.Context) {
	for _, g := range cl.gateways {
		for end := time.Now().Add(processTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			if !g.recovering() {
				break
			}
		}
	}
}

// checkRules ends the load at the first violation of a rule.
func (cl *cluster) checkRules(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, 100*time.Millisecond)
		cl.checker.evaluatePairs(time.Now(), false)
		if counts, _ := cl.checker.violations(); len(counts) > 0 {
			cl.stop()
			return
		}
	}
}

// printProgress prints a line a second, and the new lines of the timeline.
func (cl *cluster) printProgress(ctx context.Context) {
	fmt.Fprintf(cl.Lines, "%s, seed %d: %d gateways, %d servers in %d zones, %.0f reqs a second for %v\n", cl.Name, cl.Seed,
		len(cl.gateways), len(cl.servers), len(cl.Zones), cl.rate(), cl.Length)
	printed := 0
	for i := 1; ctx.Err() == nil; i++ {
		wait(ctx, time.Until(cl.startedAt.Add(time.Duration(i)*time.Second)))
		cl.mu.Lock()
		moments := slices.Clone(cl.timeline[printed:])
		printed = len(cl.timeline)
		cl.mu.Unlock()
		for _, m := range moments {
			fmt.Fprintf(cl.Lines, "%6.1f  %s\n", m.At, m.What)
		}
		// the requests of the last second are not all answered yet
		s := cl.generator.sum(i-2, i-1)
		cl.generator.mu.Lock()
		open := cl.generator.open
		cl.generator.mu.Unlock()
		fmt.Fprintf(cl.Lines, "%5ds  served %.3f of the worth; %s; open %d\n", i, s.servedRatio(), s, open)
	}
}

// stopGateways shuts down all processes that run, as a planned restart does, and checks what they logged.
func (cl *cluster) stopGateways() {
	cl.fleetLog.close()
	var stops sync.WaitGroup
	for _, g := range cl.gateways {
		stops.Go(func() {
			if g.Program().Ended() {
				if !g.isStopExpected() {
					cl.checker.report(time.Now(), ruleEnded, "%s ended of itself: %s", g.name, tail(g.Program().Log()))
				}
				return
			}
			g.expectStop(true)
			if err := g.Terminate(processTimeout); err != nil {
				cl.checker.report(time.Now(), ruleEnded, "%v", err)
			}
			g.addCPU()
		})
	}
	stops.Wait()
	for _, g := range cl.gateways {
		if line, bad := g.FindInLogs("panic:", "DATA RACE", "fatal error:"); bad {
			cl.checker.report(time.Now(), ruleEnded, "%s says: %s", g.name, line)
		}
	}
}
