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

	"dewhitch/internal/backend"
	"dewhitch/internal/config"
	"dewhitch/internal/core"
	"dewhitch/internal/counter"
	"dewhitch/internal/director"
	"dewhitch/internal/front"
	"dewhitch/internal/front/limits"
	"dewhitch/internal/front/platform"
	"dewhitch/internal/front/sessions"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
	"dewhitch/internal/ops"
	"dewhitch/internal/registry"
	"dewhitch/internal/retune"
)

const (
	memoryShare = 0.7                    // of the limit: the rest is for stacks, buffers of the kernel and spikes
	lazyGC      = 400                    // percent: the live heap is small, and collecting it costs CPU
	spare       = 24                     // descriptors for the log, the poller, listeners and what is being closed
	fetchShare  = 0.4                    // of the other descriptors; client sessions have the rest
	keepPart    = 6                      // of the descriptors: clients hold a third at most, and half of that may be idle
	listWait    = time.Second            // at the start, for the director's first list
	lateAnswers = 3                      // time-outs of the counter that an answer is waited for: a late total is as true as any
	serveOn     = 600 * time.Millisecond // after SIGTERM, new sessions go on coming for a while
)

type serveCmd struct{}

func (serveCmd) Run() error {
	again := make(chan os.Signal, 1) // from the first on: unhandled, the signal would end the program
	signal.Notify(again, syscall.SIGHUP)
	n, err := config.LoadNode(os.Getenv)
	if err != nil {
		return err
	}
	l, err := config.LoadLimits(cli.Limits)
	if err != nil {
		return err
	}
	o, err := config.LoadOperations(cli.Operations)
	if err != nil {
		return err
	}
	log, err := logger()
	if err != nil {
		return err
	}
	defer log.Sync()
	runtime.GOMAXPROCS(max(1, int(math.Ceil(n.Cores))))
	debug.SetGCPercent(lazyGC) // the memory limit has it collect sooner when it must
	debug.SetMemoryLimit(int64(memoryShare * float64(n.MemoryMB<<20)))
	return serve(n, l, o, log, signals(), again)
}

func signals() <-chan os.Signal {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	return term
}

