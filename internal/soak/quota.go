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

// QuotaConfig says how to measure what gateways send on beyond the quota while their counter is at fault: customers of
// the plan fleet ask four times their quota, through gateways of which one gets most and another every few seconds.
type QuotaConfig struct {
	Program string
	Dir     string
	Phase   time.Duration // of each state of the counter
	Seed    uint64
	Out     io.Writer
}

const (
	quotaCustomers = 6
	demandMultiple = 4.0             // the quota
	shiftInterval  = 7 * time.Second // another gateway gets most
	fleetRate      = 60.0            // as configure has it
	fleetBurst     = 90.0
	ceilingRate    = 120.0
	ceilingBurst   = 180.0
	ceilingSlack   = 18.0
)

// phase is one state of the counter.
type phase struct {
	name  string
	apply func(*standin.Counter)
}

// Quota measures and prints a table. Shares are of the quota's rate, over all customers.
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
		clients.Go(func() { env.runOpenLoop(loadCtx, uint64(2+3*i)) }) // those of the plan fleet
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

// runOpenLoop asks for one customer in an open loop: what is due is sent, whatever is answered.
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

// bucket is a store of units, kept by what the backends saw.
type bucket struct {
	level, rate, burst float64
	updatedAt          time.Time
}

// draw takes a unit and tells how far below nothing that leaves the store.
func (b *bucket) draw(at time.Time) float64 {
	b.level = min(b.burst, b.level+b.rate*at.Sub(b.updatedAt).Seconds())
	b.updatedAt = at
	b.level--
	return max(0, -b.level)
}

// report prints what was sent on in each phase, and what of it lay beyond the quota, by what the backends saw. A unit that
// is beyond is not drawn, so that one that is within is not held against what came before it.
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
		return fmt.Errorf("a ceiling was broken")
	}
	return nil
}
