package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	dw "dewhitch"
	"dewhitch/internal/admin"
	"dewhitch/internal/backend"
	"dewhitch/internal/classtable"
	"dewhitch/internal/config"
	"dewhitch/internal/core"
	"dewhitch/internal/counter"
	"dewhitch/internal/discovery"
	"dewhitch/internal/fleet/agent"
	"dewhitch/internal/front"
	"dewhitch/internal/front/limits"
	"dewhitch/internal/front/platform"
	"dewhitch/internal/front/sessions"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
	"dewhitch/internal/ops"
	"dewhitch/internal/registry"
	"dewhitch/internal/shutdown"
	"dewhitch/internal/telemetry"
)

const (
	spare       = 24               // descriptors for the log, the poller, listeners and what is being closed
	fetchShare  = 0.4              // of the other descriptors; client sessions have the rest
	keepPart    = 6                // of the descriptors: clients hold a third at most, and half of that may be idle
	listWait    = time.Second      // at the start, for discovery's first list
	lateAnswers = 3                // time-outs of the counter that an answer is waited for: a late total is as true as any
	planWait    = 10 * time.Second // at the start, for the fleet's plan
)

// gateway is a running gateway. Its parts stand together by concern, each opened by a function of its own in the order of
// the fields, and run by the one of run's three lists that says when it ends.
type gateway struct {
	n   *config.Node
	l   *config.Limits
	o   *config.Operations
	f   *config.Fleet // nil: it is in no fleet
	log *zap.Logger

	// Figures: books and counts.
	keep    *keeping
	state   *ops.State
	figures *ops.Figures
	metrics *telemetry.Metrics

	// Calls outward, and who decides on them.
	fetches, places int // descriptors: for fetches, and for client sessions
	classes         []string
	pools           *backend.Pools
	count           *counter.Client
	planner         *core.Planner
	decoder         *discovery.Decoder
	known           core.EndpointUpdate
	list            *discovery.Client
	patience        time.Duration // for discovery's first list

	// The fleet.
	fleet *agent.Agent         // nil: none
	acts  chan agent.Decisions // the newest, for who follows them
	heard chan struct{}        // closed once a plan is acted on; nil: there is no fleet

	// Operators.
	operated *operated
	desk     *admin.Server // nil: no operators' address
	show     part          // the operators' listener; nil: none

	// Fronts.
	commands *platform.Commands
	servers  []*front.Server
	longest  atomic.Int64  // deadline of a class, by the settings in force, in ns
	ready    chan struct{} // closed once the gateway serves

	// What lasts beyond the process.
	excluded chan []dw.ServerID
	keeper   *warmth
}

