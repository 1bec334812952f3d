package main

import (
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"dewhitch/internal/config"
)

const (
	memoryShare = 0.7 // of the limit: the rest is for stacks, buffers of the kernel and spikes
	lazyGC      = 400 // percent: the live heap is small, and collecting it costs CPU
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
	f, err := config.LoadFleet(cli.Fleet)
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
	return serve(n, l, o, f, log, signals(), again)
}

func signals() <-chan os.Signal {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	return term
}

// serve runs one gateway until a signal ends it. Then it goes on serving for a while, answers all that it has
// taken, and returns. At a signal on again it reads its configuration anew.
func serve(n *config.Node, l *config.Limits, o *config.Operations, f *config.Fleet, log *zap.Logger, term,
	again <-chan os.Signal) error {
	g, err := openGateway(n, l, o, f, log)
	if err != nil {
		return err
	}
	defer g.close()
	return g.run(term, again)
}
