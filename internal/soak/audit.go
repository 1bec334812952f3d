package soak

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
	"dewhitch/internal/ledger/store"
	"dewhitch/internal/standin"
)

// ledgerRow is what the ledgers hold of a row. Cut is what a crash, or the client's leaving, kept from being answered.
type ledgerRow struct {
	ledger.Counts
}

func (b *ledgerRow) answered() uint64 {
	return b.N[ledger.FrontServed] + b.N[ledger.FrontRejected] + b.N[ledger.FrontFailed]
}

// cut is what the books have as taken and not as answered.
func (b *ledgerRow) cut() uint64 { return b.N[ledger.FrontTaken] - b.answered() }

// auditResult collects what the audit of a run found.
type auditResult struct {
	rows     map[Row]*ledgerRow
	accounts map[uint64]*ledger.Counts // by customer
	merged   *statement.Merged
	lives    uint64
	kills    int
	faults   []string
}

func (r *auditResult) fail(format string, a ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, a...))
}

// err is all that does not agree, up to maxFaults lines of it; nil: everything agrees.
func (r *auditResult) err() error {
	const maxFaults = 30
	if len(r.faults) == 0 {
		return nil
	}
	var b bytes.Buffer
	for _, line := range r.faults[:min(len(r.faults), maxFaults)] {
		fmt.Fprintln(&b, line)
	}
	return errors.New("the figures do not agree:\n" + b.String())
}

// audit compares the ledgers, as the folders and their exports hold them, with what clients, backends and the counter
// saw. Where nothing was lost on the way, figures must be equal; where a session ended with answers owed, each side is
// held to the most that the other can have missed.
func (env *environment) audit() error {
	r := &auditResult{rows: map[Row]*ledgerRow{}, accounts: map[uint64]*ledger.Counts{}, merged: statement.NewMerged()}
	for _, n := range env.nodes {
		if err := env.readLedger(n, r); err != nil {
			return err
		}
	}
	for _, err := range r.merged.Verify() {
		r.fail("merged: %v", err)
	}
	exact := env.compareClients(r.rows, r.fail)
	env.compareForwarder(r.rows, r.fail)
	env.compareAttempts(r.rows, r.fail)
	env.compareUnits(r.accounts, r.fail)
	for _, fault := range env.tallies.wrongAnswers {
		r.fail("%s", fault)
	}
	env.printTable(r.rows)
	fmt.Fprintf(env.Out, "%d kills, %d lives; %d of %d rows agree with the clients to the request, the others within what was lost with "+
		"their sessions\n", r.kills, r.lives, exact, len(env.tallies.rows))
	all, across, overlapping, twice := r.merged.Bookings()
	fmt.Fprintf(env.Out, "bookings by key: %d; through several gateways: %d, of these with two tries open at once: %d; served to two "+
		"tries: %d\n", all, across, overlapping, twice)
	if across == 0 || r.kills == 0 {
		r.fail("%d kills and %d bookings through several gateways: the run was too short to show anything", r.kills, across)
	}
	if err := r.err(); err != nil {
		return err
	}
	fmt.Fprintln(env.Out, "all figures agree")
	return nil
}

// readLedger reads the folder and the export of a node, and compares the two.
func (env *environment) readLedger(n *node, r *auditResult) error {
	dir := filepath.Join(n.Dir, "ledger")
	view, err := store.Read(dir)
	if err != nil {
		return err
	}
	r.lives += view.Incarnation
	r.kills += n.Kills()
	for _, note := range view.Notes {
		r.fail("%s: %s", n.Name, note)
	}
	for _, f := range view.Ledger.Audit(true) {
		r.fail("%s: %+v: %v", n.Name, f.Key, f)
	}
	if err := store.Records(dir, 0, func(_ []byte, record statement.Record) error {
		r.merged.Add(record)
		return nil
	}); err != nil {
		return err
	}
	name := n.Name
	if n.role == statement.Forwarder {
		name = view.Node
	}
	for _, line := range view.Ledger.Lines() {
		row := Row{n.Name, line.Key.Customer, view.Names.Plan(line.Key.Plan), view.Names.Class(line.Key.Class)}
		if line.Key.Customer == ledger.Others {
			r.fail("%s rolled rows up: the run has too many hauliers for its books", n.Name)
		}
		if line.Key.Class == ledger.ClassAccount {
			if r.accounts[row.Customer] == nil {
				r.accounts[row.Customer] = &ledger.Counts{}
			}
			r.accounts[row.Customer].Add(&line.Counts)
		} else {
			r.rows[row] = &ledgerRow{line.Counts}
		}
		if stated := statedCounts(r.merged, name, row); stated != line.Counts {
			r.fail("%v: the export has %d taken, the books %d", row, stated.N[ledger.FrontTaken], line.Counts.N[ledger.FrontTaken])
		}
	}
	return nil
}

