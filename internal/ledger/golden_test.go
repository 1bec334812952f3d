package ledger

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"dewhitch/internal/golden"
)

// events lists all events by number. Log segments and rows of the embedded store contain the numbers.
var events = []Event{None, FrontTaken, FrontServed, FrontRejected, FrontFailed, FrontClientDeparted, FrontWriteFailed, FrontNotSubmitted, FrontCutoff,
	PlanTaken, PlanServed, PlanRejectedQuota, PlanRejectedCeiling, PlanRejectedOverload, PlanRejectedExhausted, PlanRejectedInvalid,
	PlanFailedExhausted, PlanFailedDuplicateID, PlanFailedCounterUnread, PlanClientDeparted, PlanCutoff, PlanSent, PlanNotified,
	AttemptStarted, AttemptOK, AttemptError, AttemptRejected, AttemptTimeout, AttemptConnectFailed, AttemptReset, AttemptCancelled, AttemptNotSent,
	AttemptCutoff, UnitsDrawn, UnitsPushed, UnitsReturned, UnitsForgotten, CallStarted, CallAdded, CallRejected, CallUnknown,
	CallCutoff, FrontNeverTaken, AttemptNeverStarted, PlanNeverNotified, CallNeverStarted, UnitsNeverReturned, UnitsCutoff, FrontIdempotencyKey}

// TestEventForm compares the number, the text and the journal of each event, and whether it has units, with a golden file.
// Segments and rows contain the number; export records, CSV columns, metrics and alarms contain the text, which ByName parses.
func TestEventForm(t *testing.T) {
	if len(events) != int(EventCount) {
		t.Errorf("the test lists %d events, expected %d", len(events), EventCount)
	}
	var lines strings.Builder
	for n, e := range events {
		if int(e) != n {
			t.Errorf("event %s has number %d, expected %d", e, e, n)
		}
		fmt.Fprintln(&lines, uint8(e), e, e.Journal(), e.HasUnits())
	}
	golden.Compare(t, "events", []byte(lines.String()))
	for line := range strings.Lines(string(golden.Read(t, "events"))) {
		var number int
		var text, journal string
		var units bool
		if _, err := fmt.Sscan(line, &number, &text, &journal, &units); err != nil {
			t.Fatal(err)
		}
		if e, ok := ByName(text); number != 0 && (!ok || e != events[number]) {
			t.Errorf("ByName(%q) returned event %d, expected %d", text, e, number)
		}
	}
}

// TestNumberForm compares the numbers and texts of journals, verdicts and reserved keys with a golden file. The embedded store
// contains verdicts (in open entries) and keys; alarms and the export contain the texts.
func TestNumberForm(t *testing.T) {
	var lines strings.Builder
	for _, j := range []Journal{JournalFront, JournalPlanner, JournalAttempts, JournalUnits, JournalCounter} {
		fmt.Fprintln(&lines, "book", uint8(j), j)
	}
	for _, v := range []struct {
		name string
		verdict
	}{{"undecided", undecided}, {"served", served}, {"refused", rejected}, {"failed", failed}, {"other", other}} {
		fmt.Fprintln(&lines, "verdict", uint8(v.verdict), v.name)
	}
	for _, e := range events {
		fmt.Fprintln(&lines, "verdict of", e, uint8(verdictOf(e)))
	}
	n := Names{Plans: []string{"basic", "fleet"}, Classes: []string{"space-query", "booking", "query"}}
	for _, i := range []int16{NoPlan, 0, 1, 2} {
		fmt.Fprintln(&lines, "plan", i, n.Plan(i))
	}
	for _, i := range []int16{ClassAccount, ClassAdjust, ClassQuery, 0, 1, 2, 3} {
		fmt.Fprintln(&lines, "class", i, n.Class(i))
	}
	for _, customer := range []uint64{0, 0xaa, 0x123456789abcdef0, Others} {
		fmt.Fprintln(&lines, "haulier", customer, CustomerText(customer))
	}
	account := Account(0xaa)
	fmt.Fprintln(&lines, "account", account.Customer, account.Plan, account.Class)
	golden.Compare(t, "numbers", []byte(lines.String()))
}

// TestCheckForm compares the text of each check and the order of its two journals with a golden file. The alarm file, the
// program's log and the verify command show the text, and readers distinguish alarms by it.
func TestCheckForm(t *testing.T) {
	l := New(Limits{}, false)
	for _, k := range []Key{{Customer: 5, Plan: 1, Class: 2}, Account(6)} {
		stored := StoredRow{Key: k, Lost: [4]uint64{3, 5, 7, 9}}
		for _, e := range events[1:] {
			stored.Set(e, 1000+uint64(e)*uint64(e)*uint64(e), int64(e)*int64(e)*1e6)
		}
		stored.N[PlanServed] += 1e6
		l.Restore(stored)
		l.RestoreOpen(OpenEntry{Ref: k.Customer, Entry: Entry{Key: k, Since: 1, Wait: 1}})
	}
	l.total.N[FrontServed]++
	tally := func(uint64) (float64, bool) { return 17, true }
	_, forgotten := l.AuditAccounts([]Key{Account(6)}, func(uint64) (float64, bool) { return 0, false })
	tallies, _ := l.AuditAccounts([]Key{Account(6)}, tally)
	var lines []string // sorted below, as an audit visits the rows in random order
	for _, m := range slices.Concat(l.Audit(true), l.Overdue(3e9), tallies) {
		lines = append(lines, fmt.Sprintln(m.Key.Customer, m.Key.Plan, m.Key.Class, m.AllRows, m))
	}
	for _, p := range forgotten {
		lines = append(lines, fmt.Sprintln("forgotten:", p.Event, p.Key.Customer, p.Units))
	}
	slices.Sort(lines)
	golden.Compare(t, "checks", []byte(strings.Join(lines, "")))
}
