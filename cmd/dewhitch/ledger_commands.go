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

// ledgerCmd reads a ledger's folder, which may be in use by a running gateway. None of its commands writes to a folder.
type ledgerCmd struct {
	Show   ledgerShow   `cmd:"" help:"Print the figures of a folder, by plan and class or by haulier."`
	Verify ledgerVerify `cmd:"" help:"Check that figures add up; print the rows that do not, and end with 1 if there are any."`
	Export ledgerExport `cmd:"" help:"Print the records behind a number, as JSON lines or CSV."`
	Merge  ledgerMerge  `cmd:"" help:"Add up the exports of several nodes."`
}

// ledgerShow prints the counts of a ledger's folder.
type ledgerShow struct {
	Dir        string `arg:"" help:"The folder (ledger.dir)."`
	ByCustomer bool   `name:"hauliers" help:"A line for each haulier that is in memory."`
}

func (c ledgerShow) Run() error {
	view, err := store.Read(c.Dir)
	if err != nil {
		return err
	}
	fmt.Printf("%s (%s), life %d: %d postings behind the last statement, %d open, records %d to %d\n", view.Node, view.Role,
		view.Incarnation, view.Replayed, view.Ledger.OpenCount(), view.First, view.Last)
	for _, note := range view.Notes {
		fmt.Println("note:", note)
	}
	_, lines := view.Ledger.Sums()
	if c.ByCustomer {
		lines = view.Ledger.Lines()
	}
	return statement.WriteTable(os.Stdout, statementSums(view, lines, c.ByCustomer))
}

// statementSums converts ledger lines to the sums of a statement's table, with or without the customers' names.
func statementSums(view *store.View, lines []ledger.Line, withCustomer bool) []statement.Sum {
	var sums []statement.Sum
	for _, line := range lines {
		name := statement.RowName{Plan: view.Names.Plan(line.Key.Plan), Class: view.Names.Class(line.Key.Class)}
		if withCustomer {
			name.Customer = ledger.CustomerText(line.Key.Customer)
		}
		sums = append(sums, statement.Sum{RowName: name, Counts: line.Counts, ClientAttempts: line.Counts.N[ledger.FrontTaken]})
	}
	return sums
}

// ledgerVerify audits ledgers' folders and exports.
type ledgerVerify struct {
	From []string `arg:"" help:"Folders, or files of JSON lines; - is the standard input."`
}

// errInconsistent reports that figures don't add up. The faults are printed, one per line, before it is returned.
var errInconsistent = errors.New("the figures do not add up")

func (c ledgerVerify) Run() error {
	merged := statement.NewMerged()
	faults := 0
	for _, source := range c.From {
		if info, err := os.Stat(source); err != nil || !info.IsDir() {
			if err := addFile(merged, source); err != nil {
				return err
			}
			continue
		}
		folderFaults, err := auditFolder(merged, source)
		if err != nil {
			return err
		}
		faults += folderFaults
	}
	for _, err := range merged.Verify() {
		fmt.Println(err)
		faults++
	}
	if faults > 0 {
		return errInconsistent
	}
	fmt.Printf("%d nodes add up\n", len(merged.Nodes))
	return nil
}

// auditFolder prints the faults of a ledger's folder, returns their number, and adds the folder's records to merged.
func auditFolder(merged *statement.Merged, dir string) (faults int, err error) {
	view, err := store.Read(dir)
	if err != nil {
		return 0, err
	}
	for _, note := range view.Notes {
		fmt.Printf("%s: note: %s\n", view.Node, note)
	}
	for _, fault := range view.Ledger.Audit(true) {
		fmt.Printf("%s: haulier %s, plan %s, class %s: %s\n", view.Node, ledger.CustomerText(fault.Key.Customer),
			view.Names.Plan(fault.Key.Plan), view.Names.Class(fault.Key.Class), fault)
		faults++
	}
	return faults, store.Records(dir, 0, func(_ []byte, r statement.Record) error {
		merged.Add(r)
		return nil
	})
}

