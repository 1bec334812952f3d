package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// The verdicts of a request, by the event that gave them.
type verdict uint8

const (
	undecided verdict = iota
	served
	rejected
	failed
	other // gone or cut off: no answer was decided
	verdictCount
)

func decided(e Event) verdict {
	switch {
	case e == PlanServed:
		return served
	case e >= PlanRejectedQuota && e <= PlanRejectedInvalid:
		return rejected
	case e >= PlanFailedExhausted && e <= PlanFailedCounterUnread:
		return failed
	}
	return other
}

// Entry is what is open under a Ref. It holds what the owners have said of this request or call, each in its own words.
type Entry struct {
	Key               Key     `json:"Key"`
	Units             int64   `json:"Units"`
	Since             int64   `json:"Since"` // Unix time in nanoseconds
	Wait              uint16  `json:"Wait"`
	HasIdempotencyKey bool    `json:"Keyed"`
	Hash              uint64  `json:"Hash"`
	Call              bool    `json:"Call"`
	FrontTaken        bool    `json:"FrontTaken"`
	FrontEnded        bool    `json:"FrontEnded"`
	NeverTaken        bool    `json:"NeverTaken"` // the planner will not take it
	Lost              bool    `json:"Lost"`       // its answer did not reach the client
	PlanTaken         bool    `json:"PlanTaken"`
	PlanEnded         verdict `json:"PlanEnded"`
	Sent              uint16  `json:"Sent"`
	Heard             uint16  `json:"Heard"`
	Began             uint16  `json:"Began"`
	Ended             uint16  `json:"Ended"`
	Pushed            bool    `json:"Told"`      // of a Call
	CallBegan         bool    `json:"CallBegan"` // of a Call
	CallOver          bool    `json:"CallOver"`  // of a Call
	Rejected          bool    `json:"Rejected"`
	Returned          bool    `json:"Returned"`
	row               *row    // of Key
}

// enter takes note of a posting on what is open.
func (l *Ledger) enter(p Posting, e *Entry, r *row) {
	if e == nil {
		if e = l.openEntry(p, r); e == nil {
			return
		}
	}
	switch eventOwner := p.Event.Journal(); eventOwner {
	case JournalFront:
		e.enterFront(p, r)
	case JournalPlanner:
		e.enterPlanner(p.Event, r)
	case JournalAttempts:
		e.enterAttempt(p.Event)
	case JournalUnits, JournalCounter:
		e.enterCall(p.Event)
	}
	if e.HasIdempotencyKey && e.FrontEnded {
		e.HasIdempotencyKey = false
		l.recordIdempotentRequest(IdempotentRequest{Key: e.Key, Hash: e.Hash, Taken: e.Since, Ended: p.At, End: p.Event})
	}
	if e.done() {
		delete(l.table, p.Ref)
		e.row.open--
	}
}

// openEntry opens the entry of a posting that can open one. Any other posting speaks of an entry that is not open: Audit finds that.
func (l *Ledger) openEntry(p Posting, r *row) *Entry {
	switch p.Event {
	case FrontTaken, PlanTaken, UnitsPushed, CallStarted:
	default:
		return nil
	}
	if len(l.table) >= l.limits.Open {
		l.abandon()
	}
	e := &Entry{Key: p.Key, Units: p.Units, Since: p.At, row: r, Call: p.Event == UnitsPushed || p.Event == CallStarted}
	l.table[p.Ref] = e
	r.open++
	return e
}

// enterFront takes note of what the front says of a request.
func (e *Entry) enterFront(p Posting, r *row) {
	switch p.Event {
	case FrontTaken:
		e.FrontTaken, e.Wait = true, p.Wait
	case FrontIdempotencyKey:
		e.HasIdempotencyKey, e.Hash = true, uint64(p.Units)
	case FrontNotSubmitted, FrontNeverTaken:
		e.NeverTaken = true
		e.FrontEnded = e.FrontEnded || p.Event == FrontNotSubmitted
	case FrontClientDeparted, FrontWriteFailed, FrontCutoff:
		e.Lost = !e.FrontEnded
		e.endFront(r)
	case FrontServed, FrontRejected, FrontFailed:
		e.endFront(r)
	}
}

// enterPlanner takes note of what the planner says of a request.
func (e *Entry) enterPlanner(event Event, r *row) {
	switch event {
	case PlanTaken:
		e.PlanTaken = true
	case PlanSent:
		e.Sent++
	case PlanNotified, PlanNeverNotified:
		e.Heard++
	default: // its end; the first counts
		if e.PlanEnded != undecided {
			return
		}
		e.PlanEnded = decided(event)
		if e.FrontEnded && e.Lost {
			r.lost[e.PlanEnded]++
		}
	}
}

// enterAttempt takes note of what the pools say of an attempt.
func (e *Entry) enterAttempt(event Event) {
	switch event {
	case AttemptStarted:
		e.Began++
	case AttemptNeverStarted:
		e.Began++
		e.Ended++
	default:
		e.Ended++
	}
}

// enterCall takes note of what the planner and the counter's client say of a call to the counter.
func (e *Entry) enterCall(event Event) {
	switch event {
	case UnitsPushed:
		e.Pushed = true
	case UnitsReturned, UnitsNeverReturned:
		e.Returned = true
	case CallStarted, CallNeverStarted:
		e.CallBegan = true
		e.CallOver = e.CallOver || event == CallNeverStarted
	case CallAdded, CallRejected, CallUnknown, CallCutoff:
		e.CallOver = true
		e.Rejected = event == CallRejected
	}
}

// endFront takes note that the front has ended the request; the first end counts.
func (e *Entry) endFront(r *row) {
	if e.FrontEnded {
		return
	}
	e.FrontEnded = true
	if e.Lost && e.PlanEnded != undecided {
		r.lost[e.PlanEnded]++
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

// handed: on its way from the front to the planner, which has said nothing of it yet.
func (e *Entry) handed() bool {
	return e.FrontTaken && !e.PlanTaken && e.PlanEnded == undecided && !e.NeverTaken
}

func (e *Entry) sending() int  { return max(0, int(e.Sent)-int(max(e.Began, e.Heard))) }
func (e *Entry) fetching() int { return max(0, int(e.Began)-int(max(e.Ended, e.Heard))) }
func (e *Entry) hearing() int  { return max(0, int(e.Ended)-int(e.Heard)) }
