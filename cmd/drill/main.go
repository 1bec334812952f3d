// Command drill plays scenarios on several processes of dewhitch, with faults between them, and judges them.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
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
	r, err := drill.Rest{Program: c.Program, Dir: dir, Processes: c.Processes, Length: c.Length, Uncoordinated: c.Uncoordinated}.Run(ctx)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(r)
}

type listCmd struct{}

func (listCmd) Run() error {
	all, err := drill.List()
	for _, s := range all {
		fmt.Printf("%-18s %s\n", s.Name, s.About)
	}
	return err
}

type checkCmd struct {
	File string `arg:"" help:"A name of the library, or a file."`
}

func (c checkCmd) Run() error {
	s, err := drill.Find(c.File, drill.Size{})
	if err != nil {
		return err
	}
	fmt.Printf("%s is good: %d gateways and %d servers in %d zones, %d events in %v\n", s.Name, len(s.Zones)*s.Gateways,
		len(s.Zones)*s.Servers, len(s.Zones), len(s.Events), s.Length)
	return nil
}

type runCmd struct {
	File          string `arg:"" help:"A name of the library, or a file."`
	Program       string `default:"bin/dewhitch" help:"The program, built (${default})."`
	Seed          uint64 `default:"1" help:"Of all that is drawn (${default})."`
	JSON          string `help:"Where to write what it came to; - for standard output."`
	HTML          string `help:"Where to write a page with plots."`
	Uncoordinated bool   `help:"Play it without the fleet view."`
	Told          bool   `help:"Play it without the fleet view, with discovery services that tell of servers' troubles as they begin and end: the most that can be had."`
	Gateways      int    `help:"In each zone, in place of what the scenario says."`
	Quiet         bool   `help:"Print no line a second."`
}

func (c runCmd) Run(ctx context.Context) error {
	s, err := drill.Find(c.File, drill.Size{Gateways: c.Gateways})
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return err
	}
	var lines io.Writer = os.Stderr
	if c.Quiet {
		lines = nil
	}
	r, err := drill.Run(ctx, s, drill.Options{Program: c.Program, Dir: dir, Seed: c.Seed, Uncoordinated: c.Uncoordinated, Told: c.Told, Lines: lines})
	if err != nil && !errors.Is(err, drill.ErrFell) {
		return fmt.Errorf("%w (the processes' files are in %s)", err, dir)
	}
	defer os.RemoveAll(dir)
	text, jsonErr := json.MarshalIndent(r, "", "  ")
	if jsonErr != nil {
		return jsonErr
	}
	text = append(text, '\n')
	switch c.JSON {
	case "":
	case "-":
		os.Stdout.Write(text)
	default:
		if err := os.WriteFile(c.JSON, text, 0o644); err != nil {
			return err
		}
	}
	if c.HTML != "" {
		var b bytes.Buffer
		if err := drill.Page(&b, r); err != nil {
			return err
		}
		if err := os.WriteFile(c.HTML, b.Bytes(), 0o644); err != nil {
			return err
		}
	}
	fmt.Fprintf(os.Stderr, "%s, seed %d: served %.4f, %.4f in the worst 5 s, of %d reqs; lost %d; CPU a req %.0f µs\n", r.Scenario, r.Seed,
		r.Served, r.Worst, r.Reqs, r.Lost, r.CPU)
	if f := r.Fleet; f != nil {
		fmt.Fprintf(os.Stderr, "%d plans, each acted on by a gateway after %.3f s (median), %.3f s (worst); %.0f bytes a second a gateway\n", f.Plans,
			f.SeenMedian, f.SeenWorst, r.FleetBytes)
	}
	for _, t := range r.Troubles {
		first, last := t.Left()
		fmt.Fprintf(os.Stderr, "%s from %.1f to %.1f s: %d sent there, %d in the last 5 s; gateways' last reqs before any probe after %.2f to %.2f s\n", t.What,
			t.At, t.Until, t.Sent, t.Last, first, last)
	}
	if k := r.Work; k != nil {
		fmt.Fprintf(os.Stderr, "%d of %d machines were worked on within %.0f s, %d at once at most\n", len(k.Turns), k.Asked, k.Over, k.MostOut)
	}
	if n := len(r.Returns); n > 0 {
		worst, slack, full := 0.0, 0.0, 0.0
		for _, b := range r.Returns {
			worst, slack = max(worst, b.Worst), max(slack, b.Slack)
			if full = max(full, b.Full); b.Full == 0 {
				full = math.Inf(1)
			}
		}
		fmt.Fprintf(os.Stderr, "%d servers came back cold: sent %.2f of what one could do in its worst second (%.2f of that and three roots); full share after %.1f s\n",
			n, worst, slack, full)
	}
	for _, b := range append(r.Breaches, r.Fallen...) {
		fmt.Fprintln(os.Stderr, "FELL:", b)
	}
	return err
}

func main() {
	k := kong.Parse(&cli, kong.Name("drill"), kong.Description("Plays scenarios on several processes of dewhitch, with faults between them."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		stop()
		if errors.Is(err, drill.ErrFell) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}
