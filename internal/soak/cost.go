package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"dewhitch/internal/ledger"
	"dewhitch/internal/standin"
)

// CostPlan says how to measure what the books cost: one gateway under the same load, with books off, in memory and on
// the disk in turn, in one run, so that a machine whose speed drifts does so for all.
type CostPlan struct {
	Program  string
	Dir      string
	Rounds   int
	Length   time.Duration // of each round, of each mode
	Clients  int           // that send one request after another, each at its pace
	Interval time.Duration // between two requests of a client
	Out      io.Writer
}

var modes = []string{"off", "memory", "disk"}

// sample is one round of one mode.
type sample struct {
	cpu float64 // microseconds a request
	p99 time.Duration
}

// Cost measures and prints a table, and the median of the ratios round by round.
func Cost(ctx context.Context, p CostPlan) error {
	got := map[string][]sample{}
	for round := range p.Rounds {
		for i := range modes {
			mode := modes[(i+round)%len(modes)] // none is always first
			s, err := p.round(ctx, mode, fmt.Sprintf("%d-%s", round, mode))
			if err != nil {
				return err
			}
			got[mode] = append(got[mode], s)
		}
	}
	fmt.Fprintf(p.Out, "%d rounds of %v, %d clients\n", p.Rounds, p.Length, p.Clients)
	for _, mode := range modes {
		var cpu, p99, cpuOver, p99Over []float64
		for i, s := range got[mode] {
			cpu, p99 = append(cpu, s.cpu), append(p99, s.p99.Seconds()*1e3)
			cpuOver = append(cpuOver, s.cpu/got["off"][i].cpu)
			p99Over = append(p99Over, s.p99.Seconds()/got["off"][i].p99.Seconds())
		}
		fmt.Fprintf(p.Out, "%-6s  CPU a req %6.1f µs, %5.3f of off   p99 %6.2f ms, %5.3f of off\n", mode, median(cpu), median(cpuOver),
			median(p99), median(p99Over))
	}
	fmt.Fprintf(p.Out, "memory a row %d bytes\n", RowBytes(false))
	fmt.Fprintf(p.Out, "memory a row with a store %d bytes\n", RowBytes(true))
	return nil
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	if len(v)%2 == 0 {
		return (v[len(v)/2-1] + v[len(v)/2]) / 2
	}
	return v[len(v)/2]
}

// round runs one gateway under load and tells its CPU time a request, by the system's account of the whole process.
func (p CostPlan) round(ctx context.Context, mode, name string) (s sample, err error) {
	env := &environment{Plan: Plan{Program: p.Program, Dir: filepath.Join(p.Dir, name), Seed: 1, Out: io.Discard}}
	defer env.close()
	if env.backends, err = standin.NewBackends(nodes, false, standin.Always(standin.Step{})); err != nil {
		return s, err
	}
	if env.counter, err = standin.NewCounter(); err != nil {
		return s, err
	}
	if env.discovery, err = standin.NewDiscovery(env.members(-1), 1); err != nil {
		return s, err
	}
	n := env.node("n0", "", "serve")
	n.limits = ""
	env.nodes = []*node{n}
	if err := env.configure(0, n); err != nil {
		return s, err
	}
	text := fmt.Sprintf("[ledger]\nenabled = %v\n", mode != "off")
	if mode == "disk" {
		text += fmt.Sprintf("dir = %q\nstatement_ms = 2000\n", filepath.Join(n.Dir, "ledger"))
	}
	if err := n.Write(map[string]string{"operations.toml": text}); err != nil {
		return s, err
	}
	if err := n.Start(patience); err != nil {
		return s, err
	}
	all, err := p.load(ctx, n.Listen)
	if err != nil {
		return s, err
	}
	if err := n.Terminate(patience); err != nil {
		return s, err
	}
	used := n.Program().CPU()
	slices.Sort(all)
	return sample{used.Seconds() * 1e6 / float64(len(all)), all[len(all)*99/100]}, ctx.Err()
}

// load runs the clients for the round's length, and returns the latencies of all.
func (p CostPlan) load(ctx context.Context, addr string) ([]time.Duration, error) {
	var mu sync.Mutex
	var all []time.Duration
	var clients sync.WaitGroup
	failed := make(chan error, p.Clients)
	ctx, stop := context.WithTimeout(ctx, p.Length)
	defer stop()
	for h := range p.Clients {
		clients.Go(func() {
			latencies, err := p.client(ctx, addr, h)
			if err != nil {
				failed <- err
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, latencies...)
		})
	}
	clients.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
		return all, nil
	}
}

// client sends one request after another and times the answers.
func (p CostPlan) client(ctx context.Context, addr string, h int) (latencies []time.Duration, err error) {
	c, err := standin.Dial(addr, patience)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	for i := 0; ctx.Err() == nil; i++ {
		c.SetDeadline(time.Now().Add(patience))
		arguments := []string{"SVC.QUERY", fmt.Sprintf("%016x", h*1000+i%100), fmt.Sprintf("i%d-%d", h, i),
			"c=space-query,t=regular,d=4000,spread=3,first=0"}
		began := time.Now()
		if err := c.Send(arguments); err != nil {
			return latencies, err
		}
		v, err := c.Reply()
		if err != nil {
			return latencies, err
		}
		if v.Kind == '-' && !strings.HasPrefix(v.Text, "BUSY") {
			return latencies, errors.New(v.Text)
		}
		latencies = append(latencies, time.Since(began))
		wait(ctx, p.Interval)
	}
	return latencies, nil
}

// RowBytes is how much memory a row of the ledger takes, all that hangs on it included, as the heap grows by it.
func RowBytes(statements bool) int {
	const rows = 20000
	heap := func() int {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	before := heap()
	l := ledger.New(ledger.Limits{Rows: 2 * rows, Open: 100, RecentPostings: 100}, statements)
	for i := range uint64(rows) {
		for _, e := range []ledger.Event{ledger.FrontTaken, ledger.PlanTaken, ledger.PlanRejectedQuota, ledger.FrontRejected} {
			l.Post(ledger.Posting{Event: e, Key: ledger.Key{Customer: i}, Ref: i + 1, Units: 1e6})
		}
	}
	if statements {
		l.Statement()
	}
	l.Audit(true)
	after := heap()
	runtime.KeepAlive(l)
	return (after - before) / rows
}
