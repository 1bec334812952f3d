package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"syscall"
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
	keep, err := keepBooks(o, "forwarder at "+l.Forward.Listen, statement.Forwarder, ledger.Names{}, log)
	if err != nil {
		return err
	}
	defer keep.close()
	metrics := telemetry.New()
	show, err := shown(o, append(keep.shows(), metrics), log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", l.Forward.Listen)
	if err != nil {
		return fmt.Errorf("configuration: forward.listen: %w", err)
	}
	reg, err := registry.Open(l.Registry.Servers, l.Registry.Path, l.Registry.Session, log)
	if err != nil {
		return fmt.Errorf("configuration: registry.servers: %w", err)
	}
	defer reg.Close()

	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, work := errgroup.WithContext(work)
	if show != nil {
		group.Go(func() error { return show(work) })
	}
	planners := &forward.Planners{}
	group.Go(func() error {
		return reg.Watch(work, func(m map[int]string) {
			planners.Set(m)
			log.Info("planners", zap.Any("by_gateway", m))
		})
	})
	taking, stopTaking := context.WithCancel(work)
	server := &front.Server{Listener: listener, Log: log, Monitor: metrics, Bounds: front.NewBounds(l.Forward.MemoryMB << 20),
		Open: func() front.Commands {
			return sessions.New(forward.New(planners, l.Forward.Gateways, keep.books, log), version)
		}}
	group.Go(func() error {
		defer stopWork()
		// A session holds its own connection and one to each planner that it needs.
		return serveAll(taking, []*front.Server{server}, max(1, (l.Forward.Sockets-spare)/(1+l.Forward.Gateways)), 0)
	})
	group.Go(func() error {
		defer stopTaking()
		await(work, signals(), log, func(signalled time.Time) shutdown.Plan {
			// What its planners' classes allow is not known here, and the longest that counts is no promise to clients.
			plan := shutdown.New(signalled, math.MaxInt64)
			server.CloseBy(plan.CloseBy)
			planners.End(plan.AnswerBy)
			return plan
		})
		return nil
	})
	hangUp := make(chan os.Signal, 1) // operators send it to all; unhandled, it would end the program
	signal.Notify(hangUp, syscall.SIGHUP)
	group.Go(func() error {
		for {
			select {
			case <-work.Done():
				return nil
			case <-hangUp:
				log.Info("a forwarder finds the planners in the registry; the limits file needs a restart")
			}
		}
	})
	log.Info("forwarding", zap.String("listen", l.Forward.Listen))
	return group.Wait()
}
