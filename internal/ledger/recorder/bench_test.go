package recorder_test

import (
	"testing"
	"time"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/ledger/store"

	"go.uber.org/zap"
)

// BenchmarkServedRequest posts the postings of one served request: eight on the request, and one for the units drawn.
func BenchmarkServedRequest(b *testing.B) {
	for _, mode := range []string{"memory", "disk"} {
		b.Run(mode, func(b *testing.B) {
			o := recorder.Options{Limits: ledger.Limits{Rows: 20000, Open: 65536, RecentPostings: 4096}, OverdueAfter: time.Second,
				Names: ledger.Names{Plans: []string{"basic"}, Classes: []string{"space-query"}}, Log: zap.NewNop()}
			l := ledger.New(o.Limits, mode == "disk")
			var k recorder.Store
			if mode == "disk" {
				s, kept, _, _, err := store.Open(store.Options{Dir: b.TempDir(), Node: "n0", SegmentBytes: 4 << 20, Segments: 8,
					Records: 1 << 20, Limits: o.Limits, Log: o.Log})
				if err != nil {
					b.Fatal(err)
				}
				defer s.Close()
				k, l = s, kept
			}
			rec := recorder.New(l, ledger.Names{}, k, o)
			rec.CloseStatement()
			events := []ledger.Event{ledger.FrontTaken, ledger.PlanTaken, ledger.UnitsDrawn, ledger.PlanSent, ledger.AttemptStarted,
				ledger.AttemptOK, ledger.PlanNotified, ledger.PlanServed, ledger.FrontServed}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%10000 == 9999 {
					b.StopTimer()
					rec.CloseStatement()
					time.Sleep(time.Millisecond)
					b.StartTimer()
				}
				key, ref := rec.Row(uint64(i%1600), 0, 0), rec.Ref()
				for _, e := range events {
					p := ledger.Posting{Event: e, Key: key, Ref: ref, Units: 1e6}
					if e == ledger.UnitsDrawn {
						p.Key, p.Ref = ledger.Account(key.Customer), 0
					}
					rec.Post(p)
				}
			}
		})
	}
}