// openGateway opens all parts; nothing runs yet but the books.
func openGateway(n *config.Node, l *config.Limits, o *config.Operations, f *config.Fleet, log *zap.Logger) (*gateway, error) {
	g := &gateway{n: n, l: l, o: o, f: f, log: log}
	for _, open := range []func() error{g.openFigures, g.openOutward, g.openFleet, g.openOperators, g.openFronts, g.openLasting} {
		if err := open(); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, nil
}

// openFigures opens the books and the counts.
func (g *gateway) openFigures() (err error) {
	g.classes, g.n.Settings.Classes = classtable.Spared(g.n.Names.Classes, g.n.Settings.Classes)
	names := ledger.Names{Plans: g.n.Names.Plans, Classes: g.classes}
	g.state, g.figures, g.metrics = &ops.State{}, &ops.Figures{}, telemetry.New()
	g.figures.Classes(g.n.Names.Classes)
	g.keep, err = keepBooks(g.o, g.n.Name, statement.Gateway, names, g.log)
	return err
}

// openOutward opens the planner and what it calls: pools, counter and discovery.
func (g *gateway) openOutward() (err error) {
	n, books := g.n, g.keep.books
	sockets := n.Sockets - spare - counter.Sockets - discovery.Sockets
	g.fetches = int(fetchShare * float64(sockets))
	g.places = sockets - g.fetches
	connect := time.Duration(n.Settings.ConnectTimeout)
	g.pools = backend.New(backend.Names{Plans: n.Names.Plans}, backend.Limits{Conns: g.fetches, Idle: n.Names.ConnIdle,
		Connect: connect}, books)
	g.pools.Dispatched = g.figures.Dispatched
	g.pools.Log = g.log
	g.count = counter.New(n.Counter, lateAnswers*time.Duration(n.Settings.CounterTimeout), connect, books, g.log)
	if g.planner, err = core.NewPlanner(n.Settings, n.Seed, core.NewClock(), g.pools, g.count, books, g.log); err != nil {
		return err
	}
	g.pools.Allowed = g.planner.Serving().Allows
	g.planner.SetFigures(g.figures)
	g.planner.SetMonitor(g.metrics)
	if g.keep.desk != nil {
		g.keep.desk.Tallies(g.planner.ReadTallies)
	}
	g.decoder = discovery.NewDecoder(discovery.Names{Zones: n.Names.Zones, Kinds: n.Names.Kinds})
	if g.known, err = g.decoder.Known(n.Known); err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	g.list, g.patience = discovery.New(n.Discovery, g.decoder, g.planner.UpdateEndpoints, n.Seed, g.log), listWait
	g.list.Monitor(g.metrics)
	if n.Settings.ListOnRequest {
		known := len(g.known.List.Servers) > 0
		g.list.Shared(known, g.known.List.Version, n.Settings.Instances)
		if known {
			g.patience = 0
		}
	}
	return nil
}

// openOperators opens the operators' address, and their listener.
func (g *gateway) openOperators() (err error) {
	parts := append(g.keep.shows(), g.metrics)
	if g.fleet != nil {
		parts = append(parts, g.fleet)
	}
	if g.show, err = shown(g.o, parts, g.log); err != nil {
		return err
	}
	g.operated = &operated{state: g.state, figures: g.figures, metrics: g.metrics, planner: g.planner, decoder: g.decoder, log: g.log}
	g.desk, err = operators(g.n, g.operated)
	return err
}

// openFronts opens the clients' addresses.
func (g *gateway) openFronts() (err error) {
	g.ready = make(chan struct{})
	g.commands = &platform.Commands{Planner: g.planner, Books: g.keep.books, Names: g.n.Names, Settings: g.n.Settings,
		Figures: g.figures, State: g.state}
	bounds := front.NewBounds(g.n.MemoryMB << 20)
	first := &front.Server{Open: func() front.Commands { return g.commands }, Bounds: bounds, Log: g.log,
		Monitor: g.metrics, Ready: g.ready}
	if first.Listener, err = listen(g.n); err != nil {
		return err
	}
	g.servers = []*front.Server{first}
	if g.l.Listen != "" {
		asks := &limits.Commands{Commands: g.commands}
		second := &front.Server{Open: func() front.Commands { return sessions.New(asks, version) }, Bounds: bounds, Log: g.log,
			Monitor: g.metrics, Ready: g.ready}
		if second.Listener, err = net.Listen("tcp", g.l.Listen); err != nil {
			return fmt.Errorf("configuration: listen (limits file): %w", err)
		}
		g.servers = append(g.servers, second)
	}
	g.operated.drains(g.servers)
	g.longest.Store(int64(g.n.Longest()))
	return nil
}

// openLasting opens what goes to the process that replaces this one, and takes over what the one before left.
func (g *gateway) openLasting() error {
	g.excluded = g.operated.exclusions()
	g.keeper = warmStart(g.n, g.o.Warm, g.classes, g.planner, g.figures, g.log)
	return g.planner.UpdateEndpoints(g.known)
}

// close ends the books, after all that posts to them has ended.
func (g *gateway) close() {
	if g.keep != nil {
		g.keep.close()
	}
}

// part is something that runs until its context ends.
type part func(context.Context) error

func quietly(f func(context.Context)) part {
	return func(ctx context.Context) error {
		f(ctx)
		return nil
	}
}

// run runs all parts until a signal ends them: what clients come by first, and what they are served by after the last
// session.
func (g *gateway) run(term, again <-chan os.Signal) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, work := errgroup.WithContext(work)
	taking, stopTaking := context.WithCancel(work)

	// What sessions are served by ends with the last of them.
	serving := []part{
		g.planner.Run, g.pools.Run, g.count.Run, g.list.Run,
		quietly(g.keeper.run),
		quietly(func(ctx context.Context) { g.operated.handOver(ctx, g.n, g.excluded) }),
		quietly(func(ctx context.Context) { g.reload(ctx, again) }),
	}
	if g.desk != nil {
		serving = append(serving, g.desk.Serve)
	}
	if g.show != nil {
		serving = append(serving, g.show)
	}
	if g.fleet != nil {
		serving = append(serving, g.fleet.Run, g.followFleet, g.findMembers)
	}
	for _, p := range serving {
		group.Go(func() error { return p(work) })
	}
	// What has clients come ends when a signal has come and new sessions come no more.
	for _, p := range []part{g.register} {
		group.Go(func() error { return p(taking) })
	}
	group.Go(func() error {
		defer stopWork()
		return g.serve(taking)
	})
	group.Go(func() error {
		defer stopTaking()
		await(work, term, g.log, g.end)
		return nil
	})
	g.log.Info("serving", zap.String("name", g.n.Name), zap.String("listen", g.n.Listen), zap.Int("fetches", g.fetches),
		zap.Int("sessions", g.places), zap.String("limits", g.l.Listen), zap.String("admin", g.n.Admin),
		zap.Int("inherited", g.n.Inherited))
	err := group.Wait()
	g.log.Info("ended", zap.Error(err))
	return err
}

// register has forwarders find this planner, where there is a registry, but while it is drained.
func (g *gateway) register(ctx context.Context) error {
	if g.l.Listen == "" || len(g.l.Registry.Servers) == 0 {
		return nil
	}
	changes := make(chan struct{}, 1)
	g.state.Watch(func(bool) {
		select {
		case changes <- struct{}{}:
		default: // the last change is not seen yet, and this one is seen with it
		}
	})
	for ctx.Err() == nil {
		if g.state.Drained() {
			select {
			case <-changes:
			case <-ctx.Done():
			}
			continue
		}
		if err := g.registerUntil(ctx, changes); err != nil {
			return err
		}
	}
	return nil
}

