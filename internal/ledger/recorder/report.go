package recorder

import (
	"slices"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// CloseStatement closes a period and makes it last.
func (rec *Recorder) CloseStatement() {
	if rec.store == nil {
		return
	}
	rec.mu.Lock()
	rec.drainQueue(rec.store.EndPeriod)
	rec.store.Stage(rec.ledger.Statement())
	names := ledger.Names{Plans: slices.Clone(rec.names.Plans), Classes: slices.Clone(rec.names.Classes)}
	rec.mu.Unlock()
	if err := rec.store.Commit(names); err != nil {
		rec.options.Log.Error("the ledger's figures could not be kept; they stay in memory", zap.Error(err))
	}
}

// Report is a view of the books for operators.
type Report struct {
	Names     ledger.Names
	Lines     []ledger.Line // of the customers asked for, or by plan and class over all
	Total     ledger.Counts
	Open      int
	Rows      int
	Evictions uint64
	Abandoned uint64
	Alarms    int // that stand
	Raised    uint64
	Cleared   uint64
}

// Report adds up the rows by plan and class, over all customers.
func (rec *Recorder) Report() Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.drainQueue(nil)
	r := Report{Names: rec.names, Total: rec.ledger.Total(), Open: rec.ledger.OpenCount(), Evictions: rec.ledger.Evictions, Abandoned: rec.ledger.Abandoned,
		Alarms: len(rec.alarms), Raised: rec.raised.Load(), Cleared: rec.cleared.Load()}
	r.Rows, r.Lines = rec.ledger.Sums()
	return r
}
