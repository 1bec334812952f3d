package ledger_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	. "dewhitch/internal/ledger"
	"dewhitch/internal/ledger/ledgertest"
)

// requireBalanced fails the test if an audit of all rows finds a mismatch.
func requireBalanced(t interface {
	Helper()
	Fatalf(string, ...any)
}, l *Ledger, context string) {
	t.Helper()
	if found := l.Audit(true); len(found) > 0 {
		t.Fatalf("%s: %+v: %v\n%+v", context, found[0].Key, found[0], l.RecentPostings(found[0].Key, 40))
	}
}

// TestBalancesInAnyOrder guards against mismatches that depend on the order of postings. The ledger must balance at any time, in
// any order in which the owners may post: with constant evictions, without any, and with counts that wrap. The test audits it
// after every seventh posting.
func TestBalancesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rows := rapid.SampledFrom([]int{16, 40, 1000}).Draw(t, "rows")
		l := New(Limits{Rows: rows, Open: 1000, RecentPostings: 1000}, true)
		if rapid.Bool().Draw(t, "wraps") {
			// Balanced figures that are about to wrap: all are 2^64-3, with as many requests taken as served.
			var c Counts
			for _, e := range []Event{FrontTaken, FrontServed, PlanTaken, PlanServed, PlanSent, PlanNotified, AttemptStarted, AttemptOK} {
				c.Set(e, math.MaxUint64-2, 0)
			}
			c.Set(FrontTaken, math.MaxUint64-2, math.MaxInt64-1)
			c.Set(PlanTaken, math.MaxUint64-2, math.MaxInt64-1)
			l.Restore(StoredRow{Key: Key{1, 0, 0}, Counts: c})
		}
		posted := 0
		ledgertest.RandomPostings(seed, 300, 12, func(p Posting) {
			l.Post(p)
			if posted++; posted%7 == 0 {
				requireBalanced(t, l, fmt.Sprint("posting ", posted))
			}
		})
		requireBalanced(t, l, "after the last posting")
		if l.OpenCount() != 0 || l.Abandoned != 0 {
			t.Fatalf("after the last posting %d entries are open and %d abandoned, expected 0", l.OpenCount(), l.Abandoned)
		}
	})
}

// TestCutOffAtEveryPosting guards against entries that a kill of the process leaves open. After each posting of a sequence,
// CutOff must close all open entries so that the ledger balances.
func TestCutOffAtEveryPosting(t *testing.T) {
	for seed := range uint64(8) {
		var postings []Posting
		ledgertest.RandomPostings(seed, 40, 6, func(p Posting) { postings = append(postings, p) })
		for cutOffAt := range postings {
			l := New(Limits{Rows: 1000, Open: 1000, RecentPostings: 100}, false)
			for _, p := range postings[:cutOffAt] {
				l.Post(p)
			}
			l.CutOff(0)
			requireBalanced(t, l, fmt.Sprintf("seed %d, cut off after %d postings", seed, cutOffAt))
			if l.OpenCount() != 0 || l.Abandoned != 0 {
				t.Fatalf("seed %d, cut off after %d postings: %d entries open, %d abandoned, expected 0", seed, cutOffAt, l.OpenCount(), l.Abandoned)
			}
			total := l.Total()
			if total.N[FrontTaken] != total.Ended() {
				t.Fatalf("seed %d, cut off after %d postings: %d requests taken, %d ended", seed, cutOffAt, total.N[FrontTaken], total.Ended())
			}
		}
	}
}

// TestEveryFaultIsFound guards against faults that no check detects. Each single posting is lost, doubled or given wrong units in
// turn. Audit must report its row and no other; if the lost posting is an end, Overdue must report it after the deadline.
func TestEveryFaultIsFound(t *testing.T) {
	for seed := range uint64(6) {
		var postings []Posting
		tallies := map[uint64]int64{} // millionths of units on the decision module's tallies, by customer
		ledgertest.RandomPostings(seed, 30, 8, func(p Posting) {
			postings = append(postings, p)
			switch p.Event {
			case UnitsDrawn, UnitsReturned:
				tallies[p.Key.Customer] += p.Units
			case UnitsPushed:
				tallies[p.Key.Customer] -= p.Units
			}
		})
		for faultAt, faulty := range postings {
			for _, fault := range []string{"lost", "doubled", "wrong units"} {
				// An idempotency key is not a figure, and no check covers it.
				if fault == "wrong units" && !faulty.Event.HasUnits() || faulty.Event == FrontIdempotencyKey {
					continue
				}
				l := New(Limits{Rows: 1000, Open: 1000, RecentPostings: 100}, false)
				for i, p := range postings {
					switch {
					case i != faultAt:
						l.Post(p)
					case fault == "doubled":
						l.Post(p)
						l.Post(p)
					case fault == "wrong units":
						p.Units += 1e6
						l.Post(p)
					}
				}
				found := append(l.Audit(true), l.Overdue(1)...)
				accountMismatches, _ := l.AuditAccounts(l.Accounts(), func(c uint64) (float64, bool) {
					return float64(tallies[c]) / 1e6, true
				})
				found = append(found, accountMismatches...)
				rowFound := false
				for _, m := range found {
					if m.Key != faulty.Key {
						t.Fatalf("seed %d: posting %v %s: the mismatch is reported for row %v", seed, faulty, fault, m.Key)
					}
					rowFound = true
				}
				if !rowFound {
					t.Fatalf("seed %d: posting %d (%v, row %v) %s: no mismatch is reported", seed, faultAt, faulty.Event, faulty.Key, fault)
				}
			}
		}
	}
}

