// Command dewhitch runs a gateway or a forwarder, and has the operators' commands on ledgers, snapshots and fleets.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"dewhitch/internal/config"
)

// version is the program's version. A build sets it by -ldflags "-X main.version=...".
var version = "dev"

// cli is the command line. Operators and their scripts depend on its names, defaults and help texts.
var cli struct {
	Limits string `default:"deploy/limits.toml" help:"The limits file (${default})."`

	Operations string `default:"deploy/operations.toml" help:"The operators' file (${default})."`

	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"The least level that is logged: ${enum} (${default}). debug tells of each request that its client leaves, and of each attempt that begins."`

	Fleet string `help:"The fleet file; none: this process is in no fleet."`

	Serve    serveCmd    `cmd:"" help:"Serve as one gateway."`
	Forward  forwardCmd  `cmd:"" help:"Forward hauliers' commands to the planners that are registered."`
	Ledger   ledgerCmd   `cmd:"" help:"Read, check, export and merge the books."`
	Snapshot snapshotCmd `cmd:"" help:"Read what a gateway has learnt, as it is kept for the next process."`
	Members  fleetCmd    `cmd:"" name:"fleet" help:"Show a fleet, and have it settle things, through a member's operators' listener."`
	Check    checkCmd    `cmd:"" help:"Read and check the configuration, and end."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// versionCmd prints the version and the revision from which the binary was built.
type versionCmd struct{}

func (versionCmd) Run() error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Printf("dewhitch %s (revision %s)\n", version, revision)
	return nil
}

// checkCmd loads and checks all configuration files and starts nothing.
type checkCmd struct{}

func (checkCmd) Run() error {
	node, err := config.LoadNode(os.Getenv)
	if err != nil {
		return err
	}
	if _, err := config.LoadLimits(cli.Limits); err != nil {
		return err
	}
	if _, err := config.LoadOperations(cli.Operations); err != nil {
		return err
	}
	if _, err := config.LoadFleet(cli.Fleet); err != nil {
		return err
	}
	fmt.Printf("configuration of %s is good\n", node.Name)
	return nil
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("dewhitch"), kong.Description("A gateway that keeps every haulier inside its quota."))
	ctx.FatalIfErrorf(ctx.Run())
}

// newLogger returns a logger at cli.LogLevel that writes one line per record to standard error. Repeated records are sampled,
// except at the debug level, where a trace must be complete.
func newLogger() (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(cli.LogLevel)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = level
	cfg.Sampling = &zap.SamplingConfig{Initial: 20, Thereafter: 200}
	if level.Level() == zap.DebugLevel {
		cfg.Sampling = nil
	}
	cfg.DisableStacktrace = true
	return cfg.Build()
}
