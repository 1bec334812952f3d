package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	dw "dewhitch"
	"dewhitch/internal/backend"
	"dewhitch/internal/config"
	"dewhitch/internal/core"
	"dewhitch/internal/counter"
	"dewhitch/internal/director"
	"dewhitch/internal/front"
	"dewhitch/internal/front/platform"
)

const (
	memoryShare = 0.7                    // of the limit: the rest is for stacks, buffers of the kernel and spikes
	spare       = 24                     // descriptors for the log, the poller, listeners and what is being closed
	fetchShare  = 0.4                    // of the other descriptors; client sessions have the rest
	serveOn     = 600 * time.Millisecond // after SIGTERM, new sessions go on coming for a while
)

type serveCmd struct{}

func (serveCmd) Run() error {
	n, err := config.LoadNode(os.Getenv)
	if err != nil {
		return err
	}
	log, err := logger()
	if err != nil {
		return err
	}
	defer log.Sync()
	runtime.GOMAXPROCS(max(1, int(math.Ceil(n.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(n.MemoryMB<<20)))
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	return serve(context.Background(), n, log, term)
}

// serve runs one gateway until a signal ends it. Then it goes on serving for a while, answers all that it has
// taken, and returns.
func serve(ctx context.Context, n *config.Node, log *zap.Logger, term <-chan os.Signal) error {
	sockets := n.Sockets - spare - counter.Sockets - director.Sockets
	fetches := int(fetchShare * float64(sockets))
	clock := core.NewClock()
	names := backend.Names{Classes: n.Words.Classes, Plans: n.Words.Plans}
	for _, c := range n.Settings.Classes {
		names.Safe = append(names.Safe, c.Effect == dw.Safe)
	}
	pools := backend.New(names, backend.Limits{Conns: fetches, Idle: n.Words.ConnIdle,
		Connect: time.Duration(n.Settings.ConnectTimeout)})
	count := counter.New(n.Counter, time.Duration(n.Settings.CounterTimeout), time.Duration(n.Settings.ConnectTimeout), log)
	planner, err := core.NewPlanner(n.Settings, n.Seed, clock, pools, count, log)
	if err != nil {
		return err
	}
	decoder := director.NewDecoder(director.Names{Zones: n.Words.Zones, Kinds: n.Words.Kinds}, clock)
	known, err := decoder.Known(n.Known)
	if err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.Listen)
	if err != nil {
		return fmt.Errorf("configuration: listen (NODE_LISTEN): %w", err)
	}

	// What serves clients ends first; what they are served by, after the last session.
	work, stopWork := context.WithCancel(ctx)
	defer stopWork()
	group, work := errgroup.WithContext(work)
	if err := planner.Listed(known); err != nil {
		return err
	}
	group.Go(func() error { return planner.Run(work) })
	group.Go(func() error { return count.Run(work) })
	group.Go(func() error { return director.New(n.Discovery, decoder, planner.Listed, log).Run(work) })

	taking, stopTaking := context.WithCancel(work)
	commands := &platform.Commands{Planner: planner, Words: n.Words, Classes: n.Settings.Classes}
	server := &front.Server{Listener: listener, Open: func() front.Commands { return commands },
		Sessions: sockets - fetches, Log: log}
	group.Go(func() error {
		defer stopWork()
		return server.Serve(taking)
	})
	group.Go(func() error {
		defer stopTaking()
		select {
		case <-work.Done():
			return nil
		case s := <-term:
			log.Info("ending", zap.Stringer("signal", s))
		}
		select {
		case <-work.Done():
		case <-time.After(serveOn):
		}
		return nil
	})
	log.Info("serving", zap.String("name", n.Name), zap.String("listen", n.Listen), zap.Int("fetches", fetches),
		zap.Int("sessions", sockets-fetches))
	err = group.Wait()
	log.Info("ended", zap.Error(err))
	return err
}
