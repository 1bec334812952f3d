package recorder

import (
	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// auditTallies compares the accounts with the decision module's tallies, on the planner's goroutine.
func (rec *Recorder) auditTallies() {
	read := rec.tallyReader.Load()
	if read == nil {
		return
	}
	rec.lockAndDrainQueue()                                // leaves little to do on the planner's goroutine
	_ = (*read)(func(tally func(uint64) (float64, bool)) { // an error means that the planner has stopped and has no tallies
		rec.mu.Lock()
		rec.drainQueue(nil)
		keys := rec.ledger.Accounts()
		for _, k := range keys {
			rec.checkedAccounts[k] = true
		}
		found, forgotten := rec.ledger.AuditAccounts(keys, tally)
		rec.accountMismatches = append(rec.accountMismatches, found...)
		rec.mu.Unlock() // before Post, which locks mu if it has to drain the queue
		for _, p := range forgotten {
			rec.Post(p)
		}
	})
}

// Audit checks the ledger, raises an alarm for each new mismatch and clears the alarms of mismatches that are gone. It checks
// all rows if allRows is set, and otherwise those that have changed or have an alarm.
func (rec *Recorder) Audit(allRows bool) {
	rec.mu.Lock()
	found := rec.findMismatches(allRows)
	raised, cleared := rec.updateAlarms(found, allRows)
	rec.mu.Unlock()
	for _, a := range raised {
		rec.raised.Add(1)
		a.State = "raised"
		rec.options.Log.Error("the books do not add up", zap.String("check", a.Check), zap.String("haulier", a.Customer),
			zap.String("plan", a.Plan), zap.String("class", a.Class), zap.Strings("books", a.Journals),
			zap.Int64s("figures", a.Figures), zap.Strings("last_postings", a.LastPostings))
		rec.appendToAlarmFile(a)
	}
	for _, a := range cleared {
		rec.cleared.Add(1)
		a.State = "cleared"
		rec.options.Log.Info("the books add up again", zap.String("check", a.Check), zap.String("haulier", a.Customer),
			zap.String("plan", a.Plan), zap.String("class", a.Class))
		rec.appendToAlarmFile(a)
	}
}

// findMismatches drains the queue and audits the ledger: all rows, or those that have changed and those with an alarm. The result also
// contains the mismatches found in accounts since the last audit, and overdue entries. The lock mu is held.
func (rec *Recorder) findMismatches(allRows bool) []ledger.Mismatch {
	rec.drainQueue(nil)
	watched := make([]ledger.Key, 0, len(rec.alarms))
	for a := range rec.alarms {
		if !a.allRows {
			watched = append(watched, a.key)
		}
	}
	found := append(rec.ledger.Audit(allRows, watched...), rec.accountMismatches...)
	return append(found, rec.ledger.Overdue(rec.now()-int64(rec.options.OverdueAfter))...)
}

// updateAlarms compares the mismatches found with the active alarms, and returns those to raise and to clear. The lock mu is
// held.
func (rec *Recorder) updateAlarms(found []ledger.Mismatch, allRows bool) (raised, cleared []alarm) {
	checked := rec.checkedAccounts
	rec.accountMismatches, rec.checkedAccounts = nil, map[ledger.Key]bool{}
	current := map[alarmKey]bool{}
	for _, m := range found {
		k := alarmKey{m.Key, m.AllRows, m.Check}
		current[k] = true
		if !rec.alarms[k] && len(rec.alarms) < maxAlarms {
			rec.alarms[k] = true
			raised = append(raised, rec.newAlarm(m))
		}
	}
	for k := range rec.alarms {
		// An alarm over all rows, or on a tally, stays active until these are checked again.
		if current[k] || k.allRows && !allRows || k.check == ledger.CheckTally && !checked[k.key] {
			continue
		}
		delete(rec.alarms, k)
		cleared = append(cleared, rec.newAlarm(ledger.Mismatch{Key: k.key, AllRows: k.allRows, Check: k.check}))
	}
	return raised, cleared
}
