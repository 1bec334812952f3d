package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
	"dewhitch/internal/ledger/store"
)

// ledgerCmd reads books beside a gateway that may be at work, or after it has ended. None of it writes to a folder.
type ledgerCmd struct {
	Show   ledgerShow   `cmd:"" help:"Print the figures of a folder, by plan and class or by haulier."`
	Verify ledgerVerify `cmd:"" help:"Check that figures add up; print the rows that do not, and end with 1 if there are any."`
	Export ledgerExport `cmd:"" help:"Print the records behind a number, as JSON lines or CSV."`
	Merge  ledgerMerge  `cmd:"" help:"Add up the exports of several nodes."`
}

type ledgerShow struct {
	Dir      string `arg:"" help:"The folder (ledger.dir)."`
	Hauliers bool   `help:"A line for each haulier that is in memory."`
}

func (c ledgerShow) Run() error {
	v, err := store.Read(c.Dir)
	if err != nil {
		return err
	}
	fmt.Printf("%s (%s), life %d: %d postings behind the last statement, %d open, records %d to %d\n", v.Node, v.Role, v.Life,
		v.Replayed, v.Ledger.Open(), v.First, v.Last)
	for _, note := range v.Notes {
		fmt.Println("note:", note)
	}
	_, lines := v.Ledger.Sums()
	if c.Hauliers {
		lines = v.Ledger.Lines()
	}
	var sums []statement.Sum
	for _, line := range lines {
		haulier := ledger.HaulierText(line.Key.Customer)
		if !c.Hauliers {
			haulier = ""
		}
		sums = append(sums, statement.Sum{Name: statement.Name{Haulier: haulier, Plan: v.Names.Plan(line.Key.Plan),
			Class: v.Names.Class(line.Key.Class)}, Counts: line.Counts, Tries: line.Counts.N[ledger.FrontTaken]})
	}
	return statement.WriteTable(os.Stdout, sums)
}

type ledgerVerify struct {
	From []string `arg:"" help:"Folders, or files of JSON lines; - is the standard input."`
}

// errDoesNotAddUp has been told line by line.
var errDoesNotAddUp = errors.New("the figures do not add up")

func (c ledgerVerify) Run() error {
	bad, m := false, statement.NewMerged()
	say := func(err error) {
		bad = true
		fmt.Println(err)
	}
	for _, from := range c.From {
		if info, err := os.Stat(from); err != nil || !info.IsDir() {
			if err := addFile(m, from); err != nil {
				return err
			}
			continue
		}
		v, err := store.Read(from)
		if err != nil {
			return err
		}
		for _, note := range v.Notes {
			fmt.Printf("%s: note: %s\n", v.Node, note)
		}
		for _, f := range v.Ledger.Audit(true) {
			say(fmt.Errorf("%s: haulier %s, plan %s, class %s: %s", v.Node, ledger.HaulierText(f.Key.Customer),
				v.Names.Plan(f.Key.Plan), v.Names.Class(f.Key.Class), f))
		}
		if err := store.Records(from, 0, func(_ []byte, r statement.Record) error {
			m.Add(r)
			return nil
		}); err != nil {
			return err
		}
	}
	for _, err := range m.Verify() {
		say(err)
	}
	if bad {
		return errDoesNotAddUp
	}
	fmt.Printf("%d nodes add up\n", len(m.Nodes))
	return nil
}

func addFile(m *statement.Merged, path string) error {
	from := os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		from = f
	}
	if err := statement.Read(from, func(r statement.Record) error {
		m.Add(r)
		return nil
	}); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

type ledgerExport struct {
	Dir    string        `arg:"" help:"The folder (ledger.dir)."`
	After  uint64        `help:"The number of the last record that the reader has."`
	CSV    bool          `name:"csv" help:"CSV instead of JSON lines."`
	Follow time.Duration `help:"Look for further records so often, until interrupted."`
}

func (c ledgerExport) Run() error { return c.write(os.Stdout) }

func (c ledgerExport) write(to io.Writer) error {
	out := bufio.NewWriter(to)
	var table *statement.CSV
	if c.CSV {
		var err error
		if table, err = statement.NewCSV(out); err != nil {
			return err
		}
	}
	for {
		err := store.Records(c.Dir, c.After, func(line []byte, r statement.Record) error {
			if c.After > 0 && r.Seq != c.After+1 {
				fmt.Fprintf(os.Stderr, "records %d to %d are no longer kept\n", c.After+1, r.Seq-1)
			}
			c.After = r.Seq
			if table != nil {
				return table.Write(r)
			}
			_, err := out.Write(append(append([]byte(nil), line...), '\n'))
			return err
		})
		if err == nil && table != nil {
			err = table.Flush()
		}
		if err == nil {
			err = out.Flush()
		}
		if err != nil || c.Follow <= 0 {
			return err
		}
		time.Sleep(c.Follow)
	}
}

type ledgerMerge struct {
	Files    []string `arg:"" help:"Exports as JSON lines; - is the standard input."`
	Hauliers bool     `help:"A line for each haulier."`
}

func (c ledgerMerge) Run() error {
	m := statement.NewMerged()
	for _, path := range c.Files {
		if err := addFile(m, path); err != nil {
			return err
		}
	}
	return writeMerged(os.Stdout, m, c.Hauliers)
}

// writeMerged prints what merged records say, and fails if they do not add up.
func writeMerged(to io.Writer, m *statement.Merged, hauliers bool) error {
	var nodes []string
	for name, n := range m.Nodes {
		nodes = append(nodes, fmt.Sprintf("%s (%s, %d lives)", name, n.Role, n.Lives))
		if n.First > 1 {
			fmt.Fprintf(to, "%s: its records before %d are missing\n", name, n.First)
		}
		for _, note := range n.Gaps {
			fmt.Fprintf(to, "%s: note: %s\n", name, note)
		}
	}
	fmt.Fprintln(to, strings.Join(nodes, ", "))
	if err := statement.WriteTable(to, m.Sums(hauliers)); err != nil {
		return err
	}
	all, across, overlapping, twice := m.Bookings()
	fmt.Fprintf(to, "bookings by key: %d; with tries through several nodes: %d, of these with two tries open at once: %d; "+
		"served more than once: %d\n", all, across, overlapping, twice)
	wrong := m.Verify()
	for _, err := range wrong {
		fmt.Fprintln(to, err)
	}
	if len(wrong) > 0 {
		return errDoesNotAddUp
	}
	return nil
}
