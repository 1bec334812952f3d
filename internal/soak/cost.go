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

// CostConfig configures the measurement of the ledger's cost: one gateway under the same load with the ledger off, in memory and
// on disk. The modes take turns within one run, so that a drift in the machine's speed affects all of them.
type CostConfig struct {
	Program  string        // path of the dewhitch program
	Dir      string        // folder for the gateways' files
	Rounds   int           // number of rounds, each of which runs all modes
	Length   time.Duration // duration of the load in one mode of one round
	Clients  int           // number of clients, each of which waits for an answer before it sends the next request
	Interval time.Duration // pause of a client between an answer and its next request
	Out      io.Writer
}

// ledgerModes are the modes of the ledger that Cost compares.
var ledgerModes = []string{"off", "memory", "disk"}

// sample is the result of one mode in one round.
type sample struct {
	cpu float64       // CPU time in microseconds per request
	p99 time.Duration // 99th percentile of the latency
}

// Cost runs the measurement and prints, for each mode, the medians over the rounds and the medians of each round's ratio to the
// mode off. It also prints the memory of a ledger row.
func Cost(ctx context.Context, config CostConfig) error {
	samples := map[string][]sample{}
	for round := range config.Rounds {
		for i := range ledgerModes {
			mode := ledgerModes[(i+round)%len(ledgerModes)] // the order rotates, so that no mode is always first
			s, err := config.round(ctx, mode, fmt.Sprintf("%d-%s", round, mode))
			if err != nil {
				return err
			}
			samples[mode] = append(samples[mode], s)
		}
	}
	fmt.Fprintf(config.Out, "%d rounds of %v, %d clients\n", config.Rounds, config.Length, config.Clients)
	for _, mode := range ledgerModes {
		var cpu, p99, cpuRatios, p99Ratios []float64
		for i, s := range samples[mode] {
			cpu, p99 = append(cpu, s.cpu), append(p99, s.p99.Seconds()*1e3)
			cpuRatios = append(cpuRatios, s.cpu/samples["off"][i].cpu)
			p99Ratios = append(p99Ratios, s.p99.Seconds()/samples["off"][i].p99.Seconds())
		}
		fmt.Fprintf(config.Out, "%-6s  CPU a req %6.1f µs, %5.3f of off   p99 %6.2f ms, %5.3f of off\n", mode, median(cpu), median(cpuRatios),
			median(p99), median(p99Ratios))
	}
	fmt.Fprintf(config.Out, "memory a row %d bytes\n", RowBytes(false))
	fmt.Fprintf(config.Out, "memory a row with a store %d bytes\n", RowBytes(true))
	return nil
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	if len(v)%2 == 0 {
		return (v[len(v)/2-1] + v[len(v)/2]) / 2
	}
	return v[len(v)/2]
}

// round runs one gateway under load and returns its latency and its CPU time per request. The CPU time is that of the whole
// process as the operating system accounts it.
func (c CostConfig) round(ctx context.Context, mode, name string) (s sample, err error) {
	env := &environment{Config: Config{Program: c.Program, Dir: filepath.Join(c.Dir, name), Seed: 1, Out: io.Discard}}
	defer env.close()
	if env.backends, err = standin.NewBackends(backendCount, false, standin.Always(standin.Step{})); err != nil {
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
	if err := n.Start(waitTimeout); err != nil {
		return s, err
	}
	latencies, err := c.load(ctx, n.Listen)
	if err != nil {
		return s, err
	}
	if err := n.Terminate(waitTimeout); err != nil {
		return s, err
	}
	cpu := n.Program().CPU()
	slices.Sort(latencies)
	return sample{cpu.Seconds() * 1e6 / float64(len(latencies)), latencies[len(latencies)*99/100]}, ctx.Err()
}

// load runs the clients for c.Length and returns the latencies of all requests.
func (c CostConfig) load(ctx context.Context, addr string) ([]time.Duration, error) {
	var mu sync.Mutex
	var latencies []time.Duration
	var clients sync.WaitGroup
	errs := make(chan error, c.Clients)
	ctx, stop := context.WithTimeout(ctx, c.Length)
	defer stop()
	for number := range c.Clients {
		clients.Go(func() {
			own, err := c.client(ctx, addr, number)
			if err != nil {
				errs <- err
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, own...)
		})
	}
	clients.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
		return latencies, nil
	}
}

// client sends requests one after another until the context ends, and returns their latencies. It returns an error if an answer
// is an error other than BUSY.
func (c CostConfig) client(ctx context.Context, addr string, number int) (latencies []time.Duration, err error) {
	conn, err := standin.Dial(addr, waitTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	for i := 0; ctx.Err() == nil; i++ {
		conn.SetDeadline(time.Now().Add(waitTimeout))
		args := []string{"SVC.QUERY", fmt.Sprintf("%016x", number*1000+i%100), fmt.Sprintf("i%d-%d", number, i),
			"c=space-query,t=regular,d=4000,spread=3,first=0"}
		start := time.Now()
		if err := conn.Send(args); err != nil {
			return latencies, err
		}
		reply, err := conn.Reply()
		if err != nil {
			return latencies, err
		}
		if reply.Kind == '-' && !strings.HasPrefix(reply.Text, "BUSY") {
			return latencies, errors.New(reply.Text)
		}
		latencies = append(latencies, time.Since(start))
		wait(ctx, c.Interval)
	}
	return latencies, nil
}

// RowBytes returns the memory of one ledger row in bytes, including everything that it references, measured by the growth of the
// heap. If statements is set, the ledger keeps statements.
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
