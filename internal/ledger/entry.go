package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// verdict is the planner's decision on a request. Stored entries contain its number.
type verdict uint8

// The verdicts on a request.
const (
	undecided verdict = iota
	served
	rejected
	failed
	other // the client departed or the process ended, without a decision on the answer
	verdictCount
)

// verdictOf returns the verdict that an event of the planner's journal gives.
func verdictOf(e Event) verdict {
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

// Entry is an open request or counter call. It holds the state that results from the postings of all owners with its reference.
type Entry struct {
	Key               Key     `json:"Key"`
	Units             int64   `json:"Units"` // units in millionths
	Since             int64   `json:"Since"` // time of the first posting, as Unix time in nanoseconds
	Wait              uint16  `json:"Wait"`  // time that the client waits, in seconds
	HasIdempotencyKey bool    `json:"Keyed"`
	Hash              uint64  `json:"Hash"` // hash of the idempotency key
	IsCall            bool    `json:"Call"` // the entry is a counter call
	FrontTaken        bool    `json:"FrontTaken"`
	FrontEnded        bool    `json:"FrontEnded"`
	NeverTaken        bool    `json:"NeverTaken"` // the planner will not accept the request
	AnswerLost        bool    `json:"Lost"`       // the answer did not reach the client
	PlanTaken         bool    `json:"PlanTaken"`
	PlanVerdict       verdict `json:"PlanEnded"`
	AttemptsOrdered   uint16  `json:"Sent"`  // attempts that the planner ordered
	AttemptsNotified  uint16  `json:"Heard"` // attempts whose end was reported to the planner
	AttemptsStarted   uint16  `json:"Began"` // attempts that were started
	AttemptsEnded     uint16  `json:"Ended"` // attempts that have ended
	Pushed            bool    `json:"Told"`  // the planner ordered the counter call
	CallStarted       bool    `json:"CallBegan"`
	CallEnded         bool    `json:"CallOver"`
	CallRejected      bool    `json:"Rejected"`
	UnitsReturned     bool    `json:"Returned"`
	row               *row    // row of Key
}

// applyToEntry applies a posting to its open entry e. If e is nil, it opens an entry if createEntry allows that. It removes the
// entry when it is complete.
func (l *Ledger) applyToEntry(p Posting, e *Entry, r *row) {
	if e == nil {
		if e = l.createEntry(p, r); e == nil {
			return
		}
	}
	switch journal := p.Event.Journal(); journal {
	case JournalFront:
		e.applyFront(p, r)
	case JournalPlanner:
		e.applyPlanner(p.Event, r)
	case JournalAttempts:
		e.applyAttempt(p.Event)
	case JournalUnits, JournalCounter:
		e.applyCall(p.Event)
	}
	if e.HasIdempotencyKey && e.FrontEnded {
		e.HasIdempotencyKey = false
		l.recordIdempotentRequest(IdempotentRequest{Key: e.Key, Hash: e.Hash, Taken: e.Since, Ended: p.At, End: p.Event})
	}
	if e.isComplete() {
		delete(l.entries, p.Ref)
		e.row.openEntries--
	}
}

// createEntry opens an entry for a posting that can open one. For any other posting it returns nil: the posting refers to an
// entry that is not open, which Audit finds.
func (l *Ledger) createEntry(p Posting, r *row) *Entry {
	switch p.Event {
	case FrontTaken, PlanTaken, UnitsPushed, CallStarted:
	default:
		return nil
	}
	if len(l.entries) >= l.limits.Open {
		l.abandonEntries()
	}
	e := &Entry{Key: p.Key, Units: p.Units, Since: p.At, row: r, IsCall: p.Event == UnitsPushed || p.Event == CallStarted}
	l.entries[p.Ref] = e
	r.openEntries++
	return e
}

// applyFront applies a posting of the front's journal.
func (e *Entry) applyFront(p Posting, r *row) {
	switch p.Event {
	case FrontTaken:
		e.FrontTaken, e.Wait = true, p.Wait
	case FrontIdempotencyKey:
		e.HasIdempotencyKey, e.Hash = true, uint64(p.Units)
	case FrontNotSubmitted, FrontNeverTaken:
		e.NeverTaken = true
		e.FrontEnded = e.FrontEnded || p.Event == FrontNotSubmitted
	case FrontClientDeparted, FrontWriteFailed, FrontCutoff:
		e.AnswerLost = !e.FrontEnded
		e.endFront(r)
	case FrontServed, FrontRejected, FrontFailed:
		e.endFront(r)
	}
}

// applyPlanner applies a posting of the planner's journal.
func (e *Entry) applyPlanner(event Event, r *row) {
	switch event {
	case PlanTaken:
		e.PlanTaken = true
	case PlanSent:
		e.AttemptsOrdered++
	case PlanNotified, PlanNeverNotified:
		e.AttemptsNotified++
	default: // the planner ends the request; any further end is ignored
		if e.PlanVerdict != undecided {
			return
		}
		e.PlanVerdict = verdictOf(event)
		if e.FrontEnded && e.AnswerLost {
			r.lostAnswers[e.PlanVerdict]++
		}
	}
}

// applyAttempt applies a posting of the attempts' journal.
func (e *Entry) applyAttempt(event Event) {
	switch event {
	case AttemptStarted:
		e.AttemptsStarted++
	case AttemptNeverStarted:
		e.AttemptsStarted++
		e.AttemptsEnded++
	default:
		e.AttemptsEnded++
	}
}

// applyCall applies a posting on a counter call, of the units' or the counter's journal.
func (e *Entry) applyCall(event Event) {
	switch event {
	case UnitsPushed:
		e.Pushed = true
	case UnitsReturned, UnitsNeverReturned:
		e.UnitsReturned = true
	case CallStarted, CallNeverStarted:
		e.CallStarted = true
		e.CallEnded = e.CallEnded || event == CallNeverStarted
	case CallAdded, CallRejected, CallUnknown, CallCutoff:
		e.CallEnded = true
		e.CallRejected = event == CallRejected
	}
}

// endFront marks the request as ended by the front, unless it is marked already.
func (e *Entry) endFront(r *row) {
	if e.FrontEnded {
		return
	}
	e.FrontEnded = true
	if e.AnswerLost && e.PlanVerdict != undecided {
		r.lostAnswers[e.PlanVerdict]++
	}
}

// isComplete reports whether no more postings with the entry's reference are expected.
func (e *Entry) isComplete() bool {
	if e.IsCall {
		return e.CallEnded && e.CallStarted && (!e.CallRejected || e.UnitsReturned)
	}
	return e.FrontEnded && (e.PlanVerdict != undecided || e.NeverTaken) && e.AttemptsNotified >= e.AttemptsOrdered && e.AttemptsEnded <= e.AttemptsNotified
}

// abandonEntries drops an eighth of the open entries. Entries that the front has already ended are dropped first, because only a
// fault leaves many of them. Audit reports mismatches in their rows from then on.
func (l *Ledger) abandonEntries() {
	refs := slices.Sorted(maps.Keys(l.entries))
	slices.SortStableFunc(refs, func(a, b uint64) int {
		return cmp.Compare(countIf(l.entries[b].FrontEnded), countIf(l.entries[a].FrontEnded))
	})
	for _, ref := range refs[:max(1, len(refs)/8)] {
		l.entries[ref].row.openEntries--
		delete(l.entries, ref)
		l.Abandoned++
	}
}

// isSubmitted reports whether the front has submitted the request and the planner has not posted anything on it yet.
func (e *Entry) isSubmitted() bool {
	return e.FrontTaken && !e.PlanTaken && e.PlanVerdict == undecided && !e.NeverTaken
}

// orderedAttempts returns the number of attempts that are ordered and not started.
func (e *Entry) orderedAttempts() int {
	return max(0, int(e.AttemptsOrdered)-int(max(e.AttemptsStarted, e.AttemptsNotified)))
}

// openAttempts returns the number of attempts that are started and not ended.
func (e *Entry) openAttempts() int {
	return max(0, int(e.AttemptsStarted)-int(max(e.AttemptsEnded, e.AttemptsNotified)))
}

// unreportedAttempts returns the number of attempts that have ended and whose end was not reported to the planner yet.
func (e *Entry) unreportedAttempts() int { return max(0, int(e.AttemptsEnded)-int(e.AttemptsNotified)) }