// statedCounts is what the records of a node's export add up to for a row.
func statedCounts(merged *statement.Merged, node string, row Row) ledger.Counts {
	m := merged.Nodes[node]
	if m == nil {
		return ledger.Counts{}
	}
	c := m.Rows[statement.RowName{Customer: ledger.CustomerText(row.Customer), Plan: row.Plan, Class: row.Class}]
	if c == nil {
		return ledger.Counts{}
	}
	return *c
}

// compareClients compares each row with what the clients saw of it, and returns how many agree in every figure.
func (env *environment) compareClients(rows map[Row]*ledgerRow, fail func(string, ...any)) (exact int) {
	env.tallies.mu.Lock()
	defer env.tallies.mu.Unlock()
	for r, t := range env.tallies.rows {
		b := rows[r]
		if b == nil {
			if b = (&ledgerRow{}); t.Sent > t.Lost {
				fail("%v: the clients have %d answers, and the books no row", r, t.Sent-t.Lost)
			}
		}
		taken, cut := b.N[ledger.FrontTaken], b.cut()
		if taken > t.Sent || taken+t.Lost < t.Sent {
			fail("%v: %d taken, %d sent, of which %d have no answer", r, taken, t.Sent, t.Lost)
		}
		all := true
		for what, c := range map[string][2]uint64{"served": {b.N[ledger.FrontServed], t.Served},
			"refused": {b.N[ledger.FrontRejected], t.Rejected}, "failed": {b.N[ledger.FrontFailed], t.Failed}} {
			// An answer may have been written and lost with its session; or have arrived, and the gateway was killed
			// before it was booked.
			if c[0] > c[1]+t.Lost || c[1] > c[0]+b.N[ledger.FrontCutoff]+b.N[ledger.FrontWriteFailed] {
				fail("%v: %d %s in the books, %d at the clients; %d lost there, %d cut off here", r, c[0], what, c[1], t.Lost, cut)
			}
			all = all && c[0] == c[1]
		}
		if t.Lost == 0 && (!all || taken != t.Sent) && b.N[ledger.FrontCutoff] == 0 {
			fail("%v: nothing was lost, and %d taken, %d sent", r, taken, t.Sent)
		}
		if all && taken == t.Sent {
			exact++
		}
	}
	for r, b := range rows {
		if env.tallies.rows[r] == nil && b.N[ledger.FrontTaken] > 0 && int(r.Customer) <= env.Customers {
			fail("%v: %d taken that nobody sent", r, b.N[ledger.FrontTaken])
		}
	}
	return exact
}

// compareForwarder compares what the forwarder passed on with what the gateways took of its customers.
func (env *environment) compareForwarder(rows map[Row]*ledgerRow, fail func(string, ...any)) {
	taken := map[Row]uint64{}
	for r, b := range rows {
		if r.Node != "forwarder" && int(r.Customer) > env.Customers {
			r.Node = "forwarder"
			taken[r] += b.N[ledger.FrontTaken]
		}
	}
	for r, b := range rows {
		if r.Node != "forwarder" {
			continue
		}
		answered := b.N[ledger.AttemptOK]
		highest := b.N[ledger.AttemptStarted] - b.N[ledger.AttemptNotSent] - b.N[ledger.AttemptRejected]
		if n := taken[r]; n < answered || n > highest {
			fail("%v: the gateways took %d of what the forwarder passed on: %d answered, %d in all", r, n, answered, highest)
		}
	}
	for r := range taken {
		if rows[r] == nil {
			fail("%v: the gateways took %d, the forwarder has no row", r, taken[r])
		}
	}
}

