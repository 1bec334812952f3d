package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"dewhitch/internal/standin"
)

// QuotaConfig configures the measurement of the requests that gateways forward beyond the quota during faults of the counter.
// Customers of the plan "fleet" demand four times their quota. Most of a customer's requests go to one gateway, which changes
// every few seconds.
type QuotaConfig struct {
	Program string        // path of the dewhitch program
	Dir     string        // folder for the gateways' files
	Phase   time.Duration // duration of each state of the counter
	Seed    uint64
	Out     io.Writer
}

const (
	quotaCustomers = 6
	demandMultiple = 4.0             // demand as a multiple of the quota's rate
	shiftInterval  = 7 * time.Second // time after which another gateway gets most of a customer's requests

	// The plan "fleet" as configure writes it: rates in units per second, and bursts and slack in units.
	fleetRate    = 60.0
	fleetBurst   = 90.0
	ceilingRate  = 120.0
	ceilingBurst = 180.0
	ceilingSlack = 18.0
)

// phase is a part of the run in which the counter has one state.
type phase struct {
	name  string
	apply func(*standin.Counter)
}

// Quota runs the measurement and prints a table with a line for each phase. Its shares are fractions of the units that the quotas
// of all customers grant in a phase. Quota also returns an error if more units were forwarded than the hard ceiling allows.
func Quota(ctx context.Context, config QuotaConfig) error {
	env := &environment{Config: Config{Program: config.Program, Dir: config.Dir, Seed: config.Seed, Out: config.Out}}
	defer env.close()
	if err := env.openQuota(); err != nil {
		return err
	}
	phases := []phase{
		{"well, with the first burst", func(*standin.Counter) {}},
		{"well", func(*standin.Counter) {}},
		{"silent", func(c *standin.Counter) { c.SetMode("silent") }},
		{"well again", func(c *standin.Counter) { c.SetMode("add") }},
		{"split: one gateway, and two", func(c *standin.Counter) { c.Split(0) }},
		{"joined, totals added up", func(c *standin.Counter) { c.Join(standin.JoinSum) }},
		{"swapped for an empty one", (*standin.Counter).Forget},
		{"swapped again", (*standin.Counter).Forget},
	}
	loadCtx, stop := context.WithTimeout(ctx, time.Duration(len(phases))*config.Phase)
	defer stop()
	var clients sync.WaitGroup
	for i := range quotaCustomers {
		clients.Go(func() { env.runOpenLoop(loadCtx, uint64(2+3*i)) }) // numbers of customers whose plan is "fleet"
	}
	start := time.Now()
	var script []standin.ScheduledFault
	for i, state := range phases {
		script = append(script, standin.ScheduledFault{At: time.Duration(i) * config.Phase, Apply: state.apply})
	}
	env.counter.Play(loadCtx, script...)
	clients.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	for _, n := range env.nodes {
		if err := n.Terminate(waitTimeout); err != nil {
			return err
		}
	}
	return env.report(start, config.Phase, phases)
}

// openQuota starts the stand-ins and the gateways, each with its own listener of the counter.
func (env *environment) openQuota() (err error) {
	if env.backends, err = standin.NewBackends(12, true, standin.Always(standin.Step{Delay: 5 * time.Millisecond})); err != nil {
		return err
	}
	if env.counter, err = standin.NewCounter(); err != nil {
		return err
	}
	env.counterListeners = []*standin.Listener{env.counter.Listener}
	for range gatewayCount - 1 {
		listener, err := env.counter.AddListener()
		if err != nil {
			return err
		}
		env.counterListeners = append(env.counterListeners, listener)
	}
	if env.discovery, err = standin.NewDiscovery(env.members(-1), 1); err != nil {
		return err
	}
	for i := range gatewayCount {
		env.nodes = append(env.nodes, env.node("n"+strconv.Itoa(i), "", "serve"))
	}
	return env.startAll()
}

