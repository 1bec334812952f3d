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

// infallible makes a service of a function that can't fail.
func infallible(f func(context.Context)) service {
	return func(ctx context.Context) error {
		f(ctx)
		return nil
	}
}

// run runs all parts until a signal ends them, in two steps: first new sessions are no longer accepted, and after the last
// session has ended, what served the sessions ends.
func (g *gateway) run(terminate, reload <-chan os.Signal) error {
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	accepting, stopAccepting := context.WithCancel(serving)

	for _, s := range g.services(reload) {
		group.Go(func() error { return s(serving) })
	}
	group.Go(func() error { return g.register(accepting) })
	group.Go(func() error {
		defer stopServing()
		return g.serve(accepting)
	})
	group.Go(func() error {
		defer stopAccepting()
		awaitShutdown(serving, terminate, g.log, g.shutDown)
		return nil
	})
	g.log.Info("serving", zap.String("name", g.node.Name), zap.String("listen", g.node.Listen),
		zap.Int("fetches", g.attemptSockets), zap.Int("sessions", g.sessionSockets), zap.String("limits", g.limits.Listen),
		zap.String("admin", g.node.Admin), zap.Int("inherited", g.node.Inherited))
	err := group.Wait()
	g.log.Info("ended", zap.Error(err))
	return err
}

// services are the parts that sessions need: they run until the last session has ended.
func (g *gateway) services(reload <-chan os.Signal) []service {
	services := []service{
		g.planner.Run, g.pools.Run, g.counter.Run, g.discovery.Run,
		infallible(g.snapshots.run),
		infallible(g.exclusions.run),
		infallible(func(ctx context.Context) { g.reloadAtSignal(ctx, reload) }),
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

// serve accepts client sessions until the context ends, and returns after the last of them, with a last snapshot written.
// Sessions are served from readiness on; if the gateway is drained before that, they are accepted to be sent away.
func (g *gateway) serve(ctx context.Context) error {
	var readiness sync.WaitGroup
	readiness.Go(func() {
		g.awaitReady(ctx)
		g.state.Start()
		close(g.ready)
	})
	err := serveSessions(ctx, g.servers, g.sessionSockets, g.node.Sockets/idleSessionsPart)
	readiness.Wait()
	g.snapshots.writeLast()
	return err
}

// awaitReady waits for what the gateway must know before it serves, or until the context ends: discovery's first list, as the
// configured one may be old or empty, and the fleet's first plan, as only the plan says which listed servers are in
// maintenance. Neither wait is unbounded, as discovery and the fleet may be down.
func (g *gateway) awaitReady(ctx context.Context) {
	select {
	case <-g.discovery.Synced:
	case <-ctx.Done():
	case <-time.After(g.firstListWait):
	}
	if g.planApplied == nil {
		return
	}
	select {
	case <-g.planApplied:
	case <-ctx.Done():
	case <-time.After(firstPlanWait):
		g.log.Warn("no plan of the fleet was received in time: serving without one")
	}
}

// serveSessions divides the sessions, and those that may be idle, equally among the servers. It returns when the last session
// has ended.
func serveSessions(ctx context.Context, servers []*front.Server, sessions, idle int) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		s.MaxSessions = sessions / len(servers)
		s.MaxIdleSessions = idle / len(servers)
		group.Go(func() error { return s.Serve(ctx) })
	}
	return group.Wait()
}
