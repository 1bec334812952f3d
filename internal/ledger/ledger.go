package ledger

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
)

// The verdicts of a req, by the event that gave them.
type verdict uint8

const (
	undecided verdict = iota
	served
	refused
	failed
	other // gone or cut off: no answer was decided
	verdicts
)

func decided(e Event) verdict {
	switch {
	case e == PlanServed:
		return served
	case e >= PlanRefusedQuota && e <= PlanRefusedUnusable:
		return refused
	case e >= PlanFailedGaveUp && e <= PlanFailedUnread:
		return failed
	}
	return other
}

// Entry is what is open under a Ref. It holds what the owners have said of this req or call, each in its own words.
type Entry struct {
	Key        Key     `json:"Key"`
	Units      int64   `json:"Units"`
	Since      int64   `json:"Since"` // Unix time in nanoseconds
	Wait       uint16  `json:"Wait"`
	Keyed      bool    `json:"Keyed"`
	Hash       uint64  `json:"Hash"`
	Call       bool    `json:"Call"`
	FrontTaken bool    `json:"FrontTaken"`
	FrontEnded bool    `json:"FrontEnded"`
	NeverTaken bool    `json:"NeverTaken"` // the planner will not take it
	Lost       bool    `json:"Lost"`       // its answer did not reach the client
	PlanTaken  bool    `json:"PlanTaken"`
	PlanEnded  verdict `json:"PlanEnded"`
	Sent       uint16  `json:"Sent"`
	Heard      uint16  `json:"Heard"`
	Began      uint16  `json:"Began"`
	Ended      uint16  `json:"Ended"`
	Told       bool    `json:"Told"`      // of a Call
	CallBegan  bool    `json:"CallBegan"` // of a Call
	CallOver   bool    `json:"CallOver"`  // of a Call
	Rejected   bool    `json:"Rejected"`
	Returned   bool    `json:"Returned"`
	row        *row    // of Key
}

// row holds the figures of a key.
type row struct {
	key    Key
	counts Counts
	stated *Counts          // what statements hold of it; nil: nothing
	lost   [verdicts]uint64 // answers that were decided and did not reach the client; by pairs of the front's and the planner's ends
	open   int              // entries of the table under this key
	dirty  bool             // posted to since the last audit
	unkept bool             // and since the last statement
	unread bool             // it is in the ledger's accounts
	at     *list.Element
	moved  uint64 // epoch in which it was moved to the front
}

// Limits bound a ledger's memory.
type Limits struct {
	Rows   int // of hauliers; those rolled up come on top, a plan and class each
	Open   int // entries that are open
	Flight int // postings that the flight recorder holds
}

// Ledger is the state of the books. It is for one goroutine at a time.
type Ledger struct {
	limits    Limits
	rows      map[Key]*row
	recent    *list.List // of *row, the one posted to last in front; those rolled up are not in it
	table     map[uint64]*Entry
	last      *row   // that was posted to, and has been touched since the last audit or statement
	epoch     uint64 // audits and statements
	total     Counts // over all rows, booked beside them
	dirty     []*row
	unkept    []*row
	found     []Mismatch // in evicted rows
	gone      []Key      // evicted rows that a store holds
	evicted   []Line     // deltas of evicted rows that no statement holds yet
	accounts  []*row     // that were posted to since Accounts last named them, or hold units
	tries     []Try      // that have ended since the last statement
	stating   bool       // statements are made
	flight    []Posting
	flown     uint64
	Abandoned uint64 // entries that were given up as the table was full: their rows no longer add up
	Evictions uint64
	TriesLost uint64 // that came beyond what is held between two statements
}

// New makes empty books. With statements, Statement must be called now and then.
func New(l Limits, statements bool) *Ledger {
	return &Ledger{limits: Limits{max(16, l.Rows), max(16, l.Open), max(16, l.Flight)}, rows: map[Key]*row{},
		recent: list.New(), table: map[uint64]*Entry{}, stating: statements}
}

