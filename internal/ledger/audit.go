package ledger

import (
	"fmt"
	"slices"
	"time"
)

// Mismatch is a pair of figures that must be equal and are not.
type Mismatch struct {
	Key         Key
	AllRows     bool   // the figures are sums over all rows, and Key is empty
	Check       string // text of the check that failed
	Journals    [2]Journal
	Left, Right uint64 // the two figures, in the order of Journals; units are in millionths
}

// String returns the check with both figures and their journals, for logs.
func (m Mismatch) String() string {
	return fmt.Sprintf("%s: %d in %s, %d in %s", m.Check, int64(m.Left), m.Journals[0], int64(m.Right), m.Journals[1])
}

// inFlight counts the open requests and counter calls of one row, their attempts and units, by the next posting that is due.
type inFlight struct {
	openAtFront, openAtPlanner, submitted, orderedAttempts, openAttempts, unreportedAttempts uint64
	pendingAnswers                                                                           [verdictCount]uint64
	submittedUnits                                                                           uint64
	orderedCalls, openCalls, pendingReturns                                                  uint64
	orderedCallUnits, openCallUnits, pendingReturnUnits                                      uint64
}

// countIf returns 1 if the condition is true, and 0 otherwise.
func countIf(condition bool) uint64 {
	if condition {
		return 1
	}
	return 0
}

// add adds an open entry to the counts of the postings that are due for it.
func (flight *inFlight) add(e *Entry) {
	if e.IsCall {
		ordered, open, returning := e.Pushed && !e.CallStarted && !e.CallEnded, e.CallStarted && !e.CallEnded, e.CallRejected && !e.UnitsReturned
		flight.orderedCalls += countIf(ordered)
		flight.openCalls += countIf(open)
		flight.pendingReturns += countIf(returning)
		flight.orderedCallUnits += countIf(ordered) * uint64(e.Units)
		flight.openCallUnits += countIf(open) * uint64(e.Units)
		flight.pendingReturnUnits += countIf(returning) * uint64(e.Units)
		return
	}
	flight.openAtFront += countIf(e.FrontTaken && !e.FrontEnded)
	flight.openAtPlanner += countIf(e.PlanTaken && e.PlanVerdict == undecided)
	flight.submitted += countIf(e.isSubmitted())
	flight.submittedUnits += countIf(e.isSubmitted()) * uint64(e.Units)
	flight.orderedAttempts += uint64(e.orderedAttempts())
	flight.openAttempts += uint64(e.openAttempts())
	flight.unreportedAttempts += uint64(e.unreportedAttempts())
	if !e.FrontEnded {
		flight.pendingAnswers[e.PlanVerdict]++
	}
}

// Audit checks the rows that were posted to since the last audit and the watched rows, or, if allRows is set, every row and the
// sum over them. It returns the mismatches, sorted by key. A row that was not posted to needs no check, because its result is the
// same as before.
func (l *Ledger) Audit(allRows bool, watched ...Key) (found []Mismatch) {
	l.lastRow = nil
	l.recencyEpoch++
	found, l.evictedMismatches = l.evictedMismatches, nil
	inFlightByKey := map[Key]*inFlight{}
	for _, e := range l.entries {
		flight := inFlightByKey[e.Key]
		if flight == nil {
			flight = &inFlight{}
			inFlightByKey[e.Key] = flight
		}
		flight.add(e)
	}
	check := func(r *row) {
		flight := inFlightByKey[r.key]
		if flight == nil {
			flight = &inFlight{}
		}
		found = append(found, r.check(flight)...)
	}
	if allRows {
		var sum Counts
		for _, r := range l.rows {
			check(r)
			r.dirty = false
			sum.Add(&r.counts)
		}
		for e := None + 1; e < EventCount; e++ {
			if sum.N[e] != l.total.N[e] || sum.Units(e) != l.total.Units(e) {
				found = append(found, Mismatch{AllRows: true, Check: "sum of " + e.String(), Journals: [2]Journal{e.Journal(), e.Journal()},
					Left: sum.N[e], Right: l.total.N[e]})
			}
		}
	} else {
		for _, k := range watched {
			if r := l.rows[k]; r != nil && !r.dirty {
				check(r)
			}
		}
		for _, r := range l.dirty {
			if r.dirty && l.rows[r.key] == r {
				check(r)
				r.dirty = false
			}
		}
	}
	l.dirty = l.dirty[:0]
	slices.SortFunc(found, func(a, b Mismatch) int { return a.Key.compare(b.Key) })
	return found
}