// TestOneTimeCustomers guards against unbounded memory and wrong sums with customers that send one request each. With 200,000 of
// them, the number of rows must stay limited, and the rolled-up figures must be exact by plan.
func TestOneTimeCustomers(t *testing.T) {
	l := New(Limits{Rows: 500, Open: 100, RecentPostings: 100}, true)
	var want [3]uint64
	var stated Counts
	for i := range uint64(200_000) {
		k := Key{1000 + i, int16(i % 3), 0}
		want[i%3]++
		for _, e := range []Event{FrontTaken, PlanTaken, PlanRejectedQuota, FrontRejected} {
			l.Post(Posting{Event: e, Key: k, Ref: i + 1, Units: 1e6})
		}
		if i%300 == 0 {
			for _, d := range l.Statement().Deltas {
				stated.Add(&d.Counts)
			}
		}
	}
	if rows := len(l.Lines()); rows > 503 {
		t.Errorf("the ledger has %d rows, expected at most 500 and one for each of 3 plans", rows)
	}
	requireBalanced(t, l, "one-time customers")
	var got [3]uint64
	for _, line := range l.Lines() {
		got[line.Key.Plan] += line.Counts.N[FrontTaken]
	}
	if got != want {
		t.Errorf("requests taken by plan: got %v, expected %v", got, want)
	}
	for _, d := range l.Statement().Deltas {
		stated.Add(&d.Counts)
	}
	if stated != l.Total() {
		t.Errorf("the statements add up to %v requests taken, the ledger to %v", stated.N[FrontTaken], l.Total().N[FrontTaken])
	}
}

// TestEvictedRowIsReportedByName guards against a mismatch that is lost because its row is rolled up before any audit. It must be
// reported under the customer's own key.
func TestEvictedRowIsReportedByName(t *testing.T) {
	l := New(Limits{Rows: 20, Open: 100, RecentPostings: 100}, false)
	for i := range uint64(100) {
		k := Key{1000 + i, 0, 0}
		for _, e := range []Event{FrontTaken, PlanTaken, PlanRejectedQuota, FrontRejected} {
			if i != 7 || e != PlanTaken {
				l.Post(Posting{Event: e, Key: k, Ref: i + 1, Units: 1e6})
			}
		}
	}
	reported := false
	for _, m := range l.Audit(false) {
		reported = reported || m.Key.Customer == 1007
	}
	if !reported {
		t.Error("no mismatch is reported for customer 1007")
	}
}

// TestStatementsAddUpToLedger guards against figures that statements omit or repeat. The statements of any sequence of postings
// must add up to the ledger, with and without evictions, and the stored rows must restore a ledger that balances.
func TestStatementsAddUpToLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Limits{Rows: rapid.SampledFrom([]int{16, 1000}).Draw(t, "rows"), Open: 1000, RecentPostings: 10}, true)
		attempts, keyed := 0, 0
		stated, stored, posted := map[Key]*Counts{}, map[Key]StoredRow{}, 0
		var open []OpenEntry
		takeStatement := func() {
			s := l.Statement()
			attempts += len(s.IdempotentRequests)
			for _, d := range s.Deltas {
				if stated[d.Key] == nil {
					stated[d.Key] = &Counts{}
				}
				stated[d.Key].Add(&d.Counts)
			}
			open = s.Open
			for _, row := range s.Rows {
				if stored[row.Key] = row; row.RolledUp {
					delete(stored, row.Key)
				}
			}
		}
		ledgertest.RandomPostings(rapid.Uint64().Draw(t, "seed"), 200, 12, func(p Posting) {
			l.Post(p)
			if p.Event == FrontIdempotencyKey {
				keyed++
			}
			if posted++; posted%23 == 0 {
				takeStatement()
				// The ledger that a store would restore after any statement must balance as well.
				restored := New(Limits{Rows: 1000, Open: 1000, RecentPostings: 10}, true)
				for _, row := range stored {
					restored.Restore(row)
				}
				for _, o := range open {
					restored.RestoreOpen(o)
				}
				requireBalanced(t, restored, "restored")
			}
		})
		takeStatement()
		var statedTotal, storedTotal Counts
		for _, c := range stated {
			statedTotal.Add(c)
		}
		restored := New(Limits{Rows: 1000, Open: 1000, RecentPostings: 10}, true)
		for _, row := range stored {
			storedTotal.Add(&row.Counts)
			restored.Restore(row)
		}
		if statedTotal != l.Total() || storedTotal != l.Total() || restored.Total() != l.Total() {
			t.Fatalf("requests taken: %d in statements, %d in stored rows, %d restored, %d in the ledger", statedTotal.N[FrontTaken], storedTotal.N[FrontTaken],
				restored.Total().N[FrontTaken], l.Total().N[FrontTaken])
		}
		requireBalanced(t, restored, "restored")
		if attempts != keyed {
			t.Fatalf("the statements contain %d attempts with an idempotency key, expected %d", attempts, keyed)
		}
	})
}

func BenchmarkPost(b *testing.B) {
	l := New(Limits{Rows: 20000, Open: 10000, RecentPostings: 4096}, true)
	var postings []Posting
	ledgertest.RandomPostings(1, 2000, 300, func(p Posting) { postings = append(postings, p) })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Post(postings[i%len(postings)])
	}
}