// addFile adds the records of a file of JSON lines to merged. The path - stands for the standard input.
func addFile(merged *statement.Merged, path string) error {
	input := os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close()
		input = file
	}
	if err := statement.Read(input, func(r statement.Record) error {
		merged.Add(r)
		return nil
	}); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// ledgerExport prints the records of a ledger's folder.
type ledgerExport struct {
	Dir    string        `arg:"" help:"The folder (ledger.dir)."`
	After  uint64        `help:"The number of the last record that the reader has."`
	CSV    bool          `name:"csv" help:"CSV instead of JSON lines."`
	Follow time.Duration `help:"Look for further records so often, until interrupted."`
}

func (c ledgerExport) Run() error { return c.write(os.Stdout) }

// write exports the records after c.After to w. If c.Follow is positive, it exports further records at intervals of c.Follow
// until an error occurs.
func (c ledgerExport) write(w io.Writer) error {
	out := bufio.NewWriter(w)
	var csvWriter *statement.CSV // nil if the output is JSON lines
	if c.CSV {
		var err error
		if csvWriter, err = statement.NewCSV(out); err != nil {
			return err
		}
	}
	for {
		if err := c.writeNew(out, csvWriter); err != nil || c.Follow <= 0 {
			return err
		}
		time.Sleep(c.Follow)
	}
}

// writeNew exports the records after c.After, and sets c.After to the last one. It reports records that the folder has dropped on
// standard error.
func (c *ledgerExport) writeNew(out *bufio.Writer, csvWriter *statement.CSV) error {
	err := store.Records(c.Dir, c.After, func(line []byte, r statement.Record) error {
		if c.After > 0 && r.Seq != c.After+1 {
			fmt.Fprintf(os.Stderr, "records %d to %d are no longer kept\n", c.After+1, r.Seq-1)
		}
		c.After = r.Seq
		if csvWriter != nil {
			return csvWriter.Write(r)
		}
		_, err := out.Write(append(append([]byte(nil), line...), '\n'))
		return err
	})
	if err != nil {
		return err
	}
	if csvWriter != nil {
		if err := csvWriter.Flush(); err != nil {
			return err
		}
	}
	return out.Flush()
}

// ledgerMerge prints the sums of several exports.
type ledgerMerge struct {
	Files      []string `arg:"" help:"Exports as JSON lines; - is the standard input."`
	ByCustomer bool     `name:"hauliers" help:"A line for each haulier."`
}

func (c ledgerMerge) Run() error {
	merged := statement.NewMerged()
	for _, path := range c.Files {
		if err := addFile(merged, path); err != nil {
			return err
		}
	}
	return writeMerged(os.Stdout, merged, c.ByCustomer)
}

// writeMerged prints the figures of merged records, with a line for each customer if byCustomer is true. It returns
// errInconsistent if the figures don't add up.
func writeMerged(w io.Writer, merged *statement.Merged, byCustomer bool) error {
	writeNodes(w, merged)
	if err := statement.WriteTable(w, merged.Sums(byCustomer)); err != nil {
		return err
	}
	all, acrossNodes, overlapping, servedTwice := merged.Bookings()
	fmt.Fprintf(w, "bookings by key: %d; with tries through several nodes: %d, of these with two tries open at once: %d; "+
		"served more than once: %d\n", all, acrossNodes, overlapping, servedTwice)
	faults := merged.Verify()
	for _, err := range faults {
		fmt.Fprintln(w, err)
	}
	if len(faults) > 0 {
		return errInconsistent
	}
	return nil
}

// writeNodes prints a line for each gap in the records of a node, and then one line with all nodes.
func writeNodes(w io.Writer, merged *statement.Merged) {
	var nodes []string
	for name, node := range merged.Nodes {
		nodes = append(nodes, fmt.Sprintf("%s (%s, %d lives)", name, node.Role, node.Incarnations))
		if node.First > 1 {
			fmt.Fprintf(w, "%s: its records before %d are missing\n", name, node.First)
		}
		for _, note := range node.Gaps {
			fmt.Fprintf(w, "%s: note: %s\n", name, note)
		}
	}
	fmt.Fprintln(w, strings.Join(nodes, ", "))
}
