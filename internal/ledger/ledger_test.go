package ledger_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	. "dewhitch/internal/ledger"
	"dewhitch/internal/ledger/ledgertest"
)

func requireBalanced(t interface {
	Helper()
	Fatalf(string, ...any)
}, l *Ledger, where string) {
	t.Helper()
	if found := l.Audit(true); len(found) > 0 {
		t.Fatalf("%s: %+v: %v\n%+v", where, found[0].Key, found[0], l.Flight(found[0].Key, 40))
	}
}

// Whatever the order in which the owners post, the books add up at every moment: with rows evicted all the time, with
// none, and with counts that wrap.
func TestBalancesAfterEveryPosting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rows := rapid.SampledFrom([]int{16, 40, 1000}).Draw(t, "rows")
		l := New(Limits{Rows: rows, Open: 1000, Flight: 1000}, true)
		if rapid.Bool().Draw(t, "wraps") {
			// Figures that add up and are about to wrap: 2^64-3 of all, with as many taken as served.
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
		requireBalanced(t, l, "the end")
		if l.OpenCount() != 0 || l.Abandoned != 0 {
			t.Fatalf("%d are open at the end, %d abandoned", l.OpenCount(), l.Abandoned)
		}
	})
}

// A process may end between any two postings. What its books held then, closed as cut off, adds up with nothing open.
func TestCutOffAtEveryPosting(t *testing.T) {
	for seed := range uint64(8) {
		var postings []Posting
		ledgertest.RandomPostings(seed, 40, 6, func(p Posting) { postings = append(postings, p) })
		for cutOffAt := range postings {
			l := New(Limits{Rows: 1000, Open: 1000, Flight: 100}, false)
			for _, p := range postings[:cutOffAt] {
				l.Post(p)
			}
			l.CutOff(0)
			requireBalanced(t, l, fmt.Sprintf("seed %d, cut off at %d", seed, cutOffAt))
			if l.OpenCount() != 0 || l.Abandoned != 0 {
				t.Fatalf("seed %d, cut off at %d: %d open, %d abandoned", seed, cutOffAt, l.OpenCount(), l.Abandoned)
			}
			total := l.Total()
			if total.N[FrontTaken] != total.Ended() {
				t.Fatalf("seed %d, cut off at %d: %d taken, %d ended", seed, cutOffAt, total.N[FrontTaken], total.Ended())
			}
		}
	}
}

// Any one posting that is lost, doubled or wrong in its units is found, in its row: at once or, where what is lost is
// the end of something, once that is open beyond every deadline.
func TestEveryMiscountIsFound(t *testing.T) {
	for seed := range uint64(6) {
		var postings []Posting
		tallies := map[uint64]int64{} // what its tallies hold
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
				if fault == "wrong units" && !faulty.Event.HasUnits() || faulty.Event == FrontIdempotencyKey { // a note, and no figure
					continue
				}
				l := New(Limits{Rows: 1000, Open: 1000, Flight: 100}, false)
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
						t.Fatalf("seed %d: %v %s: wrong row %v named", seed, faulty, fault, m.Key)
					}
					rowFound = true
				}
				if !rowFound {
					t.Fatalf("seed %d: posting %d, %v of %v, %s, is not found", seed, faultAt, faulty.Event, faulty.Key, fault)
				}
			}
		}
	}
}

// 200,000 customers that come once each: memory stays bounded, and what was rolled up is exact, by plan.
func TestOneTimeCustomers(t *testing.T) {
	l := New(Limits{Rows: 500, Open: 100, Flight: 100}, true)
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
		t.Errorf("%d rows", rows)
	}
	requireBalanced(t, l, "one-off hauliers")
	var got [3]uint64
	for _, line := range l.Lines() {
		got[line.Key.Plan] += line.Counts.N[FrontTaken]
	}
	if got != want {
		t.Errorf("taken by plan: %v, not %v", got, want)
	}
	for _, d := range l.Statement().Deltas {
		stated.Add(&d.Counts)
	}
	if stated != l.Total() {
		t.Errorf("the statements add up to %v, the books to %v", stated.N[FrontTaken], l.Total().N[FrontTaken])
	}
}

// A row with a miscount that is rolled up before any audit is still reported under its name.
func TestEvictedRowIsReportedByName(t *testing.T) {
	l := New(Limits{Rows: 20, Open: 100, Flight: 100}, false)
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
		t.Error("it is not named")
	}
}

// The statements of any storm add up to its books, row by row where no row was evicted between, and hold nothing twice.
func TestStatementsAddUpToLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Limits{Rows: rapid.SampledFrom([]int{16, 1000}).Draw(t, "rows"), Open: 1000, Flight: 10}, true)
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
			for _, k := range s.Rows {
				if stored[k.Key] = k; k.RolledUp {
					delete(stored, k.Key)
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
				// What a store holds after any statement adds up as well as what it was made of.
				restored := New(Limits{Rows: 1000, Open: 1000, Flight: 10}, true)
				for _, k := range stored {
					restored.Restore(k)
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
		restored := New(Limits{Rows: 1000, Open: 1000, Flight: 10}, true)
		for _, k := range stored {
			storedTotal.Add(&k.Counts)
			restored.Restore(k)
		}
		if statedTotal != l.Total() || storedTotal != l.Total() || restored.Total() != l.Total() {
			t.Fatalf("stated %d, kept %d, restored %d, booked %d", statedTotal.N[FrontTaken], storedTotal.N[FrontTaken],
				restored.Total().N[FrontTaken], l.Total().N[FrontTaken])
		}
		requireBalanced(t, restored, "restored")
		if attempts != keyed {
			t.Fatalf("%d tries with a key were stated, of %d", attempts, keyed)
		}
	})
}

func BenchmarkPost(b *testing.B) {
	l := New(Limits{Rows: 20000, Open: 10000, Flight: 4096}, true)
	var postings []Posting
	ledgertest.RandomPostings(1, 2000, 300, func(p Posting) { postings = append(postings, p) })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Post(postings[i%len(postings)])
	}
}
