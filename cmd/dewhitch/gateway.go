package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

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
	"dewhitch/internal/telemetry"
)

// How the process's file descriptors are divided, and the time-outs of its parts.
const (
	reservedSockets      = 24  // descriptors for the log, the poller, listeners and what is being closed
	attemptSocketsShare  = 0.4 // of the other descriptors, for attempts; client sessions have the rest
	idleSessionsPart     = 6   // idle sessions beyond one in so many descriptors end early
	counterTimeoutFactor = 3   // call time-outs after which the answer of the counter is given up: a late total is valid
	firstListWait        = time.Second
	firstPlanWait        = 10 * time.Second
)

// gateway is a running gateway process. Its fields stand by concern, in the order in which openGateway opens them; run says
// when each part ends.
type gateway struct {
	node        *config.Node
	limits      *config.Limits
	operations  *config.Operations
	fleetConfig *config.Fleet // nil: the gateway is in no fleet
	log         *zap.Logger

	// Ledger and figures.
	ledger  *ledgerProcess
	state   *ops.State
	figures *ops.Figures
	metrics *telemetry.Metrics

	// The planner, and what it calls.
	attemptSockets int      // descriptors for attempts
	sessionSockets int      // descriptors for client sessions
	classes        []string // names of the classes, with the spare ones for reloads
	pools          *backend.Pools
	counter        *counter.Client
	planner        *core.Planner
	decoder        *discovery.Decoder
	configuredList core.EndpointUpdate // the endpoint list of the configuration
	discovery      *discovery.Client
	firstListWait  time.Duration // at the start, for discovery's first list

	// The fleet.
	fleetAgent  *agent.Agent         // nil: none
	decisions   chan agent.Decisions // the newest decisions, for followFleet
	planApplied chan struct{}        // closed once a plan is applied; nil: there is no fleet

	// Operators.
	adminCalls       *adminCalls
	adminServer      *admin.Server // nil: no operators' address
	operatorListener service       // nil: none

	// Fronts.
	commands        *platform.Commands
	servers         []*front.Server
	longestDeadline atomic.Int64  // of a class, by the settings in force, in ns
	ready           chan struct{} // closed once the gateway serves

	// State that outlasts the process.
	exclusions *exclusionHandover
	snapshots  *snapshotKeeper // nil: none
}

// openGateway opens all parts, in an order in which each finds what it needs. Nothing runs yet but the ledger.
func openGateway(n *config.Node, l *config.Limits, o *config.Operations, f *config.Fleet, log *zap.Logger) (*gateway, error) {
	g := &gateway{node: n, limits: l, operations: o, fleetConfig: f, log: log}
	for _, open := range []func() error{
		g.openLedger, g.openPlanner, g.openDiscovery, g.openFleet, g.openOperators, g.openFronts, g.openHandover,
	} {
		if err := open(); err != nil {
			g.closeLedger()
			return nil, err
		}
	}
	return g, nil
}

// closeLedger ends the ledger, after all that posts to it has ended.
func (g *gateway) closeLedger() {
	if g.ledger != nil {
		g.ledger.close()
	}
}

// openLedger opens the ledger and the figures, and reserves the classes that a reload may add.
func (g *gateway) openLedger() (err error) {
	g.classes, g.node.Settings.Classes = classtable.WithSpareClasses(g.node.Names.Classes, g.node.Settings.Classes)
	g.state = &ops.State{}
	g.figures = &ops.Figures{}
	g.metrics = telemetry.New()
	g.figures.Classes(g.node.Names.Classes)
	names := ledger.Names{Plans: g.node.Names.Plans, Classes: g.classes}
	g.ledger, err = startLedger(g.operations, g.node.Name, statement.Gateway, names, g.log)
	return err
}

