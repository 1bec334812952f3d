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

// ledgerRow holds the counts of a row, as the ledger of its node has them.
type ledgerRow struct {
	ledger.Counts
}

// answered returns the number of requests that were answered: served, rejected or failed.
func (r *ledgerRow) answered() uint64 {
	return r.N[ledger.FrontServed] + r.N[ledger.FrontRejected] + r.N[ledger.FrontFailed]
}

// unanswered returns the number of requests that were taken but not answered, because of a crash or because the client
// disconnected.
func (r *ledgerRow) unanswered() uint64 { return r.N[ledger.FrontTaken] - r.answered() }

// auditResult collects the ledgers of all nodes and the faults that the audit finds.
type auditResult struct {
	rows         map[Row]*ledgerRow
	accounts     map[uint64]*ledger.Counts // counts of units, keyed by customer and summed over the nodes
	merged       *statement.Merged         // records of all exports
	incarnations uint64                    // number of incarnations of all nodes
	kills        int                       // number of kills of all nodes
	faults       []string
}

// fail records a fault.
func (r *auditResult) fail(format string, a ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, a...))
}

// err returns an error that lists up to maxFaults faults, or nil if there are none.
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

// audit compares the ledgers, as read from the nodes' folders and from their exports, with the records of the clients, the
// backends and the counter. The counts must be equal unless a session ended with requests unanswered; then they may differ by at
// most the number of requests or answers that were lost with such sessions. audit returns an error if they don't agree, or if the
// run had no kill or no booking through several gateways.
func (env *environment) audit() error {
	r := &auditResult{rows: map[Row]*ledgerRow{}, accounts: map[uint64]*ledger.Counts{}, merged: statement.NewMerged()}
	for _, n := range env.nodes {
		if err := env.readLedger(n, r); err != nil {
			return err
		}
	}
	for _, err := range r.merged.Verify() {
		r.fail("merged exports: %v", err)
	}
	exactRows := env.compareClients(r.rows, r.fail)
	env.compareForwarder(r.rows, r.fail)
	env.compareAttempts(r.rows, r.fail)
	env.compareUnits(r.accounts, r.fail)
	for _, fault := range env.tallies.wrongAnswers {
		r.fail("%s", fault)
	}
	env.printTable(r.rows)
	fmt.Fprintf(env.Out, "%d kills, %d lives; %d of %d rows agree with the clients to the request, the others within what was lost with "+
		"their sessions\n", r.kills, r.incarnations, exactRows, len(env.tallies.rows))
	total, across, overlapping, twice := r.merged.Bookings()
	fmt.Fprintf(env.Out, "bookings by key: %d; through several gateways: %d, of these with two tries open at once: %d; served to two "+
		"tries: %d\n", total, across, overlapping, twice)
	if across == 0 || r.kills == 0 {
		r.fail("%d kills and %d bookings through several gateways: the run was too short to show anything", r.kills, across)
	}
	if err := r.err(); err != nil {
		return err
	}
	fmt.Fprintln(env.Out, "all figures agree")
	return nil
}

// readLedger reads a node's ledger folder and its export into r and compares the two.
func (env *environment) readLedger(n *node, r *auditResult) error {
	dir := filepath.Join(n.Dir, "ledger")
	view, err := store.Read(dir)
	if err != nil {
		return err
	}
	r.incarnations += view.Incarnation
	r.kills += n.Kills()
	for _, note := range view.Notes {
		r.fail("%s: %s", n.Name, note)
	}
	for _, fault := range view.Ledger.Audit(true) {
		r.fail("%s: %+v: %v", n.Name, fault.Key, fault)
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
			r.fail("%s rolled rows up: the run has too many customers for the ledger's row limit", n.Name)
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
			r.fail("%v: the export and the ledger differ: %d taken in the export, %d in the ledger", row, stated.N[ledger.FrontTaken],
				line.Counts.N[ledger.FrontTaken])
		}
	}
	return nil
}

