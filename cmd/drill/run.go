package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"dewhitch/internal/drill"
)

// runCmd runs a scenario, writes its result as JSON and as an HTML page if requested, and prints a summary.
type runCmd struct {
	File           string `arg:"" help:"A name of the library, or a file."`
	Program        string `default:"bin/dewhitch" help:"The program, built (${default})."`
	Seed           uint64 `default:"1" help:"Of all that is drawn (${default})."`
	JSON           string `help:"Where to write what it came to; - for standard output."`
	HTML           string `help:"Where to write a page with plots."`
	Uncoordinated  bool   `help:"Play it without the fleet view."`
	AnnounceFaults bool   `name:"told" help:"Play it without the fleet view, with discovery services that tell of servers' troubles as they begin and end: the most that can be had."`
	Gateways       int    `help:"In each zone, in place of what the scenario says."`
	Quiet          bool   `help:"Print no line a second."`
}

// Run returns drill.ErrCheckFailed if a check failed, after all results are written. Any other error means that the scenario
// could not be run or a result could not be written. If the scenario could not be run, the processes' files are kept for
// diagnosis.
func (c runCmd) Run(ctx context.Context) error {
	scenario, err := drill.Find(c.File, drill.Size{Gateways: c.Gateways})
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return err
	}
	result, runErr := drill.Run(ctx, scenario, c.options(dir))
	if runErr != nil && !errors.Is(runErr, drill.ErrCheckFailed) {
		return fmt.Errorf("%w (the processes' files are in %s)", runErr, dir)
	}
	defer os.RemoveAll(dir)
	if err := c.writeJSON(result); err != nil {
		return err
	}
	if err := c.writePage(result); err != nil {
		return err
	}
	printSummary(os.Stderr, result)
	return runErr
}

func (c runCmd) options(dir string) drill.Options {
	var lines io.Writer = os.Stderr
	if c.Quiet {
		lines = nil
	}
	return drill.Options{
		Program:        c.Program,
		Dir:            dir,
		Seed:           c.Seed,
		Uncoordinated:  c.Uncoordinated,
		AnnounceFaults: c.AnnounceFaults,
		Progress:       lines,
	}
}

// writeJSON writes the result to the file that --json names, or to standard output.
func (c runCmd) writeJSON(result *drill.Result) error {
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	text = append(text, '\n')
	switch c.JSON {
	case "":
		return nil
	case "-":
		os.Stdout.Write(text)
		return nil
	default:
		return os.WriteFile(c.JSON, text, 0o644)
	}
}

// writePage writes the page to the file that --html names.
func (c runCmd) writePage(result *drill.Result) error {
	if c.HTML == "" {
		return nil
	}
	var page bytes.Buffer
	if err := drill.Page(&page, result); err != nil {
		return err
	}
	return os.WriteFile(c.HTML, page.Bytes(), 0o644)
}
