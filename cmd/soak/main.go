// Command soak runs gateways and a forwarder under load among stand-ins that fail, kills one every so often, and prints
// what the books say beside what everybody else saw. It ends with 1 if they do not agree.
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
	Program  string        `default:"bin/dewhitch" help:"The program, built (${default})."`
	Length   time.Duration `default:"10m" help:"Of the load (${default})."`
	Kill     time.Duration `default:"10s" help:"Between two kills (${default})."`
	Hauliers int           `default:"24" help:"That come to the gateways; half as many more come through the forwarder (${default})."`
	Seed     uint64        `default:"1" help:"Of all that is drawn (${default})."`
}

func main() {
	k := kong.Parse(&cli, kong.Name("soak"), kong.Description("A long run of dewhitch among failures, with a reckoning."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	dir, err := os.MkdirTemp("", "soak")
	k.FatalIfErrorf(err)
	err = soak.Run(ctx, soak.Plan{Program: cli.Program, Dir: dir, Length: cli.Length, Kill: cli.Kill, Seed: cli.Seed,
		Hauliers: cli.Hauliers, Out: os.Stdout})
	if err == nil {
		os.RemoveAll(dir)
	} else {
		k.Errorf("the nodes' files are in %s", dir)
	}
	k.FatalIfErrorf(err)
}