// statedCounts returns the sum of the records for a row in a node's export.
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

// compareClients compares each row with the clients' tally of it, and returns the number of rows in which all counts are equal.
func (env *environment) compareClients(rows map[Row]*ledgerRow, fail func(string, ...any)) (exact int) {
	env.tallies.mu.Lock()
	defer env.tallies.mu.Unlock()
	for row, tally := range env.tallies.rows {
		inLedger := rows[row]
		if inLedger == nil {
			if inLedger = (&ledgerRow{}); tally.Sent > tally.Lost {
				fail("%v: the clients have %d answers, but the ledger has no row", row, tally.Sent-tally.Lost)
			}
		}
		taken, unanswered := inLedger.N[ledger.FrontTaken], inLedger.unanswered()
		if taken > tally.Sent || taken+tally.Lost < tally.Sent {
			fail("%v: the gateway took %d requests, the clients sent %d, of which %d have no answer", row, taken, tally.Sent, tally.Lost)
		}
		equal := true
		for outcome, counts := range map[string][2]uint64{"served": {inLedger.N[ledger.FrontServed], tally.Served},
			"refused": {inLedger.N[ledger.FrontRejected], tally.Rejected}, "failed": {inLedger.N[ledger.FrontFailed], tally.Failed}} {
			// Either an answer was written and then lost with its session, or it arrived and the gateway was killed before it
			// recorded the answer.
			if counts[0] > counts[1]+tally.Lost || counts[1] > counts[0]+inLedger.N[ledger.FrontCutoff]+inLedger.N[ledger.FrontWriteFailed] {
				fail("%v: %d %s in the ledger, %d at the clients; %d answers lost at the clients, %d requests unanswered in the ledger",
					row, counts[0], outcome, counts[1], tally.Lost, unanswered)
			}
			equal = equal && counts[0] == counts[1]
		}
		if tally.Lost == 0 && (!equal || taken != tally.Sent) && inLedger.N[ledger.FrontCutoff] == 0 {
			fail("%v: no answer was lost, but the ledger differs from the clients' tally: %d taken, %d sent", row, taken, tally.Sent)
		}
		if equal && taken == tally.Sent {
			exact++
		}
	}
	for row, inLedger := range rows {
		if env.tallies.rows[row] == nil && inLedger.N[ledger.FrontTaken] > 0 && int(row.Customer) <= env.Customers {
			fail("%v: the ledger has %d requests taken, but no client sent any", row, inLedger.N[ledger.FrontTaken])
		}
	}
	return exact
}

// compareForwarder compares the forwarder's attempts with the requests that the gateways took for its customers.
func (env *environment) compareForwarder(rows map[Row]*ledgerRow, fail func(string, ...any)) {
	taken := map[Row]uint64{}
	for row, inLedger := range rows {
		if row.Node != "forwarder" && int(row.Customer) > env.Customers {
			row.Node = "forwarder"
			taken[row] += inLedger.N[ledger.FrontTaken]
		}
	}
	for row, inLedger := range rows {
		if row.Node != "forwarder" {
			continue
		}
		answered := inLedger.N[ledger.AttemptOK]
		highest := inLedger.N[ledger.AttemptStarted] - inLedger.N[ledger.AttemptNotSent] - inLedger.N[ledger.AttemptRejected]
		if forwarded := taken[row]; forwarded < answered || forwarded > highest {
			fail("%v: the gateways took %d requests from the forwarder, expected %d (answered) to %d (possibly sent)", row, forwarded, answered,
				highest)
		}
	}
	for row := range taken {
		if rows[row] == nil {
			fail("%v: the gateways took %d requests, but the forwarder's ledger has no row", row, taken[row])
		}
	}
}

