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
	"dewhitch/internal/exclusions"
	"dewhitch/internal/fairqueue"
	"dewhitch/internal/fleet/agent"
	"dewhitch/internal/front"
	"dewhitch/internal/front/limits"
	"dewhitch/internal/front/platform"
	"dewhitch/internal/front/sessions"
	"dewhitch/internal/handover"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
	"dewhitch/internal/memory"
	"dewhitch/internal/ops"
	"dewhitch/internal/telemetry"
)

// Shares of the process's file descriptors, and timeouts of its parts.
const (
	reservedSockets           = 24                     // descriptors for the log, the poller, listeners and closing connections
	attemptSocketShare        = 0.4                    // share of the other descriptors for attempts; client sessions use the rest
	descriptorsPerIdleSession = 6                      // one idle session is kept per this many descriptors; further ones are ended early
	counterTimeoutFactor      = 3                      // multiple of CounterTimeout that a counter call may take, as a late total is valid
	descriptorWait            = 100 * time.Millisecond // maximum time for which an attempt waits for a descriptor
	firstListTimeout          = time.Second            // maximum wait for the director's first list before the gateway serves
	firstPlanTimeout          = 10 * time.Second       // maximum wait for the fleet's first plan before the gateway serves
)

// gateway is a running gateway process. Its fields are grouped by concern, in the order in which openGateway opens them. run
// determines the order in which they end.
type gateway struct {
	node        *config.Node
	limits      *config.Limits
	operations  *config.Operations
	fleetConfig *config.Fleet // nil if the gateway is in no fleet
	log         *zap.Logger

	// The memory that clients, backends and names can make grow.
	memoryPlans  memoryPlans
	memoryPlan   memory.Plan // plan in force when the process started
	memoryShared bool        // whether it is the one for two processes
	memory       *memory.Account

	// The ledger and the figures for operators.
	ledger  *processLedger
	state   *ops.State
	figures *ops.Figures
	metrics *telemetry.Metrics
	fair    *fairqueue.Scheduler

	// The planner and the parts that it calls.
	classes          []string // names of the classes, including the spare classes for reloads
	pools            *backend.Pools
	counter          *counter.Client
	planner          *core.Planner
	decoder          *discovery.Decoder
	configuredList   core.EndpointUpdate // endpoint list of the configuration
	discovery        *discovery.Client
	firstListTimeout time.Duration // maximum wait for the director's first list; 0 with a shared director and a configured list

	// The fleet agent and its decisions.
	fleetAgent       *agent.Agent         // nil if the gateway is in no fleet
	decisions        chan agent.Decisions // holds the newest decisions for followFleet
	firstPlanApplied chan struct{}        // closed once a plan is applied; nil if the gateway is in no fleet

	// The operators' calls and listeners.
	exclusions       *exclusions.Keeper
	adminCalls       *adminCalls
	adminServer      *admin.Server // answers operators' calls, or nil if no address is configured for them
	operatorListener service       // serves operators over HTTP, or nil if it is not configured

	// The clients' sessions and commands.
	commands        *platform.Commands
	servers         []*front.Server
	longestDeadline atomic.Int64  // longest deadline of a class in the settings in force, in ns
	ready           chan struct{} // closed once the gateway serves

	// The state that is kept for the next process.
	snapshots *snapshotKeeper // nil if no snapshots are kept
}