// registerUntil keeps this planner in the registry until the context ends or the drain changes.
func (g *gateway) registerUntil(ctx context.Context, changes <-chan struct{}) error {
	r, err := registry.Open(g.l.Registry.Servers, g.l.Registry.Path, g.l.Registry.Session, g.log)
	if err != nil {
		return err
	}
	defer r.Close() // forwarders turn to others before this one ends
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changes:
			cancel()
		case <-ctx.Done():
		}
	}()
	return r.Register(ctx, registry.Planner{Address: g.l.Listen, Gateway: g.n.Settings.Self})
}

// serve takes client sessions until the context ends, and returns with the last of them. It begins once the gateway is
// ready; drained before that, it takes sessions in to send their clients away.
func (g *gateway) serve(ctx context.Context) error {
	var readiness sync.WaitGroup
	readiness.Go(func() {
		g.awaitReady(ctx)
		g.state.Start()
		close(g.ready)
	})
	err := serveAll(ctx, g.servers, g.places, g.n.Sockets/keepPart)
	readiness.Wait()
	g.keeper.last()
	return err
}

// awaitReady waits for what the gateway must know before it serves, or until the context ends.
func (g *gateway) awaitReady(ctx context.Context) {
	// The list that the configuration holds may be old or empty, and a client that is answered counts on the
	// gateway: it waits for discovery's, but not for long, as discovery may be away.
	select {
	case <-g.list.First:
	case <-ctx.Done():
	case <-time.After(g.patience):
	}
	// Danger: a machine that is free for work may be among the servers; only the plan tells.
	if g.heard != nil {
		select {
		case <-g.heard:
		case <-ctx.Done():
		case <-time.After(planWait):
			g.log.Warn("no plan of the fleet was heard: serving without")
		}
	}
}

// retune has reqs come by the classes of the new settings, with no more attempts than they allow.
func (g *gateway) retune(m *config.Node) {
	t := g.commands.Retune(m.Names.Classes, m.Settings.Classes)
	g.figures.Classes(t.Names())
	g.longest.Store(int64(m.Longest()))
	g.planner.SetMaxAttempts(m.Settings.MaxAttempts)
	g.log.Info("retuned", zap.Any("classes", t), zap.Int("attempts", m.Settings.MaxAttempts))
}

// reload reads the configuration anew at each signal. All of it is checked before any of it is applied: with a fault
// in it, the old one stays. Discovery's and the counter's addresses are what can change while the program runs.
func (g *gateway) reload(ctx context.Context, again <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		m, err := config.ReloadNode(os.Getenv)
		if err == nil {
			_, err = config.LoadLimits(cli.Limits)
		}
		if err == nil {
			_, err = config.LoadOperations(cli.Operations)
		}
		g.figures.Reloaded(err == nil)
		if err != nil {
			g.log.Error("the new configuration is faulty; the old one stays", zap.Error(err))
			continue
		}
		if m.Discovery != g.n.Discovery {
			g.list.Move(m.Discovery)
		}
		if m.Counter != g.n.Counter {
			g.count.Move(m.Counter)
		}
		g.retune(m)
		g.log.Info("new configuration", zap.String("discovery", m.Discovery), zap.String("counter", m.Counter),
			zap.Strings("needs_a_restart", g.n.Fixed(m)))
		g.n.Discovery, g.n.Counter = m.Discovery, m.Counter
	}
}

// serveAll shares the places for sessions among the fronts and returns when the last session has ended.
func serveAll(ctx context.Context, servers []*front.Server, sessions, keep int) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		s.Sessions, s.KeepIdle = sessions/len(servers), keep/len(servers)
		group.Go(func() error { return s.Serve(ctx) })
	}
	return group.Wait()
}

// await waits for a signal, has end plan the process's end, and waits for as long as connections are still taken.
func await(ctx context.Context, term <-chan os.Signal, log *zap.Logger, end func(signalled time.Time) shutdown.Plan) {
	select {
	case <-ctx.Done():
		return
	case s := <-term:
		signalled := time.Now()
		plan := end(signalled)
		log.Info("ending", zap.Stringer("signal", s), zap.Duration("takes_for", plan.AcceptUntil.Sub(signalled)),
			zap.Duration("answers_within", plan.AnswerBy.Sub(signalled)), zap.Duration("closes_within", plan.CloseBy.Sub(signalled)))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(plan.AcceptUntil)):
		}
	}
}

// end begins the end of the gateway, which got its signal then.
func (g *gateway) end(signalled time.Time) shutdown.Plan {
	plan := shutdown.New(signalled, time.Duration(g.longest.Load()))
	g.state.End()
	for _, s := range g.servers {
		s.CloseBy(plan.CloseBy)
	}
	if err := g.planner.Shutdown(plan.AnswerBy); err != nil {
		g.log.Warn("requests are answered by their own deadlines alone", zap.Error(err))
	}
	return plan
}
