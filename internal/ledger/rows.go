package ledger

import (
	"container/list"
	"slices"
)

// row holds the figures of a key.
type row struct {
	key               Key
	counts            Counts
	statedCounts      *Counts              // what statements hold of it; nil: nothing
	lostAnswers       [verdictCount]uint64 // answers that were decided and did not reach the client; by pairs of the front's and the planner's ends
	openEntries       int                  // entries of the table under this key
	dirty             bool                 // posted to since the last audit
	unstored          bool                 // and since the last statement
	inPendingAccounts bool                 // it is in the ledger's accounts
	recencyElement    *list.Element
	movedInEpoch      uint64 // epoch in which it was moved to the front
}

// row finds or makes the row of a key, and takes note that it changes.
func (l *Ledger) row(k Key) *row {
	if l.lastRow != nil && l.lastRow.key == k { // postings on one request come close together
		return l.lastRow
	}
	r := l.rows[k]
	if r == nil {
		if l.rowsByRecency.Len() >= l.limits.Rows && k.Customer != Others {
			l.evict()
		}
		r = &row{key: k}
		l.rows[k] = r
		if k.Customer != Others {
			r.recencyElement = l.rowsByRecency.PushFront(r)
		}
	}
	l.markRecent(r)
	return r
}

// markRecent takes note that a row is posted to.
func (l *Ledger) markRecent(r *row) {
	if l.lastRow == r {
		return
	}
	if r.recencyElement != nil && r.movedInEpoch != l.recencyEpoch { // once between two audits is order enough
		l.rowsByRecency.MoveToFront(r.recencyElement)
	}
	r.movedInEpoch, l.lastRow = l.recencyEpoch, r
	l.markChanged(r)
}

func (l *Ledger) markChanged(r *row) {
	if !r.inPendingAccounts && r.key.Class == ClassAccount && r.key.Customer != Others {
		r.inPendingAccounts = true
		l.pendingAccounts = append(l.pendingAccounts, r)
	}
	if !r.dirty {
		r.dirty = true
		l.dirty = append(l.dirty, r)
	}
	if l.makesStatements && !r.unstored {
		r.unstored = true
		l.unstored = append(l.unstored, r)
	}
}

// evictionCandidates bounds the rows that are examined for one that has nothing open.
const evictionCandidates = 64

// evict rolls the row that was posted to longest ago up into the row of its plan and class. One with something open or
// pending is passed over. If all candidates are so, the ledger grows, to twice its rows at most: then the bound on memory
// goes before the name of a row.
func (l *Ledger) evict() {
	r := l.evictionVictim()
	if r == nil {
		return
	}
	if r.openEntries == 0 && r.dirty { // it is the last time that its name is known
		l.evictedMismatches = append(l.evictedMismatches, r.check(&inFlight{})...)
	}
	l.rowsByRecency.Remove(r.recencyElement)
	delete(l.rows, r.key)
	if l.lastRow == r {
		l.lastRow = nil
	}
	l.Evictions++
	rolledUp := l.rollUp(r)
	r.dirty, r.unstored = false, false // lists that still hold it pass it over
	if l.makesStatements {
		l.stateEvicted(r, rolledUp)
	}
}

// evictionVictim chooses the row to evict; nil: the ledger may grow instead.
func (l *Ledger) evictionVictim() *row {
	element := l.rowsByRecency.Back()
	for i := 0; i < evictionCandidates && element != nil; i++ {
		if r := element.Value.(*row); r.openEntries == 0 && r.counts.Pending() == 0 {
			return r
		}
		element = element.Prev()
	}
	if l.rowsByRecency.Len() < 2*l.limits.Rows {
		return nil
	}
	r := l.rowsByRecency.Back().Value.(*row)
	l.Abandoned += countIf(r.counts.Pending() != 0)
	return r
}

// rollUp adds an evicted row to that of its plan and class, and has its open entries go along.
func (l *Ledger) rollUp(r *row) *row {
	key := r.key
	key.Customer = Others
	target := l.row(key)
	target.counts.Add(&r.counts)
	for v, n := range r.lostAnswers {
		target.lostAnswers[v] += n
	}
	if r.openEntries > 0 {
		target.openEntries += r.openEntries
		for _, e := range l.entries {
			if e.row == r {
				e.Key, e.row = key, target
			}
		}
	}
	return target
}

// stateEvicted has what no statement holds yet of an evicted row stated under its customer's name, and held of the rolled-up row
// from then on. Where too many are evicted between two statements, the rest is stated of the rolled-up row.
func (l *Ledger) stateEvicted(r, rolledUp *row) {
	delta := r.counts
	if r.statedCounts != nil {
		delta = r.counts.Minus(r.statedCounts)
		l.evictedKeys = append(l.evictedKeys, r.key)
	}
	if rolledUp.statedCounts == nil {
		rolledUp.statedCounts = &Counts{}
	}
	if len(l.evictedDeltas) < l.limits.Rows {
		if !delta.IsZero() {
			l.evictedDeltas = append(l.evictedDeltas, Line{r.key, delta})
		}
		rolledUp.statedCounts.Add(&r.counts)
	} else if r.statedCounts != nil {
		rolledUp.statedCounts.Add(r.statedCounts)
	}
}

// Line is a row as readers have it.
type Line struct {
	Key    Key
	Counts Counts
}

// Lines returns all rows, in the order of their keys.
func (l *Ledger) Lines() []Line {
	lines := make([]Line, 0, len(l.rows))
	for k, r := range l.rows {
		lines = append(lines, Line{k, r.counts})
	}
	slices.SortFunc(lines, func(a, b Line) int { return a.Key.compare(b.Key) })
	return lines
}

// Sums adds up the rows by plan and class, and says how many there are.
func (l *Ledger) Sums() (rows int, lines []Line) {
	sums := map[Key]*Counts{}
	for k, r := range l.rows {
		k.Customer = Others
		if sums[k] == nil {
			sums[k] = &Counts{}
		}
		sums[k].Add(&r.counts)
	}
	for k, c := range sums {
		lines = append(lines, Line{k, *c})
	}
	slices.SortFunc(lines, func(a, b Line) int { return a.Key.compare(b.Key) })
	return len(l.rows), lines
}

func (k Key) compare(o Key) int {
	switch {
	case k.Customer != o.Customer && k.Customer < o.Customer:
		return -1
	case k.Customer != o.Customer:
		return 1
	case k.Plan != o.Plan:
		return int(k.Plan) - int(o.Plan)
	}
	return int(k.Class) - int(o.Class)
}
