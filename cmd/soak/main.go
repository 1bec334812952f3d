// Command soak runs gateways and a forwarder under load with stand-ins that inject faults, and kills one of the processes at
// intervals. It prints the ledgers' counts beside those of the clients, and exits with status 1 if the ledgers do not agree with
// the clients, the backends and the counter. It also measures the cost of the ledger and, during faults of the counter, the
// requests beyond the quota.
package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"

	"dewhitch/internal/soak"
)

var cli struct {
	Program string     `default:"bin/dewhitch" help:"The program, built (${default})."`
	Run     runCmd     `cmd:"" default:"withargs" help:"Run, kill and reckon up."`
	Cost    costCmd    `cmd:"" help:"Measure books off, in memory and on the disk, in turn."`
	Counter counterCmd `cmd:"" help:"Measure what goes beyond the quota while the counter is silent, split and swapped."`
}

// runCmd runs gateways and a forwarder under load and faults, and audits their ledgers.
type runCmd struct {
	Length   time.Duration `default:"10m" help:"Of the load (${default})."`
	Kill     time.Duration `default:"10s" help:"Between two kills (${default})."`
	Hauliers int           `default:"24" help:"That come to the gateways; half as many more come through the forwarder (${default})."`
	Seed     uint64        `default:"1" help:"Of all that is drawn (${default})."`
}

func (c runCmd) Run(ctx context.Context, dir folder) error {
	return soak.Run(ctx, soak.Config{Program: cli.Program, Dir: string(dir), Length: c.Length, KillInterval: c.Kill, Seed: c.Seed,
		Customers: c.Hauliers, Out: os.Stdout})
}

// costCmd measures the cost of the ledger.
type costCmd struct {
	Rounds  int           `default:"7" help:"Of all three (${default})."`
	Length  time.Duration `default:"5s" help:"Of each (${default})."`
	Clients int           `default:"16" help:"That send one req after another (${default})."`
	Pace    time.Duration `default:"8ms" help:"Between two reqs of a client (${default})."`
}

func (c costCmd) Run(ctx context.Context, dir folder) error {
	return soak.Cost(ctx, soak.CostConfig{Program: cli.Program, Dir: string(dir), Rounds: c.Rounds, Length: c.Length,
		Clients: c.Clients, Interval: c.Pace, Out: os.Stdout})
}

// counterCmd measures the requests beyond the quota during faults of the counter.
type counterCmd struct {
	Phase time.Duration `default:"10s" help:"Of each state of the counter (${default})."`
	Seed  uint64        `default:"1" help:"Of all that is drawn (${default})."`
}

func (c counterCmd) Run(ctx context.Context, dir folder) error {
	return soak.Quota(ctx, soak.QuotaConfig{Program: cli.Program, Dir: string(dir), Phase: c.Phase, Seed: c.Seed, Out: os.Stdout})
}

// folder is the path of the folder for the nodes' files.
type folder string

func main() {
	app := kong.Parse(&cli, kong.Name("soak"), kong.Description("A long run of dewhitch among failures, with a reckoning."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	dir, err := os.MkdirTemp("", "soak")
	app.FatalIfErrorf(err)
	app.BindTo(ctx, (*context.Context)(nil))
	if err = app.Run(folder(dir)); err == nil {
		os.RemoveAll(dir)
	} else {
		app.Errorf("the nodes' files are in %s", dir)
	}
	app.FatalIfErrorf(err)
}
