package agent

import (
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/fleet"
)

// Intervals of writes to a voter's storage and of their log lines.
const (
	writeRetryInterval   = logTick                // shortest time between a failed write and the next one
	writeErrorLogPeriod  = 10 * time.Second       // shortest time between two log lines about failed writes
	slowWriteLogDuration = 100 * time.Millisecond // duration from which a write is logged as slow
)

// store is a voter's stable storage. Save is atomic. Save and Close are never called at the same time.
type store interface {
	Save(fleet.StorageUpdate) error
	Close() error
}

// storageWriter writes one update at a time, each on a goroutine of its own. A disk may take seconds to sync. A
// member that waited for it would miss plans, answer no status, and lose its lease or its leadership. The node
// keeps back the messages that the voter must not send before a write is complete.
type storageWriter struct {
	store    store            // nil if nothing is stored
	results  chan writeResult // has room for the result of the write in progress
	writing  bool             // true from the start of a write until finish
	failedAt time.Time        // time at which the last write failed; zero: it succeeded, or there was none
	loggedAt time.Time        // time at which a failure was last logged; zero: writes succeed
	log      *zap.Logger
}

// writeResult is the result of one write.
type writeResult struct {
	update  fleet.StorageUpdate
	err     error
	elapsed time.Duration
}

// begin starts a write, unless one is in progress or one failed within writeRetryInterval.
func (w *storageWriter) begin(u fleet.StorageUpdate) {
	if w.writing || w.halted() && time.Since(w.failedAt) < writeRetryInterval {
		return
	}
	w.writing = true
	go func() {
		started := time.Now()
		err := w.store.Save(u)
		w.results <- writeResult{u, err, time.Since(started)}
	}()
}

// finish records the end of a write. It returns true if the write succeeded.
func (w *storageWriter) finish(r writeResult) bool {
	w.writing = false
	if r.elapsed >= slowWriteLogDuration {
		w.log.Info("fleet: the folder is slow", zap.Duration("took", r.elapsed))
	}
	if r.err != nil {
		w.failedAt = time.Now()
		if w.failedAt.Sub(w.loggedAt) > writeErrorLogPeriod {
			w.loggedAt = w.failedAt
			w.log.Error("the fleet's folder can't be written to: this voter is halted, and serves on", zap.Error(r.err))
		}
		return false
	}
	if w.halted() {
		w.failedAt = time.Time{}
		w.loggedAt = time.Time{}
		w.log.Info("the fleet's folder can be written to again")
	}
	return true
}

// halted returns true if the last write failed. The voter then takes no part in the log until a write succeeds.
func (w *storageWriter) halted() bool { return !w.failedAt.IsZero() }

// close waits for the write in progress, if there is one, and closes the store.
func (w *storageWriter) close() {
	if w.writing {
		<-w.results
	}
	if w.store != nil {
		w.store.Close()
	}
}

// persist starts to write the update that the node needs stored. Without a store the update counts as
// stored immediately.
func (a *Agent) persist() {
	for {
		u, pending := a.node.PendingStorage()
		if !pending {
			return
		}
		if a.storage.store != nil {
			a.storage.begin(u)
			return
		}
		a.node.Persisted()
	}
}

// finishWrite reports a successful write to the node, unless the node waits for another update by now. persist
// writes that update, and repeats a failed write.
func (a *Agent) finishWrite(r writeResult) {
	if !a.storage.finish(r) {
		return
	}
	if u, pending := a.node.PendingStorage(); pending && u.Equal(r.update) {
		a.node.Persisted()
	}
}
