package recorder_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/recorder"
)

// TestClientNamesAreBounded guards against clients' names of plans and classes that grow without limit or break a metric label:
// their number and length are limited, and invalid names are replaced.
func TestClientNamesAreBounded(t *testing.T) {
	limits := ledger.Limits{Rows: 1000, Open: 100, RecentPostings: 100}
	rec := recorder.New(ledger.New(limits, false), ledger.Names{}, nil, recorder.Options{Limits: limits, Log: zap.NewNop()})
	name := func(plan, class string) string {
		k := rec.RowByName(7, plan, class)
		n := rec.Report().Names
		return n.Plan(k.Plan) + "/" + n.Class(k.Class)
	}
	if got := name("fleet", "booking"); got != "fleet/booking" {
		t.Error(got)
	}
	for _, bad := range []string{"", "\xff\xfe", "a\nb", strings.Repeat("x", 65)} {
		if got := name(bad, bad); got != recorder.Overflow+"/"+recorder.Overflow {
			t.Errorf("the invalid name %q became %q, expected Overflow", bad, got)
		}
	}
	for i := range 1000 {
		name(fmt.Sprint("p", i), "booking")
	}
	if n := len(rec.Report().Names.Plans); n > 202 {
		t.Errorf("%d plans are known, expected at most 202", n)
	}
	if got := name("p999", "booking"); got != recorder.Overflow+"/booking" {
		t.Error(got)
	}
}

// TestDetachStore guards against appends to a closed store. No posting after DetachStore may reach it.
func TestDetachStore(t *testing.T) {
	limits := ledger.Limits{Rows: 16, Open: 16, RecentPostings: 16}
	store := &countingStore{}
	rec := recorder.New(ledger.New(limits, true), ledger.Names{}, store, recorder.Options{Limits: limits, Log: zap.NewNop()})
	rec.Post(ledger.Posting{Event: ledger.FrontTaken, Ref: 1})
	rec.DetachStore()
	rec.Post(ledger.Posting{Event: ledger.FrontServed, Ref: 1})
	if store.appended != 1 {
		t.Errorf("%d postings were appended to the store, expected 1", store.appended)
	}
}

// countingStore counts the appended postings.
type countingStore struct{ appended int }

func (s *countingStore) Append(ledger.Posting)     { s.appended++ }
func (s *countingStore) EndPeriod()                {}
func (s *countingStore) Stage(ledger.Statement)    {}
func (s *countingStore) Commit(ledger.Names) error { return nil }

// TestForgottenUnitsFillQueue guards against a deadlock: the module drops an account while the queue of postings is one short of
// its limit, and the posting of the forgotten units fills the queue. Post then locks mu to drain it, so auditTallies must not
// hold mu.
func TestForgottenUnitsFillQueue(t *testing.T) {
	limits := ledger.Limits{Rows: 16, Open: 16, RecentPostings: 16}
	rec := recorder.New(ledger.New(limits, false), ledger.Names{}, nil, recorder.Options{Limits: limits, AuditInterval: time.Millisecond,
		OverdueAfter: time.Hour, Log: zap.NewNop()})
	rec.Post(ledger.Posting{Event: ledger.UnitsDrawn, Key: ledger.Account(7), Units: 5e6})
	fillQueue := sync.OnceFunc(func() {
		for range 1<<16 - 1 {
			rec.Post(ledger.Posting{Event: ledger.UnitsDrawn, Key: ledger.Account(7)})
		}
	})
	rec.SetTallyReader(func(f func(func(uint64) (float64, bool))) error {
		f(func(uint64) (float64, bool) { fillQueue(); return 0, false })
		return nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { rec.Run(ctx); close(ended) }()
	for forgotten := int64(0); forgotten != 5e6; time.Sleep(time.Millisecond) {
		r := rec.Report()
		forgotten = r.Total.Units(ledger.UnitsForgotten)
	}
	cancel()
	<-ended
}
