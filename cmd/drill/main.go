// Command drill runs scenarios on several processes of dewhitch, injects faults between them, and checks rules and expectations.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"dewhitch/internal/drill"
)

var cli struct {
	List  listCmd  `cmd:"" help:"List the scenarios of the library."`
	Check checkCmd `cmd:"" help:"Read a scenario and say what is wrong with it; play nothing."`
	Run   runCmd   `cmd:"" help:"Play a scenario. It ends with 0: all held; 1: a check fell; 2: it could not run."`
	Rest  restCmd  `cmd:"" help:"Measure what a fleet of many processes costs while nothing happens."`
}

// restCmd measures the cost of an idle fleet and prints the result as JSON.
type restCmd struct {
	Program       string        `default:"bin/dewhitch" help:"The program, built (${default})."`
	Processes     int           `default:"100" help:"How many (${default})."`
	Length        time.Duration `default:"20s" help:"Of the measurement (${default})."`
	Uncoordinated bool          `help:"Without the fleet view."`
}

func (c restCmd) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	result, err := drill.IdleFleet{
		Program:       c.Program,
		Dir:           dir,
		Processes:     c.Processes,
		Length:        c.Length,
		Uncoordinated: c.Uncoordinated,
	}.Run(ctx)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

// listCmd prints the names and descriptions of the library's scenarios.
type listCmd struct{}

func (listCmd) Run() error {
	scenarios, err := drill.List()
	for _, s := range scenarios {
		fmt.Printf("%-18s %s\n", s.Name, s.Description)
	}
	return err
}

// checkCmd validates a scenario without running it.
type checkCmd struct {
	File string `arg:"" help:"A name of the library, or a file."`
}

func (c checkCmd) Run() error {
	s, err := drill.Find(c.File, drill.Size{})
	if err != nil {
		return err
	}
	zones := len(s.Zones)
	fmt.Printf("%s is good: %d gateways and %d servers in %d zones, %d events in %v\n",
		s.Name, zones*s.Gateways, zones*s.Servers, zones, len(s.Events), s.Length)
	return nil
}

// Exit codes of a command that failed.
const (
	exitCheckFailed = 1
	exitNotRun      = 2
)

func main() {
	k := kong.Parse(&cli, kong.Name("drill"), kong.Description("Plays scenarios on several processes of dewhitch, with faults between them."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		stop()
		if errors.Is(err, drill.ErrCheckFailed) {
			os.Exit(exitCheckFailed)
		}
		os.Exit(exitNotRun)
	}
}
