package main

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"

	"dewhitch/internal/config"
)

// Settings of the Go runtime.
const (
	memoryLimitShare = 0.7 // of the process's memory: the rest is for stacks, buffers of the kernel and spikes
	gcPercent        = 400 // the live heap is small, and collecting it costs CPU; the memory limit collects earlier if needed
)

// serveCmd runs a gateway.
type serveCmd struct{}

func (serveCmd) Run() error {
	reload := hangUpSignals() // before anything else: unhandled, the signal would end the process
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
	setRuntimeLimits(n)
	return serve(n, l, o, f, log, reload)
}

// setRuntimeLimits keeps the process within its share of the machine.
func setRuntimeLimits(n *config.Node) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(n.Cores))))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(n.MemoryMB<<20)))
}

// serve runs one gateway until a signal ends it, by the graceful shutdown of run. At a signal on reload it reads its
// configuration again.
func serve(n *config.Node, l *config.Limits, o *config.Operations, f *config.Fleet, log *zap.Logger,
	reload <-chan os.Signal) error {
	terminate := terminationSignals()
	g, err := openGateway(n, l, o, f, log)
	if err != nil {
		return err
	}
	defer g.closeLedger()
	return g.run(terminate, reload)
}
