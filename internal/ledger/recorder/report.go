package recorder

import (
	"slices"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// CloseStatement ends a period and commits its statement to the store, if there is one. A failure is logged, and the statement
// is committed with the next one.
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

// Report is a summary of the ledger for operators.
type Report struct {
	Names     ledger.Names
	Lines     []ledger.Line // sums over all customers by plan and class
	Total     ledger.Counts
	Open      int // number of open requests and counter calls
	Rows      int
	Evictions uint64
	Abandoned uint64
	Alarms    int    // number of active alarms
	Raised    uint64 // number of alarms raised since the start
	Cleared   uint64 // number of alarms cleared since the start
}

// Report returns the sums of the rows by plan and class, over all customers, and the numbers of entries and alarms.
func (rec *Recorder) Report() Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.drainQueue(nil)
	r := Report{Names: rec.names, Total: rec.ledger.Total(), Open: rec.ledger.OpenCount(), Evictions: rec.ledger.Evictions, Abandoned: rec.ledger.Abandoned,
		Alarms: len(rec.alarms), Raised: rec.raised.Load(), Cleared: rec.cleared.Load()}
	r.Rows, r.Lines = rec.ledger.Sums()
	return r
}