// runOpenLoop sends one customer's requests in an open loop: each is sent when it is due, regardless of the answers.
func (env *environment) runOpenLoop(ctx context.Context, customer uint64) {
	rng := rand.New(rand.NewPCG(env.Seed, 500+customer))
	var sessions [gatewayCount]*standin.Client
	var readers sync.WaitGroup
	defer func() {
		for _, c := range sessions {
			if c != nil {
				c.Close()
			}
		}
		readers.Wait()
	}()
	start := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		sendAt := start.Add(time.Duration(float64(n) / (demandMultiple * fleetRate) * 1e9))
		wait(ctx, time.Until(sendAt))
		preferred := int(time.Since(start)/shiftInterval) + int(customer)
		nodeIndex := preferred % gatewayCount
		switch v := rng.Float64(); {
		case v > 0.9:
			nodeIndex = (preferred + 2) % gatewayCount
		case v > 0.7:
			nodeIndex = (preferred + 1) % gatewayCount
		}
		session := sessions[nodeIndex]
		if session == nil {
			var err error
			if session, err = standin.Dial(env.nodes[nodeIndex].Listen, time.Second); err != nil {
				continue
			}
			sessions[nodeIndex] = session
			readers.Go(func() {
				for {
					if _, err := session.Reply(); err != nil {
						return
					}
				}
			})
		}
		session.SetWriteDeadline(time.Now().Add(time.Second))
		if session.Send([]string{"SVC.QUERY", fmt.Sprintf("%016x", customer), fmt.Sprintf("i%x-%d", customer, n),
			"c=space-query,t=fleet,d=1500,spread=3,first=0"}) != nil {
			session.Close()
			sessions[nodeIndex] = nil
		}
	}
}

// bucket is a token bucket from which each command that the backends received takes a unit.
type bucket struct {
	level, rate, burst float64   // level and burst in units, rate in units per second
	updatedAt          time.Time // time of the latest draw
}

// draw takes a unit and returns how many units the level is below 0 afterwards; 0 if it is not.
func (b *bucket) draw(at time.Time) float64 {
	b.level = min(b.burst, b.level+b.rate*at.Sub(b.updatedAt).Seconds())
	b.updatedAt = at
	b.level--
	return max(0, -b.level)
}

// report prints, by the commands that the backends received, the requests that were forwarded in each phase and those of them
// beyond the quota. A unit beyond the quota is not taken from the quota's bucket, so that it does not count against later
// requests.
func (env *environment) report(start time.Time, phaseLength time.Duration, phases []phase) error {
	type phaseCounts struct{ forwarded, beyond, deepest float64 }
	counts := make([]phaseCounts, len(phases))
	quotas, ceilings := map[string]*bucket{}, map[string]*bucket{}
	for _, c := range env.backends.Commands() {
		index := int(c.At.Sub(start) / phaseLength)
		if index < 0 || index >= len(counts) {
			continue
		}
		if quotas[c.Customer] == nil {
			quotas[c.Customer] = &bucket{fleetBurst, fleetRate, fleetBurst, start}
			ceilings[c.Customer] = &bucket{ceilingBurst, ceilingRate, ceilingBurst, start}
		}
		counts[index].forwarded++
		if q := quotas[c.Customer]; q.draw(c.At) > 0 {
			counts[index].beyond++
			q.level++
		}
		counts[index].deepest = max(counts[index].deepest, ceilings[c.Customer].draw(c.At))
	}
	tw := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "counter\tsent on\tbeyond the quota\tdeepest below the ceiling, units")
	quota := fleetRate * quotaCustomers * phaseLength.Seconds()
	exceeded := false
	for i, count := range counts {
		fmt.Fprintf(tw, "%s\t%.2f\t%.2f\t%.1f of %g\n", phases[i].name, count.forwarded/quota, count.beyond/quota, count.deepest, ceilingSlack)
		exceeded = exceeded || count.deepest > ceilingSlack
	}
	tw.Flush()
	if exceeded {
		return fmt.Errorf("more units were forwarded than the hard ceiling allows")
	}
	return nil
}
