package ledger

import (
	"maps"
	"slices"
)

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
			if e.Pushed && !e.CallBegan {
				post(CallNeverStarted, k, ref, e.Units)
			} else if !e.CallOver {
				post(CallCutoff, k, ref, e.Units)
			}
			if e.Rejected && !e.Returned {
				post(UnitsNeverReturned, k, ref, e.Units)
			}
			continue
		}
		for range e.sending() {
			post(AttemptNeverStarted, k, ref, 0)
		}
		for range e.fetching() {
			post(AttemptCutoff, k, ref, 0)
		}
		for range e.hearing() {
			post(PlanNeverNotified, k, ref, 0)
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
