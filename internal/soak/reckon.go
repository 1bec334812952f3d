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

// book is what the ledgers hold of a row. Cut is what a crash, or the client's leaving, kept from being answered.
type book struct {
	ledger.Counts
}

func (b *book) answered() uint64 {
	return b.N[ledger.FrontServed] + b.N[ledger.FrontRefused] + b.N[ledger.FrontFailed]
}

// cut is what the books have as taken and not as answered.
func (b *book) cut() uint64 { return b.N[ledger.FrontTaken] - b.answered() }

// reckon compares the books, as the folders and their exports hold them, with what clients, backends and the counter
// saw. Where nothing was lost on the way, figures must be equal; where a session ended with answers owed, each side is
// held to the most that the other can have missed.
func (w *world) reckon() error {
	var wrong []string
	say := func(format string, a ...any) { wrong = append(wrong, fmt.Sprintf(format, a...)) }
	books := map[Row]*book{}
	merged := statement.NewMerged()
	accounts := map[uint64]*ledger.Counts{}
	lives, kills := uint64(0), 0
	for _, n := range w.nodes {
		dir := filepath.Join(n.Dir, "ledger")
		v, err := store.Read(dir)
		if err != nil {
			return err
		}
		lives += v.Life
		kills += n.Kills()
		for _, note := range v.Notes {
			say("%s: %s", n.Name, note)
		}
		for _, f := range v.Ledger.Audit(true) {
			say("%s: %+v: %v", n.Name, f.Key, f)
		}
		if err := store.Records(dir, 0, func(_ []byte, r statement.Record) error {
			merged.Add(r)
			return nil
		}); err != nil {
			return err
		}
		for _, line := range v.Ledger.Lines() {
			r := Row{n.Name, line.Key.Customer, v.Names.Plan(line.Key.Plan), v.Names.Class(line.Key.Class)}
			if line.Key.Customer == ledger.Others {
				say("%s rolled rows up: the run has too many hauliers for its books", n.Name)
			}
			if line.Key.Class == ledger.ClassAccount {
				if accounts[r.Haulier] == nil {
					accounts[r.Haulier] = &ledger.Counts{}
				}
				accounts[r.Haulier].Add(&line.Counts)
			} else {
				books[r] = &book{line.Counts}
			}
			// What the export says of the row, added up, is what the books say.
			name := n.Name
			if n.role == statement.Forwarder {
				name = v.Node
			}
			var stated ledger.Counts
			if m := merged.Nodes[name]; m != nil {
				if c := m.Rows[statement.Name{Haulier: ledger.HaulierText(r.Haulier), Plan: r.Plan, Class: r.Class}]; c != nil {
					stated = *c
				}
			}
			if stated != line.Counts {
				say("%v: the export has %d taken, the books %d", r, stated.N[ledger.FrontTaken], line.Counts.N[ledger.FrontTaken])
			}
		}
	}
	for _, err := range merged.Verify() {
		say("merged: %v", err)
	}
	exact := w.clients(books, say)
	w.levels(books, say)
	w.fetches(books, say)
	w.units(accounts, say)
	for _, fault := range w.tallies.wrong {
		say("%s", fault)
	}
	w.table(books)
	fmt.Fprintf(w.Out, "%d kills, %d lives; %d of %d rows agree with the clients to the request, the others within what was lost with "+
		"their sessions\n", kills, lives, exact, len(w.tallies.rows))
	all, across, overlapping, twice := merged.Bookings()
	fmt.Fprintf(w.Out, "bookings by key: %d; through several gateways: %d, of these with two tries open at once: %d; served to two "+
		"tries: %d\n", all, across, overlapping, twice)
	if across == 0 || kills == 0 {
		say("%d kills and %d bookings through several gateways: the run was too short to show anything", kills, across)
	}
	if len(wrong) > 0 {
		var b bytes.Buffer
		for _, line := range wrong[:min(len(wrong), 30)] {
			fmt.Fprintln(&b, line)
		}
		return errors.New("the figures do not agree:\n" + b.String())
	}
	fmt.Fprintln(w.Out, "all figures agree")
	return nil
}

// clients compares each row with what the clients saw of it, and returns how many agree in every figure.
func (w *world) clients(books map[Row]*book, say func(string, ...any)) (exact int) {
	w.tallies.mu.Lock()
	defer w.tallies.mu.Unlock()
	for r, t := range w.tallies.rows {
		b := books[r]
		if b == nil {
			if b = (&book{}); t.Sent > t.Lost {
				say("%v: the clients have %d answers, and the books no row", r, t.Sent-t.Lost)
			}
		}
		taken, cut := b.N[ledger.FrontTaken], b.cut()
		if taken > t.Sent || taken+t.Lost < t.Sent {
			say("%v: %d taken, %d sent, of which %d have no answer", r, taken, t.Sent, t.Lost)
		}
		all := true
		for what, c := range map[string][2]uint64{"served": {b.N[ledger.FrontServed], t.Served},
			"refused": {b.N[ledger.FrontRefused], t.Refused}, "failed": {b.N[ledger.FrontFailed], t.Failed}} {
			// An answer may have been written and lost with its session; or have arrived, and the gateway was killed
			// before it was booked.
			if c[0] > c[1]+t.Lost || c[1] > c[0]+b.N[ledger.FrontCutoff]+b.N[ledger.FrontCut] {
				say("%v: %d %s in the books, %d at the clients; %d lost there, %d cut off here", r, c[0], what, c[1], t.Lost, cut)
			}
			all = all && c[0] == c[1]
		}
		if t.Lost == 0 && (!all || taken != t.Sent) && b.N[ledger.FrontCutoff] == 0 {
			say("%v: nothing was lost, and %d taken, %d sent", r, taken, t.Sent)
		}
		if all && taken == t.Sent {
			exact++
		}
	}
	for r, b := range books {
		if w.tallies.rows[r] == nil && b.N[ledger.FrontTaken] > 0 && int(r.Haulier) <= w.Hauliers {
			say("%v: %d taken that nobody sent", r, b.N[ledger.FrontTaken])
		}
	}
	return exact
}

