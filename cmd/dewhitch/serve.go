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
	gcPercent = 400 // the live heap is small and collection costs CPU; the memory limit triggers it earlier if needed
)

// serveCmd runs a gateway.
type serveCmd struct{}

func (serveCmd) Run() error {
	reload := hangUpSignals() // before anything else, as an unhandled SIGHUP would end the process
	node, err := config.LoadNode(os.Getenv)
	if err != nil {
		return err
	}
	limits, err := config.LoadLimits(cli.Limits)
	if err != nil {
		return err
	}
	operations, err := config.LoadOperations(cli.Operations)
	if err != nil {
		return err
	}
	fleetConfig, err := config.LoadFleet(cli.Fleet)
	if err != nil {
		return err
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	defer log.Sync()
	setRuntimeLimits(node)
	return serve(node, limits, operations, fleetConfig, log, reload)
}

// setRuntimeLimits sets GOMAXPROCS to the configured cores, rounded up and at least 1, and the GC percentage to gcPercent.
func setRuntimeLimits(node *config.Node) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(node.Cores))))
	debug.SetGCPercent(gcPercent)
}

// serve runs one gateway until a termination signal, at which run shuts it down gracefully. At each signal on reload, the gateway
// reloads its configuration.
func serve(node *config.Node, limits *config.Limits, operations *config.Operations, fleetConfig *config.Fleet, log *zap.Logger,
	reload <-chan os.Signal) error {
	terminate := terminationSignals()
	g, err := openGateway(node, limits, operations, fleetConfig, log)
	if err != nil {
		return err
	}
	defer g.closeLedger()
	return g.run(terminate, reload)
}
