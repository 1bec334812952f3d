package ledger

import (
	"cmp"
	"slices"
)

// Statement is what has come since the one before: the deltas by row, in the order of their keys, and, for a store, the
// figures of the rows that have changed.
type Statement struct {
	Deltas             []Line
	Rows               []StoredRow
	IdempotentRequests []IdempotentRequest // that have ended, in that order
	Open               []OpenEntry         // what is open, in the order of the Refs
}

// OpenEntry is an entry of the table, as a store keeps it.
type OpenEntry struct {
	Ref uint64 `json:"Ref"`
	Entry
}

// StoredRow is a row as a store keeps it.
type StoredRow struct {
	Key      Key
	RolledUp bool // it was rolled up
	Counts
	Lost [4]uint64 // answers that were decided and did not reach the client: served, refused, failed, other
}

// Statement closes a period.
func (l *Ledger) Statement() Statement {
	l.lastRow = nil
	s := Statement{Deltas: l.evictedDeltas, IdempotentRequests: l.idempotentRequests}
	for _, k := range l.evictedKeys { // one that has come again follows below
		s.Rows = append(s.Rows, StoredRow{Key: k, RolledUp: true})
	}
	l.evictedDeltas, l.evictedKeys, l.idempotentRequests = nil, nil, nil
	for _, r := range l.unstored {
		if !r.unstored || l.rows[r.key] != r {
			continue
		}
		r.unstored = false
		delta := r.counts
		if r.statedCounts == nil {
			r.statedCounts = &Counts{}
		} else {
			delta = r.counts.Minus(r.statedCounts)
		}
		*r.statedCounts = r.counts
		if !delta.IsZero() {
			s.Deltas = append(s.Deltas, Line{r.key, delta})
		}
		s.Rows = append(s.Rows, r.stored())
	}
	l.unstored = l.unstored[:0]
	for ref, e := range l.entries {
		s.Open = append(s.Open, OpenEntry{ref, *e})
	}
	slices.SortFunc(s.Open, func(a, b OpenEntry) int { return cmp.Compare(a.Ref, b.Ref) })
	slices.SortFunc(s.Deltas, func(a, b Line) int { return a.Key.compare(b.Key) })
	return s
}

func (r *row) stored() StoredRow {
	stored := StoredRow{Key: r.key, Counts: r.counts}
	copy(stored.Lost[:], r.lostAnswers[served:])
	return stored
}

// Restore puts a row back that a store kept, all of it stated. It is for books that are still empty.
func (l *Ledger) Restore(stored StoredRow) {
	restored := l.row(stored.Key)
	restored.counts = stored.Counts
	copy(restored.lostAnswers[served:], stored.Lost[:])
	stated := stored.Counts
	restored.statedCounts = &stated
	l.total.Add(&stored.Counts)
}

// RestoreOpen puts an entry back that a store kept; its row was restored before.
func (l *Ledger) RestoreOpen(o OpenEntry) {
	e := o.Entry
	l.entries[o.Ref] = &e
	e.row = l.row(e.Key)
	e.row.openEntries++
}

const maxIdempotentRequests = 1 << 16 // that are held between two statements

func (l *Ledger) recordIdempotentRequest(r IdempotentRequest) {
	if !l.makesStatements {
		return
	}
	if len(l.idempotentRequests) >= maxIdempotentRequests {
		l.IdempotentRequestsLost++
		return
	}
	l.idempotentRequests = append(l.idempotentRequests, r)
}