// levels compares what the forwarder passed on with what the gateways took of its hauliers.
func (w *world) levels(books map[Row]*book, say func(string, ...any)) {
	taken := map[Row]uint64{}
	for r, b := range books {
		if r.Node != "forwarder" && int(r.Haulier) > w.Hauliers {
			r.Node = "forwarder"
			taken[r] += b.N[ledger.FrontTaken]
		}
	}
	for r, b := range books {
		if r.Node != "forwarder" {
			continue
		}
		answered := b.N[ledger.FetchOK]
		most := b.N[ledger.FetchBegan] - b.N[ledger.FetchNotSent] - b.N[ledger.FetchRejected]
		if n := taken[r]; n < answered || n > most {
			say("%v: the gateways took %d of what the forwarder passed on: %d answered, %d in all", r, n, answered, most)
		}
	}
	for r := range taken {
		if books[r] == nil {
			say("%v: the gateways took %d, the forwarder has no row", r, taken[r])
		}
	}
}

// fetches compares the pools' books with what the backends saw.
func (w *world) fetches(books map[Row]*book, say func(string, ...any)) {
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
	for _, c := range w.backends.Seen() {
		h, _ := strconv.ParseUint(c.Customer, 16, 64)
		f := at(h, c.Class)
		f.seen++
		if c.Did == standin.Serve || c.Did == standin.Extra {
			f.served++
		}
	}
	for r, b := range books {
		if r.Node == "forwarder" {
			continue
		}
		f := at(r.Haulier, r.Class)
		f.begun += b.N[ledger.FetchBegan] - b.N[ledger.FetchNotSent] - b.N[ledger.FetchConnectFailed]
		f.ok += b.N[ledger.FetchOK]
		f.replied += b.N[ledger.FetchOK] + b.N[ledger.FetchError] + b.N[ledger.FetchRejected]
	}
	for k, f := range sums {
		if f.seen > f.begun || f.replied > f.seen || f.ok > f.served {
			say("haulier %d, %s: %d fetches that may have arrived, %d replied to, %d well; the backends saw %d and served %d",
				k.haulier, k.class, f.begun, f.replied, f.ok, f.seen, f.served)
		}
	}
}

// units compares the counter's books with the counter. Hauliers that give units back are left out: what of their calls
// is unknown may be of either sign.
func (w *world) units(accounts map[uint64]*ledger.Counts, say func(string, ...any)) {
	_, added := w.counter.Added()
	for h, c := range accounts {
		if h%4 == 0 {
			continue
		}
		got := ledger.MicroUnits(added[strconv.FormatUint(h, 36)])
		least := c.Units(ledger.CallAdded)
		most := least + c.Units(ledger.CallUnknown) + c.Units(ledger.CallCutoff)
		if got < least-1 || got > most+1 {
			say("haulier %d: the counter was told %g units, the books say %g to %g", h, float64(got)/1e6, float64(least)/1e6,
				float64(most)/1e6)
		}
	}
}

// table prints both sides by node, plan and class.
func (w *world) table(books map[Row]*book) {
	type both struct {
		b ledger.Counts
		t Tally
	}
	sums := map[Row]*both{}
	at := func(r Row) *both {
		r.Haulier = 0
		if sums[r] == nil {
			sums[r] = &both{}
		}
		return sums[r]
	}
	for r, b := range books {
		if r.Node != "forwarder" && int(r.Haulier) > w.Hauliers {
			continue // its client is the forwarder
		}
		at(r).b.Add(&b.Counts)
	}
	for r, t := range w.tallies.rows {
		at(r).t.add(t)
	}
	rows := slices.SortedFunc(maps.Keys(sums), func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Class, b.Class))
	})
	tw := tabwriter.NewWriter(w.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "node\tplan\tclass\tsent\ttaken\tserved\tat clients\trefused\tat clients\tfailed\tat clients\tgone, cut\tby crash\tlost at clients\t")
	for _, r := range rows {
		s := sums[r]
		n := &s.b.N
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Node, r.Plan, r.Class, s.t.Sent,
			n[ledger.FrontTaken], n[ledger.FrontServed], s.t.Served, n[ledger.FrontRefused], s.t.Refused, n[ledger.FrontFailed],
			s.t.Failed, n[ledger.FrontGone]+n[ledger.FrontCut], n[ledger.FrontCutoff], s.t.Lost)
	}
	tw.Flush()
}