// compareAttempts compares the pools' books with what the backends saw.
func (env *environment) compareAttempts(rows map[Row]*ledgerRow, fail func(string, ...any)) {
	type key struct {
		haulier uint64
		class   string
	}
	type figures struct{ seen, served, begun, ok, replied uint64 }
	sums := map[key]*figures{}
	at := func(haulier uint64, class string) *figures {
		k := key{haulier, class}
		if sums[k] == nil {
			sums[k] = &figures{}
		}
		return sums[k]
	}
	for _, c := range env.backends.Commands() {
		h, _ := strconv.ParseUint(c.Customer, 16, 64)
		f := at(h, c.Class)
		f.seen++
		if c.Behaviour == standin.Serve || c.Behaviour == standin.TrailingBytes {
			f.served++
		}
	}
	for r, b := range rows {
		if r.Node == "forwarder" {
			continue
		}
		f := at(r.Customer, r.Class)
		f.begun += b.N[ledger.AttemptStarted] - b.N[ledger.AttemptNotSent] - b.N[ledger.AttemptConnectFailed]
		f.ok += b.N[ledger.AttemptOK]
		f.replied += b.N[ledger.AttemptOK] + b.N[ledger.AttemptError] + b.N[ledger.AttemptRejected]
	}
	for k, f := range sums {
		if f.seen > f.begun || f.replied > f.seen || f.ok > f.served {
			fail("haulier %d, %s: %d fetches that may have arrived, %d replied to, %d well; the backends saw %d and served %d",
				k.haulier, k.class, f.begun, f.replied, f.ok, f.seen, f.served)
		}
	}
}

// compareUnits compares the counter's books with the counter. Hauliers that give units back are left out: what of their calls
// is unknown may be of either sign.
func (env *environment) compareUnits(accounts map[uint64]*ledger.Counts, fail func(string, ...any)) {
	_, added := env.counter.Added()
	for h, c := range accounts {
		if h%4 == 0 {
			continue
		}
		got := ledger.MicroUnits(added[strconv.FormatUint(h, 36)])
		lowest := c.Units(ledger.CallAdded)
		highest := lowest + c.Units(ledger.CallUnknown) + c.Units(ledger.CallCutoff)
		if got < lowest-1 || got > highest+1 {
			fail("haulier %d: the counter was told %g units, the books say %g to %g", h, float64(got)/1e6, float64(lowest)/1e6,
				float64(highest)/1e6)
		}
	}
}

// printTable prints both sides by node, plan and class.
func (env *environment) printTable(rows map[Row]*ledgerRow) {
	type both struct {
		b ledger.Counts
		t Tally
	}
	sums := map[Row]*both{}
	at := func(r Row) *both {
		r.Customer = 0
		if sums[r] == nil {
			sums[r] = &both{}
		}
		return sums[r]
	}
	for r, b := range rows {
		if r.Node != "forwarder" && int(r.Customer) > env.Customers {
			continue // its client is the forwarder
		}
		at(r).b.Add(&b.Counts)
	}
	for r, t := range env.tallies.rows {
		at(r).t.add(t)
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Class, b.Class))
	})
	tw := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "node\tplan\tclass\tsent\ttaken\tserved\tat clients\trefused\tat clients\tfailed\tat clients\tgone, cut\tby crash\tlost at clients\t")
	for _, r := range keys {
		s := sums[r]
		n := &s.b.N
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Node, r.Plan, r.Class, s.t.Sent,
			n[ledger.FrontTaken], n[ledger.FrontServed], s.t.Served, n[ledger.FrontRejected], s.t.Rejected, n[ledger.FrontFailed],
			s.t.Failed, n[ledger.FrontClientDeparted]+n[ledger.FrontWriteFailed], n[ledger.FrontCutoff], s.t.Lost)
	}
	tw.Flush()
}