// compareAttempts compares the gateways' counts of attempts with the commands that the backends received.
func (env *environment) compareAttempts(rows map[Row]*ledgerRow, fail func(string, ...any)) {
	type key struct {
		customer uint64
		class    string
	}
	type attemptCounts struct{ received, served, started, ok, replied uint64 }
	sums := map[key]*attemptCounts{}
	sumFor := func(customer uint64, class string) *attemptCounts {
		k := key{customer, class}
		if sums[k] == nil {
			sums[k] = &attemptCounts{}
		}
		return sums[k]
	}
	for _, c := range env.backends.Commands() {
		customer, _ := strconv.ParseUint(c.Customer, 16, 64)
		sum := sumFor(customer, c.Class)
		sum.received++
		if c.Behaviour == standin.Serve || c.Behaviour == standin.TrailingBytes {
			sum.served++
		}
	}
	for row, inLedger := range rows {
		if row.Node == "forwarder" {
			continue
		}
		sum := sumFor(row.Customer, row.Class)
		sum.started += inLedger.N[ledger.AttemptStarted] - inLedger.N[ledger.AttemptNotSent] - inLedger.N[ledger.AttemptConnectFailed]
		sum.ok += inLedger.N[ledger.AttemptOK]
		sum.replied += inLedger.N[ledger.AttemptOK] + inLedger.N[ledger.AttemptError] + inLedger.N[ledger.AttemptRejected]
	}
	for k, sum := range sums {
		if sum.received > sum.started || sum.replied > sum.received || sum.ok > sum.served {
			fail("customer %d, %s: %d attempts that may have arrived, %d answered, %d of these ok; the backends received %d and served %d",
				k.customer, k.class, sum.started, sum.replied, sum.ok, sum.received, sum.served)
		}
	}
}

// compareUnits compares the ledgers' counts of units with those that the counter added. It leaves out customers that return
// units, as their calls with an unknown outcome may have either sign.
func (env *environment) compareUnits(accounts map[uint64]*ledger.Counts, fail func(string, ...any)) {
	_, added := env.counter.Added()
	for customer, account := range accounts {
		if customer%4 == 0 {
			continue
		}
		counted := ledger.MicroUnits(added[strconv.FormatUint(customer, 36)])
		lowest := account.Units(ledger.CallAdded)
		highest := lowest + account.Units(ledger.CallUnknown) + account.Units(ledger.CallCutoff)
		if counted < lowest-1 || counted > highest+1 {
			fail("customer %d: the counter added %g units, expected %g to %g by the ledgers", customer, float64(counted)/1e6, float64(lowest)/1e6,
				float64(highest)/1e6)
		}
	}
}

// printTable prints the counts of the ledgers beside those of the clients, summed by node, plan and class.
func (env *environment) printTable(rows map[Row]*ledgerRow) {
	type rowSum struct {
		inLedger ledger.Counts
		tally    Tally
	}
	sums := map[Row]*rowSum{}
	sumFor := func(row Row) *rowSum {
		row.Customer = 0
		if sums[row] == nil {
			sums[row] = &rowSum{}
		}
		return sums[row]
	}
	for row, inLedger := range rows {
		if row.Node != "forwarder" && int(row.Customer) > env.Customers {
			continue // the forwarder is the client of this row and keeps no tally
		}
		sumFor(row).inLedger.Add(&inLedger.Counts)
	}
	for row, tally := range env.tallies.rows {
		sumFor(row).tally.add(tally)
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Class, b.Class))
	})
	tw := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "node\tplan\tclass\tsent\ttaken\tserved\tat clients\trefused\tat clients\tfailed\tat clients\tgone, cut\tby crash\tlost at clients\t")
	for _, row := range keys {
		sum := sums[row]
		n := &sum.inLedger.N
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", row.Node, row.Plan, row.Class, sum.tally.Sent,
			n[ledger.FrontTaken], n[ledger.FrontServed], sum.tally.Served, n[ledger.FrontRejected], sum.tally.Rejected, n[ledger.FrontFailed],
			sum.tally.Failed, n[ledger.FrontClientDeparted]+n[ledger.FrontWriteFailed], n[ledger.FrontCutoff], sum.tally.Lost)
	}
	tw.Flush()
}
