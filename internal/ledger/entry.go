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

// Entry is what is open under a Ref. It holds what the owners have said of this request or call, each in its own words.
type Entry struct {
	Key               Key     `json:"Key"`
	Units             int64   `json:"Units"`
	Since             int64   `json:"Since"` // Unix time in nanoseconds
	Wait              uint16  `json:"Wait"`
	HasIdempotencyKey bool    `json:"Keyed"`
	Hash              uint64  `json:"Hash"`
	IsCall            bool    `json:"Call"`
	FrontTaken        bool    `json:"FrontTaken"`
	FrontEnded        bool    `json:"FrontEnded"`
	NeverTaken        bool    `json:"NeverTaken"` // the planner will not take it
	AnswerLost        bool    `json:"Lost"`       // its answer did not reach the client
	PlanTaken         bool    `json:"PlanTaken"`
	PlanVerdict       verdict `json:"PlanEnded"`
	AttemptsOrdered   uint16  `json:"Sent"`
	AttemptsNotified  uint16  `json:"Heard"`
	AttemptsStarted   uint16  `json:"Began"`
	AttemptsEnded     uint16  `json:"Ended"`
	Pushed            bool    `json:"Told"`      // of a Call
	CallStarted       bool    `json:"CallBegan"` // of a Call
	CallEnded         bool    `json:"CallOver"`  // of a Call
	CallRejected      bool    `json:"Rejected"`
	UnitsReturned     bool    `json:"Returned"`
	row               *row    // of Key
}

// applyToEntry takes note of a posting on what is open.
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

// createEntry opens the entry of a posting that can open one. Any other posting speaks of an entry that is not open: Audit finds that.
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

// applyFront takes note of what the front says of a request.
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

// applyPlanner takes note of what the planner says of a request.
func (e *Entry) applyPlanner(event Event, r *row) {
	switch event {
	case PlanTaken:
		e.PlanTaken = true
	case PlanSent:
		e.AttemptsOrdered++
	case PlanNotified, PlanNeverNotified:
		e.AttemptsNotified++
	default: // its end; the first counts
		if e.PlanVerdict != undecided {
			return
		}
		e.PlanVerdict = verdictOf(event)
		if e.FrontEnded && e.AnswerLost {
			r.lostAnswers[e.PlanVerdict]++
		}
	}
}

// applyAttempt takes note of what the pools say of an attempt.
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

// applyCall takes note of what the planner and the counter's client say of a call to the counter.
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

// endFront takes note that the front has ended the request; the first end counts.
func (e *Entry) endFront(r *row) {
	if e.FrontEnded {
		return
	}
	e.FrontEnded = true
	if e.AnswerLost && e.PlanVerdict != undecided {
		r.lostAnswers[e.PlanVerdict]++
	}
}

// isComplete says that nothing more is to come under the entry's Ref.
func (e *Entry) isComplete() bool {
	if e.IsCall {
		return e.CallEnded && e.CallStarted && (!e.CallRejected || e.UnitsReturned)
	}
	return e.FrontEnded && (e.PlanVerdict != undecided || e.NeverTaken) && e.AttemptsNotified >= e.AttemptsOrdered && e.AttemptsEnded <= e.AttemptsNotified
}

// abandonEntries gives up an eighth of the table: entries that the front has ended first, as only a fault leaves many of
// those, then any. Their rows say what does not add up from then on.
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

// handed: on its way from the front to the planner, which has said nothing of it yet.
func (e *Entry) isSubmitted() bool {
	return e.FrontTaken && !e.PlanTaken && e.PlanVerdict == undecided && !e.NeverTaken
}

func (e *Entry) orderedAttempts() int {
	return max(0, int(e.AttemptsOrdered)-int(max(e.AttemptsStarted, e.AttemptsNotified)))
}
func (e *Entry) openAttempts() int {
	return max(0, int(e.AttemptsStarted)-int(max(e.AttemptsEnded, e.AttemptsNotified)))
}
func (e *Entry) unreportedAttempts() int { return max(0, int(e.AttemptsEnded)-int(e.AttemptsNotified)) }
