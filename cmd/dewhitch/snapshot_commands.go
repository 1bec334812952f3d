package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	dw "dewhitch"
	"dewhitch/internal/snapshot"
)

// snapshotCmd reads a snapshot of the decision module's state. The gateway that writes the snapshots may be running.
type snapshotCmd struct {
	Show   snapshotShow   `cmd:"" help:"Print what a snapshot holds."`
	Verify snapshotVerify `cmd:"" help:"Tell whether a snapshot is whole, and why not; end with 1 if it is not."`
}

// snapshotShow prints a snapshot as tables or, if JSON is true, completely as JSON.
type snapshotShow struct {
	File string `arg:"" help:"The file (dewhitch-NAME.LIFE.snapshot)."`
	JSON bool   `help:"All of it, as JSON."`
}

func (c snapshotShow) Run() error {
	generation, image, err := snapshot.Read(c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(struct {
			Generation snapshot.Generation `json:"Generation"`
			*snapshot.Image
		}{generation, image})
	}
	return printSnapshot(generation, image, time.Now())
}

// printSnapshot prints a table of servers and a table of customers, in which the customers with the lowest level come first. It
// sorts the image's customers in place.
func printSnapshot(generation snapshot.Generation, image *snapshot.Image, now time.Time) error {
	state := &image.State
	fmt.Printf("%s, gateway %d of %d, life %d, write %d, %s old\n", image.Node, image.Self, image.Instances, generation.Incarnation,
		generation.Number, now.Sub(time.Unix(0, int64(state.At))).Round(time.Millisecond))
	fmt.Printf("latency %.1f ms, %d servers, %d customers, plans %v, classes %v\n", 1000*state.Latency, len(state.Servers),
		len(state.Customers), image.Plans, image.Classes)
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	printServers(w, state)
	printCustomers(w, state, image.Plans)
	return w.Flush()
}

// printServers writes a row for each server, with the number of classes for which failures of the server are recorded.
func printServers(w io.Writer, state *dw.State) {
	fmt.Fprintln(w, "\nserver\tlatency\tmeasured before\tclasses that failed")
	for _, s := range state.Servers {
		failed := 0
		for _, f := range s.Failures {
			failed += min(1, f.Count)
		}
		measured := "never"
		if s.MeasuredAt > 0 {
			age := time.Unix(0, int64(state.At)).Sub(time.Unix(0, int64(s.MeasuredAt)))
			measured = age.Round(time.Millisecond).String()
		}
		fmt.Fprintf(w, "s-%08x\t%.1f ms\t%s\t%d\n", uint32(s.ID), 1000*s.Latency, measured, failed)
	}
}

// printCustomers writes a row for each customer, and sorts the customers by level. The last column is true for a blocked customer.
func printCustomers(w io.Writer, state *dw.State, plans []snapshot.Plan) {
	fmt.Fprintln(w, "\ncustomer\tplan\tlevel\town use/s\tothers' use/s\tcount\tlisted")
	slices.SortFunc(state.Customers, func(a, b dw.AccountState) int { return int(min(1, max(-1, a.Level-b.Level))) })
	for _, c := range state.Customers {
		plan := "?"
		if c.Plan >= 0 && c.Plan < len(plans) {
			plan = plans[c.Plan].Name
		}
		fmt.Fprintf(w, "%016x\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%v\n", uint64(c.ID), plan, c.Level, c.OwnRate, c.OthersRate,
			c.WindowTotal, c.BlockedUntil > state.At)
	}
}

// snapshotVerify checks that a snapshot can be read and that its values are valid.
type snapshotVerify struct {
	File string `arg:"" help:"The file."`
}

func (c snapshotVerify) Run() error {
	generation, image, err := snapshot.Read(c.File)
	if err == nil {
		err = snapshot.Check(image)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Printf("%s: whole, life %d, write %d\n", c.File, generation.Incarnation, generation.Number)
	return nil
}
