// Package soak runs gateways and a forwarder among stand-ins that reset, stall and spoil, kills one every so often, and
// then audits them: what the ledgers say against what customers' clients, backends and the counter saw, to the request. It
// owns the processes and stand-ins of a run; it decides nothing in them and shares no code with what it checks.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"dewhitch/internal/ledger/statement"
	"dewhitch/internal/ledger/store"
	"dewhitch/internal/standin"
	"dewhitch/internal/standin/zookeeper"
)

// Config says what to run.
type Config struct {
	Program      string        // dewhitch, built
	Dir          string        // for the nodes' files; it must be empty
	Length       time.Duration // of the load
	KillInterval time.Duration // between two kills
	Seed         uint64
	Customers    int // that come to the gateways themselves; half as many more come through the forwarder
	Out          io.Writer
}

const (
	gatewayCount = 3
	backendCount = 6
	waitTimeout  = 30 * time.Second // for what must come
)

// word is a plan or class of the settings.
var (
	plans   = []string{"basic", "regular", "fleet"}
	classes = []string{"space-query", "booking"}
)

// node is one program of the run.
type node struct {
	standin.Process
	role, limits string
}

// environment is all of a run.
type environment struct {
	Config
	backends         *standin.Backends
	counter          *standin.Counter
	discovery        *standin.Discovery
	registry         *zookeeper.Server
	counterListeners []*standin.Listener // of the counter, by gateway; none: all go by the first
	nodes            []*node             // the gateways, then the forwarder
	tallies          tallies
}

// Run carries a plan out and prints the reckoning. An error says what does not hold.
func Run(ctx context.Context, config Config) error {
	env := &environment{Config: config, tallies: tallies{rows: map[Row]*Tally{}}}
	defer env.close()
	if err := env.open(); err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "seed %d: %d gateways, a forwarder, %d backends, for %v, a kill every %v\n", config.Seed, gatewayCount, backendCount,
		config.Length, config.KillInterval)
	loadCtx, stop := context.WithTimeout(ctx, config.Length)
	defer stop()
	var workers sync.WaitGroup
	for i := range config.Customers + config.Customers/2 {
		workers.Go(func() { env.runCustomer(loadCtx, uint64(i+1)) })
	}
	errs := make(chan error, 3)
	workers.Go(func() { errs <- env.killNodes(loadCtx) })
	workers.Go(func() { env.injectFaults(loadCtx) })
	workers.Go(func() { errs <- env.auditRunningLedgers(loadCtx) })
	workers.Wait()
	for range 2 {
		if err := <-errs; err != nil {
			return err
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := env.terminateNodes(); err != nil {
		return err
	}
	return env.audit()
}

// open starts the stand-ins and the programs.
func (env *environment) open() (err error) {
	weights := map[standin.Behaviour]struct {
		Weight float64
		Delay  time.Duration
	}{standin.Serve: {90, 20 * time.Millisecond}, standin.Fail: {2, 0}, standin.Busy: {2, 0}, standin.Reset: {1.5, 5 * time.Millisecond},
		standin.Stall: {0.5, 0}, standin.Corrupt: {1, 0}, standin.TrailingBytes: {1, 0}, standin.Truncate: {1, 0}}
	if env.backends, err = standin.NewBackends(backendCount, true, standin.Weighted(env.Seed, weights)); err != nil {
		return err
	}
	if env.counter, err = standin.NewCounter(); err != nil {
		return err
	}
	if env.discovery, err = standin.NewDiscovery(env.members(-1), 1); err != nil {
		return err
	}
	if env.registry, err = zookeeper.New(); err != nil {
		return err
	}
	for i := range gatewayCount {
		env.nodes = append(env.nodes, env.node("n"+strconv.Itoa(i), statement.Gateway, "serve"))
	}
	env.nodes = append(env.nodes, env.node("forwarder", statement.Forwarder, "forward"))
	return env.startAll()
}

// node makes one program of the run.
func (env *environment) node(name, role, command string) *node {
	n := &node{role: role, limits: standin.OwnAddr()}
	n.Name, n.Dir, n.Listen, n.Path = name, filepath.Join(env.Dir, name), standin.OwnAddr(), env.Program
	n.Args = []string{"--limits", n.File("limits.toml"), "--operations", n.File("operations.toml"), command}
	return n
}

// startAll writes the files of all programs, and starts them.
func (env *environment) startAll() error {
	for i, n := range env.nodes {
		if err := env.configure(i, n); err != nil {
			return err
		}
		if err := n.Start(waitTimeout); err != nil {
			return err
		}
	}
	return nil
}

// members is the list of backends, with one of them draining unless that is below 0.
func (env *environment) members(draining int) string {
	var list []string
	for i, l := range env.backends.Nodes {
		phase := "up"
		if i == draining {
			phase = "draining"
		}
		list = append(list, standin.Member(fmt.Sprintf("s-%08x", i+1), l.Addr(), phase))
	}
	return standin.Members(list...)
}

// configure writes a node's files.
func (env *environment) configure(i int, n *node) error {
	counter := env.counter.Addr()
	if i < len(env.counterListeners) {
		counter = env.counterListeners[i].Addr()
	}
	config, err := standin.Config{Name: n.Name, Listen: n.Listen, Discovery: env.discovery.Addr(), Counter: counter, Seed: env.Seed + uint64(i),
		Instances: gatewayCount, Number: i % gatewayCount, Zones: []string{"hall-a"}, Plans: []standin.Plan{
			{Name: plans[0], QuotaRate: 20, Depth: 30, OverrunCost: 0.8, Pays: 0.8},
			{Name: plans[1], QuotaRate: 40, Depth: 80, BeyondEarns: 0.2, Pays: 1.1},
			{Name: plans[2], QuotaRate: 60, Depth: 90, CapRate: 120, HardBurst: 180, Tolerance: 18, Open: 40, OverrunCost: 1, Pays: 1.4}},
		Classes: []standin.Class{
			{Name: classes[0], Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Effect: "safe", Points: 1},
			{Name: classes[1], Aim: 2 * time.Second, Deadline: 5 * time.Second, DedupWindow: 3 * time.Second, Effect: "keyed",
				Group: "all", Points: 5}}}.JSON()
	if err != nil {
		return err
	}
	servers := ""
	if env.registry != nil {
		servers = strconv.Quote(env.registry.Addr())
	}
	limits := fmt.Sprintf("listen = %q\n[registry]\nservers = [%s]\nsession_ms = 1500\n[forward]\nlisten = %q\ngateways = %d\n",
		n.limits, servers, n.Listen, gatewayCount)
	operations := fmt.Sprintf("[ledger]\nenabled = true\naudit_ms = 250\nstatement_ms = 1000\nsegment_mb = 1\nrows = 2000\ndir = %q\n",
		n.File("ledger"))
	return n.Write(map[string]string{"config.json": config, "limits.toml": limits, "operations.toml": operations})
}

// killNodes ends a node outright every so often, the forwarder each fourth time, and starts it again; now and then it is
// killed once more while it repairs its books.
func (env *environment) killNodes(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(env.Seed, 11))
	tick := time.NewTicker(env.KillInterval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		n := env.nodes[rng.IntN(gatewayCount)]
		if i%4 == 3 {
			n = env.nodes[gatewayCount]
		}
		for again := true; again; again = rng.IntN(4) == 0 {
			n.Kill()
			if rng.IntN(3) == 0 { // a start that is killed at once, in the midst of its repair
				if _, err := n.Spawn(); err == nil {
					time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
					n.Kill()
				}
			}
			if err := n.Start(waitTimeout); err != nil {
				return err
			}
		}
	}
}

