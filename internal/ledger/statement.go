package ledger

import (
	"cmp"
	"slices"
)

// Statement holds the changes since the previous statement: the deltas by row, sorted by key, and, for a store, the figures of
// the changed rows.
type Statement struct {
	Deltas             []Line
	Rows               []StoredRow
	IdempotentRequests []IdempotentRequest // ended attempts with an idempotency key, in the order of their ends
	Open               []OpenEntry         // all open entries, sorted by reference
}

// OpenEntry is an open entry in the form that a store keeps.
type OpenEntry struct {
	Ref uint64 `json:"Ref"`
	Entry
}

// StoredRow is a row in the form that a store keeps.
type StoredRow struct {
	Key      Key
	RolledUp bool // the row was rolled up, and the store deletes it
	Counts
	Lost [4]uint64 // answers that the planner decided and that did not reach the client: served, refused, failed, other
}

// Statement ends a period and returns its statement.
func (l *Ledger) Statement() Statement {
	l.lastRow = nil
	s := Statement{Deltas: l.evictedDeltas, IdempotentRequests: l.idempotentRequests}
	for _, k := range l.evictedKeys { // a row that was created again after its eviction is appended below
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

// stored returns the row in the form that a store keeps.
func (r *row) stored() StoredRow {
	stored := StoredRow{Key: r.key, Counts: r.counts}
	copy(stored.Lost[:], r.lostAnswers[served:])
	return stored
}

// Restore adds a stored row. Earlier statements already include its figures, so the next statement does not repeat them. Restore
// must be called before the first posting.
func (l *Ledger) Restore(stored StoredRow) {
	restored := l.row(stored.Key)
	restored.counts = stored.Counts
	copy(restored.lostAnswers[served:], stored.Lost[:])
	stated := stored.Counts
	restored.statedCounts = &stated
	l.total.Add(&stored.Counts)
}

// RestoreOpen adds a stored open entry. Its row must have been restored.
func (l *Ledger) RestoreOpen(o OpenEntry) {
	e := o.Entry
	l.entries[o.Ref] = &e
	e.row = l.row(e.Key)
	e.row.openEntries++
}

// maxIdempotentRequests is the maximum number of attempts with an idempotency key that are kept between two statements.
const maxIdempotentRequests = 1 << 16

// recordIdempotentRequest keeps an ended attempt for the next statement.
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
