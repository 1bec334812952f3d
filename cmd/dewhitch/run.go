package main

import (
	"context"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dewhitch/internal/front"
)

// service is a part of the process that runs until its context ends.
type service func(context.Context) error

// infallible converts a function that can't fail to a service.
func infallible(f func(context.Context)) service {
	return func(ctx context.Context) error {
		f(ctx)
		return nil
	}
}

// run runs all parts until a signal ends the process. After the signal, new sessions are no longer accepted and the registration
// ends; after the last session has ended, the parts that served the sessions end.
func (g *gateway) run(terminate, reload <-chan os.Signal) error {
	servingCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	group, servingCtx := errgroup.WithContext(servingCtx)
	acceptingCtx, stopAccepting := context.WithCancel(servingCtx)

	for _, s := range g.services(reload) {
		group.Go(func() error { return s(servingCtx) })
	}
	group.Go(func() error { return g.register(acceptingCtx) })
	group.Go(func() error {
		defer stopServing()
		return g.serve(acceptingCtx)
	})
	group.Go(func() error {
		defer stopAccepting()
		awaitShutdown(servingCtx, terminate, g.log, g.shutDown)
		return nil
	})
	g.log.Info("serving", zap.String("name", g.node.Name), zap.String("listen", g.node.Listen),
		zap.Int("fetches", g.memoryPlan.Connections), zap.Int("sessions", g.memoryPlan.Sessions), zap.String("limits", g.limits.Listen),
		zap.String("admin", g.node.Admin), zap.Int("inherited", g.node.InheritedFD))
	err := group.Wait()
	g.log.Info("ended", zap.Error(err))
	return err
}

// services returns the parts that sessions need, and which therefore run until the last session has ended.
func (g *gateway) services(reload <-chan os.Signal) []service {
	services := []service{
		g.planner.Run, g.pools.Run, g.counter.Run, g.discovery.Run, g.exclusions.Run,
		infallible(g.snapshots.run), infallible(g.shareMemory),
		infallible(func(ctx context.Context) { watchLateness(ctx, g.metrics, g.fair, g.log) }),
		infallible(func(ctx context.Context) { g.reloadOnSignal(ctx, reload) }),
	}
	if g.adminServer != nil {
		services = append(services, g.adminServer.Serve)
	}
	if g.operatorListener != nil {
		services = append(services, g.operatorListener)
	}
	if g.fleetAgent != nil {
		services = append(services, g.fleetAgent.Run, g.followFleet, g.findMembers)
	}
	return services
}

// serve accepts client sessions until the context ends. After the last session has ended, it writes a last snapshot and returns.
// Sessions are served once the gateway is ready. If it is drained before that, sessions are accepted only to be sent away.
func (g *gateway) serve(ctx context.Context) error {
	var readiness sync.WaitGroup
	readiness.Go(func() {
		g.awaitReady(ctx)
		g.state.Start()
		close(g.ready)
	})
	err := serveSessions(ctx, g.servers, g.memoryPlan.Sessions, g.node.Sockets/descriptorsPerIdleSession)
	readiness.Wait()
	g.snapshots.writeLast()
	return err
}

// awaitReady waits for the information that the gateway needs before it serves, or until the context ends. It waits for the
// operators' exclusions, for the director's first list, as the configured list may be old or empty, and for the fleet's first plan,
// as only the plan names the listed servers that are in maintenance. The waits for the list and the plan have a timeout, as the
// director and the fleet may be down.
func (g *gateway) awaitReady(ctx context.Context) {
	select {
	case <-g.exclusions.Restored():
	case <-ctx.Done():
	}
	select {
	case <-g.discovery.Synced:
	case <-ctx.Done():
	case <-time.After(g.firstListTimeout):
	}
	if g.firstPlanApplied == nil {
		return
	}
	select {
	case <-g.firstPlanApplied:
	case <-ctx.Done():
	case <-time.After(firstPlanTimeout):
		g.log.Warn("no plan of the fleet was received in time: serving without one")
	}
}

// serveSessions runs the servers until the context ends. It divides the maximum numbers of sessions and of idle sessions equally
// among them, and returns when the last session has ended.
func serveSessions(ctx context.Context, servers []*front.Server, sessions, idle int) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		s.MaxSessions = sessions / len(servers)
		s.MaxIdleSessions = idle / len(servers)
		group.Go(func() error { return s.Serve(ctx) })
	}
	return group.Wait()
}
