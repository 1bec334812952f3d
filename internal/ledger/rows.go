package ledger

import (
	"container/list"
	"slices"
)

// row holds the figures of a key.
type row struct {
	key      Key
	counts   Counts
	stated   *Counts              // what statements hold of it; nil: nothing
	lost     [verdictCount]uint64 // answers that were decided and did not reach the client; by pairs of the front's and the planner's ends
	open     int                  // entries of the table under this key
	dirty    bool                 // posted to since the last audit
	unstored bool                 // and since the last statement
	unread   bool                 // it is in the ledger's accounts
	at       *list.Element
	moved    uint64 // epoch in which it was moved to the front
}

// row finds or makes the row of a key, and takes note that it changes.
func (l *Ledger) row(k Key) *row {
	if l.lastRow != nil && l.lastRow.key == k { // postings on one request come close together
		return l.lastRow
	}
	r := l.rows[k]
	if r == nil {
		if l.recent.Len() >= l.limits.Rows && k.Customer != Others {
			l.evict()
		}
		r = &row{key: k}
		l.rows[k] = r
		if k.Customer != Others {
			r.at = l.recent.PushFront(r)
		}
	}
	l.touchRecent(r)
	return r
}

// touchRecent takes note that a row is posted to.
func (l *Ledger) touchRecent(r *row) {
	if l.lastRow == r {
		return
	}
	if r.at != nil && r.moved != l.epoch { // once between two audits is order enough
		l.recent.MoveToFront(r.at)
	}
	r.moved, l.lastRow = l.epoch, r
	l.touch(r)
}

func (l *Ledger) touch(r *row) {
	if !r.unread && r.key.Class == ClassAccount && r.key.Customer != Others {
		r.unread = true
		l.accounts = append(l.accounts, r)
	}
	if !r.dirty {
		r.dirty = true
		l.dirty = append(l.dirty, r)
	}
	if l.stating && !r.unstored {
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
	if r.open == 0 && r.dirty { // it is the last time that its name is known
		l.found = append(l.found, r.check(&transit{})...)
	}
	l.recent.Remove(r.at)
	delete(l.rows, r.key)
	if l.lastRow == r {
		l.lastRow = nil
	}
	l.Evictions++
	rolledUp := l.rollUp(r)
	r.dirty, r.unstored = false, false // lists that still hold it pass it over
	if l.stating {
		l.stateEvicted(r, rolledUp)
	}
}

// evictionVictim chooses the row to evict; nil: the ledger may grow instead.
func (l *Ledger) evictionVictim() *row {
	at := l.recent.Back()
	for i := 0; i < evictionCandidates && at != nil; i++ {
		if r := at.Value.(*row); r.open == 0 && r.counts.Pending() == 0 {
			return r
		}
		at = at.Prev()
	}
	if l.recent.Len() < 2*l.limits.Rows {
		return nil
	}
	r := l.recent.Back().Value.(*row)
	l.Abandoned += count(r.counts.Pending() != 0)
	return r
}

// rollUp adds an evicted row to that of its plan and class, and has its open entries go along.
func (l *Ledger) rollUp(r *row) *row {
	key := r.key
	key.Customer = Others
	to := l.row(key)
	to.counts.Add(&r.counts)
	for v, n := range r.lost {
		to.lost[v] += n
	}
	if r.open > 0 {
		to.open += r.open
		for _, e := range l.table {
			if e.row == r {
				e.Key, e.row = key, to
			}
		}
	}
	return to
}

// stateEvicted has what no statement holds yet of an evicted row stated under its customer's name, and held of the rolled-up row
// from then on. Where too many are evicted between two statements, the rest is stated of the rolled-up row.
func (l *Ledger) stateEvicted(r, rolledUp *row) {
	delta := r.counts
	if r.stated != nil {
		delta = r.counts.Minus(r.stated)
		l.evictedKeys = append(l.evictedKeys, r.key)
	}
	if rolledUp.stated == nil {
		rolledUp.stated = &Counts{}
	}
	if len(l.evicted) < l.limits.Rows {
		if !delta.IsZero() {
			l.evicted = append(l.evicted, Line{r.key, delta})
		}
		rolledUp.stated.Add(&r.counts)
	} else if r.stated != nil {
		rolledUp.stated.Add(r.stated)
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
