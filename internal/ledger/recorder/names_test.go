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

// What clients call their plans and classes is bounded in number and length, and can stand in a label.
func TestClientNamesAreBounded(t *testing.T) {
	limits := ledger.Limits{Rows: 1000, Open: 100, Flight: 100}
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
			t.Errorf("%q is called %q", bad, got)
		}
	}
	for i := range 1000 {
		name(fmt.Sprint("p", i), "booking")
	}
	if n := len(rec.Report().Names.Plans); n > 202 {
		t.Errorf("%d plans", n)
	}
	if got := name("p999", "booking"); got != recorder.Overflow+"/booking" {
		t.Error(got)
	}
}

// What is posted once the keeper was let go of reaches it no more: it may be closed.
func TestDetachStore(t *testing.T) {
	limits := ledger.Limits{Rows: 16, Open: 16, Flight: 16}
	store := &countingStore{}
	rec := recorder.New(ledger.New(limits, true), ledger.Names{}, store, recorder.Options{Limits: limits, Log: zap.NewNop()})
	rec.Post(ledger.Posting{Event: ledger.FrontTaken, Ref: 1})
	rec.DetachStore()
	rec.Post(ledger.Posting{Event: ledger.FrontServed, Ref: 1})
	if store.appended != 1 {
		t.Errorf("%d postings were kept", store.appended)
	}
}

type countingStore struct{ appended int }

func (k *countingStore) Append(ledger.Posting)     { k.appended++ }
func (k *countingStore) EndPeriod()                {}
func (k *countingStore) Stage(ledger.Statement)    {}
func (k *countingStore) Commit(ledger.Names) error { return nil }

// The module has dropped an account while the queue of postings is one short of full: noting that fills it, and whoever
// fills it books it. It must not wait for itself.
func TestForgottenUnitsFillQueue(t *testing.T) {
	limits := ledger.Limits{Rows: 16, Open: 16, Flight: 16}
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
