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
	"dewhitch/internal/forward"
	"dewhitch/internal/front"
	"dewhitch/internal/front/sessions"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
	"dewhitch/internal/registry"
	"dewhitch/internal/shutdown"
	"dewhitch/internal/telemetry"
)

// forwardCmd runs a forwarder: a process that forwards clients' commands to the gateways in the registry.
type forwardCmd struct{}

func (forwardCmd) Run() error {
	l, err := config.LoadLimits(cli.Limits)
	if err != nil {
		return err
	}
	if err := l.CheckForward(); err != nil {
		return err
	}
	log, err := logger()
	if err != nil {
		return err
	}
	defer log.Sync()
	o, err := config.LoadOperations(cli.Operations)
	if err != nil {
		return err
	}
	f, err := openForwarder(l, o, log)
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
	ledger           *ledgerProcess
	operatorListener service // nil: none
	registry         *registry.Registry
	planners         *forward.Planners
	server           *front.Server
}

// openForwarder opens all parts; nothing runs yet but the ledger.
func openForwarder(l *config.Limits, o *config.Operations, log *zap.Logger) (*forwarder, error) {
	f := &forwarder{limits: l, log: log, planners: &forward.Planners{}}
	if err := f.open(o); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *forwarder) open(o *config.Operations) (err error) {
	f.ledger, err = startLedger(o, "forwarder at "+f.limits.Forward.Listen, statement.Forwarder, ledger.Names{}, f.log)
	if err != nil {
		return err
	}
	metrics := telemetry.New()
	f.operatorListener, err = operatorListener(o, append(f.ledger.operatorParts(), metrics), f.log)
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
	f.server = &front.Server{Listener: listener, Log: f.log, Monitor: metrics,
		Bounds: front.NewBounds(f.limits.Forward.MemoryMB << 20), NewCommands: f.newSession}
	return nil
}

// close closes the registry's session, and ends the ledger after all that posts to it has ended.
func (f *forwarder) close() {
	if f.registry != nil {
		f.registry.Close()
	}
	if f.ledger != nil {
		f.ledger.close()
	}
}

// newSession is what serves the commands of one client session.
func (f *forwarder) newSession() front.Commands {
	return sessions.New(forward.New(f.planners, f.limits.Forward.Gateways, f.ledger.recorder, f.log), version)
}

// run runs all parts until a signal ends them: first new sessions are no longer accepted, and after the last session has
// ended, all else ends.
func (f *forwarder) run(terminate, hangUp <-chan os.Signal) error {
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	accepting, stopAccepting := context.WithCancel(serving)

	if f.operatorListener != nil {
		group.Go(func() error { return f.operatorListener(serving) })
	}
	group.Go(func() error { return f.followRegistry(serving) })
	group.Go(func() error {
		defer stopServing()
		return serveSessions(accepting, []*front.Server{f.server}, f.maxSessions(), 0)
	})
	group.Go(func() error {
		defer stopAccepting()
		awaitShutdown(serving, terminate, f.log, f.shutDown)
		return nil
	})
	group.Go(func() error {
		f.ignoreHangUps(serving, hangUp)
		return nil
	})
	f.log.Info("forwarding", zap.String("listen", f.limits.Forward.Listen))
	return group.Wait()
}

// followRegistry takes the gateways' addresses from the registry until the context ends.
func (f *forwarder) followRegistry(ctx context.Context) error {
	return f.registry.WatchPlanners(ctx, func(addresses map[int]string) {
		f.planners.Set(addresses)
		f.log.Info("planners", zap.Any("by_gateway", addresses))
	})
}

// maxSessions is how many client sessions the descriptors allow: each needs its own connection, and one to each gateway.
func (f *forwarder) maxSessions() int {
	return max(1, (f.limits.Forward.Sockets-reservedSockets)/(1+f.limits.Forward.Gateways))
}

// shutDown starts the graceful shutdown. The deadlines of the gateways' classes are not known here, so it is planned for the
// longest that the platform allows.
func (f *forwarder) shutDown(signalledAt time.Time) shutdown.Plan {
	plan := shutdown.New(signalledAt, math.MaxInt64)
	f.server.CloseBy(plan.CloseBy)
	f.planners.End(plan.AnswerBy)
	return plan
}

// ignoreHangUps logs that a reload changes nothing here, until the context ends.
func (f *forwarder) ignoreHangUps(ctx context.Context, hangUp <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
			f.log.Info("a forwarder finds the planners in the registry; the limits file needs a restart")
		}
	}
}
