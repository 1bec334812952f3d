package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	dw "dewhitch"
	"dewhitch/internal/snapshot"
)

// snapshotCmd reads a snapshot of what a gateway has learnt, beside a gateway that may be at work.
type snapshotCmd struct {
	Show   snapshotShow   `cmd:"" help:"Print what a snapshot holds."`
	Verify snapshotVerify `cmd:"" help:"Tell whether a snapshot is whole, and why not; end with 1 if it is not."`
}

type snapshotShow struct {
	File string `arg:"" help:"The file (dewhitch-NAME.LIFE.snapshot)."`
	JSON bool   `help:"All of it, as JSON."`
}

func (c snapshotShow) Run() error {
	g, m, err := snapshot.Read(c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(struct {
			Generation snapshot.Generation `json:"Generation"`
			*snapshot.Image
		}{g, m})
	}
	return show(g, m, time.Now())
}

// show prints a table of servers and one of customers, those that used most of their store first.
func show(g snapshot.Generation, m *snapshot.Image, now time.Time) error {
	l := &m.State
	age := func(i dw.Instant) string {
		return time.Unix(0, int64(l.At)).Sub(time.Unix(0, int64(i))).Round(time.Millisecond).String()
	}
	fmt.Printf("%s, gateway %d of %d, life %d, write %d, %s old\n", m.Node, m.Self, m.Instances, g.Life, g.Number,
		now.Sub(time.Unix(0, int64(l.At))).Round(time.Millisecond))
	fmt.Printf("latency %.1f ms, %d servers, %d customers, plans %v, classes %v\n", 1000*l.Latency, len(l.Servers),
		len(l.Customers), m.Plans, m.Classes)
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "\nserver\tlatency\tmeasured before\tclasses that failed")
	for _, v := range l.Servers {
		failed := 0
		for _, d := range v.Failures {
			failed += min(1, d.Count)
		}
		measured := "never"
		if v.Measured > 0 {
			measured = age(v.Measured)
		}
		fmt.Fprintf(w, "s-%08x\t%.1f ms\t%s\t%d\n", uint32(v.ID), 1000*v.Latency, measured, failed)
	}
	fmt.Fprintln(w, "\ncustomer\tplan\tlevel\town use/s\tothers' use/s\tcount\tlisted")
	slices.SortFunc(l.Customers, func(a, b dw.AccountState) int { return int(min(1, max(-1, a.Level-b.Level))) })
	for _, c := range l.Customers {
		plan := "?"
		if c.Plan >= 0 && c.Plan < len(m.Plans) {
			plan = m.Plans[c.Plan].Name
		}
		fmt.Fprintf(w, "%016x\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%v\n", uint64(c.ID), plan, c.Level, c.OwnRate, c.OthersRate, c.WindowTotal, c.BlockedUntil > l.At)
	}
	return w.Flush()
}

type snapshotVerify struct {
	File string `arg:"" help:"The file."`
}

func (c snapshotVerify) Run() error {
	g, m, err := snapshot.Read(c.File)
	if err == nil {
		err = snapshot.Check(m)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Printf("%s: whole, life %d, write %d\n", c.File, g.Life, g.Number)
	return nil
}
