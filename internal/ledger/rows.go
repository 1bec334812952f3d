package ledger

import (
	"container/list"
	"slices"
)

// row holds the figures of a key.
type row struct {
	key               Key
	counts            Counts
	statedCounts      *Counts              // figures that statements cover; nil if none do
	lostAnswers       [verdictCount]uint64 // answers that the planner decided and that did not reach the client, by verdict
	openEntries       int                  // number of open entries under this key
	dirty             bool                 // the row was posted to since the last audit
	unstored          bool                 // the row was posted to since the last statement
	inPendingAccounts bool                 // the row is in Ledger.pendingAccounts
	recencyElement    *list.Element        // position in Ledger.rowsByRecency; nil for a rolled-up row
	movedInEpoch      uint64               // recency epoch in which the row was last moved to the front
}

// row finds or creates the row of a key, and marks it as changed.
func (l *Ledger) row(k Key) *row {
	if l.lastRow != nil && l.lastRow.key == k { // the postings of one request follow each other closely
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

// markRecent marks a row as posted to, for eviction, audits and statements.
func (l *Ledger) markRecent(r *row) {
	if l.lastRow == r {
		return
	}
	if r.recencyElement != nil && r.movedInEpoch != l.recencyEpoch { // moving it once between two audits is exact enough
		l.rowsByRecency.MoveToFront(r.recencyElement)
	}
	r.movedInEpoch, l.lastRow = l.recencyEpoch, r
	l.markChanged(r)
}

// markChanged adds a row to the lists that the next audit, statement and reading of accounts process.
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

// evictionCandidates is the maximum number of rows that one eviction examines to find one with neither open entries nor pending
// units.
const evictionCandidates = 64

// evict rolls the least recently posted row up into the row of its plan and class. It skips rows with open entries or pending
// units. If all candidates have some, the ledger grows to at most twice its limit of rows. Beyond that the memory limit takes
// precedence, and a row with open entries or pending units is rolled up too.
func (l *Ledger) evict() {
	r := l.evictionVictim()
	if r == nil {
		return
	}
	if r.openEntries == 0 && r.dirty { // later audits no longer know the key
		l.evictedMismatches = append(l.evictedMismatches, r.check(&inFlight{})...)
	}
	l.rowsByRecency.Remove(r.recencyElement)
	delete(l.rows, r.key)
	if l.lastRow == r {
		l.lastRow = nil
	}
	l.Evictions++
	rolledUp := l.rollUp(r)
	r.dirty, r.unstored = false, false // lists that still contain the row skip it
	if l.makesStatements {
		l.stateEvicted(r, rolledUp)
	}
}

// evictionVictim chooses the row to evict. It returns nil if the ledger may grow instead.
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

// rollUp adds an evicted row to the row of its plan and class, moves its open entries there, and returns that row.
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

// stateEvicted keeps the figures of an evicted row that no statement covers yet. The next statement reports them under the
// customer's key, and the rolled-up row counts them as stated. If more rows than the limit are evicted between two statements,
// the figures of the rest are reported under the rolled-up row.
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

// Line is the key of a row and a copy of its figures.
type Line struct {
	Key    Key
	Counts Counts
}

// Lines returns all rows, sorted by key.
func (l *Ledger) Lines() []Line {
	lines := make([]Line, 0, len(l.rows))
	for k, r := range l.rows {
		lines = append(lines, Line{k, r.counts})
	}
	slices.SortFunc(lines, func(a, b Line) int { return a.Key.compare(b.Key) })
	return lines
}

// Sums returns the number of rows, and their sums by plan and class, sorted by key.
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

// compare orders keys by customer, plan and class. It returns a negative number if k comes before o, 0 if they are equal, and a
// positive number otherwise.
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
