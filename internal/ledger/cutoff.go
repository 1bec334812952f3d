package ledger

import (
	"maps"
	"slices"
)

// CutOff closes all entries that a process left open when it ended. It posts the closing postings with the time at (Unix
// nanoseconds) and returns them. Afterwards nothing is open and all checks of Audit hold.
func (l *Ledger) CutOff(at int64) (ps []Posting) {
	post := func(e Event, k Key, ref uint64, units int64) {
		p := Posting{Event: e, Key: k, Ref: ref, Units: units, At: at}
		ps = append(ps, p)
		l.Post(p)
	}
	for _, ref := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[ref]
		k := e.Key
		if e.IsCall {
			if e.Pushed && !e.CallStarted {
				post(CallNeverStarted, k, ref, e.Units)
			} else if !e.CallEnded {
				post(CallCutoff, k, ref, e.Units)
			}
			if e.CallRejected && !e.UnitsReturned {
				post(UnitsNeverReturned, k, ref, e.Units)
			}
			continue
		}
		for range e.orderedAttempts() {
			post(AttemptNeverStarted, k, ref, 0)
		}
		for range e.openAttempts() {
			post(AttemptCutoff, k, ref, 0)
		}
		for range e.unreportedAttempts() {
			post(PlanNeverNotified, k, ref, 0)
		}
		if e.isSubmitted() {
			post(FrontNeverTaken, k, ref, e.Units)
		}
		if e.PlanTaken && e.PlanVerdict == undecided {
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
	// Entries that are still open were left by a fault in the postings.
	l.Abandoned += uint64(len(l.entries))
	clear(l.entries)
	for _, r := range l.rows {
		r.openEntries = 0
	}
	return ps
}