// openGateway opens all parts of a gateway, each after the parts that it needs. The ledger runs when it returns, and must then be
// closed by closeLedger.
func openGateway(node *config.Node, limits *config.Limits, operations *config.Operations, fleetConfig *config.Fleet,
	log *zap.Logger) (*gateway, error) {
	g := &gateway{node: node, limits: limits, operations: operations, fleetConfig: fleetConfig, log: log}
	g.memoryPlans = planMemory(node, operations)
	g.memoryPlan = g.memoryPlans.alone
	if g.memoryShared = handover.OthersRunning(handover.Path(node.TempDir, node.Name)); g.memoryShared {
		g.memoryPlan = g.memoryPlans.shared
	}
	g.memory = memory.NewAccount(g.memoryPlan)
	applyMemoryLimit(g.memoryPlan)
	logMemory(log, int64(node.MemoryMB)<<20, g.memoryPlan)
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

// closeLedger closes the ledger, if it is open. It must be called after every part that posts to the ledger has ended.
func (g *gateway) closeLedger() {
	if g.ledger != nil {
		g.ledger.close()
	}
}

// openLedger opens the ledger and the figures, and adds the spare classes that a reload may need.
func (g *gateway) openLedger() (err error) {
	g.classes, g.node.Settings.Classes = classtable.WithSpareClasses(g.node.Names.Classes, g.node.Settings.Classes)
	g.state = &ops.State{}
	g.figures = &ops.Figures{}
	g.metrics = telemetry.New()
	if g.fair, err = fairqueue.New(g.metrics); err != nil {
		return err
	}
	g.figures.AddClasses(g.node.Names.Classes)
	names := ledger.Names{Plans: g.node.Names.Plans, Classes: g.classes}
	g.ledger, err = startLedger(g.operations, g.node.Name, statement.Gateway, names, g.log)
	return err
}

// openPlanner opens the planner, the connection pools of the backends, and the client of the counter.
func (g *gateway) openPlanner() (err error) {
	recorder := g.ledger.recorder
	connectTimeout := time.Duration(g.node.Settings.ConnectTimeout)

	g.pools = backend.New(backend.Names{Plans: g.node.Names.Plans},
		backend.Limits{MaxConns: g.memoryPlan.Connections, BackendIdleTimeout: g.node.Names.ConnIdle, ConnectTimeout: connectTimeout,
			DescriptorWait: descriptorWait, Memory: g.memory, ConnectionBytes: g.memoryPlans.alone.ConnectionTotal(),
			ReceiveBuffer: g.memoryPlan.SocketBuffer / 2, SendBuffer: g.memoryPlan.SocketBuffer / 2}, recorder)
	g.pools.Dispatched = g.figures.Dispatched
	g.pools.Log = g.log

	counterTimeout := counterTimeoutFactor * time.Duration(g.node.Settings.CounterTimeout)
	g.counter = counter.New(g.node.Counter, counterTimeout, connectTimeout, recorder, g.log)

	moduleSettings := g.node.Settings
	moduleSettings.MaxAccounts = g.memoryPlans.alone.Customers
	g.planner, err = core.NewPlanner(moduleSettings, g.node.Seed, core.NewClock(), g.pools, g.counter, recorder, g.log)
	if err != nil {
		return err
	}
	g.pools.Allowed = g.planner.ReadySet().Allows
	g.planner.SetTargetsReporter(g.figures)
	g.planner.SetMonitor(g.metrics)
	g.ledger.setTallyReader(g.planner.ReadTallies)
	return nil
}

// openDiscovery opens the client of the director, which starts from the endpoint list of the configuration.
func (g *gateway) openDiscovery() (err error) {
	g.decoder = discovery.NewDecoder(discovery.Names{Zones: g.node.Names.Zones, Kinds: g.node.Names.Kinds})
	if g.configuredList, err = g.decoder.DecodeConfigured(g.node.KnownList); err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	g.discovery = discovery.New(g.node.Discovery, g.decoder, g.planner.UpdateEndpoints, g.node.Seed, g.log)
	g.discovery.SetMonitor(g.metrics)
	g.discovery.SetFlow(g.fair.Open(fairqueue.Following, "the list"))
	g.firstListTimeout = firstListTimeout
	if g.node.Settings.ListOnRequest {
		hasList := len(g.configuredList.List.Servers) > 0
		g.discovery.ConfigureShared(hasList, g.configuredList.List.Version, g.node.Settings.Instances)
		if hasList {
			g.firstListTimeout = 0
		}
	}
	return nil
}

// openOperators opens the address for operators' calls and the operators' HTTP listener, if they are configured, and the record of
// exclusions that these calls change.
func (g *gateway) openOperators() (err error) {
	parts := append(g.ledger.operatorParts(), g.metrics, telemetry.Memory{Account: g.memory})
	if g.fleetAgent != nil {
		parts = append(parts, g.fleetAgent)
	}
	if g.operatorListener, err = openOperatorListener(g.operations, parts, g.fair, g.log); err != nil {
		return err
	}
	g.exclusions = exclusions.New(handover.Path(g.node.TempDir, g.node.Name), g.planner, g.decoder.Lookup, g.discovery.Synced, g.log)
	g.adminCalls = &adminCalls{state: g.state, figures: g.figures, metrics: g.metrics, exclusions: g.exclusions, log: g.log}
	g.adminServer, err = openAdmin(g.node, g.adminCalls, g.fair)
	return err
}

// openFronts opens the clients' addresses: the one for the platform's protocol and, if the limits file has an address, the one
// for the limits protocol.
func (g *gateway) openFronts() (err error) {
	g.ready = make(chan struct{})
	g.commands = &platform.Commands{Planner: g.planner, Recorder: g.ledger.recorder, Names: g.node.Names, Settings: g.node.Settings,
		Figures: g.figures, State: g.state}
	bounds := front.NewPlannedBounds(g.memoryPlans.alone, g.memory)
	platformServer := &front.Server{NewCommands: func() front.Commands { return g.commands }, Bounds: bounds, Log: g.log,
		Monitor: g.metrics, Fair: g.fair, Ready: g.ready}
	if platformServer.Listener, err = listenForClients(g.node); err != nil {
		return err
	}
	g.servers = []*front.Server{platformServer}
	if g.limits.Listen != "" {
		limitsCommands := &limits.Commands{Commands: g.commands}
		limitsServer := &front.Server{NewCommands: func() front.Commands { return sessions.New(limitsCommands, version) }, Bounds: bounds,
			Log: g.log, Monitor: g.metrics, Fair: g.fair, Ready: g.ready}
		if limitsServer.Listener, err = net.Listen("tcp", g.limits.Listen); err != nil {
			return fmt.Errorf("configuration: listen (limits file): %w", err)
		}
		g.servers = append(g.servers, limitsServer)
	}
	g.state.OnDrainChange(func(drained bool) {
		for _, s := range g.servers {
			s.Drain(drained)
		}
	})
	g.longestDeadline.Store(int64(g.node.LongestDeadline()))
	return nil
}

// openHandover imports the state of the previous process, and opens the files in which this process keeps its state for the next
// one. It applies the configured endpoint list last, so that the list overrides the imported state.
func (g *gateway) openHandover() error {
	g.snapshots = openSnapshots(g.node, g.operations.Warm, g.classes, g.planner, g.figures, g.log)
	return g.planner.UpdateEndpoints(g.configuredList)
}