// serve runs one gateway until a signal ends it. Then it goes on serving for a while, answers all that it has
// taken, and returns. At a signal on again it reads its configuration anew.
func serve(n *config.Node, l *config.Limits, o *config.Operations, log *zap.Logger, term, again <-chan os.Signal) error {
	sockets := n.Sockets - spare - counter.Sockets - director.Sockets
	fetches := int(fetchShare * float64(sockets))
	places := sockets - fetches
	names := backend.Names{Plans: n.Words.Plans}
	connect := time.Duration(n.Settings.ConnectTimeout)
	var classes []string
	classes, n.Settings.Classes = retune.Spared(n.Words.Classes, n.Settings.Classes)
	keep, err := keepBooks(o, n.Name, statement.Gateway, ledger.Names{Plans: n.Words.Plans, Classes: classes}, log)
	if err != nil {
		return err
	}
	defer keep.close()
	books := keep.books
	pools := backend.New(names, backend.Limits{Conns: fetches, Idle: n.Words.ConnIdle, Connect: connect}, books)
	count := counter.New(n.Counter, lateAnswers*time.Duration(n.Settings.CounterTimeout), connect, books, log)
	planner, err := core.NewPlanner(n.Settings, n.Seed, core.NewClock(), pools, count, books, log)
	if err != nil {
		return err
	}
	if keep.desk != nil {
		keep.desk.Tallies(planner.Tallies)
	}
	decoder := director.NewDecoder(director.Names{Zones: n.Words.Zones, Kinds: n.Words.Kinds})
	known, err := decoder.Known(n.Known)
	if err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}

	state, figures := &ops.State{}, &ops.Figures{}
	figures.Classes(n.Words.Classes)
	planner.Count(figures)
	pools.Dispatched = figures.Dispatched
	operated := &operated{state: state, figures: figures, planner: planner, decoder: decoder, log: log}
	desk, err := operators(n, operated)
	if err != nil {
		return err
	}
	commands := &platform.Commands{Planner: planner, Books: books, Words: n.Words, Settings: n.Settings,
		Figures: figures, State: state}
	bounds := front.NewBounds(n.MemoryMB << 20)
	servers := []*front.Server{{Open: func() front.Commands { return commands }, Bounds: bounds, Log: log}}
	if servers[0].Listener, err = listen(n); err != nil {
		return err
	}
	if l.Listen != "" {
		asks := &limits.Commands{Commands: commands}
		second := &front.Server{Open: func() front.Commands { return sessions.New(asks, version) }, Bounds: bounds, Log: log}
		if second.Listener, err = net.Listen("tcp", l.Listen); err != nil {
			return fmt.Errorf("configuration: listen (limits file): %w", err)
		}
		servers = append(servers, second)
	}
	operated.drains(servers)
	excluded := operated.exclusions()
	keeper := warmStart(n, o.Warm, classes, planner, figures, log)

	// What clients come by ends first; what they are served by, after the last session.
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, work := errgroup.WithContext(work)
	if err := planner.Listed(known); err != nil {
		return err
	}
	group.Go(func() error { return planner.Run(work) })
	group.Go(func() error {
		keeper.run(work)
		return nil
	})
	group.Go(func() error {
		operated.handOver(work, n, excluded)
		return nil
	})
	if desk != nil {
		group.Go(func() error { return desk.Serve(work) })
	}
	group.Go(func() error { return pools.Run(work) })
	group.Go(func() error { return count.Run(work) })
	list := director.New(n.Discovery, decoder, planner.Listed, n.Seed, log)
	wait := listWait
	if n.Settings.ListOnRequest && len(known.List.Servers) > 0 {
		list.Shared(known.List.Version, n.Settings.Instances)
		wait = 0
	}
	group.Go(func() error { return list.Run(work) })
	group.Go(func() error {
		reload(work, again, n, list, count, figures, func(m *config.Node) {
			// Reqs come by the classes of the new settings, and have no more attempts than they allow.
			t := commands.Retune(m.Words.Classes, m.Settings.Classes)
			figures.Classes(t.Names())
			planner.Attempts(m.Settings.MaxAttempts)
			log.Info("retuned", zap.Any("classes", t), zap.Int("attempts", m.Settings.MaxAttempts))
		}, log)
		return nil
	})
	taking, stopTaking := context.WithCancel(work)
	if l.Listen != "" && len(l.Registry.Servers) > 0 {
		group.Go(func() error {
			r, err := registry.Open(l.Registry.Servers, l.Registry.Path, l.Registry.Session, log)
			if err != nil {
				return err
			}
			defer r.Close() // forwarders turn to others before this one ends
			return r.Register(taking, registry.Planner{Address: l.Listen, Gateway: n.Settings.Self})
		})
	}
	group.Go(func() error {
		defer stopWork()
		// The list that the configuration holds may be old or empty, and a client that is answered counts on the
		// gateway: it waits for the director's, but not for long, as the director may be away.
		select {
		case <-list.First:
		case <-taking.Done():
		case <-time.After(wait):
		}
		state.Start()
		err := serveAll(taking, servers, places, n.Sockets/keepPart)
		keeper.last()
		return err
	})
	group.Go(func() error {
		defer stopTaking()
		linger(work, term, state, log)
		return nil
	})
	log.Info("serving", zap.String("name", n.Name), zap.String("listen", n.Listen), zap.Int("fetches", fetches),
		zap.Int("sessions", places), zap.String("limits", l.Listen), zap.String("admin", n.Admin),
		zap.Int("inherited", n.Inherited))
	err = group.Wait()
	log.Info("ended", zap.Error(err))
	return err
}

// reload reads the configuration anew at each signal. All of it is checked before any of it is applied: with a fault
// in it, the old one stays. The director's and the counter's addresses are what can change while the program runs.
func reload(ctx context.Context, again <-chan os.Signal, n *config.Node, list *director.Director,
	count *counter.Client, figures *ops.Figures, retune func(*config.Node), log *zap.Logger) {
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
		figures.Reloaded(err == nil)
		if err != nil {
			log.Error("the new configuration is faulty; the old one stays", zap.Error(err))
			continue
		}
		if m.Discovery != n.Discovery {
			list.Move(m.Discovery)
		}
		if m.Counter != n.Counter {
			count.Move(m.Counter)
		}
		retune(m)
		log.Info("new configuration", zap.String("discovery", m.Discovery), zap.String("counter", m.Counter),
			zap.Strings("needs_a_restart", n.Fixed(m)))
		n.Discovery, n.Counter = m.Discovery, m.Counter
	}
}

// serveAll shares the places for sessions among the fronts and returns when the last session has ended.
func serveAll(ctx context.Context, servers []*front.Server, sessions, keep int) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		s.Sessions, s.Keep = sessions/len(servers), keep/len(servers)
		group.Go(func() error { return s.Serve(ctx) })
	}
	return group.Wait()
}

// linger waits for a signal, and then for as long as new sessions may still come.
func linger(ctx context.Context, term <-chan os.Signal, state *ops.State, log *zap.Logger) {
	select {
	case <-ctx.Done():
		return
	case s := <-term:
		state.End()
		log.Info("ending", zap.Stringer("signal", s))
	}
	select {
	case <-ctx.Done():
	case <-time.After(serveOn):
	}
}