// Overdue returns a mismatch for each row with open entries whose clients stopped waiting before the given time (Unix
// nanoseconds). The posting that ends such an entry is missing. Audit counts these entries as open, and does not report them.
func (l *Ledger) Overdue(before int64) (found []Mismatch) {
	rows := map[Key]uint64{}
	for _, e := range l.entries {
		if e.Since+int64(e.Wait)*int64(time.Second) < before {
			rows[e.Key]++
		}
	}
	for k, n := range rows {
		m := Mismatch{Key: k, Check: "open beyond its deadline = 0", Journals: [2]Journal{JournalFront, JournalPlanner}, Left: n}
		if k.Class == ClassAccount {
			m.Journals = [2]Journal{JournalCounter, JournalUnits}
		}
		found = append(found, m)
	}
	slices.SortFunc(found, func(a, b Mismatch) int { return a.Key.compare(b.Key) })
	return found
}

// check compares the journals of one row, with allowance for the entries that are in flight between their owners.
func (r *row) check(flight *inFlight) (found []Mismatch) {
	c := &r.counts
	n := &c.N
	expectEqual := func(what string, a Journal, left uint64, b Journal, right uint64) {
		if left != right {
			found = append(found, Mismatch{Key: r.key, Check: what, Journals: [2]Journal{a, b}, Left: left, Right: right})
		}
	}
	units := func(e Event) uint64 { return uint64(c.Units(e)) }
	if r.key.Class == ClassAccount {
		expectEqual("calls ordered = begun", JournalUnits, n[UnitsPushed], JournalCounter, n[CallStarted]+n[CallNeverStarted]+flight.orderedCalls)
		expectEqual("calls begun = ended + open", JournalCounter, n[CallStarted], JournalCounter,
			n[CallAdded]+n[CallRejected]+n[CallUnknown]+n[CallCutoff]+flight.openCalls)
		expectEqual("units ordered = in calls begun", JournalUnits, units(UnitsPushed), JournalCounter,
			units(CallStarted)+units(CallNeverStarted)+flight.orderedCallUnits)
		expectEqual("units of calls begun = ended + open", JournalCounter, units(CallStarted), JournalCounter,
			units(CallAdded)+units(CallRejected)+units(CallUnknown)+units(CallCutoff)+flight.openCallUnits)
		expectEqual("units not added = returned", JournalCounter, units(CallRejected), JournalUnits,
			units(UnitsReturned)+units(UnitsNeverReturned)+flight.pendingReturnUnits)
		return found
	}
	expectEqual("taken = served + refused + failed + open", JournalFront, n[FrontTaken], JournalFront, c.Ended()+flight.openAtFront)
	expectEqual("taken by the front = by the planner", JournalFront, n[FrontTaken]-n[FrontNotSubmitted]-n[FrontNeverTaken], JournalPlanner,
		n[PlanTaken]+flight.submitted)
	expectEqual("units taken by the front = by the planner", JournalFront,
		units(FrontTaken)-units(FrontNotSubmitted)-units(FrontNeverTaken), JournalPlanner, units(PlanTaken)+flight.submittedUnits)
	expectEqual("taken by the planner = decided + open", JournalPlanner, n[PlanTaken], JournalPlanner,
		n[PlanServed]+c.Rejected()+c.Failed()+n[PlanClientDeparted]+n[PlanCutoff]+flight.openAtPlanner)
	expectEqual("served by the planner = written or lost", JournalPlanner, n[PlanServed], JournalFront,
		n[FrontServed]+r.lostAnswers[served]+flight.pendingAnswers[served])
	expectEqual("refused by the planner = written or lost", JournalPlanner, c.Rejected(), JournalFront,
		n[FrontRejected]+r.lostAnswers[rejected]+flight.pendingAnswers[rejected])
	expectEqual("failed by the planner = written or lost", JournalPlanner, c.Failed(), JournalFront,
		n[FrontFailed]+r.lostAnswers[failed]+flight.pendingAnswers[failed])
	expectEqual("fetches ordered = begun", JournalPlanner, n[PlanSent], JournalAttempts, n[AttemptStarted]+n[AttemptNeverStarted]+flight.orderedAttempts)
	expectEqual("fetches begun = ended + open", JournalAttempts, n[AttemptStarted], JournalAttempts, c.AttemptsEnded()+flight.openAttempts)
	expectEqual("fetches ended = heard of", JournalAttempts, c.AttemptsEnded()+n[AttemptNeverStarted], JournalPlanner,
		n[PlanNotified]+n[PlanNeverNotified]+flight.unreportedAttempts)
	if r.key.Class >= 0 && int64(n[PlanServed]-n[AttemptOK]) > 0 {
		expectEqual("served by a good fetch each", JournalPlanner, n[PlanServed], JournalAttempts, n[AttemptOK])
	}
	return found
}