// openPlanner opens the planner, and the backends' pools and the counter that it calls.
func (g *gateway) openPlanner() (err error) {
	recorder := g.ledger.recorder
	sockets := g.node.Sockets - reservedSockets - counter.Sockets - discovery.Sockets
	g.attemptSockets = int(attemptSocketsShare * float64(sockets))
	g.sessionSockets = sockets - g.attemptSockets
	connectTimeout := time.Duration(g.node.Settings.ConnectTimeout)

	g.pools = backend.New(backend.Names{Plans: g.node.Names.Plans},
		backend.Limits{MaxConns: g.attemptSockets, BackendIdleTimeout: g.node.Names.ConnIdle, ConnectTimeout: connectTimeout}, recorder)
	g.pools.Dispatched = g.figures.Dispatched
	g.pools.Log = g.log

	counterTimeout := counterTimeoutFactor * time.Duration(g.node.Settings.CounterTimeout)
	g.counter = counter.New(g.node.Counter, counterTimeout, connectTimeout, recorder, g.log)

	g.planner, err = core.NewPlanner(g.node.Settings, g.node.Seed, core.NewClock(), g.pools, g.counter, recorder, g.log)
	if err != nil {
		return err
	}
	g.pools.Allowed = g.planner.ReadySet().Allows
	g.planner.SetTargetsReporter(g.figures)
	g.planner.SetMonitor(g.metrics)
	g.ledger.readTallies(g.planner.ReadTallies)
	return nil
}

// openDiscovery opens the client of discovery, which starts from the endpoint list of the configuration.
func (g *gateway) openDiscovery() (err error) {
	g.decoder = discovery.NewDecoder(discovery.Names{Zones: g.node.Names.Zones, Kinds: g.node.Names.Kinds})
	if g.configuredList, err = g.decoder.DecodeConfigured(g.node.Known); err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	g.discovery = discovery.New(g.node.Discovery, g.decoder, g.planner.UpdateEndpoints, g.node.Seed, g.log)
	g.discovery.SetMonitor(g.metrics)
	g.firstListWait = firstListWait
	if g.node.Settings.ListOnRequest {
		hasList := len(g.configuredList.List.Servers) > 0
		g.discovery.ConfigureShared(hasList, g.configuredList.List.Version, g.node.Settings.Instances)
		if hasList {
			g.firstListWait = 0
		}
	}
	return nil
}

// openOperators opens the operators' address, and their listener.
func (g *gateway) openOperators() (err error) {
	parts := append(g.ledger.operatorParts(), g.metrics)
	if g.fleetAgent != nil {
		parts = append(parts, g.fleetAgent)
	}
	if g.operatorListener, err = operatorListener(g.operations, parts, g.log); err != nil {
		return err
	}
	g.adminCalls = &adminCalls{state: g.state, figures: g.figures, metrics: g.metrics, planner: g.planner,
		decoder: g.decoder, log: g.log}
	g.adminServer, err = openAdmin(g.node, g.adminCalls)
	return err
}

// openFronts opens the clients' addresses: the platform's protocol, and the limits protocol where the limits file has one.
func (g *gateway) openFronts() (err error) {
	g.ready = make(chan struct{})
	g.commands = &platform.Commands{Planner: g.planner, Recorder: g.ledger.recorder, Names: g.node.Names, Settings: g.node.Settings,
		Figures: g.figures, State: g.state}
	bounds := front.NewBounds(g.node.MemoryMB << 20)
	platformServer := &front.Server{NewCommands: func() front.Commands { return g.commands }, Bounds: bounds, Log: g.log,
		Monitor: g.metrics, Ready: g.ready}
	if platformServer.Listener, err = listenForClients(g.node); err != nil {
		return err
	}
	g.servers = []*front.Server{platformServer}
	if g.limits.Listen != "" {
		limitsCommands := &limits.Commands{Commands: g.commands}
		limitsServer := &front.Server{NewCommands: func() front.Commands { return sessions.New(limitsCommands, version) }, Bounds: bounds,
			Log: g.log, Monitor: g.metrics, Ready: g.ready}
		if limitsServer.Listener, err = net.Listen("tcp", g.limits.Listen); err != nil {
			return fmt.Errorf("configuration: listen (limits file): %w", err)
		}
		g.servers = append(g.servers, limitsServer)
	}
	g.state.Watch(func(drained bool) {
		for _, s := range g.servers {
			s.Drain(drained)
		}
	})
	g.longestDeadline.Store(int64(g.node.Longest()))
	return nil
}

// openHandover takes over the state that the process before left, and opens what this one leaves to the next. The planner
// gets the configured endpoint list last, on top of the imported state.
func (g *gateway) openHandover() error {
	g.exclusions = newExclusionHandover(g.node, g.planner, g.decoder, g.log)
	g.snapshots = openSnapshots(g.node, g.operations.Warm, g.classes, g.planner, g.figures, g.log)
	return g.planner.UpdateEndpoints(g.configuredList)
}
