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

// QuotaPlan says how to measure what gateways send on beyond the quota while their counter is at fault: customers of
// the plan fleet ask four times their quota, through gateways of which one gets most and another every few seconds.
type QuotaPlan struct {
	Program string
	Dir     string
	Phase   time.Duration // of each state of the counter
	Seed    uint64
	Out     io.Writer
}

const (
	quotaCustomers = 6
	demandMultiple = 4.0             // the quota
	shiftEvery     = 7 * time.Second // another gateway gets most
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
func Quota(ctx context.Context, p QuotaPlan) error {
	env := &environment{Plan: Plan{Program: p.Program, Dir: p.Dir, Seed: p.Seed, Out: p.Out}}
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
	load, stop := context.WithTimeout(ctx, time.Duration(len(phases))*p.Phase)
	defer stop()
	var all sync.WaitGroup
	for h := range quotaCustomers {
		all.Go(func() { env.runOpenLoop(load, uint64(2+3*h)) }) // those of the plan fleet
	}
	began := time.Now()
	var script []standin.ScheduledFault
	for i, ph := range phases {
		script = append(script, standin.ScheduledFault{At: time.Duration(i) * p.Phase, Apply: ph.apply})
	}
	env.counter.Play(load, script...)
	all.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	for _, n := range env.nodes {
		if err := n.Terminate(patience); err != nil {
			return err
		}
	}
	return env.report(began, p.Phase, phases)
}

func (env *environment) openQuota() (err error) {
	if env.backends, err = standin.NewBackends(12, true, standin.Always(standin.Step{Delay: 5 * time.Millisecond})); err != nil {
		return err
	}
	if env.counter, err = standin.NewCounter(); err != nil {
		return err
	}
	env.counterListeners = []*standin.Listener{env.counter.Listener}
	for range gateways - 1 {
		door, err := env.counter.AddListener()
		if err != nil {
			return err
		}
		env.counterListeners = append(env.counterListeners, door)
	}
	if env.discovery, err = standin.NewDiscovery(env.members(-1), 1); err != nil {
		return err
	}
	for i := range gateways {
		env.nodes = append(env.nodes, env.node("n"+strconv.Itoa(i), "", "serve"))
	}
	return env.startAll()
}

// runOpenLoop asks for one customer in an open loop: what is due is sent, whatever is answered.
func (env *environment) runOpenLoop(ctx context.Context, h uint64) {
	rng := rand.New(rand.NewPCG(env.Seed, 500+h))
	var sessions [gateways]*standin.Client
	var readers sync.WaitGroup
	defer func() {
		for _, c := range sessions {
			if c != nil {
				c.Close()
			}
		}
		readers.Wait()
	}()
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		sendAt := began.Add(time.Duration(float64(n) / (demandMultiple * fleetRate) * 1e9))
		wait(ctx, time.Until(sendAt))
		preferred := int(time.Since(began)/shiftEvery) + int(h)
		at := preferred % gateways
		switch v := rng.Float64(); {
		case v > 0.9:
			at = (preferred + 2) % gateways
		case v > 0.7:
			at = (preferred + 1) % gateways
		}
		c := sessions[at]
		if c == nil {
			var err error
			if c, err = standin.Dial(env.nodes[at].Listen, time.Second); err != nil {
				continue
			}
			sessions[at] = c
			readers.Go(func() {
				for {
					if _, err := c.Reply(); err != nil {
						return
					}
				}
			})
		}
		c.SetWriteDeadline(time.Now().Add(time.Second))
		if c.Send([]string{"SVC.QUERY", fmt.Sprintf("%016x", h), fmt.Sprintf("i%x-%d", h, n),
			"c=space-query,t=fleet,d=1500,spread=3,first=0"}) != nil {
			c.Close()
			sessions[at] = nil
		}
	}
}

// bucket is a store of units, kept by what the backends saw.
type bucket struct {
	level, rate, burst float64
	at                 time.Time
}

// draw takes a unit and tells how far below nothing that leaves the store.
func (b *bucket) draw(at time.Time) float64 {
	b.level = min(b.burst, b.level+b.rate*at.Sub(b.at).Seconds())
	b.at = at
	b.level--
	return max(0, -b.level)
}

// report prints what was sent on in each phase, and what of it lay beyond the quota, by what the backends saw. A unit that
// is beyond is not drawn, so that one that is within is not held against what came before it.
func (env *environment) report(began time.Time, length time.Duration, phases []phase) error {
	type figures struct{ sent, beyond, ceiling float64 }
	got := make([]figures, len(phases))
	quota, ceiling := map[string]*bucket{}, map[string]*bucket{}
	for _, c := range env.backends.Commands() {
		i := int(c.At.Sub(began) / length)
		if i < 0 || i >= len(got) {
			continue
		}
		if quota[c.Customer] == nil {
			quota[c.Customer] = &bucket{fleetBurst, fleetRate, fleetBurst, began}
			ceiling[c.Customer] = &bucket{ceilingBurst, ceilingRate, ceilingBurst, began}
		}
		got[i].sent++
		if q := quota[c.Customer]; q.draw(c.At) > 0 {
			got[i].beyond++
			q.level++
		}
		got[i].ceiling = max(got[i].ceiling, ceiling[c.Customer].draw(c.At))
	}
	tw := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "counter\tsent on\tbeyond the quota\tdeepest below the ceiling, units")
	all := fleetRate * quotaCustomers * length.Seconds()
	exceeded := false
	for i, g := range got {
		fmt.Fprintf(tw, "%s\t%.2f\t%.2f\t%.1f of %g\n", phases[i].name, g.sent/all, g.beyond/all, g.ceiling, ceilingSlack)
		exceeded = exceeded || g.ceiling > ceilingSlack
	}
	tw.Flush()
	if exceeded {
		return fmt.Errorf("a ceiling was broken")
	}
	return nil
}