// CheckTally is the text of the check of AuditAccounts.
const CheckTally = "units on the tally = drawn - told + returned"

// AuditAccounts compares the tallies of the decision module with the units' journal, for the accounts that Accounts returned. The
// tally of an account holds the units that were drawn and for which no counter call was ordered yet. tally returns the units on a
// customer's tally, and false if the module has dropped the account with its tally. For the units of a dropped account,
// AuditAccounts returns a posting in forgotten, which the caller must post. No units may be drawn during the call.
func (l *Ledger) AuditAccounts(keys []Key, tally func(customer uint64) (units float64, known bool)) (found []Mismatch,
	forgotten []Posting) {
	for _, k := range keys {
		r := l.rows[k]
		if r == nil || k.Class != ClassAccount || k.Customer == Others {
			continue
		}
		pending := r.counts.Pending()
		units, known := tally(k.Customer)
		if !known {
			if pending != 0 {
				forgotten = append(forgotten, Posting{Event: UnitsForgotten, Key: k, Units: pending})
			}
			continue
		}
		// Each posting is rounded to a millionth, while the module sums unrounded units. They differ by up to half a millionth
		// for each posting.
		slack := int64(r.counts.N[UnitsDrawn]+r.counts.N[UnitsPushed]+r.counts.N[UnitsReturned])/2 + 1
		if tallied := MicroUnits(units); tallied-pending > slack || pending-tallied > slack {
			found = append(found, Mismatch{Key: k, Check: CheckTally, Journals: [2]Journal{JournalPlanner, JournalUnits},
				Left: uint64(tallied), Right: uint64(pending)})
		}
	}
	return found, forgotten
}

// Accounts returns the keys of the customers' accounts that were posted to since the last call, and of all accounts that hold units.
func (l *Ledger) Accounts() (keys []Key) {
	l.lastRow = nil
	remaining := l.pendingAccounts[:0]
	for _, r := range l.pendingAccounts {
		if l.rows[r.key] != r {
			continue
		}
		keys = append(keys, r.key)
		if r.inPendingAccounts = r.counts.Pending() != 0; r.inPendingAccounts {
			remaining = append(remaining, r)
		}
	}
	clear(l.pendingAccounts[len(remaining):])
	l.pendingAccounts = remaining
	return keys
}
