// Package soak runs gateways and a forwarder with stand-ins that inject resets, stalls and corrupt answers, and kills one of the
// processes at intervals. Then it audits each count of the ledgers against the records of the customers' clients, the backends
// and the counter. It owns the processes and stand-ins of a run; it makes none of their decisions and shares no code with what it
// checks.
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

// Config configures a run.
type Config struct {
	Program      string        // path of the dewhitch program
	Dir          string        // folder for the nodes' files, which must be empty
	Length       time.Duration // duration of the load
	KillInterval time.Duration // time between two kills
	Seed         uint64        // seed of all random draws
	Customers    int           // number of customers that connect to the gateways; half as many more connect to the forwarder
	Out          io.Writer     // destination of the report
}

const (
	gatewayCount = 3
	backendCount = 6
	waitTimeout  = 30 * time.Second // timeout for a process's start and exit, and for answers
)

// The names of the plans and classes in the settings.
var (
	plans   = []string{"basic", "regular", "fleet"}
	classes = []string{"space-query", "booking"}
)

// node is a gateway or forwarder process of the run.
type node struct {
	standin.Process
	role, limits string // role in the ledger's statements; listen address for LIMIT commands, empty for none
}

// environment holds the configuration, the stand-ins, the processes and the clients' tallies of a run.
type environment struct {
	Config
	backends         *standin.Backends
	counter          *standin.Counter
	discovery        *standin.Discovery
	registry         *zookeeper.Server
	counterListeners []*standin.Listener // the counter's listeners by gateway; nodes without one use its first listener
	nodes            []*node             // the gateways, followed by the forwarder if there is one
	tallies          tallies
}

// Run runs the load and the faults, audits the ledgers and prints a report. It returns an error if a process fails or the audit
// finds a fault.
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

// open starts the stand-ins, the gateways and the forwarder.
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

// node returns a node that runs the program with the given command. It does not start the node.
func (env *environment) node(name, role, command string) *node {
	n := &node{role: role, limits: standin.OwnAddr()}
	n.Name, n.Dir, n.Listen, n.Path = name, filepath.Join(env.Dir, name), standin.OwnAddr(), env.Program
	n.Args = []string{"--limits", n.File("limits.toml"), "--operations", n.File("operations.toml"), command}
	return n
}

// startAll writes the files of all nodes and starts them.
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

// members returns the endpoint list of the backends. The backend with index draining is draining; -1 means none.
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

// configure writes the files of node n, whose index is i.
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

// killNodes kills a random gateway, or every fourth time the forwarder, by SIGKILL at each interval and restarts it. With a
// probability of 1/3 it also kills a new process less than 60 ms after its start, when the process may be repairing its ledger.
// With a probability of 1/4 it repeats the kill and the restart.
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
			if rng.IntN(3) == 0 { // kill a new process while it repairs its ledger
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

// injectFaults injects faults into the counter for 100 to 800 ms at a time, and has a backend drain meanwhile.
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

// wait waits for d or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// auditRunningLedgers reads and audits the ledgers of all nodes while the nodes run, as an export does, until the context ends.
// It returns an error if an audit finds a mismatch or the chain of records is broken.
func (env *environment) auditRunningLedgers(ctx context.Context) error {
	// Each pass reads only the records after those that earlier passes read: a reader that keeps a store open for long delays the
	// store's statements.
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
			if err != nil { // the node is starting, or is writing a statement
				continue
			}
			if faults := view.Ledger.Audit(true); len(faults) > 0 {
				return fmt.Errorf("the ledger of %s does not add up while the node runs: %+v: %v", n.Name, faults[0].Key, faults[0])
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

// terminateNodes terminates all nodes, the forwarder first, as a planned restart does. It returns an error if one does not exit
// cleanly or if a log contains a fault of the ledger, a panic or a data race.
func (env *environment) terminateNodes() error {
	for i := len(env.nodes) - 1; i >= 0; i-- {
		if err := env.nodes[i].Terminate(waitTimeout); err != nil {
			return err
		}
	}
	for _, n := range env.nodes {
		if line, found := n.FindInLogs("the books do not add up", "could not keep everything", "could not be kept", "can't be used",
			"panic:", "DATA RACE"); found {
			return fmt.Errorf("the log of %s reports a fault: %s", n.Name, line)
		}
	}
	return nil
}

// close kills the processes and closes the stand-ins.
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