// Post books one posting. Whatever it says is booked: that it fits is for Audit to say.
func (l *Ledger) Post(p Posting) {
	if p.Event == None || p.Event >= Events {
		return
	}
	if len(l.flight) < l.limits.Flight {
		l.flight = append(l.flight, p)
	} else {
		l.flight[l.flown%uint64(len(l.flight))] = p
	}
	l.flown++
	var r *row
	e := l.table[p.Ref]
	if e != nil && e.Key.Customer == Others {
		p.Key = e.Key // its row was rolled up while it was open
	}
	if e != nil && e.Key == p.Key {
		r = e.row
		l.recently(r)
	} else {
		r = l.row(p.Key)
	}
	r.counts.Book(p.Event, p.Units)
	l.total.Book(p.Event, p.Units)
	if p.Ref != 0 {
		l.enter(p, e, r)
	}
}

// row finds or makes the row of a key, and takes note that it changes.
func (l *Ledger) row(k Key) *row {
	if l.last != nil && l.last.key == k { // postings on one req come close together
		return l.last
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
	l.recently(r)
	return r
}

// recently takes note that a row is posted to.
func (l *Ledger) recently(r *row) {
	if l.last == r {
		return
	}
	if r.at != nil && r.moved != l.epoch { // once between two audits is order enough
		l.recent.MoveToFront(r.at)
	}
	r.moved, l.last = l.epoch, r
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
	if l.stating && !r.unkept {
		r.unkept = true
		l.unkept = append(l.unkept, r)
	}
}

const evictLook = 64 // rows that are looked at for one that has nothing open

// evict rolls the row that was posted to longest ago up into the row of its plan and class. One with something open or
// pending is passed over. If all that were looked at are so, the ledger grows, to twice its rows at most: then memory
// goes before the name of a row.
func (l *Ledger) evict() {
	var r *row
	at := l.recent.Back()
	for i := 0; i < evictLook && at != nil && r == nil; i++ {
		if c := at.Value.(*row); c.open == 0 && c.counts.Pending() == 0 {
			r = c
		}
		at = at.Prev()
	}
	if r == nil {
		if l.recent.Len() < 2*l.limits.Rows {
			return
		}
		r = l.recent.Back().Value.(*row)
		l.Abandoned += count(r.counts.Pending() != 0)
	}
	if r.open == 0 && r.dirty { // it is the last time that its name is known
		l.found = append(l.found, r.check(&transit{})...)
	}
	l.recent.Remove(r.at)
	delete(l.rows, r.key)
	if l.last == r {
		l.last = nil
	}
	l.Evictions++
	k := r.key
	k.Customer = Others
	to := l.row(k)
	to.counts.Add(&r.counts)
	for v, n := range r.lost {
		to.lost[v] += n
	}
	if r.open > 0 { // its open entries go along
		to.open += r.open
		for _, e := range l.table {
			if e.row == r {
				e.Key, e.row = k, to
			}
		}
	}
	r.dirty, r.unkept = false, false // it is of no more use; lists that hold it pass it over
	if !l.stating {
		return
	}
	// What no statement holds yet is stated under the haulier's name, and then held of the rolled-up row.
	delta := r.counts
	if r.stated != nil {
		delta = r.counts.Less(r.stated)
		l.gone = append(l.gone, r.key)
	}
	if to.stated == nil {
		to.stated = &Counts{}
	}
	if len(l.evicted) < l.limits.Rows {
		if !delta.Zero() {
			l.evicted = append(l.evicted, Line{r.key, delta})
		}
		to.stated.Add(&r.counts)
	} else if r.stated != nil { // too many between two statements: the rest is stated of the rolled-up row
		to.stated.Add(r.stated)
	}
}

// enter takes note of a posting on what is open.
func (l *Ledger) enter(p Posting, e *Entry, r *row) {
	if e == nil {
		switch p.Event { // what can open an entry; anything else speaks of none that is open, and Audit finds that
		case FrontTaken, PlanTaken, UnitsTold, CallBegan:
		default:
			return
		}
		if len(l.table) >= l.limits.Open {
			l.abandon()
		}
		e = &Entry{Key: p.Key, Units: p.Units, Since: p.At, row: r, Call: p.Event == UnitsTold || p.Event == CallBegan}
		l.table[p.Ref] = e
		r.open++
	}
	switch ev := p.Event; {
	case ev == FrontTaken:
		e.FrontTaken, e.Wait = true, p.Wait
	case ev == FrontKeyed:
		e.Keyed, e.Hash = true, uint64(p.Units)
	case ev == FrontKept || ev == FrontNeverTaken:
		e.NeverTaken = true
		e.FrontEnded = e.FrontEnded || ev == FrontKept
	case ev == FrontGone || ev == FrontCut || ev == FrontCutoff:
		e.Lost = !e.FrontEnded
		l.over(e, r)
	case ev > FrontTaken && ev < FrontGone:
		l.over(e, r)
	case ev == PlanTaken:
		e.PlanTaken = true
	case ev == PlanSent:
		e.Sent++
	case ev == PlanHeard || ev == PlanHeardCutoff:
		e.Heard++
	case ev > PlanTaken && ev < PlanSent:
		if e.PlanEnded == undecided {
			e.PlanEnded = decided(ev)
			if e.FrontEnded && e.Lost {
				r.lost[e.PlanEnded]++
			}
		}
	case ev == FetchBegan || ev == FetchNeverBegan:
		e.Began++
		if ev == FetchNeverBegan {
			e.Ended++
		}
	case ev > FetchBegan && ev <= FetchCutoff:
		e.Ended++
	case ev == UnitsTold:
		e.Told = true
	case ev == UnitsReturned || ev == UnitsNeverReturned:
		e.Returned = true
	case ev == CallBegan || ev == CallNeverBegan:
		e.CallBegan = true
		e.CallOver = e.CallOver || ev == CallNeverBegan
	case ev >= CallAdded && ev <= CallCutoff:
		e.CallOver = true
		e.Rejected = ev == CallRejected
	}
	if e.Keyed && e.FrontEnded {
		e.Keyed = false
		l.tried(Try{Key: e.Key, Hash: e.Hash, Taken: e.Since, Ended: p.At, End: p.Event})
	}
	if e.done() {
		delete(l.table, p.Ref)
		e.row.open--
	}
}

const maxTries = 1 << 16 // that are held between two statements

func (l *Ledger) tried(t Try) {
	if !l.stating {
		return
	}
	if len(l.tries) >= maxTries {
		l.TriesLost++
		return
	}
	l.tries = append(l.tries, t)
}

func (l *Ledger) over(e *Entry, r *row) {
	if !e.FrontEnded {
		e.FrontEnded = true
		if e.Lost && e.PlanEnded != undecided {
			r.lost[e.PlanEnded]++
		}
	}
}

// done says that nothing more is to come under the entry's Ref.
func (e *Entry) done() bool {
	if e.Call {
		return e.CallOver && e.CallBegan && (!e.Rejected || e.Returned)
	}
	return e.FrontEnded && (e.PlanEnded != undecided || e.NeverTaken) && e.Heard >= e.Sent && e.Ended <= e.Heard
}

// abandon gives up an eighth of the table: entries that the front has ended first, as only a fault leaves many of
// those, then any. Their rows say what does not add up from then on.
func (l *Ledger) abandon() {
	refs := slices.Sorted(maps.Keys(l.table))
	slices.SortStableFunc(refs, func(a, b uint64) int {
		return cmp.Compare(count(l.table[b].FrontEnded), count(l.table[a].FrontEnded))
	})
	for _, ref := range refs[:max(1, len(refs)/8)] {
		l.table[ref].row.open--
		delete(l.table, ref)
		l.Abandoned++
	}
}

// Open is how many reqs and calls are open.
func (l *Ledger) Open() int { return len(l.table) }

// Total is the figures over all rows, as they were booked beside them.
func (l *Ledger) Total() Counts { return l.total }

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

// Flight returns the last postings to a row that the flight recorder still holds, the oldest first, so many at most.
func (l *Ledger) Flight(k Key, most int) (ps []Posting) {
	for i := range l.flight {
		p := l.flight[(l.flown-1-uint64(i))%uint64(len(l.flight))]
		if p.Key == k {
			if ps = append(ps, p); len(ps) == most {
				break
			}
		}
	}
	slices.Reverse(ps)
	return ps
}

// Statement is what has come since the one before: the deltas by row, in the order of their keys, and, for a store, the
// figures of the rows that have changed.
type Statement struct {
	Deltas []Line
	Rows   []Kept
	Tries  []Try  // that have ended, in that order
	Open   []Open // what is open, in the order of the Refs
}

// Open is an entry of the table, as a store keeps it.
type Open struct {
	Ref uint64 `json:"Ref"`
	Entry
}

// Kept is a row as a store keeps it.
type Kept struct {
	Key  Key
	Gone bool // it was rolled up
	Counts
	Lost [4]uint64 // answers that were decided and did not reach the client: served, refused, failed, other
}

// Statement closes a period.
func (l *Ledger) Statement() Statement {
	l.last = nil
	s := Statement{Deltas: l.evicted, Tries: l.tries}
	for _, k := range l.gone { // one that has come again follows below
		s.Rows = append(s.Rows, Kept{Key: k, Gone: true})
	}
	l.evicted, l.gone, l.tries = nil, nil, nil
	for _, r := range l.unkept {
		if !r.unkept || l.rows[r.key] != r {
			continue
		}
		r.unkept = false
		delta := r.counts
		if r.stated == nil {
			r.stated = &Counts{}
		} else {
			delta = r.counts.Less(r.stated)
		}
		*r.stated = r.counts
		if !delta.Zero() {
			s.Deltas = append(s.Deltas, Line{r.key, delta})
		}
		s.Rows = append(s.Rows, r.kept())
	}
	l.unkept = l.unkept[:0]
	for ref, e := range l.table {
		s.Open = append(s.Open, Open{ref, *e})
	}
	slices.SortFunc(s.Open, func(a, b Open) int { return cmp.Compare(a.Ref, b.Ref) })
	slices.SortFunc(s.Deltas, func(a, b Line) int { return a.Key.compare(b.Key) })
	return s
}

func (r *row) kept() Kept {
	k := Kept{Key: r.key, Counts: r.counts}
	copy(k.Lost[:], r.lost[served:])
	return k
}

// Restore puts a row back that a store kept, all of it stated. It is for books that are still empty.
func (l *Ledger) Restore(k Kept) {
	r := l.row(k.Key)
	r.counts = k.Counts
	copy(r.lost[served:], k.Lost[:])
	stated := k.Counts
	r.stated = &stated
	l.total.Add(&k.Counts)
}

// RestoreOpen puts an entry back that a store kept; its row was restored before.
func (l *Ledger) RestoreOpen(o Open) {
	e := o.Entry
	l.table[o.Ref] = &e
	e.row = l.row(e.Key)
	e.row.open++
}

// CutOff closes what is open, as a process that has ended left it, and returns the postings that do so; they are booked.
// After it the identities hold with nothing open.
func (l *Ledger) CutOff(at int64) (ps []Posting) {
	post := func(e Event, k Key, ref uint64, units int64) {
		p := Posting{Event: e, Key: k, Ref: ref, Units: units, At: at}
		ps = append(ps, p)
		l.Post(p)
	}
	for _, ref := range slices.Sorted(maps.Keys(l.table)) {
		e := l.table[ref]
		k := e.Key
		if e.Call {
			if e.Told && !e.CallBegan {
				post(CallNeverBegan, k, ref, e.Units)
			} else if !e.CallOver {
				post(CallCutoff, k, ref, e.Units)
			}
			if e.Rejected && !e.Returned {
				post(UnitsNeverReturned, k, ref, e.Units)
			}
			continue
		}
		for range e.sending() {
			post(FetchNeverBegan, k, ref, 0)
		}
		for range e.fetching() {
			post(FetchCutoff, k, ref, 0)
		}
		for range e.hearing() {
			post(PlanHeardCutoff, k, ref, 0)
		}
		if e.handed() {
			post(FrontNeverTaken, k, ref, e.Units)
		}
		if e.PlanTaken && e.PlanEnded == undecided {
			post(PlanCutoff, k, ref, 0)
		}
		if e.FrontTaken && !e.FrontEnded {
			post(FrontCutoff, k, ref, 0)
		}
	}
	for _, line := range l.Lines() {
		if pending := line.Counts.Pending(); pending != 0 {
			post(UnitsCutoff, line.Key, 0, pending)
		}
	}
	// What still stands in the table is what a fault left there.
	l.Abandoned += uint64(len(l.table))
	clear(l.table)
	for _, r := range l.rows {
		r.open = 0
	}
	return ps
}

// handed: on its way from the front to the planner, which has said nothing of it yet.
func (e *Entry) handed() bool {
	return e.FrontTaken && !e.PlanTaken && e.PlanEnded == undecided && !e.NeverTaken
}

func (e *Entry) sending() int  { return max(0, int(e.Sent)-int(max(e.Began, e.Heard))) }
func (e *Entry) fetching() int { return max(0, int(e.Began)-int(max(e.Ended, e.Heard))) }
func (e *Entry) hearing() int  { return max(0, int(e.Ended)-int(e.Heard)) }