// injectFaults has the counter misbehave for short spells, and backends drain and come back.
func (env *environment) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(env.Seed, 12))
	modes := []string{"silent", "full", "reset", "spoilt", "late", "doubled", "interim"}
	for ctx.Err() == nil {
		wait(ctx, time.Duration(500+rng.IntN(2000))*time.Millisecond)
		env.counter.SetMode(modes[rng.IntN(len(modes))])
		env.discovery.Set(env.members(rng.IntN(backendCount)))
		wait(ctx, time.Duration(100+rng.IntN(700))*time.Millisecond)
		env.counter.SetMode("add")
		env.discovery.Set(env.members(-1))
	}
	env.counter.SetMode("add")
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// auditRunningLedgers reads the books of all nodes while they work, as an export does, and checks them each time.
func (env *environment) auditRunningLedgers(ctx context.Context) error {
	// What is behind the last record that was read, as a reader should ask: one that holds a store for long holds up its
	// statements.
	positions := map[*node]*struct {
		seq   uint64
		chain statement.Chain
	}{}
	for _, n := range env.nodes {
		positions[n] = &struct {
			seq   uint64
			chain statement.Chain
		}{}
	}
	for {
		wait(ctx, 700*time.Millisecond)
		if ctx.Err() != nil {
			return nil
		}
		for _, n := range env.nodes {
			dir := filepath.Join(n.Dir, "ledger")
			view, err := store.Read(dir)
			if err != nil { // it is being started, or a statement is going in
				continue
			}
			if faults := view.Ledger.Audit(true); len(faults) > 0 {
				return fmt.Errorf("%s, read while it works: %+v: %v", n.Name, faults[0].Key, faults[0])
			}
			position := positions[n]
			if err := store.Records(dir, position.seq, func(_ []byte, record statement.Record) error {
				position.seq = record.Seq
				return position.chain.Next(record)
			}); errors.As(err, &statement.Fault{}) {
				return err
			}
		}
	}
}

// terminateNodes has all nodes end as at a planned restart, the forwarder first.
func (env *environment) terminateNodes() error {
	for i := len(env.nodes) - 1; i >= 0; i-- {
		if err := env.nodes[i].Terminate(waitTimeout); err != nil {
			return err
		}
	}
	for _, n := range env.nodes {
		if line, found := n.FindInLogs("the books do not add up", "could not keep everything", "could not be kept", "can't be used",
			"panic:", "DATA RACE"); found {
			return fmt.Errorf("%s says: %s", n.Name, line)
		}
	}
	return nil
}

func (env *environment) close() {
	for _, n := range env.nodes {
		n.Kill()
	}
	if env.backends != nil {
		env.backends.Close()
	}
	for _, s := range []interface{ Close() }{env.counter, env.discovery, env.registry} {
		switch s := s.(type) {
		case *standin.Counter:
			if s != nil {
				s.Close()
			}
		case *standin.Discovery:
			if s != nil {
				s.Close()
			}
		case *zookeeper.Server:
			if s != nil {
				s.Close()
			}
		}
	}
}
