package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dewhitch/internal/config"
	"dewhitch/internal/fairqueue"
	"dewhitch/internal/forward"
	"dewhitch/internal/front"
	"dewhitch/internal/front/sessions"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
	"dewhitch/internal/memory"
	"dewhitch/internal/registry"
	"dewhitch/internal/shutdown"
	"dewhitch/internal/telemetry"
)

// forwardCmd runs a forwarder: a process that forwards clients' commands to the gateways in the registry.
type forwardCmd struct{}

func (forwardCmd) Run() error {
	limits, err := config.LoadLimits(cli.Limits)
	if err != nil {
		return err
	}
	if err := limits.CheckForward(); err != nil {
		return err
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	defer log.Sync()
	operations, err := config.LoadOperations(cli.Operations)
	if err != nil {
		return err
	}
	f, err := openForwarder(limits, operations, log)
	if err != nil {
		return err
	}
	defer f.close()
	return f.run(terminationSignals(), hangUpSignals())
}

// forwarder is a running forwarder process.
type forwarder struct {
	limits           *config.Limits
	log              *zap.Logger
	ledger           *processLedger
	memoryPlan       memory.Plan
	memory           *memory.Account
	operatorListener service // serves operators over HTTP, or nil if it is not configured
	metrics          *telemetry.Metrics
	fair             *fairqueue.Scheduler
	registry         *registry.Registry
	planners         *forward.Planners
	server           *front.Server
}

// openForwarder opens all parts of a forwarder. The ledger runs when it returns, and must then be closed by close.
func openForwarder(limits *config.Limits, operations *config.Operations, log *zap.Logger) (*forwarder, error) {
	f := &forwarder{limits: limits, log: log, planners: &forward.Planners{}}
	if err := f.open(operations); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *forwarder) open(operations *config.Operations) (err error) {
	f.ledger, err = startLedger(operations, "forwarder at "+f.limits.Forward.Listen, statement.Forwarder, ledger.Names{}, f.log)
	if err != nil {
		return err
	}
	f.memoryPlan = planForwarderMemory(&f.limits.Forward)
	f.memory = memory.NewAccount(f.memoryPlan)
	applyMemoryLimit(f.memoryPlan)
	logMemory(f.log, int64(f.limits.Forward.MemoryMB)<<20, f.memoryPlan)
	metrics := telemetry.New()
	if f.fair, err = fairqueue.New(metrics); err != nil {
		return err
	}
	f.metrics = metrics
	f.operatorListener, err = openOperatorListener(operations, append(f.ledger.operatorParts(), metrics, telemetry.Memory{Account: f.memory}), f.fair, f.log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", f.limits.Forward.Listen)
	if err != nil {
		return fmt.Errorf("configuration: forward.listen: %w", err)
	}
	f.registry, err = registry.Open(f.limits.Registry.Servers, f.limits.Registry.Path, f.limits.Registry.Session, f.log)
	if err != nil {
		return fmt.Errorf("configuration: registry.servers: %w", err)
	}
	f.server = &front.Server{Listener: listener, Log: f.log, Monitor: metrics, Fair: f.fair,
		Bounds: front.NewPlannedBounds(f.memoryPlan, f.memory), NewCommands: f.newSession}
	return nil
}

// close closes the registry's session and the ledger. It must be called after every part that posts to the ledger has ended.
func (f *forwarder) close() {
	if f.registry != nil {
		f.registry.Close()
	}
	if f.ledger != nil {
		f.ledger.close()
	}
}

// newSession returns the handler of the commands of one client session.
func (f *forwarder) newSession() front.Commands {
	commands := forward.New(f.planners, f.limits.Forward.Gateways, f.ledger.recorder, f.log)
	commands.Memory = f.memory
	return sessions.New(commands, version)
}

// run runs all parts until a signal ends the process. After the signal, new sessions are no longer accepted; after the last
// session has ended, all other parts end.
func (f *forwarder) run(terminate, hangUp <-chan os.Signal) error {
	servingCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	group, servingCtx := errgroup.WithContext(servingCtx)
	acceptingCtx, stopAccepting := context.WithCancel(servingCtx)

	if f.operatorListener != nil {
		group.Go(func() error { return f.operatorListener(servingCtx) })
	}
	group.Go(func() error { return f.followRegistry(servingCtx) })
	group.Go(func() error {
		watchLateness(servingCtx, f.metrics, f.fair, f.log)
		return nil
	})
	group.Go(func() error {
		defer stopServing()
		return serveSessions(acceptingCtx, []*front.Server{f.server}, f.memoryPlan.Sessions, 0)
	})
	group.Go(func() error {
		defer stopAccepting()
		awaitShutdown(servingCtx, terminate, f.log, f.shutDown)
		return nil
	})
	group.Go(func() error {
		f.ignoreHangUps(servingCtx, hangUp)
		return nil
	})
	f.log.Info("forwarding", zap.String("listen", f.limits.Forward.Listen))
	return group.Wait()
}

// followRegistry updates the addresses of the gateways from the registry until the context ends.
func (f *forwarder) followRegistry(ctx context.Context) error {
	return f.registry.WatchPlanners(ctx, func(addresses map[int]string) {
		f.planners.Set(addresses)
		f.log.Info("planners", zap.Any("by_gateway", addresses))
	})
}

// shutDown starts the graceful shutdown. A forwarder does not know the deadlines of the gateways' classes, so the plan assumes
// the longest deadline that the platform allows.
func (f *forwarder) shutDown(signalledAt time.Time) shutdown.Plan {
	plan := shutdown.New(signalledAt, math.MaxInt64)
	f.server.ShutDownBy(sessionTimes(plan))
	f.planners.FailUnansweredAt(plan.AnswerBy)
	return plan
}

// ignoreHangUps logs, for each SIGHUP until the context ends, that a forwarder has nothing to reload.
func (f *forwarder) ignoreHangUps(ctx context.Context, hangUp <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
			f.log.Info("SIGHUP changes nothing: planners come from the registry, and a new limits file needs a restart")
		}
	}
}
