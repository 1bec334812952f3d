// Package ledger keeps the records of a gateway: what was taken, what became of it, and whether the figures add up. It is
// a pure state machine. Owners' postings go in, one at a time; rows, mismatches and closings come out. It does no input
// or output, reads no clock and starts nothing, so that a recorded run of postings gives the same figures again.
//
// Bookkeeping is by double entry. Each part of the gateway posts to a book of its own what it did itself, and no
// figure is taken from another's: the front what it took and wrote, the planner what it decided, the pools how attempts
// ended, the counter's client what became of its calls. Audit compares the books with each other, and each with the
// table of what is open.
//
// Counts are modulo 2^64 and so are their identities: a count that wraps raises no alarm. Units are kept in millionths.
package ledger

import (
	"container/list"
	"slices"
)

// Limits bound a ledger's memory.
type Limits struct {
	Rows   int // of customers; those rolled up come on top, a plan and class each
	Open   int // entries that are open
	Flight int // postings that the flight recorder holds
}

// Ledger is the state of the books. It is for one goroutine at a time.
type Ledger struct {
	limits                 Limits
	rows                   map[Key]*row
	rowsByRecency          *list.List // of *row, the one posted to last in front; those rolled up are not in it
	entries                map[uint64]*Entry
	lastRow                *row   // that was posted to, and has been touched since the last audit or statement
	recencyEpoch           uint64 // audits and statements
	total                  Counts // over all rows, booked beside them
	dirty                  []*row
	unstored               []*row
	evictedMismatches      []Mismatch          // in evicted rows
	evictedKeys            []Key               // evicted rows that a store holds
	evictedDeltas          []Line              // deltas of evicted rows that no statement holds yet
	pendingAccounts        []*row              // that were posted to since Accounts last named them, or hold units
	idempotentRequests     []IdempotentRequest // that have ended since the last statement
	makesStatements        bool                // statements are made
	recentPostings         []Posting
	postingCount           uint64
	Abandoned              uint64 // entries that were given up as the table was full: their rows no longer add up
	Evictions              uint64
	IdempotentRequestsLost uint64 // that came beyond what is held between two statements
}

// New makes empty books. With statements, Statement must be called now and then.
func New(l Limits, statements bool) *Ledger {
	return &Ledger{limits: Limits{max(16, l.Rows), max(16, l.Open), max(16, l.Flight)}, rows: map[Key]*row{},
		rowsByRecency: list.New(), entries: map[uint64]*Entry{}, makesStatements: statements}
}

// Post books one posting. Whatever it says is booked: that it fits is for Audit to say.
func (l *Ledger) Post(p Posting) {
	if p.Event == None || p.Event >= EventCount {
		return
	}
	if len(l.recentPostings) < l.limits.Flight {
		l.recentPostings = append(l.recentPostings, p)
	} else {
		l.recentPostings[l.postingCount%uint64(len(l.recentPostings))] = p
	}
	l.postingCount++
	var r *row
	e := l.entries[p.Ref]
	if e != nil && e.Key.Customer == Others {
		p.Key = e.Key // its row was rolled up while it was open
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

// OpenCount is how many requests and calls are open.
func (l *Ledger) OpenCount() int { return len(l.entries) }

// Total is the figures over all rows, as they were booked beside them.
func (l *Ledger) Total() Counts { return l.total }

// Flight returns the last postings to a row that the flight recorder still holds, the oldest first, so many at most.
func (l *Ledger) Flight(k Key, limit int) (ps []Posting) {
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
