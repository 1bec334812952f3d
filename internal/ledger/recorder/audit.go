package recorder

import (
	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// readTallies has the accounts compared with the module's tallies, on the planner.
func (rec *Recorder) readTallies() {
	visit := rec.tallies.Load()
	if visit == nil {
		return
	}
	rec.drainQueueNow()                                     // here, so that little is left to do on the planner
	_ = (*visit)(func(tally func(uint64) (float64, bool)) { // a planner that has stopped has no tallies
		rec.mu.Lock()
		rec.drainQueue(nil)
		keys := rec.ledger.Accounts()
		for _, k := range keys {
			rec.readAccounts[k] = true
		}
		found, forgotten := rec.ledger.AuditAccounts(keys, tally)
		rec.accountMismatches = append(rec.accountMismatches, found...)
		rec.mu.Unlock() // before Post, which may have to enter the queue and takes the lock
		for _, p := range forgotten {
			rec.Post(p)
		}
	})
}

// Audit checks the books, raises alarms for what is new and clears those for what is over.
func (rec *Recorder) Audit(all bool) {
	rec.mu.Lock()
	found := rec.mismatches(all)
	raise, clear := rec.updateAlarms(found, all)
	rec.mu.Unlock()
	for _, a := range raise {
		rec.raised.Add(1)
		a.State = "raised"
		rec.options.Log.Error("the books do not add up", zap.String("check", a.Check), zap.String("haulier", a.Haulier),
			zap.String("plan", a.Plan), zap.String("class", a.Class), zap.Strings("books", a.Books),
			zap.Int64s("figures", a.Figures), zap.Strings("last_postings", a.Flight))
		rec.file(a)
	}
	for _, a := range clear {
		rec.cleared.Add(1)
		a.State = "cleared"
		rec.options.Log.Info("the books add up again", zap.String("check", a.Check), zap.String("haulier", a.Haulier),
			zap.String("plan", a.Plan), zap.String("class", a.Class))
		rec.file(a)
	}
}

// mismatches books what waits and audits the books: all rows, or those that have changed and those with an alarm. The lock mu is
// held.
func (rec *Recorder) mismatches(all bool) []ledger.Mismatch {
	rec.drainQueue(nil)
	watched := make([]ledger.Key, 0, len(rec.alarms))
	for a := range rec.alarms {
		if !a.all {
			watched = append(watched, a.key)
		}
	}
	found := append(rec.ledger.Audit(all, watched...), rec.accountMismatches...)
	return append(found, rec.ledger.Overdue(rec.time()-int64(rec.options.OverdueAfter))...)
}

// updateAlarms compares what was found with the alarms that stand. The lock mu is held.
func (rec *Recorder) updateAlarms(found []ledger.Mismatch, all bool) (raise, clear []alarm) {
	read := rec.readAccounts
	rec.accountMismatches, rec.readAccounts = nil, map[ledger.Key]bool{}
	now := map[alarmKey]bool{}
	for _, m := range found {
		k := alarmKey{m.Key, m.AllRows, m.Check}
		now[k] = true
		if !rec.alarms[k] && len(rec.alarms) < maxAlarms {
			rec.alarms[k] = true
			raise = append(raise, rec.alarm(m))
		}
	}
	for k := range rec.alarms {
		// An alarm of all rows, or of the module's tallies, stands until those were examined again.
		if now[k] || k.all && !all || k.check == ledger.CheckTally && !read[k.key] {
			continue
		}
		delete(rec.alarms, k)
		clear = append(clear, rec.alarm(ledger.Mismatch{Key: k.key, AllRows: k.all, Check: k.check}))
	}
	return raise, clear
}
