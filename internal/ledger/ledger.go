// Package ledger records the requests that a gateway receives and how they end, and verifies that the figures balance. It is a
// pure state machine: it takes postings one at a time, and returns rows, mismatches and closing postings. It does no I/O, reads
// no clock and starts no goroutine, so that replaying recorded postings gives the same figures.
//
// The ledger uses double-entry bookkeeping. Each part of the gateway posts its own actions to its own journal, and uses no
// figures of other parts: the front posts requests received and answers written, the planner its decisions, the pools how
// attempts ended, and the counter's client how its calls ended. Audit compares the journals with each other, and each journal
// with the table of open entries.
//
// Counts and the equations between them are modulo 2^64: a count that wraps raises no alarm. Units are kept in millionths.
package ledger

import (
	"container/list"
	"slices"
)

// Limits bound a ledger's memory.
type Limits struct {
	Rows           int // maximum number of customers' rows, to which one rolled-up row for each plan and class is added
	Open           int // maximum number of open entries
	RecentPostings int // number of recent postings that are kept for alarms
}

// Ledger is the state of all journals of a gateway. One goroutine uses it at a time. Each row's figures are also added to total;
// each entry is counted in openEntries of its row.
type Ledger struct {
	limits                 Limits
	rows                   map[Key]*row
	rowsByRecency          *list.List          // customers' rows (*row), the most recently posted first; without rolled-up rows
	entries                map[uint64]*Entry   // open entries by reference
	lastRow                *row                // row of the last posting, already marked as changed; nil after an audit or statement
	recencyEpoch           uint64              // number of audits; a row moves in rowsByRecency at most once between two audits
	total                  Counts              // sum over all rows, posted independently of them
	dirty                  []*row              // rows that were posted to since the last audit
	unstored               []*row              // rows that were posted to since the last statement
	evictedMismatches      []Mismatch          // mismatches found in rows when they were evicted, for the next audit
	evictedKeys            []Key               // keys of evicted rows that a store still holds
	evictedDeltas          []Line              // figures of evicted rows that no statement covers yet
	pendingAccounts        []*row              // accounts that were posted to since the last call of Accounts, or hold units
	idempotentRequests     []IdempotentRequest // attempts with an idempotency key that ended since the last statement
	makesStatements        bool                // Statement is called at intervals
	recentPostings         []Posting           // ring buffer of the last postings
	postingCount           uint64              // number of postings, which gives the place in recentPostings
	Abandoned              uint64              // number of entries dropped because the table was full; their rows no longer balance
	Evictions              uint64              // number of evicted rows
	IdempotentRequestsLost uint64              // number of attempts dropped beyond the limit between two statements
}

// New returns an empty ledger. If statements is set, Statement must be called at intervals, as the ledger keeps changes for it.
func New(l Limits, statements bool) *Ledger {
	return &Ledger{limits: Limits{max(16, l.Rows), max(16, l.Open), max(16, l.RecentPostings)}, rows: map[Key]*row{},
		rowsByRecency: list.New(), entries: map[uint64]*Entry{}, makesStatements: statements}
}

// Post adds one posting. It accepts any posting with a known event; Audit finds those that do not fit.
func (l *Ledger) Post(p Posting) {
	if p.Event == None || p.Event >= EventCount {
		return
	}
	if len(l.recentPostings) < l.limits.RecentPostings {
		l.recentPostings = append(l.recentPostings, p)
	} else {
		l.recentPostings[l.postingCount%uint64(len(l.recentPostings))] = p
	}
	l.postingCount++
	var r *row
	e := l.entries[p.Ref]
	if e != nil && e.Key.Customer == Others {
		p.Key = e.Key // the row was rolled up while the entry was open
	}
	if e != nil && e.Key == p.Key {
		r = e.row
		l.markRecent(r)
	} else {
		r = l.row(p.Key)
	}
	r.counts.Record(p.Event, p.Units)
	l.total.Record(p.Event, p.Units)
	if p.Ref != 0 {
		l.applyToEntry(p, e, r)
	}
}

// OpenCount returns the number of open requests and counter calls.
func (l *Ledger) OpenCount() int { return len(l.entries) }

// Total returns the figures over all rows, which are posted independently of the rows.
func (l *Ledger) Total() Counts { return l.total }

// RecentPostings returns the last postings to a row that are still kept, at most limit of them, oldest first.
func (l *Ledger) RecentPostings(k Key, limit int) (ps []Posting) {
	for i := range l.recentPostings {
		p := l.recentPostings[(l.postingCount-1-uint64(i))%uint64(len(l.recentPostings))]
		if p.Key == k {
			if ps = append(ps, p); len(ps) == limit {
				break
			}
		}
	}
	slices.Reverse(ps)
	return ps
}
